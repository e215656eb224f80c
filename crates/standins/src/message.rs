//! Reads and writes HTTP messages on blocking connections.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// An HTTP message as read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body, as long as `content-length` says.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first header of a name, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response, or 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads the next message of a connection. Returns None at its end and after an error.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(stream)?;
    let length = message.header("content-length").map_or(Some(0), |l| l.parse().ok())?;
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a message without its body, as a response to HEAD has none.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    while stream.read_line(&mut line).ok()? > 0 {
        if !line.ends_with('\n') {
            return None; // the connection ended within the line
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

/// Formats a response with a body.
pub fn format_response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends a request and reads the response.
#[track_caller]
pub fn exchange(stream: &mut BufReader<TcpStream>, text: &str) -> Message {
    stream.get_mut().write_all(text.as_bytes()).expect("the connection accepts a request");
    read_message(stream).expect("a response")
}

/// Resets a connection, so that the peer sees an error in place of a regular end.
pub fn reset_connection(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    let _ = socket.set_linger(Some(std::time::Duration::ZERO)); // the connection is closed either way
}
