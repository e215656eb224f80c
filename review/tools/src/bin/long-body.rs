//! Orders with long bodies are under way at backends that hang when the proxy is told to end.

use review_tools::http::{Backend, connect, format_list, read_message, start_discovery};
use review_tools::{Case, Proxy, cannot_run};
use std::collections::HashSet;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Backends, and those that hang: half of them at most, as the standing test's page has it.
const BACKENDS: usize = 6;
const HANGING: usize = 3;
/// Requests with a long and with a short body.
const LONG: usize = 18;
const SHORT: usize = 18;
const LONG_BYTES: usize = 200_000;
/// The same with TROUBLE=still: more than the buffers between proxy and backend hold.
const STILL_BYTES: usize = 8_000_000;
/// What a client gives a request, and until when after that the answer still counts.
const REMAINING: Duration = Duration::from_millis(6000);
const SLACK: Duration = Duration::from_millis(500);
/// From SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s.
const TIME_TO_KILL: Duration = Duration::from_millis(3700);

/// One client's request on a connection of its own: what came of it, and how long after its last byte.
struct Outcome {
    id: String,
    long: bool,
    /// Its last byte was written: the proxy has taken it.
    is_taken: bool,
    status: Option<u16>,
    own_answer: bool,
    error: String,
    after: Duration,
}

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let (hangs, terminates) =
        (matches!(&*case.trouble, "1" | "hang"), matches!(&*case.trouble, "1" | "term"));
    let stands_still = case.trouble == "still";
    let work = Duration::from_millis(150);
    let backends: Vec<Backend> =
        (0..BACKENDS).map(|i| Backend::start(&format!("s-{i}"), work, &record)).collect();
    let list = format_list(&backends.iter().map(|b| b.address).collect::<Vec<_>>());
    let discovery = start_discovery(list.clone());
    let class = |name: &str, effect: &str, aim: f64, limit: f64, worth: f64| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"cell","window":7.5,"on-time":{aim},"hard-limit":{limit},"late-worth":0.0,"worth":{worth},"stream":false}}"#
        )
    };
    let config = format!(
        r#"{{"name":"n0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{list},
"settings":{{"caps":{{"cancel":true,"connect-timeout":0.25,"idle-close":30.0,"max-attempts":4,"max-retry-after":2.0,"probing":true,"retry-after":true,"second-copies":true}},
"classes":[{},{}],"me":0,"n-instances":1,"quantum":0.005,"registry-mode":"subscribe",
"projects":[{{"name":"steppe-profil","quota-per-s":1000.0,"share":1.0}}],
"rules":{{"ask-within":10.0,"cold":6.8,"cold-share":0.36,"drain-grace":0.5,"fall-multiple":4.0,"tip-after":1.0}},
"stats":{{"fields":[],"how":"off"}},"tier":0,"zone":"alm-dc1","zones":["alm-dc1"]}}}}"#,
        class("save-quote", "guarded", 2.0, 5.0, 8.0),
        class("place-order", "single_shot", 2.5, 6.0, 24.0),
    );
    let path = case.folder.join("config.json");
    std::fs::write(&path, config).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let environment = [
        ("RELAY_NAME", "n0".to_string()),
        ("RELAY_LISTEN", "127.0.0.1:0".into()),
        ("RELAY_DISCOVERY", discovery.to_string()),
        ("RELAY_CONFIG", path.display().to_string()),
        ("TMPDIR", case.folder.display().to_string()),
    ];
    let mut proxy = Proxy::start("", &environment, &record);
    let address = proxy.wait_for_address("listening on ");
    let ready = || {
        let mut stream = connect(address, Duration::from_secs(2)).ok()?;
        stream.get_mut().write_all(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n").ok()?;
        read_message(&mut stream).ok().filter(|answer| answer.status() == 200)
    };
    let started = Instant::now();
    while ready().is_none() {
        if started.elapsed() > Duration::from_secs(30) {
            cannot_run("the proxy is not ready");
        }
        sleep(Duration::from_millis(50));
    }
    let send = |n: usize, bytes: usize| {
        let long = bytes >= LONG_BYTES;
        let (results, result) = channel::<Outcome>();
        let record = record.clone();
        let (written, is_written) = channel::<()>();
        spawn(move || {
            let id = format!("{:016x}", 0x9b1f_03aa_0000_0000u64 + n as u64);
            let head = format!(
                "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: place-order\r\nX-Org: steppe-profil\r\n\
                 X-Remaining-Ms: {}\r\nContent-Length: {bytes}\r\n\r\n",
                REMAINING.as_millis()
            );
            let mut stream =
                connect(address, REMAINING + SLACK).unwrap_or_else(|e| cannot_run(&e.to_string()));
            let text = [head.as_bytes(), &vec![b'x'; bytes]].concat();
            let sent = stream.get_mut().write_all(&text);
            let last_byte = Instant::now();
            record.line(format!("client sends {id} whole ({bytes} bytes): {sent:?}"));
            let _ = written.send(());
            let answer = read_message(&mut stream);
            let after = last_byte.elapsed();
            let outcome = Outcome {
                is_taken: sent.is_ok(),
                status: answer.as_ref().ok().map(|a| a.status()),
                own_answer: answer.as_ref().is_ok_and(|a| a.body == id.as_bytes()),
                error: answer.err().map(|e| e.to_string()).unwrap_or_default(),
                id,
                long,
                after,
            };
            record.line(format!(
                "client of {}: {} after {} ms {}",
                outcome.id,
                outcome.status.map_or("NO ANSWER".into(), |s| s.to_string()),
                after.as_millis(),
                outcome.error
            ));
            let _ = results.send(outcome);
        });
        (is_written, result)
    };
    // A quiet time before: short and long bodies are served.
    for n in 0..30 {
        let (_, result) = send(n, if n % 3 == 0 { LONG_BYTES } else { 200 });
        let outcome = result.recv().unwrap();
        if !(outcome.status == Some(200) && outcome.own_answer) {
            cannot_run("a request before the disruption was not served");
        }
    }
    if hangs {
        record.line(format!("{HANGING} of {BACKENDS} backends hang from now on"));
        backends[..HANGING].iter().for_each(|b| b.hangs.store(true, Ordering::SeqCst));
    }
    if stands_still {
        record.line(format!("{HANGING} of {BACKENDS} backends stand still from now on"));
        backends[..HANGING].iter().for_each(|b| b.is_still.store(true, Ordering::SeqCst));
    }
    let long_bytes = if stands_still { STILL_BYTES } else { LONG_BYTES };
    let bytes = |n: usize| if n < LONG { long_bytes } else { 200 };
    let waiting: Vec<_> = (0..LONG + SHORT).map(|n| send(100 + n, bytes(n))).collect();
    waiting.iter().for_each(|(written, _)| written.recv().unwrap_or_default());
    sleep(Duration::from_millis(300));
    let term_at = Instant::now();
    if terminates {
        record.line("SIGTERM");
        proxy.signal("-TERM");
    }
    let mut exited = None;
    while terminates && term_at.elapsed() < TIME_TO_KILL {
        if exited.is_none() && proxy.child.try_wait().is_ok_and(|status| status.is_some()) {
            exited = Some(term_at.elapsed());
            record.line(format!("the proxy has ended {} ms after SIGTERM", term_at.elapsed().as_millis()));
        }
        sleep(Duration::from_millis(5));
    }
    if terminates && exited.is_none() {
        record.line("SIGKILL");
        let _ = proxy.child.kill();
    }
    let outcomes: Vec<Outcome> = waiting.iter().map(|(_, result)| result.recv().unwrap()).collect();
    let begun: HashSet<String> = backends.iter().flat_map(|b| b.begun.lock().unwrap().clone()).collect();
    let in_time = |o: &&Outcome| o.status.is_some() && o.after <= REMAINING + SLACK;
    let lost: Vec<&Outcome> = outcomes.iter().filter(|o| o.is_taken && !in_time(o)).collect();
    let foreign = outcomes.iter().filter(|o| o.status == Some(200) && !o.own_answer).count();
    let count = |long: bool, status: u16| {
        outcomes.iter().filter(|o| o.long == long && o.status == Some(status)).count()
    };
    for long in [true, false] {
        let lost = lost.iter().filter(|o| o.long == long);
        record.line(format!(
            "{} bodies: {} sent, 200: {}, 502: {}, 503: {}, no answer: {} ({} of them begun at a backend)",
            if long { "long" } else { "short" },
            if long { LONG } else { SHORT },
            count(long, 200),
            count(long, 502),
            count(long, 503),
            lost.clone().count(),
            lost.filter(|o| begun.contains(&o.id)).count(),
        ));
    }
    let broken = !lost.is_empty() || foreign > 0;
    case.finish(proxy, broken)
}
