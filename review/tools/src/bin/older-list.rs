//! Discovery tells of a drain; then a new configuration names an address whose service lags behind.

use review_tools::http::{Backend, Discovery, connect, format_list, read_message};
use review_tools::{Case, Proxy, cannot_run};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_millis(550);

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let backends: Vec<Backend> =
        (0..4).map(|i| Backend::start(&format!("s-{i}"), Duration::from_millis(30), &record)).collect();
    let serving = format_list(&backends.iter().map(|b| b.address).collect::<Vec<_>>());
    let with_generation = |generation: u64, list: &str| {
        list.replacen("\"generation\":1", &format!("\"generation\":{generation}"), 1)
    };
    let draining = |generation| with_generation(generation, &serving.replacen("SERVING", "DRAINING", 1));
    let first = Discovery::start("first", 4, with_generation(4, &serving), &record);
    let second = Discovery::start("second", 4, with_generation(4, &serving), &record);
    let config = |discovery: &str| {
        format!(
            r#"{{"name":"n0","seed":"8c1f30d27a5be964","discovery":"{discovery}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},
"settings":{{"caps":{{"cancel":true,"connect-timeout":0.25,"idle-close":30.0,"max-attempts":4,"max-retry-after":2.0,"probing":true,"retry-after":true,"second-copies":true}},
"classes":[{{"name":"place-order","effect":"single_shot","on-time":2.5,"hard-limit":6.0,"late-worth":0.0,"worth":24.0,"stream":false}}],
"me":0,"n-instances":1,"quantum":0.005,"registry-mode":"subscribe","projects":[{{"name":"steppe-profil","quota-per-s":1000.0,"share":1.0}}],
"rules":{{"ask-within":10.0,"cold":6.8,"cold-share":0.36,"drain-grace":0.5,"fall-multiple":4.0,"tip-after":1.0}},
"stats":{{"fields":[],"how":"off"}},"tier":0,"zone":"alm-dc1","zones":["alm-dc1"]}}}}"#,
            with_generation(4, &serving)
        )
    };
    let path = case.folder.join("config.json");
    let write = |text: String| {
        let new = case.folder.join("config.new");
        let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path));
        written.unwrap_or_else(|e| cannot_run(&e.to_string()));
    };
    write(config(&first.address.to_string()));
    let environment = [
        ("RELAY_NAME", "n0".to_string()),
        ("RELAY_LISTEN", "127.0.0.1:0".into()),
        ("RELAY_DISCOVERY", first.address.to_string()),
        ("RELAY_CONFIG", path.display().to_string()),
        ("TMPDIR", case.folder.display().to_string()),
    ];
    let proxy = Proxy::start("", &environment, &record);
    let address = proxy.wait_for_address("listening on ");
    sleep(Duration::from_secs(7));
    let begun_at: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let end = Instant::now() + Duration::from_secs(14);
    let clients: Vec<_> = (0..4)
        .map(|c| {
            spawn(move || {
                let Ok(mut stream) = connect(address, Duration::from_secs(8)) else { return };
                for n in 0.. {
                    if Instant::now() > end {
                        return;
                    }
                    let id = 0x1000_0000u64 * (c + 1) + n;
                    let text = format!(
                        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: place-order\r\nX-Org: steppe-profil\r\nX-Remaining-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody"
                    );
                    if stream.get_mut().write_all(text.as_bytes()).is_err() || read_message(&mut stream).is_err() {
                        return;
                    }
                    sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    // Which requests begin at s-0, and when.
    let (begun, times) = (backends[0].begun.clone(), begun_at.clone());
    spawn(move || {
        let mut seen = 0;
        loop {
            let now = begun.lock().unwrap().len();
            (seen..now).for_each(|_| times.lock().unwrap().push(Instant::now()));
            seen = now;
            sleep(Duration::from_millis(1));
        }
    });
    sleep(Duration::from_secs(2));
    record.line("s-0 drains: version 5 at the first service");
    first.set_list(5, draining(5));
    let (told, _) = proxy.wait_for_log(0, "generation=5");
    sleep(Duration::from_secs(2));
    if !case.has_trouble() {
        second.set_list(5, draining(5));
    }
    record.line("SIGHUP: discovery moves to the second service");
    write(config(&second.address.to_string()));
    proxy.signal("-HUP");
    sleep(Duration::from_secs(3));
    record.line("the second service has version 5 too");
    second.set_list(5, draining(5));
    clients.into_iter().for_each(|c| drop(c.join()));
    let times = begun_at.lock().unwrap();
    let late = times.iter().filter(|at| **at > told + GRACE).count();
    record.line(format!("{} requests began at s-0, {late} of them later than the grace", times.len()));
    let broken = late > 0;
    case.finish(proxy, broken)
}
