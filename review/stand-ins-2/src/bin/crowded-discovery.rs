//! Discovery has too many callers for a while; as it comes back a backend drains. Is the drain kept?

use stand_ins_2::http::{format_answer, serve, Client, Message};
use stand_ins_2::{begin, free_addresses, lock, sleep, Case};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Proxies that share the discovery service: the site's figure to come.
const PROXIES: usize = 64;
/// What discovery has counts as told so long after it had it and could be reached.
const TOLD_AFTER: f64 = 6.0;
/// `rules.drain-grace` of the site, and the slack of time limits on sockets.
const GRACE: f64 = 0.5 + 0.05;
/// How long a call waits in the queue of discovery before it is turned away.
const QUEUE_TIME: f64 = 1.2;
/// Calls turned away in the crowded time: at once and after a wait in turn.
const TURNED_AWAY: usize = 7;

fn settings() -> String {
    format!(
        r#"{{"caps":{{"cancel":true,"connect-timeout":0.25,"idle-close":30.0,"max-attempts":4,"max-open":1000,
        "max-retry-after":2.0,"max-streams":1,"peer-messages":false,"probing":true,"retry-after":true,"second-copies":true}},
        "classes":[{{"name":"save-quote","effect":"guarded","group":"cell","window":7.5,"on-time":2.0,"hard-limit":5.0,
        "late-worth":0.0,"worth":8.0,"stream":false}},{{"name":"place-order","effect":"single_shot","group":"all",
        "window":5.0,"on-time":2.5,"hard-limit":6.0,"late-worth":0.0,"worth":24.0,"stream":false}}],
        "costs":{{"connection":0.0,"cross-zone":0.0,"handshake":0.0}},"me":0,"n-instances":{PROXIES},
        "over-share-worth":0.2,"projects":[{{"name":"steppe-profil","quota-per-s":2000.0,"share":1.0}}],"quantum":0.005,
        "registry-mode":"subscribe","rules":{{"answer-slack":0.02,"ask-within":10.0,"cold":6.8,"cold-share":0.36,
        "drain-grace":0.5,"fall-multiple":4.0,"tip-after":1.0}},"stats":{{"fields":[],"how":"off"}},"tier":0,
        "tiers":["front","pricing"],"zone":"alm-dc1","zones":["alm-dc1"]}}"#
    )
}

fn list(generation: usize, reset: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

fn entry(name: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"alm-dc1","machineType":"front-1c","cell":1,"lifecycle":"{state}","weight":1.0,"startedAtMs":0}}"#
    )
}

struct Discovery {
    case: &'static Case,
    is_crowded: AtomicBool,
    turned_away: AtomicUsize,
    calls: AtomicUsize,
    /// The version of the list: 41, and 42 once the backend drains.
    version: AtomicUsize,
    changed_at: Mutex<Option<f64>>,
    backends: Vec<(String, SocketAddr)>,
}

impl Discovery {
    fn entries(&self) -> Vec<String> {
        let drains = self.version.load(SeqCst) > 41;
        let state = |i: usize| if drains && i == 0 { "DRAINING" } else { "SERVING" };
        self.backends.iter().enumerate().map(|(i, (name, address))| entry(name, *address, state(i))).collect()
    }

    /// The backend drains from now on.
    fn change(&self) {
        self.version.store(42, SeqCst);
        *lock(&self.changed_at) = Some(self.case.now());
        self.case.note(&format!("discovery: {} drains; every call is answered at once", self.backends[0].0));
    }

    fn answer(&self, message: Message) -> String {
        let call = self.calls.fetch_add(1, SeqCst);
        self.case.note(&format!("discovery: call {call}: {}", message.first_line));
        let answer = self.answer_call(&message);
        let first = answer.lines().next().unwrap_or_default().to_string();
        self.case.note(&format!("discovery: call {call} gets {first}"));
        answer
    }

    fn answer_call(&self, message: &Message) -> String {
        let path = message.first_line.split(' ').nth(1).unwrap_or_default();
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let value = |name: &str| -> Option<usize> {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let since = value("since");
        let end = self.case.now() + value("timeout_ms").unwrap_or(0) as f64 / 1000.0;
        loop {
            if self.is_crowded.load(SeqCst) {
                return self.turn_away();
            }
            let version = self.version.load(SeqCst);
            let ok = |body: String| format_answer("200 OK", "Content-Type: application/json\r\n", &body);
            match since {
                None | Some(0) => return ok(list(version, true, &self.entries())),
                Some(known) if known < version => return ok(list(version, false, &self.entries()[..1])),
                Some(_) if self.case.now() >= end => return ok(list(version, false, &[])),
                Some(_) => sleep(0.005),
            }
        }
    }

    /// Other callers fill the queue: one call finds it full, the next gets in and waits in vain.
    fn turn_away(&self) -> String {
        let number = self.turned_away.fetch_add(1, SeqCst) + 1;
        if number % 2 == 0 {
            sleep(QUEUE_TIME);
        }
        if number >= TURNED_AWAY && self.is_crowded.swap(false, SeqCst) {
            self.case.note("discovery: no longer crowded");
            self.change();
        }
        format_answer("503 Service Unavailable", "", "")
    }
}

fn main() {
    let case = begin();
    let late: Arc<Mutex<Vec<f64>>> = Arc::default();
    let discovery: Arc<Mutex<Option<Arc<Discovery>>>> = Arc::default();
    let to_draining = Arc::new(AtomicUsize::new(0));
    let mut backends = Vec::new();
    for i in 0..3 {
        let name = format!("s-{i}");
        let (own_name, late, discovery) = (name.clone(), late.clone(), discovery.clone());
        let to_draining = to_draining.clone();
        let address = serve(move |message| {
            // A send counts from its first byte.
            let now = message.began_at.map_or(case.now(), |moment| case.at(moment));
            if own_name == "s-0" {
                to_draining.fetch_add(1, SeqCst);
            }
            let id = message.header("x-txn").unwrap_or_default().to_string();
            case.note(&format!("{own_name} runs {id}"));
            let changed_at = lock(&discovery).as_ref().and_then(|discovery| *lock(&discovery.changed_at));
            if let Some(at) = changed_at.filter(|at| own_name == "s-0" && now > at + TOLD_AFTER + GRACE) {
                lock(&late).push(now - at);
                case.note(&format!("LATE: {own_name} got {id} {:.3} s after it began to drain", now - at));
            }
            sleep(0.02);
            format_answer("200 OK", "", &format!("answer to {id}"))
        });
        backends.push((name, address));
    }
    let service = Arc::new(Discovery {
        case,
        is_crowded: AtomicBool::new(false),
        turned_away: AtomicUsize::new(0),
        calls: AtomicUsize::new(0),
        version: AtomicUsize::new(41),
        changed_at: Mutex::new(None),
        backends: backends.clone(),
    });
    *lock(&discovery) = Some(service.clone());
    let answering = service.clone();
    let discovery_address = serve(move |message| answering.answer(message));

    let [listen] = free_addresses();
    let entries: Vec<String> =
        backends.iter().map(|(name, address)| entry(name, *address, "SERVING")).collect();
    let seed =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_nanos() as u64;
    let config = format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery_address}","seed":"{seed:016x}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}}"#,
        list(41, true, &entries),
        settings()
    );
    let path = case.write("config.json", &config);
    let environment = [
        ("RELAY_NAME", "n0".to_string()),
        ("RELAY_LISTEN", listen.to_string()),
        ("RELAY_DISCOVERY", discovery_address.to_string()),
        ("RELAY_CONFIG", path.display().to_string()),
        ("TMPDIR", case.temporary.display().to_string()),
    ];
    let proxy = case.start("proxy", "exec target/release/dewpier", &environment);
    let patience = Duration::from_secs(7);
    case.wait_for("the proxy to be ready", || {
        let asked = Client::new(listen).exchange("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n", patience);
        asked.is_ok_and(|answer| answer.status() == 200)
    });
    let sent = Arc::new(AtomicUsize::new(1));
    for _ in 0..4 {
        let sent = sent.clone();
        std::thread::spawn(move || {
            let mut client = Client::new(listen);
            loop {
                let id = format!("{:016x}", sent.fetch_add(1, SeqCst));
                let request = format!(
                    "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: place-order\r\nX-Org: steppe-profil\r\n\
                     X-Remaining-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody"
                );
                case.note(&format!("client sends {id}"));
                match client.exchange(&request, patience) {
                    Ok(answer) => case.note(&format!("client gets {id}: {}", answer.status())),
                    Err(error) => case.note(&format!("client gets {id}: no answer: {error}")),
                }
                sleep(0.1);
            }
        });
    }
    // A quiet time in which the watch goes on.
    case.wait_long_for("a watch", 15.0, || service.calls.load(SeqCst) >= 2);
    sleep(2.0);
    if case.trouble {
        case.note("discovery: crowded");
        service.is_crowded.store(true, SeqCst);
        case.wait_long_for("the end of the crowded time", 60.0, || lock(&service.changed_at).is_some());
    } else {
        sleep(10.0);
        service.change();
    }
    sleep(21.0);
    let late = lock(&late);
    let last = late.last().copied().unwrap_or(0.0);
    case.note(&format!(
        "{} requests came to s-0 after its grace, the last {last:.3} s after the change",
        late.len()
    ));
    assert!(to_draining.load(SeqCst) > 0, "the node gets requests");
    assert!(!case.has_ended(proxy), "the proxy runs to the end");
    case.judge(!late.is_empty());
}
