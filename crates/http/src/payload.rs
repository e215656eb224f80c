//! A client request in the form in which it is forwarded to backends.

use crate::body::{PartialBody, RequestBody, UploadProgress};
use bytes::Bytes;
use dewpier_reuse::LossCost;
use gannetproxy::Time;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, Uri};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The body of a forwarded request.
#[derive(Debug)]
pub enum PayloadBody {
    /// The whole body, which may be sent repeatedly.
    Buffered(Bytes),
    /// A body that is streamed and can be sent only once, and how long the client waits for the response
    /// after its last byte.
    Streamed(RefCell<Option<PartialBody>>, Duration),
}

/// A request to forward to a backend.
#[derive(Debug)]
pub struct Payload {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The forwarded headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: PayloadBody,
    /// The cost of losing the request on a stale connection.
    pub loss_cost: LossCost,
    /// Set once a reused connection has lost an attempt of this request. Further attempts use new
    /// connections: the idle connections of other backends may be as stale, and each loss uses up a backend.
    pub lost_on_reused: Cell<bool>,
}

impl Payload {
    /// Returns the progress and response timeout of a streamed body: `None` for a buffered body, and
    /// `Some(None)` if another attempt has already taken the body.
    pub fn stream_progress(&self) -> Option<Option<(UploadProgress, Duration)>> {
        match &self.body {
            PayloadBody::Buffered(_) => None,
            PayloadBody::Streamed(partial, response_timeout) => {
                Some(partial.borrow().as_ref().map(|_| (UploadProgress::default(), *response_timeout)))
            }
        }
    }

    /// Builds the HTTP request of an attempt that ends after `remaining_time` seconds. A streamed body moves
    /// into the request; returns `None` if another attempt has taken it.
    pub fn build_request(
        &self,
        remaining_time: Time,
        progress: Option<&UploadProgress>,
    ) -> Option<hyper::Request<RequestBody>> {
        let body = match &self.body {
            PayloadBody::Buffered(body) => RequestBody::Buffered(Full::new(body.clone())),
            PayloadBody::Streamed(partial, _) => {
                RequestBody::Streamed(partial.take()?, progress.cloned().unwrap_or_default())
            }
        };
        let mut request = hyper::Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        if request.body().size_hint().exact().is_none() {
            // The header is set because hyper treats a GET of unknown length as one without a body.
            request.headers_mut().insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        let remaining_ms = HeaderValue::from((remaining_time.max(0.0) * 1000.0) as u64);
        request.headers_mut().insert("x-remaining-ms", remaining_ms);
        Some(request)
    }
}
