//! Clients read a long answer steadily, but slowly. Do they get all that the backend gives?

use stand_ins_2::{begin, free_addresses, lock, sleep, Case, NOT_RUN};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// The longest answer of the page: 32 MB.
const ANSWER_BYTES: usize = 32_000_000;
/// The most that clients read at once.
const PIECE_BYTES: usize = 6_600;
/// Clients read so many bytes a second at least, somewhat more than the 64 kB of the page.
const RATE: f64 = 66_000.0;
/// The rate of the page, and the longest pause of a client that reads steadily.
const LEAST_RATE: f64 = 64_000.0;
const LONGEST_PAUSE: f64 = 0.5;
const CLIENTS: usize = 3;
/// When the case stops looking.
const LAST: f64 = 100.0;

struct Seen {
    got: usize,
    longest_pause: f64,
    seconds: f64,
    ended: Option<String>,
}

/// Gives the whole answer to each request, as fast as it is taken.
fn backend(case: &'static Case, broken: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let broken = broken.clone();
            std::thread::spawn(move || -> std::io::Result<()> {
                let mut reader = BufReader::new(stream.try_clone()?);
                let mut writer = stream;
                while let Some(request) = stand_ins_2::http::read_message(&mut reader)? {
                    let id = request.header("x-txn").unwrap_or_default().to_string();
                    case.note(&format!("backend runs {id} and gives {ANSWER_BYTES} bytes"));
                    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n")?;
                    let piece = [b'x'; 16_000];
                    for given in (0..ANSWER_BYTES).step_by(piece.len()) {
                        if let Err(error) = writer.write_all(&piece) {
                            broken.fetch_add(1, SeqCst);
                            case.note(&format!(
                                "backend: its connection ended at {given} bytes of {id}: {error}"
                            ));
                            return Ok(());
                        }
                    }
                    case.note(&format!("backend: all of {id} is taken"));
                }
                Ok(())
            });
        }
    });
    address
}

fn read_answer(
    case: &'static Case,
    listen: SocketAddr,
    number: usize,
    seen: &Mutex<Seen>,
) -> std::io::Result<()> {
    let stream = TcpStream::connect(listen)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::with_capacity(PIECE_BYTES, stream);
    write!(
        writer,
        "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {number:016x}\r\nX-Lane: look\r\nX-Org: steppe-profil\r\nX-Remaining-Ms: 5000\r\n\r\n"
    )?;
    let mut line = String::new();
    reader.read_line(&mut line)?;
    case.note(&format!("client {number} gets {}", line.trim()));
    while line.trim() != "" {
        line.clear();
        reader.read_line(&mut line)?;
    }
    let start = case.now();
    let mut last = start;
    let mut piece = vec![0; if case.trouble { PIECE_BYTES } else { 1 << 20 }];
    while lock(seen).got < ANSWER_BYTES {
        if case.trouble {
            // Never behind the rate: reads on until as much is read as is due by the time.
            sleep(start + lock(seen).got as f64 / RATE - case.now());
        }
        let read = reader.read(&mut piece)?;
        let now = case.now();
        let mut seen = lock(seen);
        seen.got += read;
        seen.longest_pause = seen.longest_pause.max(now - last);
        seen.seconds = now - start;
        last = now;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

fn main() {
    let case = begin();
    let broken = Arc::new(AtomicUsize::new(0));
    let address = backend(case, broken.clone());
    let [listen] = free_addresses();
    let list = format!(
        r#"{{"generation":41,"reset":true,"instances":[{{"instanceId":"s-0","hostPort":"{address}","zone":"alm-dc1","machineType":"front-1c","cell":1,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}]}}"#
    );
    let answer = list.clone();
    let discovery = stand_ins_2::http::serve(move |message| {
        let path = message.first_line.split(' ').nth(1).unwrap_or_default();
        let body = if path.contains("since=41") {
            let wait = path.split_once("timeout_ms=").and_then(|(_, wait)| wait.parse::<f64>().ok());
            sleep(wait.unwrap_or(0.0) / 1000.0);
            r#"{"generation":41,"reset":false,"instances":[]}"#.to_string()
        } else {
            answer.clone()
        };
        stand_ins_2::http::format_answer("200 OK", "", &body)
    });
    let settings = r#"{"caps":{"cancel":true,"connect-timeout":0.25,"idle-close":30.0,"max-attempts":4,"max-open":1000,
        "max-retry-after":2.0,"probing":true,"retry-after":true,"second-copies":true},
        "classes":[{"name":"look","effect":"free","group":"all","window":5.0,"on-time":2.0,"hard-limit":5.0,
        "late-worth":0.0,"worth":8.0,"stream":false}],"me":0,"n-instances":1,"quantum":0.005,"registry-mode":"automatic",
        "projects":[{"name":"steppe-profil","quota-per-s":27.0,"share":1.0}],"rules":{"ask-within":10.0,"cold":6.8,
        "cold-share":0.36,"drain-grace":0.5,"fall-multiple":4.0,"tip-after":1.0},"stats":{"fields":[],"how":"off"},
        "tier":0,"zone":"alm-dc1","zones":["alm-dc1"]}"#;
    let config = format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{list},"settings":{settings}}}"#
    );
    let path = case.write("config.json", &config);
    let environment = [
        ("RELAY_NAME", "n0".to_string()),
        ("RELAY_LISTEN", listen.to_string()),
        ("RELAY_DISCOVERY", discovery.to_string()),
        ("RELAY_CONFIG", path.display().to_string()),
        ("TMPDIR", case.temporary.display().to_string()),
    ];
    let proxy = case.start("proxy", "exec target/release/dewpier", &environment);
    case.wait_for("the proxy", || TcpStream::connect(listen).is_ok());
    sleep(0.5);
    let mut clients = Vec::new();
    for number in 1..=CLIENTS {
        let seen = Arc::new(Mutex::new(Seen { got: 0, longest_pause: 0.0, seconds: 0.0, ended: None }));
        clients.push(seen.clone());
        std::thread::spawn(move || {
            let ended = match read_answer(case, listen, number, &seen) {
                Ok(()) => "whole".to_string(),
                Err(error) => format!("cut off: {error}"),
            };
            let mut seen = lock(&seen);
            case.note(&format!(
                "client {number}: {ended}, after {} of {ANSWER_BYTES} bytes and no pause of over {:.3} s",
                seen.got, seen.longest_pause
            ));
            seen.ended = Some(ended);
        });
    }
    let all_ended = || clients.iter().all(|seen| lock(seen).ended.is_some());
    while case.now() < LAST && !all_ended() {
        sleep(0.05);
    }
    for (number, seen) in (1..).zip(&clients) {
        let seen = lock(seen);
        case.note(&format!("client {number}: {} bytes, {:?}", seen.got, seen.ended));
    }
    assert!(!case.has_ended(proxy), "the proxy runs to the end");
    if !case.trouble && !all_ended() {
        case.note("the answers did not come in time");
        case.end(NOT_RUN);
    }
    let is_cut = |seen: &&Arc<Mutex<Seen>>| lock(seen).ended.as_ref().is_some_and(|ended| ended != "whole");
    let is_steady = |seen: &&Arc<Mutex<Seen>>| {
        let seen = lock(seen);
        let rate = seen.got as f64 / seen.seconds;
        case.note(&format!(
            "a client has read {rate:.0} bytes a second, its longest pause was {:.3} s",
            seen.longest_pause
        ));
        rate >= LEAST_RATE && seen.longest_pause < LONGEST_PAUSE
    };
    let cut: Vec<_> = clients.iter().filter(is_cut).collect();
    // A client that has not read steadily, as its machine was busy, shows nothing.
    let shown = cut.iter().copied().filter(is_steady).count();
    case.note(&format!(
        "{} of {CLIENTS} answers were cut off, {shown} of them of clients that read steadily",
        cut.len()
    ));
    case.note(&format!("{} connections of backends were ended", broken.load(SeqCst)));
    if shown == 0 && !cut.is_empty() {
        case.end(NOT_RUN);
    }
    case.judge(shown > 0);
}
