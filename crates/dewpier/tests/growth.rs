//! Backends that are replaced by ever new ones: the engine forgets what is gone, and no sooner than
//! nothing can name it any more.

mod common;

use common::sockets::{LONG, NEXT, Play, Played, heard};
use dewpier_http::backend::{Answers, Http, Reuse};
use dewpier_http::limits::Budget;
use dewpier_http::payload::Payload;
use gannetproxy::engine::{Bounds, Engine, Listed, News};
use gannetproxy::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::Duration;

fn listed(id: u32, address: SocketAddr) -> Listed {
    Listed { entry: BackendEntry { id: BackendId(id), ..BackendEntry::default() }, address }
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
            attempts: Default::default(),
        };
        let bounds = Bounds { drain_grace: Duration::from_millis(100), max_open: 10 };
        // The attempt must be out for longer than it takes to forget the others.
        let class = Class { aim: 20.0, deadline: 20.0, ..Class::default() };
        let settings = Settings { classes: vec![class], tier: 1, ..Settings::default() };
        let engine = Engine::start(settings, bounds, 1, upstream);
        engine.news(News::Full(vec![listed(1, silent.address)]));
        let payload = Payload {
            method: hyper::Method::GET,
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: dewpier_http::payload::Carried::Whole("".into()),
            stake: dewpier_reuse::Stake::Whole,
            lost: Default::default(),
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
