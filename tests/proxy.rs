//! The real proxy, from outside: its program between a client, backends and a discovery that the
//! test plays over loopback sockets.

use gannetproxy::Outcome;
use gannetproxy::proxy::backend::{Endpoint, attempt};
use gannetproxy::proxy::engine::{Clock, Payload};
use gannetproxy::proxy::limits::Budget;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Far beyond what any step takes, on a busy machine too.
const LONG: Duration = Duration::from_secs(30);
static NEXT: AtomicUsize = AtomicUsize::new(1);

/// A message as read: its first line, its headers in lower case, its body.
#[derive(Clone, Debug, Default)]
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// The next message of a connection; None at its end.
fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
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

fn answer(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What a played server does with a request, given how many it has had before.
enum Play {
    Answer(String),
    /// Answers, then closes without having said so, and tells.
    AnswerAndClose(String, Sender<()>),
    /// Closes without an answer.
    Close,
    /// Says nothing; tells when the other side ends the connection.
    Silence(Sender<()>),
}

/// A server that the test plays.
struct Played {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<Message>>>,
    connections: Arc<AtomicUsize>,
}

impl Played {
    fn new(play: impl Fn(usize, &Message) -> Play + Send + Sync + 'static) -> Self {
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
    fn good(name: &'static str) -> Self {
        Self::new(move |_, _| Play::Answer(answer("200 OK", name)))
    }

    fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

fn serve(stream: TcpStream, requests: &Mutex<Vec<Message>>, play: &dyn Fn(usize, &Message) -> Play) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let before = {
            let mut requests = requests.lock().unwrap();
            requests.push(message.clone());
            requests.len() - 1
        };
        match play(before, &message) {
            Play::Answer(text) => drop(stream.get_mut().write_all(text.as_bytes())),
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

fn settings() -> Value {
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

fn entry(id: &str, address: SocketAddr, state: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "a", "machineType": "m",
           "cell": 0, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

fn list(generation: u64, reset: bool, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": entries})
}

/// A discovery that has nothing new.
fn quiet() -> Played {
    Played::new(|_, _| Play::Silence(channel().0))
}

struct Proxy {
    child: Child,
    address: SocketAddr,
}

impl Proxy {
    fn start(settings: &Value, known: &Value, discovery: SocketAddr) -> Self {
        let mut child = command(&config(settings, known), discovery).stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("dewpier: listening on ").expect(&line).parse().unwrap();
        // Its log is read on, lest it block.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Self { child, address }
    }

    /// One that knows these backends, with plain settings.
    fn before(backends: &[&Played]) -> Self {
        Self::start(&settings(), &known(backends), quiet().address)
    }

    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        BufReader::new(stream)
    }

    fn ask(&self, text: &str) -> Message {
        ask(&mut self.connect(), text)
    }

    fn signal(&self, name: &str) {
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

fn known(backends: &[&Played]) -> Value {
    let named = |(i, b): (usize, &&Played)| entry(&format!("s-{i}"), b.address, "SERVING");
    list(1, true, &backends.iter().enumerate().map(named).collect::<Vec<_>>())
}

fn config(settings: &Value, known: &Value) -> String {
    json!({"name": "n0", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192,
           "sockets": 1024}, "known": known, "settings": settings})
    .to_string()
}

fn command(config: &str, discovery: SocketAddr) -> Command {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let name = format!("{}-{}.json", std::process::id(), number);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dewpier"));
    command.env("RELAY_CONFIG", path).env("RELAY_LISTEN", "127.0.0.1:0");
    command.env("RELAY_DISCOVERY", discovery.to_string());
    command
}

fn ask(stream: &mut BufReader<TcpStream>, text: &str) -> Message {
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    read(stream).expect("an answer")
}

/// A request of a class, with some milliseconds left.
fn request(class: &str, left: u64) -> String {
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

fn wait_for(what: &str, mut seen: impl FnMut() -> bool) {
    let start = Instant::now();
    while !seen() {
        assert!(start.elapsed() < LONG, "no {what} in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn heard(ended: &Receiver<()>) {
    ended.recv_timeout(LONG).expect("the connection is ended");
}

#[test]
fn a_request_goes_on_unchanged_and_so_does_its_answer() {
    let backend = Played::good("hello");
    let proxy = Proxy::before(&[&backend]);
    assert_eq!(proxy.ask("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let text = request("save", 9000);
    let answer = proxy.ask(&text);
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"hello".as_slice()));
    let seen = backend.requests.lock().unwrap()[0].clone();
    assert_eq!((seen.first.as_str(), seen.body.as_slice()), ("POST /api?q=1 HTTP/1.1", b"body".as_slice()));
    assert!(text.contains(&format!("X-Txn: {}\r\n", seen.header("x-txn").unwrap())));
    assert_eq!(seen.header("idempotency-key"), Some("5c0f6e1a"));
    let left: u64 = seen.header("x-remaining-ms").unwrap().parse().unwrap();
    assert!((1..9000).contains(&left), "{left}");
}

#[test]
fn what_is_malformed_gets_a_plain_4xx() {
    let backend = Played::good("hello");
    let proxy = Proxy::before(&[&backend]);
    let good = request("look", 9000);
    for (from, to) in [
        ("X-Lane: look", "X-Lane: unheard-of"),
        ("X-Org: acme", "X-Org: unheard-of"),
        ("X-Remaining-Ms: 9000", "X-Remaining-Ms: soon"),
        ("X-Txn: 0", "X-Txn: "),
        ("GET /api?q=1 HTTP/1.1", "nonsense"),
    ] {
        assert_eq!(proxy.ask(&good.replace(from, to)).status(), 400, "{to}");
    }
    let large = "x".repeat(65_537);
    let large =
        good.replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: 65537\r\n\r\n{large}"));
    assert_eq!(proxy.ask(&large).status(), 413);
    assert_eq!(backend.count(), 0);
    assert_eq!(proxy.ask(&good).status(), 200);
}

#[test]
fn a_bad_configuration_is_told_in_one_line() {
    let mut lacking = settings();
    lacking["rules"].as_object_mut().unwrap().remove("cold");
    let known = list(1, true, &[]);
    for text in ["{".to_string(), config(&lacking, &known)] {
        let output = command(&text, quiet().address).output().unwrap();
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(told.starts_with("dewpier: ") && told.lines().count() == 1, "{told}");
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_not_sent_again() {
    let backends = [Played::new(|_, _| Play::Close), Played::new(|_, _| Play::Close)];
    let proxy = Proxy::before(&[&backends[0], &backends[1]]);
    let status = proxy.ask(&request("order", 9000)).status();
    assert!(status != 200 && status != 429 && status != 503, "{status}");
    assert_eq!(backends[0].count() + backends[1].count(), 1);
}

#[test]
fn an_unsafe_request_that_met_no_backend_is_refused() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let known = list(1, true, &[entry("s-1", closed, "SERVING")]);
    let proxy = Proxy::start(&settings(), &known, quiet().address);
    assert_eq!(proxy.ask(&request("order", 1000)).status(), 503);
}

#[test]
fn a_connection_that_the_backend_has_closed_is_not_used_again() {
    let (closed, end) = channel();
    let backend = Played::new(move |_, _| Play::AnswerAndClose(answer("200 OK", "hello"), closed.clone()));
    let proxy = Proxy::before(&[&backend]);
    for _ in 0..5 {
        assert_eq!(proxy.ask(&request("order", 9000)).status(), 200);
        heard(&end);
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 5);
}

#[test]
fn a_connection_is_used_again() {
    let backend = Played::good("hello");
    let proxy = Proxy::before(&[&backend]);
    for _ in 0..20 {
        assert_eq!(proxy.ask(&request("order", 9000)).status(), 200);
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn a_connection_near_the_idle_limit_is_not_used_again() {
    let backend = Played::good("hello");
    let mut settings = settings();
    settings["caps"]["idle-close"] = json!(0.2);
    let proxy = Proxy::start(&settings, &known(&[&backend]), quiet().address);
    for _ in 0..2 {
        assert_eq!(proxy.ask(&request("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(180));
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2);
}

#[test]
fn a_silent_backend_leaves_no_client_without_an_answer() {
    let (ended, end) = channel();
    let backend = Played::new(move |_, _| Play::Silence(ended.clone()));
    let proxy = Proxy::before(&[&backend]);
    let start = Instant::now();
    let status = proxy.ask(&request("order", 1500)).status();
    assert!(status != 200 && status != 429 && status != 503, "{status}");
    assert!(start.elapsed() < Duration::from_millis(1500), "{:?}", start.elapsed());
    heard(&end);
}

#[test]
fn an_attempt_ends_when_its_client_leaves() {
    let (ended, end) = channel();
    let backend = Played::new(move |_, _| Play::Silence(ended.clone()));
    let proxy = Proxy::before(&[&backend]);
    let mut client = proxy.connect();
    client.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    let left = Instant::now();
    drop(client);
    heard(&end);
    assert!(left.elapsed() < Duration::from_secs(10));
}

#[test]
fn sigterm_loses_nothing_that_was_taken() {
    let (release, held) = channel::<()>();
    let held = Mutex::new(held);
    let backend = Played::new(move |before, _| {
        if before == 0 {
            held.lock().unwrap().recv_timeout(LONG).unwrap();
        }
        Play::Answer(answer("200 OK", "hello"))
    });
    let mut proxy = Proxy::before(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(ask(&mut idle, "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let mut busy = proxy.connect();
    busy.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    proxy.signal("-TERM");
    // Requests on old connections and on new ones are served on, and the connections then end.
    wait_for("stop", || proxy.ask("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status() == 503);
    for stream in [&mut idle, &mut proxy.connect()] {
        let answer = ask(stream, &request("look", 20_000));
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    let mut unused = proxy.connect();
    assert!(read(&mut unused).is_none(), "an idle connection is ended");
    release.send(()).unwrap();
    assert_eq!(read(&mut busy).expect("an answer").status(), 200);
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_request_that_never_comes_whole_does_not_hold_up_the_exit() {
    let backend = Played::good("hello");
    let mut proxy = Proxy::before(&[&backend]);
    let mut slow = proxy.connect();
    slow.get_mut().write_all(request("look", 9000).strip_suffix("dy").unwrap().as_bytes()).unwrap();
    // Another connection's answer tells that this one has been accepted before.
    assert_eq!(proxy.ask(&request("look", 9000)).status(), 200);
    proxy.signal("-TERM");
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn nothing_goes_out_on_a_connection_that_comes_up_after_the_grace() {
    let backend = Played::good("hello");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let attempt = |last_send: Option<f64>| {
        let endpoint = Endpoint::new(backend.address, Budget::new(4), LONG, LONG);
        endpoint.update(backend.address, last_send);
        let payload = Payload {
            method: "POST".parse().unwrap(),
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: "body".into(),
        };
        let attempted = attempt(endpoint.into(), payload.into(), Clock::start(), 20.0, Default::default());
        runtime.block_on(attempted).outcome
    };
    assert_eq!(attempt(Some(0.0)), Outcome::NoConnection);
    assert_eq!(backend.count(), 0);
    assert_eq!(attempt(None), Outcome::Served);
}

#[test]
fn discovery_that_talks_nonsense_is_asked_again_and_the_last_list_kept() {
    let (old, new) = (Played::good("old"), Played::good("new"));
    let news = list(2, false, &[entry("s-0", old.address, "DELETED"), entry("s-1", new.address, "SERVING")]);
    let good = Arc::new(AtomicUsize::new(0));
    let (may, told) = (good.clone(), news.to_string());
    let discovery = Played::new(move |before, _| match (before, may.load(Ordering::SeqCst)) {
        (0, _) => Play::Close,
        (1, _) => Play::Answer(answer("503 Service Unavailable", "")),
        (_, 0) => Play::Answer(answer("200 OK", "{\"generation\":")),
        (_, 1) => Play::Answer(answer("200 OK", &told)),
        _ => Play::Silence(channel().0),
    });
    let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
    wait_for("further call", || discovery.count() >= 3);
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"old");
    good.store(1, Ordering::SeqCst);
    let asked_for_more = |m: &Message| m.first.contains("since=2&");
    wait_for("list", || discovery.requests.lock().unwrap().iter().any(asked_for_more));
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"new");
}

#[test]
fn where_the_list_must_be_asked_for_a_call_that_failed_is_made_again() {
    let (old, new) = (Played::good("old"), Played::good("new"));
    let all = list(7, true, &[entry("s-1", new.address, "SERVING")]).to_string();
    let discovery = Played::new(move |before, _| match before {
        0 | 1 => Play::Answer(answer("503 Service Unavailable", "")),
        2 => Play::Answer(answer("200 OK", &all)),
        _ => Play::Silence(channel().0),
    });
    let mut settings = settings();
    settings["registry-mode"] = json!("subscribe");
    settings["rules"]["ask-within"] = json!(1.0);
    let proxy = Proxy::start(&settings, &known(&[&old]), discovery.address);
    wait_for("further watch", || discovery.count() >= 4);
    assert!(discovery.requests.lock().unwrap()[3].first.contains("since=7&timeout_ms=1000"));
    assert_eq!(proxy.ask(&request("look", 20_000)).body, b"new");
}
