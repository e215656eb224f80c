//! A mock MySQL server with `mysql_native_password` logins, scripted responses to statements, and failures on demand.
//! It is written from the public protocol documentation and independent of `crates/mysql`, so that it does not repeat
//! errors of that code.

use crate::wait_for;
use sha1::{Digest, Sha1};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum number of recorded statements; later ones are only answered.
const MAX_RECORDED_STATEMENTS: usize = 200_000;
/// Capabilities offered to clients: protocol 4.1, secure connection, transactions, plugin authentication, multiple
/// results, database at login and deprecated EOF.
const CAPABILITIES: u32 = 0x013a_a30f;
const DEPRECATE_EOF: u32 = 1 << 24;
const CONNECT_WITH_DB: u32 = 8;
/// Error number of a deadlock, which rolls the whole transaction back.
const ER_LOCK_DEADLOCK: u16 = 1213;
/// The default collation of the server, which a reset of a connection selects.
const DEFAULT_COLLATION: u8 = 8;
/// Variable whose value parsers depend on.
const SQL_MODE: &str = "SQL_MODE";
/// Start of a SET of the character set by the id of a collation, which is not recorded as a statement.
const SET_CHARACTER_SET: &str = "SET @@session.character_set_client=";
const NONCE: [u8; 20] = *b"a nonce of 20 bytes!";

/// A statement as received.
#[derive(Clone, Debug)]
pub struct ReceivedStatement {
    /// Number of its connection.
    pub connection: u32,
    /// Current database of the connection; that of its PREPARE for a prepared statement.
    pub database: Option<String>,
    /// Collation of the connection at that time.
    pub collation: u8,
    /// SQL mode that SET has selected, at that time.
    pub sql_mode: Option<String>,
    /// Text of the statement.
    pub text: String,
    /// Whether a transaction is open.
    pub in_transaction: bool,
    /// Variables set on the connection by SET.
    pub variables: HashMap<String, String>,
}

/// Response to a statement.
#[derive(Clone, Debug)]
pub enum Reply {
    /// OK packet with the number of affected rows and the generated id.
    Ok(u64, u64),
    /// Error with its number, SQL state and text.
    Error(u16, &'static str, String),
    /// Columns and rows of text.
    Rows(Vec<&'static str>, Vec<Vec<Option<String>>>),
    /// The response after a delay.
    Delayed(Duration, Box<Reply>),
    /// The first bytes of the response, then the connection closes.
    Truncated(usize, Box<Reply>),
    /// The first bytes of the response, then nothing more.
    Stalled(usize, Box<Reply>),
}

type Script = dyn Fn(&ReceivedStatement) -> Reply + Send + Sync;

struct Shared {
    is_running: AtomicBool,
    is_refusing: AtomicBool,
    is_stalling_prepare: AtomicBool,
    password: Mutex<String>,
    script: Box<Script>,
    statements: Mutex<Vec<ReceivedStatement>>,
    connections: Mutex<HashMap<u32, TcpStream>>,
    next_number: AtomicU32,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A mock server; it stops when dropped.
pub struct MySqlServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl MySqlServer {
    /// Starts a server that accepts logins with this password and answers statements by the script. It applies BEGIN,
    /// COMMIT, ROLLBACK, SET, USE and the implicit commits of CREATE, ALTER and DROP to the connection, and then calls
    /// the script for the response. A deadlock in the response ends the transaction.
    pub fn start(
        password: &str,
        script: impl Fn(&ReceivedStatement) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the address of a bound socket");
        let shared = Arc::new(Shared {
            is_running: AtomicBool::new(false),
            is_refusing: AtomicBool::new(false),
            is_stalling_prepare: AtomicBool::new(false),
            password: Mutex::new(password.into()),
            script: Box::new(script),
            statements: Mutex::default(),
            connections: Mutex::default(),
            next_number: AtomicU32::new(1),
        });
        let server = Self { address, shared };
        server.listen(listener);
        server
    }

    fn listen(&self, listener: TcpListener) {
        self.shared.is_running.store(true, Ordering::SeqCst);
        let shared = self.shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if !shared.is_running.load(Ordering::SeqCst) {
                    return;
                }
                let number = shared.next_number.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    lock(&shared.connections).insert(number, copy);
                }
                let shared = shared.clone();
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream, number);
                    let _ = connection.serve(&shared); // the peer sees the connection end
                    let _ = connection.stream.shutdown(Shutdown::Both);
                    lock(&shared.connections).remove(&number);
                });
            }
        });
    }

    /// Sets whether new connections are refused with "Too many connections".
    pub fn set_refusing(&self, is_refusing: bool) {
        self.shared.is_refusing.store(is_refusing, Ordering::SeqCst);
    }

    /// Sets whether COM_STMT_PREPARE gets no response.
    pub fn set_stalling_prepare(&self, is_stalling: bool) {
        self.shared.is_stalling_prepare.store(is_stalling, Ordering::SeqCst);
    }

    /// Stops: connections break, and new ones are refused.
    pub fn kill(&self) {
        if self.shared.is_running.swap(false, Ordering::SeqCst) {
            let _ = TcpStream::connect(self.address); // wakes the listener so that it stops
            self.close_connections();
        }
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        for (_, stream) in lock(&self.shared.connections).drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Restarts at the same address. Panics if the address is not free within [`crate::WAIT_TIMEOUT`].
    pub fn restart(&self) {
        let mut bound = None;
        wait_for("a free address", || {
            bound = TcpListener::bind(self.address).ok();
            bound.is_some()
        });
        bound.into_iter().for_each(|listener| self.listen(listener));
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        lock(&self.shared.connections).len()
    }

    /// Returns the recorded statements in order.
    pub fn statements(&self) -> Vec<ReceivedStatement> {
        lock(&self.shared.statements).clone()
    }

    /// Returns how often a statement was received.
    pub fn count_statements(&self, text: &str) -> usize {
        lock(&self.shared.statements).iter().filter(|statement| statement.text == text).count()
    }
}

impl Drop for MySqlServer {
    fn drop(&mut self) {
        self.kill();
    }
}

fn write_length_encoded(out: &mut Vec<u8>, part: &[u8]) {
    write_integer(out, part.len() as u64);
    out.extend_from_slice(part);
}

fn write_integer(out: &mut Vec<u8>, value: u64) {
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

/// Formats the definition of a column or parameter: character set utf8mb4, type VARCHAR, no flags.
fn format_definition(name: &str) -> Vec<u8> {
    let mut definition = Vec::new();
    for part in ["def", "", "t", "t", name, name] {
        write_length_encoded(&mut definition, part.as_bytes());
    }
    definition.extend_from_slice(&[0x0c, 45, 0, 0xff, 0, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
    definition
}

/// Returns a statement id that is unique across all connections and servers.
fn next_statement_id() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(1000);
    NEXT.fetch_add(1, Ordering::SeqCst)
}

fn split_statement_id(rest: &[u8]) -> io::Result<(u32, &[u8])> {
    let (id, rest) = rest.split_first_chunk::<4>().ok_or(invalid_data("the packet is too short"))?;
    Ok((u32::from_le_bytes(*id), rest))
}

impl Prepared {
    /// Returns the text with its parameters inserted: integers as numbers, all others as quoted text.
    fn bind_parameters(&mut self, rest: &[u8]) -> io::Result<String> {
        let count = self.text.matches('?').count();
        if count == 0 {
            return Ok(self.text.clone());
        }
        let too_short = || invalid_data("the packet is too short");
        let (nulls, rest) = rest.split_at_checked(count.div_ceil(8)).ok_or(too_short())?;
        let (has_types, mut rest) = rest.split_first().ok_or(too_short())?;
        if *has_types == 1 {
            let (types, after) = rest.split_at_checked(2 * count).ok_or(too_short())?;
            (self.types, rest) = (types.to_vec(), after);
        }
        let mut text = String::new();
        for (i, part) in self.text.split('?').enumerate() {
            if i > 0 {
                let i = i - 1;
                let parameter_type = *self.types.get(2 * i).ok_or(too_short())?;
                if let Some(data) = self.long_data.remove(&(i as u16)) {
                    text += &format!("'{}'", String::from_utf8_lossy(&data));
                } else if nulls[i / 8] & 1 << (i % 8) != 0 || parameter_type == 6 {
                    text += "NULL";
                } else {
                    let integer_bytes = match parameter_type {
                        1 => 1,
                        2 => 2,
                        3 => 4,
                        8 => 8,
                        _ => 0,
                    };
                    if integer_bytes > 0 {
                        let (number, after) = rest.split_at_checked(integer_bytes).ok_or(too_short())?;
                        text +=
                            &number.iter().rev().fold(0u64, |sum, b| sum << 8 | u64::from(*b)).to_string();
                        rest = after;
                    } else {
                        let length = usize::from(*rest.first().ok_or(too_short())?);
                        let value = rest.get(1..1 + length).filter(|_| length < 251).ok_or(too_short())?;
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

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

struct Connection {
    stream: TcpStream,
    number: u32,
    sequence: u8,
    capabilities: u32,
    database: Option<String>,
    collation: u8,
    in_transaction: bool,
    variables: HashMap<String, String>,
    /// Prepared statements, by id.
    prepared: HashMap<u32, Prepared>,
}

/// What a server keeps of the connection at the PREPARE of a statement.
#[derive(Clone, Default)]
struct Environment {
    database: Option<String>,
    collation: u8,
    sql_mode: Option<String>,
}

#[derive(Default)]
struct Prepared {
    text: String,
    environment: Environment,
    types: Vec<u8>,
    long_data: HashMap<u16, Vec<u8>>,
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
            collation: DEFAULT_COLLATION,
            in_transaction: false,
            variables: HashMap::new(),
            prepared: HashMap::new(),
        }
    }

    fn read_packet(&mut self) -> io::Result<Vec<u8>> {
        let mut packet_bytes = Vec::new();
        loop {
            let mut head = [0; 4];
            self.stream.read_exact(&mut head)?;
            let length = usize::from(head[0]) | usize::from(head[1]) << 8 | usize::from(head[2]) << 16;
            if head[3] != self.sequence {
                return Err(invalid_data("the packet is out of order"));
            }
            self.sequence = self.sequence.wrapping_add(1);
            let at = packet_bytes.len();
            packet_bytes.resize(at + length, 0);
            self.stream.read_exact(&mut packet_bytes[at..])?;
            if length < 0xff_ffff {
                return Ok(packet_bytes);
            }
        }
    }

    fn write_packet(&mut self, out: &mut Vec<u8>, payload: &[u8]) {
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

    fn send_packet(&mut self, payload: &[u8]) -> io::Result<()> {
        let mut out = Vec::new();
        self.write_packet(&mut out, payload);
        self.stream.write_all(&out)
    }

    fn status(&self) -> u16 {
        2 | u16::from(self.in_transaction)
    }

    fn format_ok(&self, header: u8, rows: u64, id: u64) -> Vec<u8> {
        let mut out = vec![header];
        write_integer(&mut out, rows);
        write_integer(&mut out, id);
        out.extend_from_slice(&self.status().to_le_bytes());
        out.extend_from_slice(&[0, 0]);
        out
    }

    fn format_error(number: u16, state: &str, text: &str) -> Vec<u8> {
        [&[0xff][..], &number.to_le_bytes(), b"#", state.as_bytes(), text.as_bytes()].concat()
    }

    fn login(&mut self, shared: &Shared) -> io::Result<bool> {
        if shared.is_refusing.load(Ordering::SeqCst) {
            self.send_packet(&Self::format_error(1040, "08004", "Too many connections"))?;
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
        self.send_packet(&greeting)?;
        let login = self.read_packet()?;
        self.collation = *login.get(8).ok_or(invalid_data("the packet is too short"))?;
        self.capabilities = u32::from_le_bytes(
            login.get(..4).and_then(|b| b.try_into().ok()).ok_or(invalid_data("the packet is too short"))?,
        );
        let mut rest = login.get(32..).ok_or(invalid_data("the packet is too short"))?.iter().copied();
        let _user: Vec<u8> = rest.by_ref().take_while(|b| *b != 0).collect();
        let length =
            usize::from(rest.next().ok_or(invalid_data("the login has no authentication response"))?);
        let authentication: Vec<u8> = rest.by_ref().take(length).collect();
        if self.capabilities & CONNECT_WITH_DB != 0 {
            let name: Vec<u8> = rest.by_ref().take_while(|b| *b != 0).collect();
            self.database = Some(String::from_utf8_lossy(&name).into_owned()).filter(|name| !name.is_empty());
        }
        let password = lock(&shared.password).clone();
        let password_hash = Sha1::digest(password.as_bytes());
        let mask = Sha1::new().chain_update(NONCE).chain_update(Sha1::digest(password_hash)).finalize();
        let expected: Vec<u8> = password_hash.iter().zip(mask).map(|(a, b)| a ^ b).collect();
        let is_accepted =
            if password.is_empty() { authentication.is_empty() } else { authentication == expected };
        match is_accepted {
            true => self.send_packet(&self.format_ok(0, 0, 0))?,
            false => self.send_packet(&Self::format_error(1045, "28000", "Access denied"))?,
        }
        Ok(is_accepted)
    }

    fn serve(&mut self, shared: &Shared) -> io::Result<()> {
        if !self.login(shared)? {
            return Ok(());
        }
        loop {
            self.sequence = 0;
            let command = self.read_packet()?;
            let (code, rest) = command.split_first().ok_or(invalid_data("the command is empty"))?;
            let text = String::from_utf8_lossy(rest).into_owned();
            match code {
                0x01 => return Ok(()),
                0x02 if text == "nowhere" => {
                    self.send_packet(&Self::format_error(1049, "42000", "Unknown database"))?
                }
                0x02 => {
                    self.database = Some(text);
                    self.send_packet(&self.format_ok(0, 0, 0))?;
                }
                0x03 => self.execute_text(shared, text)?,
                0x09 => self.send_packet(b"Uptime: 7")?,
                0x0e => self.send_packet(&self.format_ok(0, 0, 0))?,
                0x16 if shared.is_stalling_prepare.load(Ordering::SeqCst) => {
                    return self.read_packet().map(drop); // until the peer closes the connection
                }
                0x16 => self.prepare(text)?,
                0x17 => self.execute_prepared(shared, rest)?,
                0x18 => {
                    let (id, rest) = split_statement_id(rest)?;
                    let (parameter, data) =
                        rest.split_at_checked(2).ok_or(invalid_data("the packet is too short"))?;
                    let parameter = u16::from_le_bytes([parameter[0], parameter[1]]);
                    let prepared =
                        self.prepared.get_mut(&id).ok_or(invalid_data("the statement does not exist"))?;
                    prepared.long_data.entry(parameter).or_default().extend_from_slice(data);
                }
                0x19 => drop(self.prepared.remove(&split_statement_id(rest)?.0)),
                0x1f => {
                    (self.in_transaction, self.variables) = (false, HashMap::new());
                    self.collation = DEFAULT_COLLATION;
                    self.prepared.clear();
                    self.send_packet(&self.format_ok(0, 0, 0))?;
                }
                _ => self.send_packet(&Self::format_error(1047, "08S01", "Unknown command"))?,
            }
        }
    }

    fn prepare(&mut self, text: String) -> io::Result<()> {
        if text.to_ascii_lowercase().contains("wrong") {
            return self.send_packet(&Self::format_error(1146, "42S02", "Table 'wrong' doesn't exist"));
        }
        let id = next_statement_id();
        let parameters = text.matches('?').count() as u16;
        self.prepared.insert(id, Prepared { text, environment: self.environment(), ..Prepared::default() });
        let mut out = Vec::new();
        let head = [&[0][..], &id.to_le_bytes(), &[0, 0], &parameters.to_le_bytes(), &[0, 0, 0]].concat();
        self.write_packet(&mut out, &head);
        let eof = [&[0xfe, 0, 0][..], &self.status().to_le_bytes()].concat();
        for _ in 0..parameters {
            let definition = format_definition("?");
            self.write_packet(&mut out, &definition);
        }
        if parameters > 0 && self.capabilities & DEPRECATE_EOF == 0 {
            self.write_packet(&mut out, &eof);
        }
        self.stream.write_all(&out)
    }

    /// Executes a prepared statement with its parameters inserted into its text, and answers in binary rows.
    fn execute_prepared(&mut self, shared: &Shared, rest: &[u8]) -> io::Result<()> {
        let (id, rest) = split_statement_id(rest)?;
        let Some(prepared) = self.prepared.get_mut(&id) else {
            return self.send_packet(&Self::format_error(
                1243,
                "HY000",
                "Unknown prepared statement handler",
            ));
        };
        let text = prepared.bind_parameters(rest.get(5..).ok_or(invalid_data("the packet is too short"))?)?;
        let environment = prepared.environment.clone();
        self.run(shared, text, Some(environment))
    }

    fn execute_text(&mut self, shared: &Shared, text: String) -> io::Result<()> {
        if let Some(collation) = text.strip_prefix(SET_CHARACTER_SET) {
            let id = collation.split(',').next().and_then(|id| id.parse().ok());
            self.collation = id.ok_or(invalid_data("the collation is not a number"))?;
            return self.send_packet(&self.format_ok(0, 0, 0));
        }
        self.run(shared, text, None)
    }

    fn environment(&self) -> Environment {
        Environment {
            database: self.database.clone(),
            collation: self.collation,
            sql_mode: self.variables.get(SQL_MODE).cloned(),
        }
    }

    /// Runs a statement, in `prepared_in` if it is a prepared one, which is answered in binary rows.
    fn run(&mut self, shared: &Shared, text: String, prepared_in: Option<Environment>) -> io::Result<()> {
        let binary = prepared_in.is_some();
        let upper = text.to_ascii_uppercase();
        match upper.as_str() {
            "BEGIN" | "START TRANSACTION" => self.in_transaction = true,
            "COMMIT" | "ROLLBACK" => self.in_transaction = false,
            // These statements commit before they run, whether or not they then fail.
            text if ["CREATE ", "ALTER ", "DROP "].iter().any(|verb| text.starts_with(verb)) => {
                self.in_transaction = false;
            }
            _ => {}
        }
        if let Some((name, value)) = upper.strip_prefix("SET ").and_then(|set| set.split_once('=')) {
            self.variables.insert(name.trim().to_string(), value.trim().to_string());
        }
        if let Some(name) = upper.strip_prefix("USE ") {
            self.database = Some(name.to_ascii_lowercase());
        }
        let environment = prepared_in.unwrap_or_else(|| self.environment());
        let statement = ReceivedStatement {
            connection: self.number,
            database: environment.database,
            collation: environment.collation,
            sql_mode: environment.sql_mode,
            text,
            in_transaction: self.in_transaction,
            variables: self.variables.clone(),
        };
        {
            let mut statements = lock(&shared.statements);
            if statements.len() < MAX_RECORDED_STATEMENTS {
                statements.push(statement.clone());
            }
        }
        let mut reply = (shared.script)(&statement);
        loop {
            match reply {
                Reply::Delayed(time, then) => {
                    std::thread::sleep(time);
                    reply = *then;
                }
                Reply::Truncated(bytes, then) => {
                    let packet_bytes = self.format_reply(&then, binary);
                    self.stream.write_all(&packet_bytes[..bytes.min(packet_bytes.len())])?;
                    return Err(invalid_data("the response is truncated"));
                }
                Reply::Stalled(bytes, then) => {
                    let packet_bytes = self.format_reply(&then, binary);
                    self.stream.write_all(&packet_bytes[..bytes.min(packet_bytes.len())])?;
                    return self.read_packet().map(drop); // until the peer closes the connection
                }
                complete => {
                    if let Reply::Error(ER_LOCK_DEADLOCK, ..) = complete {
                        self.in_transaction = false;
                    }
                    let packet_bytes = self.format_reply(&complete, binary);
                    return self.stream.write_all(&packet_bytes);
                }
            }
        }
    }

    /// Formats a response as packets.
    fn format_reply(&mut self, reply: &Reply, binary: bool) -> Vec<u8> {
        let mut out = Vec::new();
        match reply {
            Reply::Ok(rows, id) => {
                let ok = self.format_ok(0, *rows, *id);
                self.write_packet(&mut out, &ok);
            }
            Reply::Error(number, state, text) => {
                self.write_packet(&mut out, &Self::format_error(*number, state, text))
            }
            Reply::Rows(columns, rows) => {
                let mut count = Vec::new();
                write_integer(&mut count, columns.len() as u64);
                self.write_packet(&mut out, &count);
                for column in columns {
                    let definition = format_definition(column);
                    self.write_packet(&mut out, &definition);
                }
                let eof = [&[0xfe, 0, 0][..], &self.status().to_le_bytes()].concat();
                let deprecate_eof = self.capabilities & DEPRECATE_EOF != 0;
                if !deprecate_eof {
                    self.write_packet(&mut out, &eof);
                }
                for row in rows {
                    let mut packet = Vec::new();
                    if binary {
                        // The bitmap of NULLs starts at the third bit.
                        let mut nulls = vec![0; (row.len() + 9) / 8];
                        for (i, _) in row.iter().enumerate().filter(|(_, value)| value.is_none()) {
                            nulls[(i + 2) / 8] |= 1 << ((i + 2) % 8);
                        }
                        packet.push(0);
                        packet.extend_from_slice(&nulls);
                    }
                    for value in row {
                        match value {
                            Some(text) => write_length_encoded(&mut packet, text.as_bytes()),
                            None if binary => {}
                            None => packet.push(0xfb),
                        }
                    }
                    self.write_packet(&mut out, &packet);
                }
                let end = if deprecate_eof { self.format_ok(0xfe, 0, 0) } else { eof };
                self.write_packet(&mut out, &end);
            }
            Reply::Delayed(_, then) | Reply::Truncated(_, then) | Reply::Stalled(_, then) => {
                return self.format_reply(then, binary);
            }
        }
        out
    }
}
