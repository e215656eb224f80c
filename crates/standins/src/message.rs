//! HTTP messages as plain text.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A message as read: its first line, its headers in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// What its length says is its body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of that name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// The next message of a connection; None at its end, or where it breaks.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(stream)?;
    let length = message.header("content-length").map_or(Some(0), |l| l.parse().ok())?;
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// The same without a body, as an answer to HEAD has none whatever its length says.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    while stream.read_line(&mut line).ok()? > 0 {
        if !line.ends_with('\n') {
            return None; // its last byte has not come, so that it is not whole
        }
        let text = line.trim_end().to_string();
        line.clear();
        if message.start_line.is_empty() {
            message.start_line = text;
        } else if let Some((name, value)) = text.split_once(": ") {
            message.headers.push((name.to_lowercase(), value.to_string()));
        } else if text.is_empty() {
            return Some(message);
        }
    }
    None
}

/// An answer with a body.
pub fn format_response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends a request and reads the answer.
#[track_caller]
pub fn exchange(stream: &mut BufReader<TcpStream>, text: &str) -> Message {
    stream.get_mut().write_all(text.as_bytes()).expect("the connection takes a request");
    read_message(stream).expect("an answer")
}

/// Resets a connection, so that the other side sees an error and no end.
pub fn reset_connection(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    let _ = socket.set_linger(Some(std::time::Duration::ZERO)); // it is closed either way
}
