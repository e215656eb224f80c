//! The proxy's program between a client, backends and a discovery that the test plays over
//! loopback sockets.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Far beyond what any step takes, on a busy machine too.
pub const LONG: Duration = Duration::from_secs(30);
pub static NEXT: AtomicUsize = AtomicUsize::new(1);

/// A message as read: its first line, its headers in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// The next message of a connection; None at its end.
pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    while stream.read_line(&mut line).ok()? > 0 {
        let text = line.trim_end().to_string();
        line.clear();
        if message.first.is_empty() {
            message.first = text;
        } else if let Some((name, value)) = text.split_once(": ") {
            message.headers.push((name.to_lowercase(), value.to_string()));
        } else if text.is_empty() {
            let length = message.header("content-length").map_or(0, |l| l.parse().unwrap());
            message.body = vec![0; length];
            stream.read_exact(&mut message.body).ok()?;
            return Some(message);
        }
    }
    None
}

pub fn answer(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What a played server does with a request, given how many it has had before.
pub enum Play {
    Answer(String),
    /// Writes the first, and the second after that time.
    AnswerThen(String, Duration, String),
    /// Answers, then closes without having said so, and tells.
    AnswerAndClose(String, Sender<()>),
    /// Closes without an answer.
    Close,
    /// Says nothing; tells when the other side ends the connection.
    Silence(Sender<()>),
}

/// A server that the test plays.
pub struct Played {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<Message>>>,
    pub connections: Arc<AtomicUsize>,
}

impl Played {
    pub fn new(play: impl Fn(usize, &Message) -> Play + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let played = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
        };
        let (requests, connections) = (played.requests.clone(), played.connections.clone());
        let play = Arc::new(play);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, play) = (requests.clone(), play.clone());
                std::thread::spawn(move || serve(stream, &requests, &*play));
            }
        });
        played
    }

    /// A server that answers all with 200 and its name.
    pub fn good(name: &'static str) -> Self {
        Self::new(move |_, _| Play::Answer(answer("200 OK", name)))
    }

    /// The same, but its first answer waits until it is let go.
    pub fn held(name: &'static str) -> (Self, Sender<()>) {
        let (release, held) = channel();
        let held = Mutex::new(held);
        let played = Self::new(move |before, _| {
            if before == 0 {
                held.lock().unwrap().recv_timeout(LONG).unwrap();
            }
            Play::Answer(answer("200 OK", name))
        });
        (played, release)
    }

    pub fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

pub fn serve(stream: TcpStream, requests: &Mutex<Vec<Message>>, play: &dyn Fn(usize, &Message) -> Play) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let before = {
            let mut requests = requests.lock().unwrap();
            requests.push(message.clone());
            requests.len() - 1
        };
        match play(before, &message) {
            Play::Answer(text) => drop(stream.get_mut().write_all(text.as_bytes())),
            Play::AnswerThen(text, wait, more) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                std::thread::sleep(wait);
                let _ = stream.get_mut().write_all(more.as_bytes());
            }
            Play::AnswerAndClose(text, closed) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                // Not by dropping it: a process that is just being started has a copy.
                stream.get_mut().shutdown(Shutdown::Both).unwrap();
                let _ = closed.send(());
                return;
            }
            Play::Close => return drop(stream.get_mut().shutdown(Shutdown::Both)),
            Play::Silence(ended) => {
                let _ = stream.read(&mut [0]);
                let _ = ended.send(());
                return;
            }
        }
    }
}

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

pub fn entry(id: &str, address: SocketAddr, state: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "a", "machineType": "m",
           "cell": 0, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

pub fn list(generation: u64, reset: bool, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": entries})
}

/// A discovery that has nothing new.
pub fn quiet() -> Played {
    Played::new(|_, _| Play::Silence(channel().0))
}

pub struct Proxy {
    pub child: Child,
    path: std::path::PathBuf,
    pub address: SocketAddr,
}

impl Proxy {
    pub fn start(settings: &Value, known: &Value, discovery: SocketAddr) -> Self {
        Self::with(&config_of(settings, known), discovery)
    }

    pub fn with(config: &Value, discovery: SocketAddr) -> Self {
        let (mut command, path) = command(&config.to_string(), discovery);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("dewpier: listening on ").expect(&line).parse().unwrap();
        // Its log is read on, lest it block.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Self { child, path, address }
    }

    /// Replaces the file of its configuration.
    pub fn configure(&self, config: &Value) {
        self.configure_as(&config.to_string());
    }

    pub fn configure_as(&self, text: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, &self.path).unwrap();
    }

    /// One that knows these backends, with plain settings.
    pub fn before(backends: &[&Played]) -> Self {
        Self::start(&settings(), &known(backends), quiet().address)
    }

    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        BufReader::new(stream)
    }

    pub fn ask(&self, text: &str) -> Message {
        ask(&mut self.connect(), text)
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

pub fn known(backends: &[&Played]) -> Value {
    let named = |(i, b): (usize, &&Played)| entry(&format!("s-{i}"), b.address, "SERVING");
    list(1, true, &backends.iter().enumerate().map(named).collect::<Vec<_>>())
}

pub fn config_of(settings: &Value, known: &Value) -> Value {
    json!({"name": "n0", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192,
           "sockets": 1024}, "known": known, "settings": settings})
}

/// The program, and the file of its configuration.
pub fn command(config: &str, discovery: SocketAddr) -> (Command, std::path::PathBuf) {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let name = format!("{}-{}.json", std::process::id(), number);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dewpier"));
    command.env("RELAY_CONFIG", &path).env("RELAY_LISTEN", "127.0.0.1:0");
    command.env("RELAY_DISCOVERY", discovery.to_string());
    (command, path)
}

pub fn ask(stream: &mut BufReader<TcpStream>, text: &str) -> Message {
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    read(stream).expect("an answer")
}

/// A request of a class, with some milliseconds left.
pub fn request(class: &str, left: u64) -> String {
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    let (method, key) = match class {
        "look" => ("GET", ""),
        "save" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", ""),
    };
    format!(
        "{method} /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         {key}Cookie: sid=7f3a9c21e0b4d655\r\nX-Remaining-Ms: {left}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

pub fn wait_for(what: &str, mut seen: impl FnMut() -> bool) {
    let start = Instant::now();
    while !seen() {
        assert!(start.elapsed() < LONG, "no {what} in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn heard(ended: &Receiver<()>) {
    ended.recv_timeout(LONG).expect("the connection is ended");
}
