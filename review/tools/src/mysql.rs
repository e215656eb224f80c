//! A MySQL server and client by the public protocol documentation, each with as much of it as the cases need. The
//! server keeps rows: what a transaction wrote stands once it commits, an autocommitted statement at once. As the
//! reference manual has it, a deadlock (1213) rolls the whole transaction back, statements that define tables commit
//! the open transaction before they run, also where they then fail, and errors carry no status flags.

use crate::sha1::native_proof;
use crate::{Record, cannot_run, http};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

const CAPABILITIES: u32 = 0x013a_a30f & !(1 << 24); // without DEPRECATE_EOF
const CLIENT_CAPABILITIES: u32 = 1 | 4 | 1 << 9 | 1 << 13 | 1 << 15 | 1 << 17 | 1 << 19;
const NONCE: &[u8; 20] = b"a nonce of 20 bytes!";

fn read_packet(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let length = usize::from(head[0]) | usize::from(head[1]) << 8 | usize::from(head[2]) << 16;
    let mut packet = vec![0; length];
    stream.read_exact(&mut packet)?;
    Ok((head[3], packet))
}

fn frame(out: &mut Vec<u8>, sequence: &mut u8, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes()[..3]);
    out.push(*sequence);
    out.extend_from_slice(payload);
    *sequence = sequence.wrapping_add(1);
}

fn text_field(out: &mut Vec<u8>, text: &str) {
    out.push(text.len() as u8); // the cases have none over 250 bytes
    out.extend_from_slice(text.as_bytes());
}

/// A statement that has come to a server.
#[derive(Clone, Debug)]
pub struct Statement {
    pub at: Instant,
    pub text: String,
}

#[derive(Default)]
struct Shared {
    /// Rows that stand: table and text.
    committed: Vec<(String, String)>,
    statements: Vec<Statement>,
    /// Close the connection after a statement with one of these texts has run, in place of its answer.
    break_after: Vec<String>,
    /// A statement with this text hangs for 20 s.
    hangs_at: Option<String>,
    /// `super_read_only`: writes are answered with error 1290.
    is_read_only: bool,
    /// Reads fail here: each is answered with error 1030.
    is_failing: bool,
    /// Named locks and the connections that hold them.
    locks: HashMap<String, u64>,
    connection_count: u64,
    /// Reads have a warning.
    has_warnings: bool,
    connections: Vec<TcpStream>,
    last_id: u64,
}

pub struct Server {
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

struct Connection {
    number: u64,
    stream: TcpStream,
    sequence: u8,
    /// What the open transaction has written.
    transaction: Option<Vec<(String, String)>>,
    row_count: i64,
    insert_id: u64,
    warnings: u16,
}

impl Connection {
    fn status(&self) -> u16 {
        2 | u16::from(self.transaction.is_some())
    }

    fn send(&mut self, payload: &[u8]) -> io::Result<()> {
        let mut out = Vec::new();
        frame(&mut out, &mut self.sequence, payload);
        self.stream.write_all(&out)
    }

    fn send_ok(&mut self, rows: u8, id: u8) -> io::Result<()> {
        let mut packet = vec![0, rows, id];
        packet.extend_from_slice(&self.status().to_le_bytes());
        packet.extend_from_slice(&self.warnings.to_le_bytes());
        self.send(&packet)
    }

    fn send_error(&mut self, code: u16, state: &str, text: &str) -> io::Result<()> {
        self.send(&[&[0xff][..], &code.to_le_bytes(), b"#", state.as_bytes(), text.as_bytes()].concat())
    }

    fn send_value(&mut self, value: &str) -> io::Result<()> {
        let mut out = Vec::new();
        let mut definition = Vec::new();
        for part in ["def", "", "t", "t", "a", "a"] {
            text_field(&mut definition, part);
        }
        definition.extend_from_slice(&[0x0c, 45, 0, 0xff, 0, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
        let eof = [&[0xfe][..], &self.warnings.to_le_bytes(), &self.status().to_le_bytes()].concat();
        let mut row = Vec::new();
        text_field(&mut row, value);
        for packet in [&[1][..], &definition, &eof, &row, &eof] {
            frame(&mut out, &mut self.sequence, packet);
        }
        self.stream.write_all(&out)
    }

    fn login(&mut self) -> io::Result<()> {
        let mut greeting = vec![10];
        greeting.extend_from_slice(b"8.0.40-standin\0");
        greeting.extend_from_slice(&1u32.to_le_bytes());
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
        self.send(&greeting)?;
        self.sequence = read_packet(&mut self.stream)?.0.wrapping_add(1);
        self.send_ok(0, 0)
    }

    /// Runs a statement and answers it. An error ends the connection.
    fn run(&mut self, shared: &Mutex<Shared>, text: &str) -> io::Result<()> {
        let upper = text.to_ascii_uppercase();
        let breaks = {
            let mut state = shared.lock().unwrap();
            state.statements.push(Statement { at: Instant::now(), text: text.into() });
            let found = state.break_after.iter().position(|wanted| text.contains(&**wanted));
            found.map(|i| state.break_after.remove(i)).is_some()
        };
        self.warnings = 0;
        if shared.lock().unwrap().hangs_at.as_ref().is_some_and(|wanted| text.contains(&**wanted)) {
            std::thread::sleep(Duration::from_secs(20));
        }
        let mut answer: (u8, u8) = (0, 0);
        if upper.starts_with("BEGIN") {
            self.commit(shared);
            self.transaction = Some(Vec::new());
        } else if upper == "COMMIT" {
            self.commit(shared);
        } else if upper == "ROLLBACK" {
            self.transaction = None;
        } else if upper.starts_with("CREATE TABLE") {
            self.commit(shared);
            return self.send_error(1050, "42S01", "Table 'orders' already exists");
        } else if upper.contains("/* DEADLOCK */") {
            self.transaction = None;
            return self.send_error(
                1213,
                "40001",
                "Deadlock found when trying to get lock; try restarting transaction",
            );
        } else if let Some(rest) = upper.strip_prefix("INSERT INTO ") {
            if shared.lock().unwrap().is_read_only {
                let text = "The MySQL server is running with the --super-read-only option so it cannot execute this statement";
                return self.send_error(1290, "HY000", text);
            }
            let table = rest.split([' ', '(']).next().unwrap_or("").to_ascii_lowercase();
            let text = text.replace("LAST_INSERT_ID()", &self.insert_id.to_string());
            self.write(shared, table.clone(), text);
            self.row_count = 1;
            if table == "numbered" {
                let mut state = shared.lock().unwrap();
                state.last_id += 1;
                self.insert_id = state.last_id;
                answer = (1, state.last_id as u8);
            } else {
                answer = (1, 0);
            }
        } else if upper.starts_with("UPDATE") {
            self.write(shared, "updates".into(), text.into());
            self.row_count = 3;
            answer = (3, 0);
            self.warnings = u16::from(upper.contains("/* WARNS */"));
        } else if let Some(rest) = upper.strip_prefix("SELECT GET_LOCK('") {
            // A named lock is held by one connection of the server, until it ends or is reset.
            let name = rest.split('\'').next().unwrap_or("").to_string();
            let holder = *shared.lock().unwrap().locks.entry(name).or_insert(self.number);
            return self.send_value(if holder == self.number { "1" } else { "0" });
        } else if upper.starts_with("SELECT ROW_COUNT()") {
            let rows = std::mem::replace(&mut self.row_count, -1);
            return self.send_value(&rows.to_string());
        } else if upper.starts_with("SELECT LAST_INSERT_ID()") {
            let id = self.insert_id;
            return self.send_value(&id.to_string());
        } else if upper.starts_with("SELECT") {
            self.row_count = -1;
            if shared.lock().unwrap().is_failing {
                return self.send_error(
                    1030,
                    "HY000",
                    "Got error 122 - 'Internal error' from storage engine",
                );
            }
            self.warnings = u16::from(shared.lock().unwrap().has_warnings);
            return self.send_value("7");
        }
        if breaks {
            return Err(io::Error::other("the connection dies after the statement has run"));
        }
        self.send_ok(answer.0, answer.1)
    }

    fn write(&mut self, shared: &Mutex<Shared>, table: String, text: String) {
        match &mut self.transaction {
            Some(rows) => rows.push((table, text)),
            None => shared.lock().unwrap().committed.push((table, text)),
        }
    }

    fn commit(&mut self, shared: &Mutex<Shared>) {
        shared.lock().unwrap().committed.extend(self.transaction.take().unwrap_or_default());
    }

    fn serve(&mut self, name: &str, shared: &Mutex<Shared>, record: &Record) -> io::Result<()> {
        self.login()?;
        loop {
            let (_, command) = read_packet(&mut self.stream)?;
            self.sequence = 1;
            let text = String::from_utf8_lossy(&command[1..]).into_owned();
            match command[0] {
                1 => return Ok(()),
                3 => {
                    record.line(format!("server {name} runs: {text}"));
                    self.run(shared, &text)?;
                }
                0x1f => {
                    shared.lock().unwrap().locks.retain(|_, holder| *holder != self.number);
                    (self.transaction, self.row_count, self.insert_id) = (None, -1, 0);
                    self.warnings = 0;
                    self.send_ok(0, 0)?;
                }
                2 | 0x0e => self.send_ok(0, 0)?,
                _ => self.send_error(1047, "08S01", "Unknown command")?,
            }
        }
    }
}

impl Server {
    pub fn start(name: &str, record: &Record) -> Self {
        let (listener, address) = http::listen();
        let shared: Arc<Mutex<Shared>> = Arc::default();
        shared.lock().unwrap().last_id = 40;
        let (name, record, state) = (name.to_string(), record.clone(), shared.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                state.lock().unwrap().connections.extend(stream.try_clone());
                let (name, record, shared) = (name.clone(), record.clone(), state.clone());
                spawn(move || {
                    let number = {
                        let mut state = shared.lock().unwrap();
                        state.connection_count += 1;
                        state.connection_count
                    };
                    let mut connection = Connection {
                        number,
                        stream,
                        sequence: 0,
                        transaction: None,
                        row_count: -1,
                        insert_id: 0,
                        warnings: 0,
                    };
                    if let Err(error) = connection.serve(&name, &shared, &record) {
                        record.line(format!("server {name}: a connection ended: {error}"));
                    }
                    shared.lock().unwrap().locks.retain(|_, holder| *holder != number);
                    let _ = connection.stream.shutdown(Shutdown::Both);
                });
            }
        });
        Self { address, shared }
    }

    /// The connection on which a statement with this text runs next dies after it has run, before its answer.
    pub fn break_after(&self, text: &str) {
        self.shared.lock().unwrap().break_after.push(text.into());
    }

    /// Whether reads fail with an error.
    pub fn set_failing(&self, is_failing: bool) {
        self.shared.lock().unwrap().is_failing = is_failing;
    }

    /// A statement with this text hangs for 20 s before it runs.
    pub fn hang_at(&self, text: &str) {
        self.shared.lock().unwrap().hangs_at = Some(text.into());
    }

    /// Whether the server answers writes with error 1290.
    pub fn set_read_only(&self, is_read_only: bool) {
        self.shared.lock().unwrap().is_read_only = is_read_only;
    }

    /// Whether the answers to reads have a warning.
    pub fn set_warnings(&self, has_warnings: bool) {
        self.shared.lock().unwrap().has_warnings = has_warnings;
    }

    /// Closes all connections. Open transactions end without a commit.
    pub fn close_connections(&self) {
        for stream in self.shared.lock().unwrap().connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn statements(&self) -> Vec<Statement> {
        self.shared.lock().unwrap().statements.clone()
    }

    /// How many rows stand whose text contains this.
    pub fn count_rows(&self, text: &str) -> usize {
        self.shared.lock().unwrap().committed.iter().filter(|(_, row)| row.contains(text)).count()
    }

    /// The rows of a table that stand.
    pub fn rows(&self, table: &str) -> Vec<String> {
        let state = self.shared.lock().unwrap();
        state.committed.iter().filter(|(t, _)| t == table).map(|(_, row)| row.clone()).collect()
    }
}

/// What a client is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Ok,
    Value(String),
    /// Code, SQLSTATE and text.
    Error(u16, String, String),
    /// The connection ended with no answer.
    Ended,
}

impl Answer {
    /// The page's refusal, error 1637 with SQLSTATE 40001: it was not done, and trying again is harmless.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Error(1637, state, _) if state == "40001")
    }
}

/// A client's session.
pub struct Client {
    stream: TcpStream,
    name: String,
    record: Record,
}

impl Client {
    pub fn log_in(name: &str, address: SocketAddr, record: &Record) -> Self {
        let fail = |e: io::Error| -> ! { cannot_run(&format!("login of {name}: {e}")) };
        let mut stream = TcpStream::connect(address).unwrap_or_else(|e| fail(e));
        let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(Duration::from_secs(40))));
        let (_, greeting) = read_packet(&mut stream).unwrap_or_else(|e| fail(e));
        let at = greeting.iter().skip(1).position(|b| *b == 0).unwrap_or(0) + 2 + 4;
        let nonce = [&greeting[at..at + 8], &greeting[at + 27..at + 39]].concat();
        let proof = native_proof("oak", &nonce);
        let mut login = CLIENT_CAPABILITIES.to_le_bytes().to_vec();
        login.extend_from_slice(&(1u32 << 24).to_le_bytes());
        login.push(45);
        login.extend_from_slice(&[0; 23]);
        login.extend_from_slice(b"planner\0");
        login.push(proof.len() as u8);
        login.extend_from_slice(&proof);
        login.extend_from_slice(b"mysql_native_password\0");
        let mut out = Vec::new();
        frame(&mut out, &mut 1, &login);
        stream.write_all(&out).unwrap_or_else(|e| fail(e));
        let (_, answer) = read_packet(&mut stream).unwrap_or_else(|e| fail(e));
        if answer.first() != Some(&0) {
            cannot_run(&format!("login of {name}: {}", String::from_utf8_lossy(&answer)));
        }
        Self { stream, name: name.into(), record: record.clone() }
    }

    pub fn query(&mut self, text: &str) -> Answer {
        let answer = self.exchange(text).unwrap_or(Answer::Ended);
        self.record.line(format!("client {}: {text} -> {answer:?}", self.name));
        answer
    }

    fn exchange(&mut self, text: &str) -> io::Result<Answer> {
        let mut out = Vec::new();
        frame(&mut out, &mut 0, &[b"\x03", text.as_bytes()].concat());
        self.stream.write_all(&out)?;
        let (_, first) = read_packet(&mut self.stream)?;
        let error = |packet: &[u8]| {
            let code = u16::from_le_bytes([packet[1], packet[2]]);
            let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
            Answer::Error(code, text(&packet[4..9]), text(&packet[9..]))
        };
        match first.first() {
            Some(0) => return Ok(Answer::Ok),
            Some(0xff) => return Ok(error(&first)),
            _ => {}
        }
        let (mut ends, mut value) = (0, String::new());
        while ends < 2 {
            let (_, packet) = read_packet(&mut self.stream)?;
            match packet.first() {
                Some(0xff) => return Ok(error(&packet)),
                Some(0xfe) if packet.len() < 9 => ends += 1,
                _ if ends == 1 => value = String::from_utf8_lossy(&packet[1..]).into_owned(),
                _ => {}
            }
        }
        Ok(Answer::Value(value))
    }
}

/// Writes the files of `dewpier serve` with a MySQL front before these servers, and returns the configuration's path.
/// Settings as in deploy/mysql.toml, on free ports.
pub fn write_config(folder: &std::path::Path, node: SocketAddr, servers: &str) -> String {
    write_config_with_replicas(folder, node, servers, None)
}

/// The same with a list of replicas.
pub fn write_config_with_replicas(
    folder: &std::path::Path,
    node: SocketAddr,
    servers: &str,
    replicas: Option<&str>,
) -> String {
    let write = |name: &str, text: &str| {
        let written = std::fs::write(folder.join(name), text);
        written.unwrap_or_else(|e| cannot_run(&format!("{name}: {e}")));
    };
    write("nodes.csv", &format!("id,address,port\nnode-1,127.0.0.1,{}\n", node.port()));
    write("mysql-users.toml", &format!("[users]\nplanner = \"{}\"\n", crate::sha1::native_hash("oak")));
    write("mysql-password", "elm\n");
    write("mysql-servers.csv", servers);
    let replica_table = match replicas {
        Some(rows) => {
            write("mysql-replicas.csv", rows);
            "[mysql.replicas]\nfile = \"mysql-replicas.csv\"\n"
        }
        None => "",
    };
    let settings = String::from(
        "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"nodes.csv\"\n[mysql]\nlisten = \"127.0.0.1:0\"\n\
         users = \"mysql-users.toml\"\nserver_user = \"dewpier\"\nserver_password_file = \"mysql-password\"\n\
         read_aim_ms = 1000\nread_deadline_ms = 10000\nwrite_deadline_ms = 30000\nmax_connections = 200\n\
         hold_kb = 1024\n[mysql.inventory]\nfile = \"mysql-servers.csv\"\n",
    );
    write("mysql.toml", &(settings + replica_table));
    folder.join("mysql.toml").display().to_string()
}
