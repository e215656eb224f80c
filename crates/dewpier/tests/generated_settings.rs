//! The program on settings that a seed draws: names, effects, limits, windows and deadlines that no deployment has.
//! The four rules hold, and settings that contradict themselves are refused with their place.

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
/// What an answer may take beyond its client's time on a busy machine.
const SLACK: Duration = Duration::from_millis(900);

/// A class as drawn.
#[derive(Clone, Debug)]
struct Class {
    name: String,
    effect: &'static str,
    group: &'static str,
    window: f64,
    deadline: f64,
}

fn word(rng: &mut Rng) -> String {
    let letters = b"abcdefghijklmnopqrstuvwxyz0123456789-_.";
    (0..3 + rng.below(20)).map(|_| letters[rng.below(letters.len())] as char).collect()
}

fn drawn(rng: &mut Rng) -> (Value, Vec<Class>, String) {
    let classes: Vec<Class> = (0..1 + rng.below(5))
        .map(|i| Class {
            name: format!("{}{i}", word(rng)),
            effect: ["free", "guarded", "single_shot"][rng.below(3)],
            group: ["all", "zone", "cell"][rng.below(3)],
            window: 0.1 + 0.1 * rng.below(20) as f64,
            deadline: 0.4 + 0.1 * rng.below(12) as f64,
        })
        .collect();
    let tenants: Vec<String> = (0..rng.below(4)).map(|i| format!("{}{i}", word(rng))).collect();
    let told = classes.iter().map(|class| {
        json!({"name": class.name, "effect": class.effect, "group": class.group, "window": class.window,
               "on-time": class.deadline * (0.4 + 0.1 * rng.below(7) as f64), "hard-limit": class.deadline,
               "late-worth": 0.1 * rng.below(10) as f64, "worth": 1.0 + rng.below(30) as f64, "stream": false})
    });
    let told: Vec<Value> = told.collect();
    let mut settings = settings();
    settings["classes"] = json!(told);
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

/// A request that came to a backend: when, to which, and whether it may have run there.
type Came = (Instant, usize, bool);

fn asked(class: &Class, tenant: &str, id: u64) -> String {
    let (method, key) = match class.effect {
        "free" => ("GET", ""),
        "guarded" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", ""),
    };
    let org = if tenant.is_empty() { String::new() } else { format!("X-Org: {tenant}\r\n") };
    let (name, left) = (&class.name, (class.deadline * 1000.0) as u64);
    format!(
        "{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {name}\r\n{org}{key}\
         X-Remaining-Ms: {left}\r\nContent-Length: 0\r\n\r\n"
    )
}

fn play(seed: u64) {
    let mut rng = Rng::new(seed);
    let (settings, classes, tenant) = drawn(&mut rng);
    let came: Arc<Mutex<HashMap<String, Vec<Came>>>> = Arc::default();
    // Each ends requests in a way that the id decides, so that a repeat may find another way elsewhere.
    let backends: Vec<Played> = (0..BACKENDS)
        .map(|number| {
            let came = came.clone();
            Played::new(move |_, message| {
                let id = message.header("x-txn").unwrap_or_default().to_string();
                let way = (u64::from_str_radix(&id, 16).unwrap_or(0) / 7 + 3 * number as u64 + seed) % 9;
                let ran = way != 0;
                came.lock().unwrap().entry(id).or_default().push((Instant::now(), number, ran));
                match way {
                    0 => Play::Answer(
                        "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".into(),
                    ),
                    1 => Play::Answer(answer("500 No", "")),
                    2 => Play::Close,
                    3 => Play::Silence(std::sync::mpsc::channel().0),
                    4 => Play::Answer("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf".into()),
                    _ => Play::Answer(answer("200 OK", "done")),
                }
            })
        })
        .collect();
    // The last one drains when told; what comes on a watch counts as told when it is written.
    let drained = Arc::new(AtomicBool::new(false));
    let told_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let entries = |state: &str| -> Vec<Value> {
        let state_of = |i: usize| if i + 1 == BACKENDS { state } else { "SERVING" };
        let of = |(i, b): (usize, &Played)| {
            let mut entry = list_entry(&format!("s-{i}"), b.address, state_of(i));
            entry["cell"] = json!(i / 2);
            entry
        };
        backends.iter().enumerate().map(of).collect()
    };
    let drains = discovery_list(2, true, &entries("DRAINING")).to_string();
    let (drained_now, told) = (drained.clone(), told_at.clone());
    let discovery = Played::new(move |_, message| {
        if message.first.contains("since=2&") {
            return Play::Silence(std::sync::mpsc::channel().0);
        }
        if !drained_now.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(50));
            return Play::Answer(answer("200 OK", &discovery_list(1, false, &[]).to_string()));
        }
        told.lock().unwrap().get_or_insert_with(Instant::now);
        Play::Answer(answer("200 OK", &drains))
    });
    let proxy = Proxy::start(&settings, &discovery_list(1, true, &entries("SERVING")), discovery.address);
    let classes_of: Vec<&Class> = (0..REQUESTS).map(|_| &classes[rng.below(classes.len())]).collect();
    let ids: Vec<u64> = (0..REQUESTS as u64).map(|i| (seed << 32) + 7 * i + 1).collect();
    let answers: Vec<(Option<u16>, Duration)> = std::thread::scope(|scope| {
        let (proxy, tenant) = (&proxy, tenant.as_str());
        let mut waits = Vec::new();
        for (i, (class, id)) in classes_of.iter().zip(&ids).enumerate() {
            if i == REQUESTS / 2 {
                drained.store(true, Ordering::SeqCst);
            }
            std::thread::sleep(Duration::from_millis(20));
            waits.push(scope.spawn(move || {
                let mut client = proxy.connect();
                let begun = Instant::now();
                client.get_mut().write_all(asked(class, tenant, *id).as_bytes()).unwrap();
                let status = read(&mut client).map(|answer| answer.status());
                (status, begun.elapsed())
            }));
        }
        waits.into_iter().map(|wait| wait.join().expect("a client ends")).collect()
    });
    // What is still out comes to its end.
    std::thread::sleep(Duration::from_millis(300));
    let came = came.lock().unwrap();
    let grace = Duration::from_secs_f64(settings["rules"]["drain-grace"].as_f64().unwrap()) + SLACK;
    for ((class, id), (status, took)) in classes_of.iter().zip(&ids).zip(&answers) {
        let what = format!("seed {seed}, {class:?}, {id:x}");
        let status = status.unwrap_or_else(|| panic!("{what}: no answer"));
        assert!(status != 400, "{what}: not understood");
        assert!(*took <= Duration::from_secs_f64(class.deadline) + SLACK, "{what}: {took:?}");
        let sent = came.get(&format!("{id:016x}")).cloned().unwrap_or_default();
        let most = settings["caps"]["max-attempts"].as_u64().unwrap() as usize;
        assert!(sent.len() <= most, "{what}: {} attempts", sent.len());
        let first = sent.iter().position(|(.., ran)| *ran);
        let after = first.map(|first| (sent[first], &sent[first + 1..]));
        if let Some(((began, origin, _), further)) = after {
            match (class.effect, class.group) {
                ("free", _) => {}
                ("single_shot", _) => assert!(further.is_empty(), "{what}: sent again"),
                (_, group) => {
                    let late = Duration::from_secs_f64(class.window) + SLACK;
                    assert!(further.iter().all(|(at, ..)| *at - began <= late), "{what}: after its window");
                    let inside = |to: usize| group != "cell" || to / 2 == origin / 2;
                    assert!(further.iter().all(|(_, to, _)| inside(*to)), "{what}: outside its cell");
                }
            }
            let harmless = class.effect == "free" || class.effect == "guarded" && class.group == "all";
            assert!(harmless || status != 503 && status != 429, "{what}: refused, and may have run");
        }
        if let Some(told) = *told_at.lock().unwrap() {
            let late = sent.iter().filter(|(at, to, _)| *to + 1 == BACKENDS && *at > told + grace).count();
            assert_eq!(late, 0, "{what}: sent to one that drains");
        }
    }
    assert!(told_at.lock().unwrap().is_some(), "seed {seed}: the drain was never told");
}

#[test]
fn the_rules_hold_on_settings_that_no_deployment_has() {
    for first in (0..SEEDS).step_by(4) {
        std::thread::scope(|scope| {
            for seed in first..first + 4 {
                scope.spawn(move || play(seed));
            }
        });
    }
}

#[test]
fn settings_that_contradict_themselves_are_refused_with_their_place() {
    type Spoil = fn(&mut Value);
    let cases: [(&str, Spoil); 10] = [
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
    for (place, spoil) in cases {
        let mut settings = settings();
        spoil(&mut settings);
        let config = build_config(&settings, &discovery_list(1, true, &[]));
        let output = command(&config.to_string(), idle_discovery().address).0.output().unwrap();
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{place}");
        assert!(told.contains(place), "{place}: {told}");
        // The same at SIGHUP: what serves goes on as it was.
        let backend = Played::good("hello");
        let proxy = Proxy::for_backends(&[&backend]);
        proxy.write_config(&config);
        proxy.signal("-HUP");
        assert_eq!(proxy.exchange(&request_text("look", 9000)).body, b"hello", "{place}");
    }
}
