//! Makes one call to the discovery service.

use super::calls::Call;
use super::schedule::CallFailure;
use crate::body::RequestBody;
use crate::connection::{self, Connection};
use crate::listing::RawList;
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use std::time::Duration;
use thiserror::Error;

/// Time within which the body of a list must arrive. A body that stalls must not delay the next call until
/// the timeout of the current one.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest duration of a call that the service rejected at once.
const MAX_IMMEDIATE_REJECTION: Duration = Duration::from_millis(100);
/// Shortest duration of a call that the service rejected after a wait in its queue.
const MIN_QUEUE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest accepted list in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// The path of the backend list.
const LIST: &str = "/api/targets";

/// Why a call brought no list.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("the call timed out")]
    TimedOut,
    #[error("the body did not arrive in time")]
    BodyTimedOut,
    #[error("the connection was closed")]
    ConnectionClosed,
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("unexpected status {0}")]
    Status(u16),
    #[error("cannot read the body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("invalid list: {0}")]
    Json(#[from] serde_json::Error),
}

impl CallError {
    /// Returns how a call failed that ended with this error after `duration`.
    pub fn failure(&self, call: &Call, duration: Duration) -> CallFailure {
        match self {
            Self::Status(429 | 503 | 504) if duration <= MAX_IMMEDIATE_REJECTION => {
                CallFailure::RejectedAtOnce
            }
            // A watch may also end after a wait because the service went down.
            Self::Status(429 | 503 | 504) if call.wait.is_zero() && duration >= MIN_QUEUE_TIMEOUT => {
                CallFailure::RejectedAfterWait
            }
            Self::BodyTimedOut | Self::Body(_) | Self::Json(_) => CallFailure::InvalidResponse,
            _ => CallFailure::NoResponse,
        }
    }
}

/// Returns the path and query of a call.
pub fn call_path(call: &Call) -> String {
    match call.use_list_endpoint {
        true => LIST.to_string(),
        false => format!("{LIST}?since={}&timeout_ms={}", call.since, call.wait.as_millis()),
    }
}

/// Makes a call, on `connection` if it is reusable. Returns the list, and the connection if another call may use it.
pub async fn make_call(
    call: &Call,
    connection: Option<Connection>,
) -> Result<(RawList, Option<Connection>), CallError> {
    let response = tokio::time::timeout(call.timeout, fetch_list(call, connection));
    response.await.unwrap_or(Err(CallError::TimedOut))
}

async fn fetch_list(
    call: &Call,
    connection: Option<Connection>,
) -> Result<(RawList, Option<Connection>), CallError> {
    let mut connected = match connection.and_then(Connection::into_reusable) {
        Some(connection) => connection,
        None => connection::connect(call.address, call.timeout).await.map_err(CallError::Connect)?,
    };
    let request = Request::get(call_path(call)).header("host", call.address.to_string());
    let Ok(request) = request.body(RequestBody::default()) else {
        return Err(CallError::Status(0)); // not reached, as the path is always valid
    };
    let response = connected
        .send(request)
        .await
        .ok_or(CallError::ConnectionClosed)?
        .map_err(|error| error.into_error())?;
    let (status, body) = (response.status(), Limited::new(response.into_body(), MAX_LIST_BYTES));
    let body = tokio::time::timeout(BODY_TIMEOUT, connected.drive(body.collect())).await;
    let body = body
        .map_err(|_| CallError::BodyTimedOut)?
        .ok_or(CallError::ConnectionClosed)?
        .map_err(CallError::Body)?;
    if !status.is_success() {
        return Err(CallError::Status(status.as_u16()));
    }
    let list = serde_json::from_slice(&body.to_bytes())?;
    Ok((list, connected.into_reusable()))
}
