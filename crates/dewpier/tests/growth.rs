//! Backends that are replaced again and again: the engine removes a backend that is gone, but not before its last
//! attempt has ended.

mod common;

use common::sockets::{NEXT_NUMBER, ScriptedReply, ScriptedServer, WAIT_TIMEOUT, wait_for_close};
use dewpier_http::backend::{HttpUpstream, ResponsePolicy, ReusePolicy};
use dewpier_http::limits::Budget;
use dewpier_http::payload::Payload;
use gannetproxy::engine::{BackendListUpdate, Engine, EngineLimits, ListedBackend};
use gannetproxy::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::Duration;

fn listed_backend(id: u32, address: SocketAddr) -> ListedBackend {
    ListedBackend { entry: BackendEntry { id: BackendId(id), ..BackendEntry::default() }, address }
}

#[test]
fn engine_removes_a_backend_that_is_gone_after_its_last_attempt() {
    let (ended, end) = channel();
    let silent = ScriptedServer::new(move |_, _| ScriptedReply::NeverRespond(ended.clone()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let upstream = HttpUpstream {
            connections: Budget::new(10),
            connect_timeout: WAIT_TIMEOUT,
            idle_close: WAIT_TIMEOUT,
            probe_path: "/-/healthy",
            reuse_policy: ReusePolicy::new(0.0),
            response_policy: ResponsePolicy::Platform,
            attempt_counter: Default::default(),
        };
        let limits = EngineLimits { drain_grace: Duration::from_millis(100), max_open_requests: 10 };
        // The attempt must last longer than the removal of the other backends takes.
        let class = Class { aim: 20.0, deadline: 20.0, ..Class::default() };
        let settings = Settings { classes: vec![class], tier: 1, ..Settings::default() };
        let engine = Engine::start(settings, limits, 1, upstream);
        engine.update_list(BackendListUpdate::Full(vec![listed_backend(1, silent.address)]));
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
        while silent.request_count() == 0 {
            pause().await;
        }
        for id in 2..50 {
            engine.update_list(BackendListUpdate::Full(vec![listed_backend(id, silent.address)]));
        }
        // Waits for the grace period and the next removal.
        let mut waits = 0;
        while (2..49).any(|id| engine.has_backend(BackendId(id))) {
            pause().await;
            waits += 1;
            assert!(waits < 1000, "backends that are gone are not removed");
        }
        assert!(engine.has_backend(BackendId(49)), "the listed backend is kept");
        assert!(engine.has_backend(BackendId(1)), "a backend with an open attempt is kept");
        engine.client_disconnected(id);
        while engine.has_backend(BackendId(1)) {
            pause().await;
            waits += 1;
            assert!(waits < 2000, "the backend is not removed after its last attempt");
        }
    });
    wait_for_close(&end);
}
