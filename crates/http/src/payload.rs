//! A request as it goes on to backends.

use bytes::Bytes;
use dewpier_reuse::Stake;
use gannetproxy::Time;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};

/// A request as it goes on to backends.
#[derive(Debug)]
pub struct Payload {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What a connection loses that swallows it.
    pub stake: Stake,
}

impl Payload {
    /// The request for an attempt that is given up after `wait` seconds.
    pub fn request(&self, wait: Time) -> hyper::Request<Full<Bytes>> {
        let mut request = hyper::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let wait = HeaderValue::from((wait.max(0.0) * 1000.0) as u64);
        request.headers_mut().insert("x-remaining-ms", wait);
        request
    }
}
