//! Runs the proxy's program between a client, mock backends and a mock discovery service over loopback
//! sockets.

#![allow(dead_code)] // each test uses a part of this module
#[allow(unused_imports)]
pub use dewpier_standins::message::{Message, exchange, format_response, read_message};
pub use dewpier_standins::scripted_server::{ScriptedReply, ScriptedServer};
#[allow(unused_imports)]
pub use dewpier_standins::{WAIT_TIMEOUT, reserve_addresses, wait_for, wait_for_close};

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;

pub static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(1);

pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "window": 5.0, "on-time": 20.0,
               "hard-limit": 20.0, "late-worth": 0.0, "worth": 1.0, "stream": false})
    };
    json!({
        "caps": {"cancel": true, "connect-timeout": 5.0, "idle-close": 30.0, "max-attempts": 4,
                 "max-open": 1000, "max-retry-after": 1.0, "probing": true, "retry-after": true,
                 "second-copies": true},
        "classes": [class("look", "free"), class("save", "guarded"), class("order", "single_shot")],
        "me": 0, "n-instances": 1, "quantum": 0.005, "registry-mode": "automatic",
        "projects": [{"name": "acme", "quota-per-s": 100.0, "share": 1.0}],
        "rules": {"ask-within": 10.0, "cold": 5.0, "cold-share": 0.2, "drain-grace": 1.0,
                  "fall-multiple": 3.0, "tip-after": 1.0},
        "stats": {"fields": [], "how": "off"}, "tier": 1, "zone": "a", "zones": ["a"]
    })
}

pub fn list_entry(id: &str, address: SocketAddr, state: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "a", "machineType": "m",
           "cell": 0, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

pub fn discovery_list(generation: u64, reset: bool, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": entries})
}

/// A mock discovery service that never answers a request.
pub fn idle_discovery() -> ScriptedServer {
    ScriptedServer::new(|_, _| ScriptedReply::NeverRespond(channel().0))
}

/// A running proxy process; it is killed on drop.
pub struct Proxy {
    pub child: Child,
    config_path: std::path::PathBuf,
    pub address: SocketAddr,
    /// The address for operators' calls, where the configuration sets one.
    pub operator: Option<SocketAddr>,
}

impl Proxy {
    pub fn start(settings: &Value, known: &Value, discovery: SocketAddr) -> Self {
        Self::start_with_config(&build_config(settings, known), discovery)
    }

    pub fn start_with_config(config: &Value, discovery: SocketAddr) -> Self {
        let (command, path) = command(&config.to_string(), discovery);
        Self::spawn(command, path, config).expect("the proxy should start")
    }

    /// Starts the proxy in a process that may open at most `descriptors` descriptors.
    pub fn start_with_descriptor_limit(config: &Value, discovery: SocketAddr, descriptors: usize) -> Self {
        let (program, path) = command(&config.to_string(), discovery);
        let mut shell = Command::new("sh");
        shell.args(["-c", "ulimit -n \"$1\" && exec \"$0\"", env!("CARGO_BIN_EXE_dewpier")]);
        shell.arg(descriptors.to_string());
        let variables = program.get_envs().filter_map(|(name, value)| Some((name, value?)));
        shell.envs(variables);
        Self::spawn(shell, path, config).expect("the proxy should start")
    }

    /// Starts a proxy at `address` with its handover sockets in `folder`. Returns `None` if the process exits
    /// before it listens.
    pub fn start_at(
        address: &str,
        config: &Value,
        discovery: SocketAddr,
        folder: &std::path::Path,
    ) -> Option<Self> {
        let (mut command, path) = command(&config.to_string(), discovery);
        command.env("RELAY_LISTEN", address).env("TMPDIR", folder);
        Self::spawn(command, path, config)
    }

    fn spawn(mut command: Command, config_path: std::path::PathBuf, config: &Value) -> Option<Self> {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        // Lines about a predecessor process come before the address.
        let address = loop {
            line.clear();
            if log.read_line(&mut line).unwrap() == 0 {
                let _ = child.wait();
                return None;
            }
            if let Some(address) = line.trim().strip_prefix("dewpier: listening on ") {
                break address.parse().unwrap();
            }
        };
        let operator = config.get("operator").map(|_| {
            line.clear();
            log.read_line(&mut line).unwrap();
            line.trim().strip_prefix("dewpier: operators call at ").expect(&line).parse().unwrap()
        });
        // A full pipe would block the process.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Some(Self { child, config_path, address, operator })
    }

    /// Replaces the configuration file of the process.
    pub fn write_config(&self, config: &Value) {
        self.write_config_text(&config.to_string());
    }

    pub fn write_config_text(&self, text: &str) {
        let new = self.config_path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, &self.config_path).unwrap();
    }

    /// Starts a proxy with the default settings that knows these backends.
    pub fn for_backends(backends: &[&ScriptedServer]) -> Self {
        Self::start(&settings(), &known_list(backends), idle_discovery().address)
    }

    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    pub fn exchange(&self, text: &str) -> Message {
        exchange(&mut self.connect(), text)
    }

    /// Makes an operator's call and returns the whole reply.
    pub fn call(&self, call: &str) -> String {
        let mut stream = TcpStream::connect(self.operator.expect("operators can call")).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(format!("{call}\n").as_bytes()).unwrap();
        let mut reply = String::new();
        stream.read_to_string(&mut reply).unwrap();
        reply
    }

    /// Reads one metric of the proxy.
    pub fn metric(&self, name: &str) -> u64 {
        let reply = self.call("vars");
        let value =
            reply.lines().find_map(|l| l.strip_prefix("edge_relay.")?.strip_prefix(name)?.strip_prefix('='));
        value.unwrap_or_else(|| panic!("no {name} in {reply}")).parse().unwrap()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn known_list(backends: &[&ScriptedServer]) -> Value {
    let backend_entry =
        |(i, b): (usize, &&ScriptedServer)| list_entry(&format!("s-{i}"), b.address, "SERVING");
    discovery_list(1, true, &backends.iter().enumerate().map(backend_entry).collect::<Vec<_>>())
}

pub fn build_config(settings: &Value, known: &Value) -> Value {
    json!({"name": "n0", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192,
           "sockets": 1024}, "known": known, "settings": settings})
}

/// Writes the configuration to a file. Returns the command that runs the program with it, and the file's path.
pub fn command(config: &str, discovery: SocketAddr) -> (Command, std::path::PathBuf) {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    let name = format!("{}-{}.json", std::process::id(), number);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dewpier"));
    command.env("RELAY_CONFIG", &path).env("RELAY_LISTEN", "127.0.0.1:0");
    command.env("RELAY_DISCOVERY", discovery.to_string());
    (command, path)
}

/// Formats a request of a class that must be answered within `remaining_ms`.
pub fn request_text(class: &str, remaining_ms: u64) -> String {
    let id = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    let (method, key) = match class {
        "look" => ("GET", ""),
        "save" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", ""),
    };
    format!(
        "{method} /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         {key}Cookie: sid=7f3a9c21e0b4d655\r\nX-Remaining-Ms: {remaining_ms}\r\nContent-Length: 4\r\n\r\nbody"
    )
}
