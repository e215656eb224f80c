//! Connections that come up after the attempt that opened them has stopped waiting. The accept queue of the backend is
//! full at first, so that the operating system repeats the connect after 1 s.

mod common;

use common::{MAX_CONNECTIONS, attempt, upstream};
use dewpier_http::backend::HttpUpstream;
use dewpier_standins::late_backend::{FILLERS, LateBackend};
use dewpier_standins::message::format_response;
use dewpier_standins::scripted_server::{ScriptedReply, ScriptedServer};
use gannetproxy::Outcome;
use gannetproxy::engine::Upstream;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which the repeated connect has come up.
const CONNECT_REPEATED: Duration = Duration::from_millis(1600);
/// Time after which a used connection may be used again.
const CONNECTION_SETTLED: Duration = Duration::from_millis(60);
/// Longest duration of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest number of connects that go on without their attempt.
const MAX_LATE: usize = 4;
/// Largest number of late connections that are kept.
const MAX_KEPT: usize = 2;

type Endpoint = <HttpUpstream as Upstream>::Endpoint;

/// Runs a test until its deadline.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let test = async { tokio::time::timeout(TEST_TIMEOUT, test).await };
    LocalSet::new().block_on(&runtime, test).expect("the test ends in time");
}

/// Makes `count` attempts at the same time and returns their outcomes.
async fn attempt_at_once(http: &Rc<HttpUpstream>, endpoint: &Rc<Endpoint>, count: usize) -> Vec<Outcome> {
    let running: Vec<_> = (0..count)
        .map(|_| {
            let (http, endpoint) = (http.clone(), endpoint.clone());
            spawn_local(async move { attempt(&http, &endpoint).await.0 })
        })
        .collect();
    let mut outcomes = Vec::new();
    for attempt in running {
        outcomes.push(attempt.await.expect("the attempt ends"));
    }
    outcomes
}

/// Makes `count` attempts whose connects are late, and lets these come up.
async fn fail_attempts(http: &Rc<HttpUpstream>, count: usize) -> (ScriptedServer, Rc<Endpoint>) {
    let backend = LateBackend::start();
    let endpoint = Rc::new(http.create_endpoint(backend.address));
    let outcomes = attempt_at_once(http, &endpoint, count).await;
    assert!(outcomes.iter().all(|outcome| *outcome == Outcome::NoConnection), "{outcomes:?}");
    let server = ScriptedServer::on_listener(backend.open(), |_, _| {
        ScriptedReply::Respond(format_response("200 OK", "good"))
    });
    (server, endpoint)
}

/// Returns the number of connections that the backend has accepted.
fn connections(backend: &ScriptedServer) -> usize {
    backend.connection_count.load(Ordering::SeqCst)
}

#[test]
fn connection_that_comes_up_late_carries_the_next_request_and_not_its_own() {
    run(async {
        let http = Rc::new(upstream(CONNECT_TIMEOUT));
        let (backend, endpoint) = fail_attempts(&http, 1).await;
        sleep(CONNECT_REPEATED).await;
        assert_eq!(backend.request_count(), 0, "the attempt has ended");
        let accepted = connections(&backend);
        for requests in 1..=3 {
            assert_eq!(attempt(&http, &endpoint).await.0, Outcome::Served);
            assert_eq!(backend.request_count(), requests);
            sleep(CONNECTION_SETTLED).await;
        }
        assert_eq!(connections(&backend), accepted, "no new connection");
    });
}

#[test]
fn few_late_connections_are_kept() {
    run(async {
        let http = Rc::new(upstream(CONNECT_TIMEOUT));
        let (backend, endpoint) = fail_attempts(&http, MAX_CONNECTIONS).await;
        assert!(!http.is_full(), "connects that are given up hold no part of the limit");
        sleep(CONNECT_REPEATED).await;
        let accepted = connections(&backend);
        assert!(accepted <= MAX_LATE + FILLERS, "{accepted} connections");
        let outcomes = attempt_at_once(&http, &endpoint, MAX_KEPT + 1).await;
        assert_eq!(outcomes, [Outcome::Served; MAX_KEPT + 1]);
        assert!(connections(&backend) > accepted, "one attempt more than connections that are kept");
    });
}

#[test]
fn late_connection_to_a_released_backend_is_not_kept() {
    run(async {
        let http = Rc::new(upstream(CONNECT_TIMEOUT));
        let (backend, endpoint) = fail_attempts(&http, 1).await;
        http.release_connections(&endpoint);
        sleep(CONNECT_REPEATED).await;
        assert!(http.oldest_idle_since(&endpoint).is_none());
        let accepted = connections(&backend);
        assert_eq!(attempt(&http, &endpoint).await.0, Outcome::Served);
        assert_eq!(connections(&backend), accepted + 1);
    });
}
