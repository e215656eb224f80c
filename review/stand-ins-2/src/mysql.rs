//! A small MySQL server and client, from the public description of the protocol: logins, text statements, OK, errors and
//! rows of text.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub const COM_QUIT: u8 = 0x01;
pub const COM_INIT_DB: u8 = 0x02;
pub const COM_QUERY: u8 = 0x03;
pub const COM_PING: u8 = 0x0e;
pub const COM_RESET_CONNECTION: u8 = 0x1f;

/// Protocol 4.1, long password, transactions, secure connection, plugin authentication.
const CAPABILITIES: u32 = 0x0008_a201;

/// Packets on a connection.
pub struct Packets {
    pub stream: TcpStream,
    pub sequence: u8,
}

impl Packets {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, sequence: 0 }
    }

    pub fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut header = [0; 4];
        self.stream.read_exact(&mut header)?;
        self.sequence = header[3].wrapping_add(1);
        let mut payload = vec![0; u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize];
        self.stream.read_exact(&mut payload)?;
        Ok(payload)
    }

    pub fn write(&mut self, payload: &[u8]) -> io::Result<()> {
        let length = (payload.len() as u32).to_le_bytes();
        let mut packet = vec![length[0], length[1], length[2], self.sequence];
        packet.extend_from_slice(payload);
        self.sequence = self.sequence.wrapping_add(1);
        self.stream.write_all(&packet)
    }
}

fn put_length(out: &mut Vec<u8>, value: u64) {
    match value {
        0..=250 => out.push(value as u8),
        251..=0xffff => {
            out.push(0xfc);
            out.extend_from_slice(&(value as u16).to_le_bytes());
        }
        _ => {
            out.push(0xfe);
            out.extend_from_slice(&value.to_le_bytes());
        }
    }
}

fn get_length(bytes: &[u8]) -> (usize, u64) {
    match bytes[0] {
        0xfc => (3, u64::from(u16::from_le_bytes([bytes[1], bytes[2]]))),
        0xfd => (4, u64::from(u32::from_le_bytes([bytes[1], bytes[2], bytes[3], 0]))),
        0xfe => (9, u64::from_le_bytes(bytes[1..9].try_into().expect("eight bytes"))),
        value => (1, u64::from(value)),
    }
}

fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    put_length(out, text.len() as u64);
    out.extend_from_slice(text);
}

/// Greets a client and lets it in, whoever it is.
pub fn accept_login(packets: &mut Packets, number: u32) -> io::Result<()> {
    let mut greeting = vec![10];
    greeting.extend_from_slice(b"8.0.36\0");
    greeting.extend_from_slice(&number.to_le_bytes());
    greeting.extend_from_slice(b"12345678\0");
    greeting.extend_from_slice(&(CAPABILITIES as u16).to_le_bytes());
    greeting.push(45);
    greeting.extend_from_slice(&2u16.to_le_bytes());
    greeting.extend_from_slice(&((CAPABILITIES >> 16) as u16).to_le_bytes());
    greeting.push(21);
    greeting.extend_from_slice(&[0; 10]);
    greeting.extend_from_slice(b"901234567890\0");
    greeting.extend_from_slice(b"mysql_native_password\0");
    packets.sequence = 0;
    packets.write(&greeting)?;
    packets.read()?;
    packets.write(&ok(0, 0, false))
}

/// An OK packet.
pub fn ok(affected: u64, insert_id: u64, in_transaction: bool) -> Vec<u8> {
    let mut out = vec![0];
    put_length(&mut out, affected);
    put_length(&mut out, insert_id);
    out.extend_from_slice(&status(in_transaction));
    out.extend_from_slice(&[0, 0]);
    out
}

fn status(in_transaction: bool) -> [u8; 2] {
    (2 | u16::from(in_transaction)).to_le_bytes()
}

pub fn error(code: u16, state: &str, text: &str) -> Vec<u8> {
    let mut out = vec![0xff];
    out.extend_from_slice(&code.to_le_bytes());
    out.extend_from_slice(format!("#{state}{text}").as_bytes());
    out
}

/// Writes a result of one column and one row.
pub fn write_value(packets: &mut Packets, name: &str, value: &str, in_transaction: bool) -> io::Result<()> {
    packets.write(&[1])?;
    let mut column = Vec::new();
    put_text(&mut column, b"def");
    for text in ["", "", ""] {
        put_text(&mut column, text.as_bytes());
    }
    put_text(&mut column, name.as_bytes());
    put_text(&mut column, b"");
    column.extend_from_slice(&[0x0c, 45, 0, 0xff, 0, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
    packets.write(&column)?;
    let mut end = vec![0xfe, 0, 0];
    end.extend_from_slice(&status(in_transaction));
    packets.write(&end)?;
    let mut row = Vec::new();
    put_text(&mut row, value.as_bytes());
    packets.write(&row)?;
    packets.write(&end)
}

/// What a client gets.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Ok { affected: u64, insert_id: u64 },
    Value(String),
    Error { code: u16, state: String, text: String },
}

/// A client that is logged in.
pub struct Session {
    packets: Packets,
}

impl Session {
    pub fn connect(address: SocketAddr, user: &str, password: &str) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut packets = Packets::new(stream);
        let greeting = packets.read()?;
        let version_end = 1 + greeting[1..].iter().position(|byte| *byte == 0).unwrap_or(0);
        let nonce_at = version_end + 1 + 4;
        let mut nonce = greeting[nonce_at..nonce_at + 8].to_vec();
        let rest = nonce_at + 8 + 1 + 2 + 1 + 2 + 2 + 1 + 10;
        nonce.extend_from_slice(&greeting[rest..rest + 12]);
        let mut login = Vec::new();
        login.extend_from_slice(&CAPABILITIES.to_le_bytes());
        login.extend_from_slice(&(1u32 << 24).to_le_bytes());
        login.push(45);
        login.extend_from_slice(&[0; 23]);
        login.extend_from_slice(user.as_bytes());
        login.push(0);
        let scrambled = scramble(password, &nonce);
        login.push(scrambled.len() as u8);
        login.extend_from_slice(&scrambled);
        login.extend_from_slice(b"mysql_native_password\0");
        packets.write(&login)?;
        loop {
            let packet = packets.read()?;
            match packet.first() {
                Some(0) => return Ok(Self { packets }),
                Some(0xfe) => {
                    // The method, and a nonce of its own.
                    let end = packet.iter().position(|byte| *byte == 0).unwrap_or(packet.len() - 1);
                    let nonce: Vec<u8> = packet[end + 1..].iter().copied().take(20).collect();
                    packets.write(&scramble(password, &nonce))?;
                }
                _ => return Err(io::Error::other(format!("login: {packet:?}"))),
            }
        }
    }

    /// Sends a text statement and reads its answer.
    pub fn query(&mut self, text: &str) -> io::Result<Answer> {
        self.packets.sequence = 0;
        self.packets.write(&[&[COM_QUERY], text.as_bytes()].concat())?;
        let first = self.packets.read()?;
        match first[0] {
            0 => {
                let (width, affected) = get_length(&first[1..]);
                let (_, insert_id) = get_length(&first[1 + width..]);
                Ok(Answer::Ok { affected, insert_id })
            }
            0xff => Ok(parse_error(&first)),
            _ => {
                let is_end = |packet: &[u8]| packet[0] == 0xfe && packet.len() < 9;
                while !is_end(&self.packets.read()?) {}
                let mut value = String::new();
                loop {
                    let packet = self.packets.read()?;
                    if packet[0] == 0xff {
                        return Ok(parse_error(&packet));
                    }
                    if is_end(&packet) {
                        return Ok(Answer::Value(value));
                    }
                    let (width, length) = get_length(&packet);
                    value = String::from_utf8_lossy(&packet[width..width + length as usize]).into_owned();
                }
            }
        }
    }
}

fn parse_error(packet: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(&packet[3..]).into_owned();
    let (state, text) = match text.strip_prefix('#') {
        Some(rest) => (rest[..5].to_string(), rest[5..].to_string()),
        None => ("HY000".to_string(), text),
    };
    Answer::Error { code: u16::from_le_bytes([packet[1], packet[2]]), state, text }
}

/// The answer of `mysql_native_password`: SHA1(password) XOR SHA1(nonce, SHA1(SHA1(password))).
fn scramble(password: &str, nonce: &[u8]) -> Vec<u8> {
    let once = sha1(password.as_bytes());
    let twice = sha1(&once);
    let mask = sha1(&[&nonce[..nonce.len().min(20)], &twice].concat());
    once.iter().zip(mask).map(|(a, b)| a ^ b).collect()
}

fn sha1(message: &[u8]) -> [u8; 20] {
    let mut state = [0x6745_2301u32, 0xefcd_ab89, 0x98ba_dcfe, 0x1032_5476, 0xc3d2_e1f0];
    let mut padded = message.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend_from_slice(&(8 * message.len() as u64).to_be_bytes());
    for block in padded.chunks(64) {
        let mut words = [0u32; 80];
        for (i, word) in block.chunks(4).enumerate() {
            words[i] = u32::from_be_bytes([word[0], word[1], word[2], word[3]]);
        }
        for i in 16..80 {
            words[i] = (words[i - 3] ^ words[i - 8] ^ words[i - 14] ^ words[i - 16]).rotate_left(1);
        }
        let [mut a, mut b, mut c, mut d, mut e] = state;
        for (i, word) in words.iter().enumerate() {
            let (f, k) = match i {
                0..=19 => ((b & c) | (!b & d), 0x5a82_7999),
                20..=39 => (b ^ c ^ d, 0x6ed9_eba1),
                40..=59 => ((b & c) | (b & d) | (c & d), 0x8f1b_bcdc),
                _ => (b ^ c ^ d, 0xca62_c1d6u32),
            };
            let next = a.rotate_left(5).wrapping_add(f).wrapping_add(e).wrapping_add(k).wrapping_add(*word);
            (e, d, c, b, a) = (d, c, b.rotate_left(30), a, next);
        }
        for (total, value) in state.iter_mut().zip([a, b, c, d, e]) {
            *total = total.wrapping_add(value);
        }
    }
    let mut out = [0; 20];
    for (bytes, word) in out.chunks_mut(4).zip(state) {
        bytes.copy_from_slice(&word.to_be_bytes());
    }
    out
}

pub const COM_STMT_PREPARE: u8 = 0x16;
pub const COM_STMT_EXECUTE: u8 = 0x17;
pub const COM_STMT_CLOSE: u8 = 0x19;

/// The answer to a PREPARE of a statement without parameters and without a result.
pub fn prepare_ok(statement: u32) -> Vec<u8> {
    let mut out = vec![0];
    out.extend_from_slice(&statement.to_le_bytes());
    out.extend_from_slice(&[0; 7]);
    out
}

impl Session {
    /// Prepares a statement without parameters. Returns its number.
    pub fn prepare(&mut self, text: &str) -> io::Result<u32> {
        self.packets.sequence = 0;
        self.packets.write(&[&[COM_STMT_PREPARE], text.as_bytes()].concat())?;
        let answer = self.packets.read()?;
        match answer.get(..5) {
            Some([0, a, b, c, d]) => Ok(u32::from_le_bytes([*a, *b, *c, *d])),
            _ => Err(io::Error::other(format!("{:?}", parse_error(&answer)))),
        }
    }

    /// Executes a statement without parameters and without a result.
    pub fn execute(&mut self, statement: u32) -> io::Result<Answer> {
        self.packets.sequence = 0;
        let mut command = vec![COM_STMT_EXECUTE];
        command.extend_from_slice(&statement.to_le_bytes());
        command.extend_from_slice(&[0, 1, 0, 0, 0]);
        self.packets.write(&command)?;
        let first = self.packets.read()?;
        match first[0] {
            0 => {
                let (width, affected) = get_length(&first[1..]);
                let (_, insert_id) = get_length(&first[1 + width..]);
                Ok(Answer::Ok { affected, insert_id })
            }
            _ => Ok(parse_error(&first)),
        }
    }
}
