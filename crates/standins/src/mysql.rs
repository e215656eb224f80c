//! A stand-in for a MySQL server: logins by `mysql_native_password`, text commands that a script answers, and
//! failures on demand. Written from the public protocol pages and apart from `crates/mysql`, so that a mistake
//! there is not made here as well.

use crate::wait_for;
use sha1::{Digest, Sha1};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Statements that are remembered; later ones are only answered.
const MOST_REMEMBERED: usize = 200_000;
/// All that is offered to who logs in: 4.1, secure logins, transactions, named methods, several results, a
/// database with the login, and OK for the end of rows.
const CAPABILITIES: u32 = 0x013a_a30f;
const DEPRECATE_EOF: u32 = 1 << 24;
const CONNECT_WITH_DB: u32 = 8;
const NONCE: [u8; 20] = *b"a nonce of 20 bytes!";

/// What a statement finds.
#[derive(Clone, Debug)]
pub struct ReceivedStatement {
    /// The number of its connection.
    pub connection: u32,
    /// The database that this is in.
    pub database: Option<String>,
    /// Its text.
    pub text: String,
    /// A transaction is open.
    pub in_transaction: bool,
    /// What SET has set on this connection.
    pub variables: HashMap<String, String>,
}

/// What a statement is answered with.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Rows that were changed, and the id that was generated.
    Ok(u64, u64),
    /// An error.
    Error(u16, &'static str, String),
    /// Rows of text.
    Rows(Vec<&'static str>, Vec<Vec<Option<String>>>),
    /// The answer, after so long.
    Delayed(Duration, Box<Reply>),
    /// The first bytes of the answer, and the end of the connection.
    Truncated(usize, Box<Reply>),
    /// The first bytes of the answer, and silence.
    Stalled(usize, Box<Reply>),
}

type Script = dyn Fn(&ReceivedStatement) -> Reply + Send + Sync;

struct Shared {
    alive: AtomicBool,
    refusing: AtomicBool,
    password: Mutex<String>,
    script: Box<Script>,
    statements: Mutex<Vec<ReceivedStatement>>,
    connections: Mutex<HashMap<u32, TcpStream>>,
    numbers: AtomicU32,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A server. It ends when it is dropped.
pub struct MySqlServer {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl MySqlServer {
    /// One that lets in whoever has this password, and answers as the script says. BEGIN, COMMIT, ROLLBACK and
    /// SET it does by itself, and asks the script then what to say.
    pub fn start(
        password: &str,
        script: impl Fn(&ReceivedStatement) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            alive: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            password: Mutex::new(password.into()),
            script: Box::new(script),
            statements: Mutex::default(),
            connections: Mutex::default(),
            numbers: AtomicU32::new(1),
        });
        let server = Self { address, shared };
        server.listen(listener);
        server
    }

    fn listen(&self, listener: TcpListener) {
        self.shared.alive.store(true, Ordering::SeqCst);
        let shared = self.shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if !shared.alive.load(Ordering::SeqCst) {
                    return;
                }
                let number = shared.numbers.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    lock(&shared.connections).insert(number, copy);
                }
                let shared = shared.clone();
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream, number);
                    let _ = connection.serve(&shared); // whatever ends it, the other side sees it end
                    let _ = connection.stream.shutdown(Shutdown::Both);
                    lock(&shared.connections).remove(&number);
                });
            }
        });
    }

    /// From now on newcomers are told that there are too many of them, or no longer.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Dies: its connections break, and new ones are refused.
    pub fn kill(&self) {
        if self.shared.alive.swap(false, Ordering::SeqCst) {
            let _ = TcpStream::connect(self.address); // the listener wakes up, and goes
            self.close_connections();
        }
    }

    /// Its connections break.
    pub fn close_connections(&self) {
        for (_, stream) in lock(&self.shared.connections).drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Comes back at its old address. Panics where that is not free again within [`crate::LONG`].
    pub fn restart(&self) {
        let mut bound = None;
        wait_for("free address", || {
            bound = TcpListener::bind(self.address).ok();
            bound.is_some()
        });
        bound.into_iter().for_each(|listener| self.listen(listener));
    }

    /// Connections that are open now.
    pub fn connection_count(&self) -> usize {
        lock(&self.shared.connections).len()
    }

    /// What has reached it, in order.
    pub fn statements(&self) -> Vec<ReceivedStatement> {
        lock(&self.shared.statements).clone()
    }

    /// How often a text has reached it.
    pub fn count_statements(&self, text: &str) -> usize {
        lock(&self.shared.statements).iter().filter(|asked| asked.text == text).count()
    }
}

impl Drop for MySqlServer {
    fn drop(&mut self) {
        self.kill();
    }
}

fn counted(out: &mut Vec<u8>, part: &[u8]) {
    number(out, part.len() as u64);
    out.extend_from_slice(part);
}

fn number(out: &mut Vec<u8>, value: u64) {
    match value {
        0..=250 => out.push(value as u8),
        251..=0xffff => {
            out.push(0xfc);
            out.extend_from_slice(&(value as u16).to_le_bytes());
        }
        0x1_0000..=0xff_ffff => {
            out.push(0xfd);
            out.extend_from_slice(&value.to_le_bytes()[..3]);
        }
        _ => {
            out.push(0xfe);
            out.extend_from_slice(&value.to_le_bytes());
        }
    }
}

/// A column, or a parameter: charset utf8mb4, a length, VARCHAR, no flags.
fn definition(name: &str) -> Vec<u8> {
    let mut definition = Vec::new();
    for part in ["def", "", "t", "t", name, name] {
        counted(&mut definition, part.as_bytes());
    }
    definition.extend_from_slice(&[0x0c, 45, 0, 0xff, 0, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
    definition
}

/// A number for a statement, which no other has on any connection of any server.
fn shared_number() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(1000);
    NEXT.fetch_add(1, Ordering::SeqCst)
}

fn numbered(rest: &[u8]) -> io::Result<(u32, &[u8])> {
    let (id, rest) = rest.split_first_chunk::<4>().ok_or(bad("short"))?;
    Ok((u32::from_le_bytes(*id), rest))
}

impl Prepared {
    /// The text with its parameters in it: whole numbers as such, all else as text.
    fn bound(&mut self, rest: &[u8]) -> io::Result<String> {
        let count = self.text.matches('?').count();
        if count == 0 {
            return Ok(self.text.clone());
        }
        let short = || bad("short");
        let (nulls, rest) = rest.split_at_checked(count.div_ceil(8)).ok_or(short())?;
        let (bound, mut rest) = rest.split_first().ok_or(short())?;
        if *bound == 1 {
            let (types, after) = rest.split_at_checked(2 * count).ok_or(short())?;
            (self.types, rest) = (types.to_vec(), after);
        }
        let mut text = String::new();
        for (i, part) in self.text.split('?').enumerate() {
            if i > 0 {
                let i = i - 1;
                let kind = *self.types.get(2 * i).ok_or(short())?;
                if let Some(data) = self.ahead.remove(&(i as u16)) {
                    text += &format!("'{}'", String::from_utf8_lossy(&data));
                } else if nulls[i / 8] & 1 << (i % 8) != 0 || kind == 6 {
                    text += "NULL";
                } else {
                    let whole = match kind {
                        1 => 1,
                        2 => 2,
                        3 => 4,
                        8 => 8,
                        _ => 0,
                    };
                    if whole > 0 {
                        let (number, after) = rest.split_at_checked(whole).ok_or(short())?;
                        text +=
                            &number.iter().rev().fold(0u64, |sum, b| sum << 8 | u64::from(*b)).to_string();
                        rest = after;
                    } else {
                        let length = usize::from(*rest.first().ok_or(short())?);
                        let value = rest.get(1..1 + length).filter(|_| length < 251).ok_or(short())?;
                        text += &format!("'{}'", String::from_utf8_lossy(value));
                        rest = &rest[1 + length..];
                    }
                }
            }
            text += part;
        }
        Ok(text)
    }
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

struct Connection {
    stream: TcpStream,
    number: u32,
    sequence: u8,
    capabilities: u32,
    database: Option<String>,
    in_transaction: bool,
    variables: HashMap<String, String>,
    /// Prepared statements, their parameters' types, and what was sent ahead.
    prepared: HashMap<u32, Prepared>,
}

#[derive(Default)]
struct Prepared {
    text: String,
    types: Vec<u8>,
    ahead: HashMap<u16, Vec<u8>>,
}

impl Connection {
    fn new(stream: TcpStream, number: u32) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            number,
            sequence: 0,
            capabilities: 0,
            database: None,
            in_transaction: false,
            variables: HashMap::new(),
            prepared: HashMap::new(),
        }
    }

    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut whole = Vec::new();
        loop {
            let mut head = [0; 4];
            self.stream.read_exact(&mut head)?;
            let length = usize::from(head[0]) | usize::from(head[1]) << 8 | usize::from(head[2]) << 16;
            if head[3] != self.sequence {
                return Err(bad("a packet out of order"));
            }
            self.sequence = self.sequence.wrapping_add(1);
            let at = whole.len();
            whole.resize(at + length, 0);
            self.stream.read_exact(&mut whole[at..])?;
            if length < 0xff_ffff {
                return Ok(whole);
            }
        }
    }

    fn frame(&mut self, out: &mut Vec<u8>, payload: &[u8]) {
        let mut rest = payload;
        loop {
            let (part, after) = rest.split_at(rest.len().min(0xff_ffff));
            out.extend_from_slice(&(part.len() as u32).to_le_bytes()[..3]);
            out.push(self.sequence);
            out.extend_from_slice(part);
            self.sequence = self.sequence.wrapping_add(1);
            if part.len() < 0xff_ffff {
                return;
            }
            rest = after;
        }
    }

    fn say(&mut self, payload: &[u8]) -> io::Result<()> {
        let mut out = Vec::new();
        self.frame(&mut out, payload);
        self.stream.write_all(&out)
    }

    fn status(&self) -> u16 {
        2 | u16::from(self.in_transaction)
    }

    fn ok(&self, mark: u8, rows: u64, id: u64) -> Vec<u8> {
        let mut out = vec![mark];
        number(&mut out, rows);
        number(&mut out, id);
        out.extend_from_slice(&self.status().to_le_bytes());
        out.extend_from_slice(&[0, 0]);
        out
    }

    fn error(number: u16, state: &str, text: &str) -> Vec<u8> {
        [&[0xff][..], &number.to_le_bytes(), b"#", state.as_bytes(), text.as_bytes()].concat()
    }

    fn login(&mut self, shared: &Shared) -> io::Result<bool> {
        if shared.refusing.load(Ordering::SeqCst) {
            self.say(&Self::error(1040, "08004", "Too many connections"))?;
            return Ok(false);
        }
        let mut greeting = vec![10];
        greeting.extend_from_slice(b"8.0.40-standin\0");
        greeting.extend_from_slice(&self.number.to_le_bytes());
        greeting.extend_from_slice(&NONCE[..8]);
        greeting.push(0);
        greeting.extend_from_slice(&(CAPABILITIES as u16).to_le_bytes());
        greeting.push(45);
        greeting.extend_from_slice(&2u16.to_le_bytes());
        greeting.extend_from_slice(&((CAPABILITIES >> 16) as u16).to_le_bytes());
        greeting.push(21);
        greeting.extend_from_slice(&[0; 10]);
        greeting.extend_from_slice(&NONCE[8..]);
        greeting.push(0);
        greeting.extend_from_slice(b"mysql_native_password\0");
        self.say(&greeting)?;
        let said = self.read()?;
        self.capabilities =
            u32::from_le_bytes(said.get(..4).and_then(|b| b.try_into().ok()).ok_or(bad("short"))?);
        let mut rest = said.get(32..).ok_or(bad("short"))?.iter().copied();
        let _user: Vec<u8> = rest.by_ref().take_while(|b| *b != 0).collect();
        let length = usize::from(rest.next().ok_or(bad("no proof"))?);
        let proof: Vec<u8> = rest.by_ref().take(length).collect();
        if self.capabilities & CONNECT_WITH_DB != 0 {
            let name: Vec<u8> = rest.by_ref().take_while(|b| *b != 0).collect();
            self.database = Some(String::from_utf8_lossy(&name).into_owned()).filter(|name| !name.is_empty());
        }
        let password = lock(&shared.password).clone();
        let once = Sha1::digest(password.as_bytes());
        let mask = Sha1::new().chain_update(NONCE).chain_update(Sha1::digest(once)).finalize();
        let expected: Vec<u8> = once.iter().zip(mask).map(|(a, b)| a ^ b).collect();
        let right = if password.is_empty() { proof.is_empty() } else { proof == expected };
        match right {
            true => self.say(&self.ok(0, 0, 0))?,
            false => self.say(&Self::error(1045, "28000", "Access denied"))?,
        }
        Ok(right)
    }

    fn serve(&mut self, shared: &Shared) -> io::Result<()> {
        if !self.login(shared)? {
            return Ok(());
        }
        loop {
            self.sequence = 0;
            let command = self.read()?;
            let (code, rest) = command.split_first().ok_or(bad("an empty command"))?;
            let text = String::from_utf8_lossy(rest).into_owned();
            match code {
                0x01 => return Ok(()),
                0x02 if text == "nowhere" => self.say(&Self::error(1049, "42000", "Unknown database"))?,
                0x02 => {
                    self.database = Some(text);
                    self.say(&self.ok(0, 0, 0))?;
                }
                0x03 => self.statement(shared, text)?,
                0x09 => self.say(b"Uptime: 7")?,
                0x0e => self.say(&self.ok(0, 0, 0))?,
                0x16 => self.prepare(text)?,
                0x17 => self.execute(shared, rest)?,
                0x18 => {
                    let (id, rest) = numbered(rest)?;
                    let (parameter, data) = rest.split_at_checked(2).ok_or(bad("short"))?;
                    let parameter = u16::from_le_bytes([parameter[0], parameter[1]]);
                    let prepared = self.prepared.get_mut(&id).ok_or(bad("no such statement"))?;
                    prepared.ahead.entry(parameter).or_default().extend_from_slice(data);
                }
                0x19 => drop(self.prepared.remove(&numbered(rest)?.0)),
                0x1f => {
                    (self.in_transaction, self.variables) = (false, HashMap::new());
                    self.prepared.clear();
                    self.say(&self.ok(0, 0, 0))?;
                }
                _ => self.say(&Self::error(1047, "08S01", "Unknown command"))?,
            }
        }
    }

    fn prepare(&mut self, text: String) -> io::Result<()> {
        if text.to_ascii_lowercase().contains("wrong") {
            return self.say(&Self::error(1146, "42S02", "Table 'wrong' doesn't exist"));
        }
        let id = shared_number();
        let parameters = text.matches('?').count() as u16;
        self.prepared.insert(id, Prepared { text, ..Prepared::default() });
        let mut out = Vec::new();
        let head = [&[0][..], &id.to_le_bytes(), &[0, 0], &parameters.to_le_bytes(), &[0, 0, 0]].concat();
        self.frame(&mut out, &head);
        let eof = [&[0xfe, 0, 0][..], &self.status().to_le_bytes()].concat();
        for _ in 0..parameters {
            let definition = definition("?");
            self.frame(&mut out, &definition);
        }
        if parameters > 0 && self.capabilities & DEPRECATE_EOF == 0 {
            self.frame(&mut out, &eof);
        }
        self.stream.write_all(&out)
    }

    /// Executes a statement with its parameters written into its text, and answers in binary rows.
    fn execute(&mut self, shared: &Shared, rest: &[u8]) -> io::Result<()> {
        let (id, rest) = numbered(rest)?;
        let Some(prepared) = self.prepared.get_mut(&id) else {
            return self.say(&Self::error(1243, "HY000", "Unknown prepared statement handler"));
        };
        let text = prepared.bound(rest.get(5..).ok_or(bad("short"))?)?;
        self.run(shared, text, true)
    }

    fn statement(&mut self, shared: &Shared, text: String) -> io::Result<()> {
        self.run(shared, text, false)
    }

    fn run(&mut self, shared: &Shared, text: String, binary: bool) -> io::Result<()> {
        let upper = text.to_ascii_uppercase();
        match upper.as_str() {
            "BEGIN" | "START TRANSACTION" => self.in_transaction = true,
            "COMMIT" | "ROLLBACK" => self.in_transaction = false,
            _ => {}
        }
        if let Some((name, value)) = upper.strip_prefix("SET ").and_then(|set| set.split_once('=')) {
            self.variables.insert(name.trim().to_string(), value.trim().to_string());
        }
        if let Some(name) = upper.strip_prefix("USE ") {
            self.database = Some(name.to_ascii_lowercase());
        }
        let asked = ReceivedStatement {
            connection: self.number,
            database: self.database.clone(),
            text,
            in_transaction: self.in_transaction,
            variables: self.variables.clone(),
        };
        {
            let mut statements = lock(&shared.statements);
            if statements.len() < MOST_REMEMBERED {
                statements.push(asked.clone());
            }
        }
        let mut reply = (shared.script)(&asked);
        loop {
            match reply {
                Reply::Delayed(time, then) => {
                    std::thread::sleep(time);
                    reply = *then;
                }
                Reply::Truncated(bytes, then) => {
                    let whole = self.worded(&then, binary);
                    self.stream.write_all(&whole[..bytes.min(whole.len())])?;
                    return Err(bad("cut"));
                }
                Reply::Stalled(bytes, then) => {
                    let whole = self.worded(&then, binary);
                    self.stream.write_all(&whole[..bytes.min(whole.len())])?;
                    return self.read().map(drop); // until the other side has enough of it
                }
                whole => {
                    let whole = self.worded(&whole, binary);
                    return self.stream.write_all(&whole);
                }
            }
        }
    }

    /// An answer in frames.
    fn worded(&mut self, reply: &Reply, binary: bool) -> Vec<u8> {
        let mut out = Vec::new();
        match reply {
            Reply::Ok(rows, id) => {
                let ok = self.ok(0, *rows, *id);
                self.frame(&mut out, &ok);
            }
            Reply::Error(number, state, text) => self.frame(&mut out, &Self::error(*number, state, text)),
            Reply::Rows(columns, rows) => {
                let mut count = Vec::new();
                number(&mut count, columns.len() as u64);
                self.frame(&mut out, &count);
                for column in columns {
                    let definition = definition(column);
                    self.frame(&mut out, &definition);
                }
                let eof = [&[0xfe, 0, 0][..], &self.status().to_le_bytes()].concat();
                let new = self.capabilities & DEPRECATE_EOF != 0;
                if !new {
                    self.frame(&mut out, &eof);
                }
                for row in rows {
                    let mut packet = Vec::new();
                    if binary {
                        // The nulls' bits begin at the third.
                        let mut nulls = vec![0; (row.len() + 9) / 8];
                        for (i, _) in row.iter().enumerate().filter(|(_, value)| value.is_none()) {
                            nulls[(i + 2) / 8] |= 1 << ((i + 2) % 8);
                        }
                        packet.push(0);
                        packet.extend_from_slice(&nulls);
                    }
                    for value in row {
                        match value {
                            Some(text) => counted(&mut packet, text.as_bytes()),
                            None if binary => {}
                            None => packet.push(0xfb),
                        }
                    }
                    self.frame(&mut out, &packet);
                }
                let end = if new { self.ok(0xfe, 0, 0) } else { eof };
                self.frame(&mut out, &end);
            }
            Reply::Delayed(_, then) | Reply::Truncated(_, then) | Reply::Stalled(_, then) => {
                return self.worded(then, binary);
            }
        }
        out
    }
}
