//! Runs the program with settings drawn from a seed: unusual names, effects, limits, windows and deadlines. The four
//! invariants hold, and contradictory settings are rejected with their position.

mod common;

use common::sockets::*;
use dewpier_standins::rng::Rng;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SEEDS: u64 = 16;
const REQUESTS: usize = 60;
const BACKENDS: usize = 4;
/// How much later than its deadline an answer may arrive on a busy host.
const SLACK: Duration = Duration::from_millis(900);

/// A request class with drawn settings.
#[derive(Clone, Debug)]
struct Class {
    name: String,
    effect: &'static str,
    group: &'static str,
    window: f64,
    deadline: f64,
}

fn draw_name(rng: &mut Rng) -> String {
    let letters = b"abcdefghijklmnopqrstuvwxyz0123456789-_.";
    (0..3 + rng.below(20)).map(|_| letters[rng.below(letters.len())] as char).collect()
}

/// Draws the settings; returns them with the classes and the first tenant.
fn draw_settings(rng: &mut Rng) -> (Value, Vec<Class>, String) {
    let classes: Vec<Class> = (0..1 + rng.below(5))
        .map(|i| Class {
            name: format!("{}{i}", draw_name(rng)),
            effect: ["free", "guarded", "single_shot"][rng.below(3)],
            group: ["all", "zone", "cell"][rng.below(3)],
            window: 0.1 + 0.1 * rng.below(20) as f64,
            deadline: 0.4 + 0.1 * rng.below(12) as f64,
        })
        .collect();
    let tenants: Vec<String> = (0..rng.below(4)).map(|i| format!("{}{i}", draw_name(rng))).collect();
    let class_settings = classes.iter().map(|class| {
        json!({"name": class.name, "effect": class.effect, "group": class.group, "window": class.window,
               "on-time": class.deadline * (0.4 + 0.1 * rng.below(7) as f64), "hard-limit": class.deadline,
               "late-worth": 0.1 * rng.below(10) as f64, "worth": 1.0 + rng.below(30) as f64, "stream": false})
    });
    let class_settings: Vec<Value> = class_settings.collect();
    let mut settings = settings();
    settings["classes"] = json!(class_settings);
    settings["projects"] = json!(
        tenants.iter().map(|t| json!({"name": t, "quota-per-s": 50.0, "share": 0.3})).collect::<Vec<_>>()
    );
    settings["registry-mode"] = json!(["automatic", "subscribe"][rng.below(2)]);
    settings["tier"] = json!(rng.below(3));
    settings["n-instances"] = json!(1 + rng.below(30));
    settings["caps"]["max-attempts"] = json!(1 + rng.below(5));
    settings["caps"]["second-copies"] = json!(rng.below(2) == 0);
    settings["caps"]["cancel"] = json!(rng.below(2) == 0);
    settings["caps"]["connect-timeout"] = json!(0.1 + 0.1 * rng.below(5) as f64);
    settings["rules"]["ask-within"] = json!(0.3 + rng.below(3) as f64);
    settings["rules"]["drain-grace"] = json!(0.2 + 0.1 * rng.below(10) as f64);
    settings["costs"] =
        json!({"handshake": 0.02 * rng.below(5) as f64, "cross-zone": 0.02 * rng.below(5) as f64});
    let tenant = tenants.first().cloned().unwrap_or_default();
    (settings, classes, tenant)
}

/// A request that arrived at a backend: the time, the backend's index, and whether it may have run there.
type Arrival = (Instant, usize, bool);

fn format_request(class: &Class, tenant: &str, id: u64) -> String {
    let (method, key) = match class.effect {
        "free" => ("GET", ""),
        "guarded" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", ""),
    };
    let org = if tenant.is_empty() { String::new() } else { format!("X-Org: {tenant}\r\n") };
    let (name, remaining_ms) = (&class.name, (class.deadline * 1000.0) as u64);
    format!(
        "{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {name}\r\n{org}{key}\
         X-Remaining-Ms: {remaining_ms}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Runs the program with the settings of a seed and checks the invariants.
fn run_seed(seed: u64) {
    let mut rng = Rng::new(seed);
    let (settings, classes, tenant) = draw_settings(&mut rng);
    let arrivals: Arc<Mutex<HashMap<String, Vec<Arrival>>>> = Arc::default();
    // The id and the backend determine how a request ends, so that a repeat may end differently elsewhere.
    let backends: Vec<ScriptedServer> = (0..BACKENDS)
        .map(|number| {
            let arrivals = arrivals.clone();
            ScriptedServer::new(move |_, message| {
                let id = message.header("x-txn").unwrap_or_default().to_string();
                let ending = (u64::from_str_radix(&id, 16).unwrap_or(0) / 7 + 3 * number as u64 + seed) % 9;
                let may_have_run = ending != 0;
                arrivals.lock().unwrap().entry(id).or_default().push((Instant::now(), number, may_have_run));
                match ending {
                    0 => ScriptedReply::Respond(
                        "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".into(),
                    ),
                    1 => ScriptedReply::Respond(format_response("500 No", "")),
                    2 => ScriptedReply::Close,
                    3 => ScriptedReply::NeverRespond(std::sync::mpsc::channel().0),
                    4 => ScriptedReply::Respond("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf".into()),
                    _ => ScriptedReply::Respond(format_response("200 OK", "done")),
                }
            })
        })
        .collect();
    // The last backend drains halfway; the drain counts as received when the answer is written.
    let is_drained = Arc::new(AtomicBool::new(false));
    let drain_received_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let entries = |state: &str| -> Vec<Value> {
        let state_of = |i: usize| if i + 1 == BACKENDS { state } else { "SERVING" };
        let backend_entry = |(i, b): (usize, &ScriptedServer)| {
            let mut entry = list_entry(&format!("s-{i}"), b.address, state_of(i));
            entry["cell"] = json!(i / 2);
            entry
        };
        backends.iter().enumerate().map(backend_entry).collect()
    };
    let drain_list = discovery_list(2, true, &entries("DRAINING")).to_string();
    let (drain_requested, server_received_at) = (is_drained.clone(), drain_received_at.clone());
    let discovery = ScriptedServer::new(move |_, message| {
        if message.start_line.contains("since=2&") {
            return ScriptedReply::NeverRespond(std::sync::mpsc::channel().0);
        }
        if !drain_requested.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(50));
            return ScriptedReply::Respond(format_response(
                "200 OK",
                &discovery_list(1, false, &[]).to_string(),
            ));
        }
        server_received_at.lock().unwrap().get_or_insert_with(Instant::now);
        ScriptedReply::Respond(format_response("200 OK", &drain_list))
    });
    let proxy = Proxy::start(&settings, &discovery_list(1, true, &entries("SERVING")), discovery.address);
    let classes_of: Vec<&Class> = (0..REQUESTS).map(|_| &classes[rng.below(classes.len())]).collect();
    let ids: Vec<u64> = (0..REQUESTS as u64).map(|i| (seed << 32) + 7 * i + 1).collect();
    let answers: Vec<(Option<u16>, Duration)> = std::thread::scope(|scope| {
        let (proxy, tenant) = (&proxy, tenant.as_str());
        let mut clients = Vec::new();
        for (i, (class, id)) in classes_of.iter().zip(&ids).enumerate() {
            if i == REQUESTS / 2 {
                is_drained.store(true, Ordering::SeqCst);
            }
            std::thread::sleep(Duration::from_millis(20));
            clients.push(scope.spawn(move || {
                let mut client = proxy.connect();
                let begun = Instant::now();
                client.get_mut().write_all(format_request(class, tenant, *id).as_bytes()).unwrap();
                let status = read_message(&mut client).map(|answer| answer.status());
                (status, begun.elapsed())
            }));
        }
        clients.into_iter().map(|client| client.join().expect("a client ends")).collect()
    });
    // Waits for open attempts to end.
    std::thread::sleep(Duration::from_millis(300));
    let arrivals = arrivals.lock().unwrap();
    let grace = Duration::from_secs_f64(settings["rules"]["drain-grace"].as_f64().unwrap()) + SLACK;
    for ((class, id), (status, duration)) in classes_of.iter().zip(&ids).zip(&answers) {
        let context = format!("seed {seed}, {class:?}, {id:x}");
        let status = status.unwrap_or_else(|| panic!("{context}: no answer"));
        assert!(status != 400, "{context}: rejected as malformed");
        assert!(*duration <= Duration::from_secs_f64(class.deadline) + SLACK, "{context}: {duration:?}");
        let attempts = arrivals.get(&format!("{id:016x}")).cloned().unwrap_or_default();
        let max_attempts = settings["caps"]["max-attempts"].as_u64().unwrap() as usize;
        assert!(attempts.len() <= max_attempts, "{context}: {} attempts", attempts.len());
        let first = attempts.iter().position(|(.., may_have_run)| *may_have_run);
        let repeats = first.map(|first| (attempts[first], &attempts[first + 1..]));
        if let Some(((first_at, origin, _), further)) = repeats {
            match (class.effect, class.group) {
                ("free", _) => {}
                ("single_shot", _) => assert!(further.is_empty(), "{context}: sent again"),
                (_, group) => {
                    let window = Duration::from_secs_f64(class.window) + SLACK;
                    assert!(
                        further.iter().all(|(at, ..)| *at - first_at <= window),
                        "{context}: after its window"
                    );
                    let is_in_group = |to: usize| group != "cell" || to / 2 == origin / 2;
                    assert!(further.iter().all(|(_, to, _)| is_in_group(*to)), "{context}: outside its cell");
                }
            }
            let harmless = class.effect == "free" || class.effect == "guarded" && class.group == "all";
            assert!(
                harmless || status != 503 && status != 429,
                "{context}: rejected although it may have run"
            );
        }
        if let Some(received_at) = *drain_received_at.lock().unwrap() {
            let late = attempts
                .iter()
                .filter(|(at, to, _)| *to + 1 == BACKENDS && *at > received_at + grace)
                .count();
            assert_eq!(late, 0, "{context}: sent to a draining backend");
        }
    }
    assert!(drain_received_at.lock().unwrap().is_some(), "seed {seed}: the drain was never sent");
}

#[test]
fn invariants_hold_with_unusual_settings() {
    for first in (0..SEEDS).step_by(4) {
        std::thread::scope(|scope| {
            for seed in first..first + 4 {
                scope.spawn(move || run_seed(seed));
            }
        });
    }
}

#[test]
fn contradictory_settings_are_rejected_with_their_position() {
    type Change = fn(&mut Value);
    let cases: [(&str, Change); 10] = [
        ("classes: expected one class at least", |s| s["classes"] = json!([])),
        ("classes: expected names that differ, got 'look'", |s| s["classes"][1]["name"] = json!("look")),
        ("window of class save: expected", |s| s["classes"][1]["window"] = json!(-1.0)),
        ("group of class save: expected a value", |s| {
            s["classes"][1].as_object_mut().unwrap().remove("group");
        }),
        ("hard-limit of class look: expected", |s| s["classes"][0]["hard-limit"] = json!(-3)),
        ("me: expected a number below n-instances", |s| s["me"] = json!(1)),
        ("caps.max-attempts: expected one at least", |s| s["caps"]["max-attempts"] = json!(0)),
        ("rules.cold-share: expected a part from 0 to 1, got '1.5'", |s| {
            s["rules"]["cold-share"] = json!(1.5)
        }),
        ("rules.tip-after: expected", |s| s["rules"]["tip-after"] = json!(-1)),
        ("projects: expected names that differ", |s| {
            let one = s["projects"][0].clone();
            s["projects"].as_array_mut().unwrap().push(one);
        }),
    ];
    for (position, change) in cases {
        let mut settings = settings();
        change(&mut settings);
        let config = build_config(&settings, &discovery_list(1, true, &[]));
        let output = command(&config.to_string(), idle_discovery().address).0.output().unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{position}");
        assert!(message.contains(position), "{position}: {message}");
        // On SIGHUP the proxy rejects the new settings and keeps the previous ones.
        let backend = ScriptedServer::always_ok("hello");
        let proxy = Proxy::for_backends(&[&backend]);
        proxy.write_config(&config);
        proxy.signal("-HUP");
        assert_eq!(proxy.exchange(&request_text("look", 9000)).body, b"hello", "{position}");
    }
}
