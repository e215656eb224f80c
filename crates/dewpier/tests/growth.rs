//! Backends that are replaced by ever new ones: the engine forgets what is gone, and no sooner than
//! nothing can name it any more.

mod common;

use common::sockets::{LONG, NEXT_NUMBER, Play, Played, heard};
use dewpier_http::backend::{HttpUpstream, ResponsePolicy, ReusePolicy};
use dewpier_http::limits::Budget;
use dewpier_http::payload::Payload;
use gannetproxy::engine::{BackendListUpdate, Engine, EngineLimits, ListedBackend};
use gannetproxy::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::Duration;

fn listed(id: u32, address: SocketAddr) -> ListedBackend {
    ListedBackend { entry: BackendEntry { id: BackendId(id), ..BackendEntry::default() }, address }
}

#[test]
fn the_engine_forgets_a_backend_that_is_gone_once_no_attempt_is_out() {
    let (ended, end) = channel();
    let silent = Played::new(move |_, _| Play::Silence(ended.clone()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let upstream = HttpUpstream {
            connections: Budget::new(10),
            connect_timeout: LONG,
            idle_close: LONG,
            probe_path: "/-/healthy",
            reuse_policy: ReusePolicy::new(0.0),
            response_policy: ResponsePolicy::Platform,
            attempt_counter: Default::default(),
        };
        let bounds = EngineLimits { drain_grace: Duration::from_millis(100), max_open_requests: 10 };
        // The attempt must be out for longer than it takes to forget the others.
        let class = Class { aim: 20.0, deadline: 20.0, ..Class::default() };
        let settings = Settings { classes: vec![class], tier: 1, ..Settings::default() };
        let engine = Engine::start(settings, bounds, 1, upstream);
        engine.update_list(BackendListUpdate::Full(vec![listed(1, silent.address)]));
        let payload = Payload {
            method: hyper::Method::GET,
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: dewpier_http::payload::PayloadBody::Buffered("".into()),
            loss_cost: dewpier_reuse::LossCost::NotRetryable,
            lost_on_reused: Default::default(),
        };
        let request = Request { budget: 20.0, ..Request::default() };
        let id = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst) as u64;
        let (id, _answer) = engine.submit_request(Some(id), request, payload).unwrap();
        let pause = || tokio::time::sleep(Duration::from_millis(20));
        while silent.count() == 0 {
            pause().await;
        }
        for new in 2..50 {
            engine.update_list(BackendListUpdate::Full(vec![listed(new, silent.address)]));
        }
        // Long enough for the grace and the next sweep, over and over.
        let mut waits = 0;
        while (2..49).any(|id| engine.has_backend(BackendId(id))) {
            pause().await;
            waits += 1;
            assert!(waits < 1000, "they are not forgotten");
        }
        assert!(engine.has_backend(BackendId(49)), "the one that is listed");
        assert!(engine.has_backend(BackendId(1)), "the one with an attempt out");
        engine.client_disconnected(id);
        while engine.has_backend(BackendId(1)) {
            pause().await;
            waits += 1;
            assert!(waits < 2000, "it is not forgotten");
        }
    });
    heard(&end);
}
