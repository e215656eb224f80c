//! A small HTTP/1.1 server and client.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A message: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub began_at: Option<Instant>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a length or chunks. None at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    message.began_at = Some(Instant::now());
    let mut line = String::new();
    reader.read_line(&mut line)?;
    message.first_line = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; length];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            line.clear();
            reader.read_line(&mut line)?;
            if length == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn format_answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Serves each connection in a thread of its own. The handler gets each request and returns what is written; an empty
/// text closes the connection.
pub fn serve(handler: impl Fn(Message) -> String + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    serve_on(listener, handler);
    address
}

pub fn serve_on(listener: TcpListener, handler: impl Fn(Message) -> String + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handler = handler.clone();
            std::thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                let mut writer = stream;
                while let Some(message) = read_message(&mut reader)? {
                    let answer = handler(message);
                    if answer.is_empty() {
                        return Ok(());
                    }
                    writer.write_all(answer.as_bytes())?;
                }
                Ok(())
            });
        }
    });
}

/// A client with one connection at a time, kept between requests as the protocol page says: a connection that the
/// other side has closed between requests is replaced, and the request is sent once more.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Sends a request and waits for its answer for `patience`. An error is no answer.
    pub fn exchange(&mut self, request: &str, patience: Duration) -> io::Result<Message> {
        let kept = self.connection.take();
        if let Some(connection) = kept {
            match self.exchange_on(connection, request, patience) {
                Err(error) if is_closed(&error) => {}
                other => return other,
            }
        }
        let stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        self.exchange_on(BufReader::new(stream), request, patience)
    }

    fn exchange_on(
        &mut self,
        mut connection: BufReader<TcpStream>,
        request: &str,
        patience: Duration,
    ) -> io::Result<Message> {
        connection.get_ref().set_read_timeout(Some(patience))?;
        connection.get_mut().write_all(request.as_bytes())?;
        let answer = read_message(&mut connection)?.ok_or(io::Error::from(io::ErrorKind::ConnectionReset))?;
        if !answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.connection = Some(connection);
        }
        Ok(answer)
    }
}

fn is_closed(error: &io::Error) -> bool {
    use io::ErrorKind::*;
    matches!(error.kind(), ConnectionReset | BrokenPipe | ConnectionAborted | UnexpectedEof)
}
