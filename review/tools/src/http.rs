//! HTTP stand-ins by the protocol page: backends, discovery, and a client's connection.

use crate::{Record, cannot_run};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A request or an answer, read whole.
#[derive(Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn read_line(stream: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

/// Reads one message with a length or in chunks. An error if the connection ends or a time-out comes first.
pub fn read_message(stream: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { first_line: read_line(stream)?, ..Message::default() };
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.split_once(':') else { break };
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size = usize::from_str_radix(&read_line(stream)?, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk)?;
            read_line(stream)?;
            message.body.extend(chunk);
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body)?;
    Ok(message)
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A backend that answers each request 200 after `work`, with a body that names the request's id; while `hangs` is set
/// it reads requests and answers none.
pub struct Backend {
    pub address: SocketAddr,
    pub hangs: Arc<AtomicBool>,
    /// It stands still: it does not even read.
    pub is_still: Arc<AtomicBool>,
    /// Ids of the requests whose last byte has come.
    pub begun: Arc<Mutex<Vec<String>>>,
}

impl Backend {
    pub fn start(name: &str, work: Duration, record: &Record) -> Self {
        let (listener, address) = listen();
        let (hangs, is_still): (Arc<AtomicBool>, Arc<AtomicBool>) = Default::default();
        let begun: Arc<Mutex<Vec<String>>> = Arc::default();
        let (name, record) = (name.to_string(), record.clone());
        let (shared_hangs, shared_begun, shared_still) = (hangs.clone(), begun.clone(), is_still.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record) = (name.clone(), record.clone());
                let (hangs, begun, is_still) =
                    (shared_hangs.clone(), shared_begun.clone(), shared_still.clone());
                spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut stream = BufReader::new(stream);
                    loop {
                        while is_still.load(Ordering::SeqCst) {
                            sleep(Duration::from_millis(20));
                        }
                        let Ok(request) = read_message(&mut stream) else { return };
                        let path = request.first_line.split(' ').nth(1).unwrap_or("").to_string();
                        let id = request.header("x-txn").to_string();
                        if !id.is_empty() {
                            begun.lock().unwrap().push(id.clone());
                            record.line(format!(
                                "backend {name} begins {id} ({} bytes, told {} ms)",
                                request.body.len(),
                                request.header("x-remaining-ms")
                            ));
                        }
                        if hangs.load(Ordering::SeqCst) {
                            // Neither an answer nor an end: until the peer closes.
                            let _ = stream.read(&mut [0]);
                            record.line(format!("backend {name}: the connection of {id} was closed"));
                            return;
                        }
                        sleep(work);
                        let answer = if path == "/-/healthy" {
                            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_string()
                        } else if id.is_empty() {
                            "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_string()
                        } else {
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len())
                        };
                        if stream.get_mut().write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, hangs, is_still, begun }
    }
}

/// Discovery that has one list for good: the whole list, and watches that end without a change.
pub fn start_discovery(list: String) -> SocketAddr {
    let (listener, address) = listen();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            spawn(move || {
                let mut stream = BufReader::new(stream);
                while let Ok(request) = read_message(&mut stream) {
                    let target = request.first_line.split(' ').nth(1).unwrap_or("").to_string();
                    let number = |name: &str| -> u64 {
                        let found = target.split(['?', '&']).find_map(|p| p.strip_prefix(name));
                        found.and_then(|v| v.parse().ok()).unwrap_or(0)
                    };
                    let body = if number("since=") >= 1 {
                        sleep(Duration::from_millis(number("timeout_ms=").min(60_000)));
                        r#"{"generation":1,"reset":false,"instances":[]}"#.to_string()
                    } else {
                        list.clone()
                    };
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    if stream.get_mut().write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Discovery whose list may be replaced. A watch ends once there is a newer list, with the whole of it. A watch from a
/// newer version than it has waits.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<(u64, String)>>,
}

impl Discovery {
    pub fn start(name: &str, generation: u64, list: String, record: &Record) -> Self {
        let (listener, address) = listen();
        let shared = Arc::new(Mutex::new((generation, list)));
        let (list, name, record) = (shared.clone(), name.to_string(), record.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, name, record) = (list.clone(), name.clone(), record.clone());
                spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Ok(request) = read_message(&mut stream) {
                        let target = request.first_line.split(' ').nth(1).unwrap_or("").to_string();
                        let number = |name: &str| -> u64 {
                            let found = target.split(['?', '&']).find_map(|p| p.strip_prefix(name));
                            found.and_then(|v| v.parse().ok()).unwrap_or(0)
                        };
                        let (since, until) = (number("since="), Instant::now());
                        let until = until + Duration::from_millis(number("timeout_ms=").min(60_000));
                        let mut current = list.lock().unwrap().clone();
                        while since >= current.0 && since > 0 && Instant::now() < until {
                            sleep(Duration::from_millis(5));
                            current = list.lock().unwrap().clone();
                        }
                        let body = match since >= current.0 && since > 0 {
                            true => format!(r#"{{"generation":{},"reset":false,"instances":[]}}"#, current.0),
                            false => current.1,
                        };
                        record.line(format!("discovery {name}: {target} -> version {}", current.0));
                        let answer =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                        if stream.get_mut().write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, list: shared }
    }

    pub fn set_list(&self, generation: u64, list: String) {
        *self.list.lock().unwrap() = (generation, list);
    }
}

/// The list in discovery's form.
pub fn format_list(backends: &[SocketAddr]) -> String {
    let entry = |(i, address): (usize, &SocketAddr)| {
        format!(
            r#"{{"instanceId":"s-{i:08x}","hostPort":"{address}","zone":"alm-dc1","machineType":"front-1c","cell":{},"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}"#,
            i / 3
        )
    };
    let entries: Vec<String> = backends.iter().enumerate().map(entry).collect();
    format!(r#"{{"generation":1,"reset":true,"instances":[{}]}}"#, entries.join(","))
}

/// Connects with a time-out on reads.
pub fn connect(address: SocketAddr, wait: Duration) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    Ok(BufReader::new(stream))
}
