//! Attempts at backends without an engine.
#![allow(dead_code)] // each test uses a part of this module

use bytes::Bytes;
use dewpier_http::backend::{HttpUpstream, ResponsePolicy, ReusePolicy};
use dewpier_http::body::ResponseBody;
use dewpier_http::limits::Budget;
use dewpier_http::payload::{Payload, PayloadBody};
use dewpier_standins::WAIT_TIMEOUT;
use gannetproxy::engine::{AttemptContext, Clock, SendGate, Upstream, UpstreamResult};
use gannetproxy::{BackendId, Outcome};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Largest number of open connections.
pub const MAX_CONNECTIONS: usize = 20;

/// Makes an attempt and returns its outcome and the body of the response.
pub async fn attempt(
    http: &HttpUpstream,
    endpoint: &Rc<<HttpUpstream as Upstream>::Endpoint>,
) -> (Outcome, Bytes) {
    attempt_by(http, endpoint, f64::INFINITY).await
}

/// Makes an attempt whose first byte must be sent by this time.
pub async fn attempt_by(
    http: &HttpUpstream,
    endpoint: &Rc<<HttpUpstream as Upstream>::Endpoint>,
    send_by: f64,
) -> (Outcome, Bytes) {
    let context = AttemptContext {
        gate: Rc::new(SendGate::default()),
        backend: BackendId(1),
        clock: Clock::start(),
        deadline: 20.0,
        send_by,
        written: Default::default(),
        is_request_open: Rc::new(Cell::new(true)),
        reply_sink: Default::default(),
        exclusive_claim: Default::default(),
        stall_report: Default::default(),
    };
    let payload = Payload {
        method: "POST".parse().unwrap(),
        uri: "/api".parse().unwrap(),
        headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
        body: PayloadBody::Buffered("body".into()),
        loss_cost: dewpier_reuse::LossCost::Retryable,
        lost_on_reused: Default::default(),
    };
    let UpstreamResult { outcome, reply, .. } = http.attempt(endpoint.clone(), payload.into(), context).await;
    let body = reply.map(|response| match response.body {
        ResponseBody::Buffered(body) => body,
        ResponseBody::Streamed(_) => unreachable!("the body is short"),
    });
    (outcome, body.unwrap_or_default())
}

/// Returns the platform's protocol with a short limit on connections.
pub fn upstream(connect_timeout: Duration) -> HttpUpstream {
    HttpUpstream {
        connections: Budget::new(MAX_CONNECTIONS),
        connect_timeout,
        idle_close: WAIT_TIMEOUT,
        probe_path: "/",
        reuse_policy: ReusePolicy::new(0.0),
        response_policy: ResponsePolicy::Platform,
        attempt_counter: Default::default(),
    }
}
