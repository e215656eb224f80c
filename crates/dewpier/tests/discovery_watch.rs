//! Discovery that falls silent, breaks, or says something else than expected: a change is acted upon in time, counted
//! from when discovery had it and could be reached. Real processes over loopback.

mod common;

use common::sockets::*;
use dewpier_http::discovery::schedule::STALENESS_BOUND;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Who is told of changes, and who has to ask.
const MODES: [&str; 2] = ["automatic", "subscribe"];

fn settings_of(mode: &str) -> Value {
    let mut settings = settings();
    settings["registry-mode"] = json!(mode);
    settings
}

fn silence() -> Play {
    Play::Silence(channel().0)
}

/// A discovery whose list changes at one moment, from one backend to another one.
struct Changing {
    server: Played,
    /// When it changed.
    since: Arc<Mutex<Option<Instant>>>,
}

/// What the proxy knows at first, and what discovery has from the change on.
const OLD: u64 = 1;
const NEW: u64 = 2;

impl Changing {
    /// The list changes while the `good + 1`-th call is out. That one and the ones after it are played by `bad` as
    /// long as it gives something; then each call is answered with `news`, or with silence where there is none.
    fn start(
        good: usize,
        bad: impl Fn(usize) -> Option<Play> + Send + Sync + 'static,
        news: impl Fn() -> Play + Send + Sync + 'static,
    ) -> Self {
        let since: Arc<Mutex<Option<Instant>>> = Arc::default();
        let changed = since.clone();
        let server = Played::new(move |before, message| {
            let knows_new = message.first.contains(&format!("since={NEW}&"));
            if before < good {
                return Play::Answer(answer("200 OK", &discovery_list(OLD, false, &[]).to_string()));
            }
            changed.lock().unwrap().get_or_insert_with(Instant::now);
            match bad(before - good) {
                Some(play) => play,
                None if knows_new => silence(),
                None => news(),
            }
        });
        Self { server, since }
    }

    /// How long after the change the proxy first used the new backend.
    fn acted_upon(&self, proxy: &Proxy) -> Duration {
        wait_for("change", || self.since.lock().unwrap().is_some());
        wait_for("answer of the new backend", || proxy.exchange(&request_text("look", 9000)).body == b"new");
        self.since.lock().unwrap().unwrap().elapsed()
    }
}

/// The change as entries that changed.
fn as_changes(old: SocketAddr, new: SocketAddr) -> Value {
    discovery_list(NEW, false, &[list_entry("s-0", old, "DELETED"), list_entry("s-new", new, "SERVING")])
}

/// The change as a whole list, which no longer names the old backend although it still answers.
fn as_whole(_: SocketAddr, new: SocketAddr) -> Value {
    discovery_list(NEW, true, &[list_entry("s-new", new, "SERVING")])
}

/// The old backend drains, and stays up.
fn as_drain(old: SocketAddr, new: SocketAddr) -> Value {
    discovery_list(NEW, false, &[list_entry("s-0", old, "DRAINING"), list_entry("s-new", new, "SERVING")])
}

/// Plays one case in both modes: the change is acted upon in time, and nothing goes to the old backend from then on.
fn in_time(
    good: usize,
    bad: impl Fn(usize) -> Option<Play> + Clone + Send + Sync + 'static,
    words: fn(SocketAddr, SocketAddr) -> Value,
    wire: fn(&Value) -> Play,
) {
    std::thread::scope(|scope| {
        for mode in MODES {
            let bad = bad.clone();
            scope.spawn(move || {
                let [old, new] = ["old", "new"].map(Played::good);
                let (from, to) = (old.address, new.address);
                let discovery = Changing::start(good, bad, move || wire(&words(from, to)));
                let proxy = Proxy::start(&settings_of(mode), &known_list(&[&old]), discovery.server.address);
                let took = discovery.acted_upon(&proxy);
                assert!(took <= STALENESS_BOUND, "{mode}: {took:?}");
                let before = old.count();
                (0..20).for_each(|_| {
                    assert_eq!(proxy.exchange(&request_text("look", 9000)).body, b"new", "{mode}")
                });
                assert_eq!(old.count(), before, "{mode}: sent to what is not in service");
            });
        }
    });
}

fn whole_text(list: &Value) -> Play {
    Play::Answer(answer("200 OK", &list.to_string()))
}

fn first(calls: usize, play: fn() -> Play) -> impl Fn(usize) -> Option<Play> + Clone + Send + Sync {
    move |call| (call < calls).then(play)
}

#[test]
fn a_watch_that_is_silent_from_the_first_second_on() {
    in_time(0, first(1, silence), as_drain, whole_text);
}

#[test]
fn a_watch_that_falls_silent_after_it_worked() {
    in_time(3, first(1, silence), as_drain, whole_text);
}

#[test]
fn a_watch_and_the_call_after_it_fall_silent() {
    in_time(1, first(2, silence), as_changes, whole_text);
}

#[test]
fn an_answer_that_trickles_without_end() {
    let trickle = || {
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{}", " ".repeat(100_000));
        Play::Pieces(text, 1, Duration::from_millis(20))
    };
    in_time(1, first(1, trickle), as_changes, whole_text);
    let head = || {
        Play::Pieces("HTTP/1.1 200 OK\r\nX-A: ".to_string() + &"a".repeat(9000), 1, Duration::from_millis(20))
    };
    in_time(1, first(1, head), as_whole, whole_text);
}

#[test]
fn watches_that_end_with_nothing() {
    in_time(1, first(4, || Play::Close), as_drain, whole_text);
}

#[test]
fn calls_that_are_refused() {
    in_time(1, first(4, || Play::Answer(answer("503 Service Unavailable", ""))), as_changes, whole_text);
}

#[test]
fn answers_that_make_no_sense_are_refused_whole() {
    let half = || {
        Play::Answer(answer("200 OK", r#"{"generation":7,"reset":true,"instances":[{"instanceId":"s-9"}"#))
    };
    in_time(1, first(3, half), as_changes, whole_text);
    // One bad entry: nothing of the list is taken in, its version neither.
    let bad_entry = || {
        let bad = json!({"instanceId": "s-0", "hostPort": "nowhere", "lifecycle": "SERVING"});
        Play::Answer(answer("200 OK", &discovery_list(9, true, &[bad]).to_string()))
    };
    in_time(1, first(2, bad_entry), as_changes, whole_text);
}

#[test]
fn a_whole_list_instead_of_changes_leaves_out_what_is_gone() {
    in_time(0, first(0, silence), as_whole, whole_text);
    in_time(1, first(1, || Play::Close), as_whole, whole_text);
}

#[test]
fn lists_may_come_indented_and_in_pieces() {
    in_time(1, first(1, silence), as_changes, |list| {
        Play::Answer(answer("200 OK", &serde_json::to_string_pretty(list).unwrap()))
    });
    in_time(1, first(1, silence), as_whole, |list| {
        let text = answer("200 OK", &serde_json::to_string_pretty(list).unwrap());
        Play::Pieces(text, 97, Duration::from_millis(5))
    });
}

#[test]
fn discovery_that_is_down_at_the_start() {
    std::thread::scope(|scope| {
        for mode in MODES {
            scope.spawn(move || {
                let [old, new] = ["old", "new"].map(Played::good);
                // Nobody listens at this address until it is played.
                let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
                let proxy = Proxy::start(&settings_of(mode), &known_list(&[&old]), address);
                assert_eq!(
                    proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status(),
                    200,
                    "{mode}"
                );
                assert_eq!(proxy.exchange(&request_text("look", 9000)).body, b"old", "{mode}");
                // Long enough for the calls to have failed often.
                std::thread::sleep(Duration::from_secs(7));
                let up = Instant::now();
                let words = whole_text(&as_drain(old.address, new.address));
                let Play::Answer(words) = words else { unreachable!() };
                let _server = Played::at(address, move |_, message| {
                    match message.first.contains(&format!("since={NEW}&")) {
                        true => silence(),
                        false => Play::Answer(words.clone()),
                    }
                });
                wait_for("answer of the new backend", || {
                    proxy.exchange(&request_text("look", 9000)).body == b"new"
                });
                assert!(up.elapsed() <= STALENESS_BOUND, "{mode}: {:?}", up.elapsed());
            });
        }
    });
}

#[test]
fn what_the_old_discovery_still_says_after_a_move_is_not_taken_in() {
    for mode in MODES {
        let [old, new] = ["old", "new"].map(Played::good);
        let (release, held) = channel::<()>();
        let held = Mutex::new(held);
        // Its answer is newer by its number, and comes when the other discovery has been asked.
        let late = discovery_list(99, true, &[list_entry("s-0", old.address, "SERVING")]).to_string();
        let said = Arc::new(AtomicBool::new(false));
        let has_said = said.clone();
        let first = Played::new(move |_, _| {
            let _ = held.lock().unwrap().recv_timeout(LONG);
            has_said.store(true, Ordering::SeqCst);
            Play::Answer(answer("200 OK", &late))
        });
        let words = discovery_list(3, true, &[list_entry("s-new", new.address, "SERVING")]).to_string();
        let second = Played::new(move |_, message| match message.first.contains("since=3&") {
            true => silence(),
            false => Play::Answer(answer("200 OK", &words)),
        });
        let mut config = build_config(&settings_of(mode), &known_list(&[&old]));
        let proxy = Proxy::start_with_config(&config, first.address);
        wait_for("call", || first.count() >= 1);
        config["discovery"] = json!(second.address.to_string());
        proxy.write_config(&config);
        proxy.signal("-HUP");
        wait_for("list of the second discovery", || {
            proxy.exchange(&request_text("look", 9000)).body == b"new"
        });
        release.send(()).unwrap();
        wait_for("late answer", || said.load(Ordering::SeqCst));
        // The next call goes to the second one, with its version.
        wait_for("watch", || second.count() >= 3);
        assert_eq!(proxy.exchange(&request_text("look", 9000)).body, b"new", "{mode}");
        let asked = second.requests.lock().unwrap().clone();
        assert!(asked[1..].iter().all(|call| call.first.contains("since=3&")), "{mode}: {asked:?}");
    }
}

#[test]
fn one_that_knows_no_backend_is_ready_soon_also_where_discovery_is_slow() {
    const READY_WITHIN: Duration = Duration::from_secs(6);
    for mode in MODES {
        let backend = Played::good("hello");
        let all = discovery_list(3, true, &[list_entry("s-0", backend.address, "SERVING")]).to_string();
        // Refused at first, then slow.
        let discovery = Played::new(move |before, message| match before {
            0 => Play::Answer(answer("503 Service Unavailable", "")),
            _ if message.first.contains("since=3&") => silence(),
            _ => Play::AnswerThen(String::new(), Duration::from_millis(900), answer("200 OK", &all)),
        });
        let mut settings = settings_of(mode);
        // Calls are asked for so rarely that no proxy could wait for the first one.
        settings["rules"]["ask-within"] = json!(120.0);
        let begun = Instant::now();
        let proxy = Proxy::start(&settings, &discovery_list(1, true, &[]), discovery.address);
        wait_for("yes", || proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200);
        assert!(begun.elapsed() < READY_WITHIN, "{mode}: {:?}", begun.elapsed());
        assert_eq!(proxy.exchange(&request_text("look", 9000)).body, b"hello", "{mode}");
    }
}
