//! Backends that are replaced by ever new ones: what is gone is forgotten, and no sooner than
//! nothing can name it any more.

mod common;

use common::sockets::{LONG, NEXT, Play, Played, heard};
use common::{Bench, entry, refused, safe, sends};
use gannetproxy::engine::{Bounds, Engine, Listed, News};
use gannetproxy::proxy::backend::{Answers, Http, Reuse};
use gannetproxy::proxy::limits::Budget;
use gannetproxy::proxy::payload::Payload;
use gannetproxy::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::Duration;

fn listed(id: u32, address: SocketAddr) -> Listed {
    Listed { entry: entry(id), address }
}

#[test]
fn the_engine_forgets_a_backend_that_is_gone_once_no_attempt_is_out() {
    let (ended, end) = channel();
    let silent = Played::new(move |_, _| Play::Silence(ended.clone()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let upstream = Http {
            connections: Budget::new(10),
            connect_timeout: LONG,
            idle_close: LONG,
            probe_path: "/-/healthy",
            reuse: Reuse::new(0.0),
            answers: Answers::Platform,
        };
        let bounds = Bounds { drain_grace: Duration::from_millis(100), max_open: 10 };
        // The attempt must be out for longer than it takes to forget the others.
        let mut settings = safe();
        (settings.classes[0].aim, settings.classes[0].deadline) = (20.0, 20.0);
        let engine = Engine::start(settings, bounds, 1, upstream);
        engine.news(News::Full(vec![listed(1, silent.address)]));
        let payload = Payload {
            method: hyper::Method::GET,
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: "".into(),
            stake: dewpier_reuse::Stake::Whole,
        };
        let request = Request { budget: 20.0, ..Request::default() };
        let id = NEXT.fetch_add(1, Ordering::SeqCst) as u64;
        let (id, _answer) = engine.request(Some(id), request, payload).unwrap();
        let pause = || tokio::time::sleep(Duration::from_millis(20));
        while silent.count() == 0 {
            pause().await;
        }
        for new in 2..50 {
            engine.news(News::Full(vec![listed(new, silent.address)]));
        }
        // Long enough for the grace and the next sweep, over and over.
        let mut waits = 0;
        while (2..49).any(|id| engine.knows(BackendId(id))) {
            pause().await;
            waits += 1;
            assert!(waits < 1000, "they are not forgotten");
        }
        assert!(engine.knows(BackendId(49)), "the one that is listed");
        assert!(engine.knows(BackendId(1)), "the one with an attempt out");
        engine.client_left(id);
        while engine.knows(BackendId(1)) {
            pause().await;
            waits += 1;
            assert!(waits < 2000, "it is not forgotten");
        }
    });
    heard(&end);
}

#[test]
fn the_module_forgets_backends_that_are_gone_and_keeps_count_of_those_with_calls() {
    let mut bench = Bench::new(safe(), &[entry(1)]);
    let first = sends(&bench.request(1));
    assert_eq!(first, [(1, 1)]);
    for new in 2..500 {
        bench.event(Event::List(ListUpdate::Full(&[entry(new), entry(1000 + new)])));
        // Calls go on meanwhile, and their places are not mixed up.
        bench.now += 0.01;
        let id = u64::from(new);
        let to = sends(&bench.request(id))[0].1;
        assert!(to == new || to == 1000 + new, "{to} at {new}");
        let over = bench.end(id, 0, to, Outcome::Served, 0.01);
        assert!(!refused(&over, id));
    }
    assert!(bench.balancer.backends_known() <= 5, "{}", bench.balancer.backends_known());
    // The first call's backend is known until its attempt has ended.
    assert!(bench.balancer.backends_known() > 2);
    bench.end(1, 0, 1, Outcome::Served, 1.0);
    bench.event(Event::List(ListUpdate::Changes(&[])));
    bench.event(Event::List(ListUpdate::Full(&[entry(499)])));
    assert_eq!(bench.balancer.backends_known(), 1);
}
