//! A request as it goes on to backends.

use crate::body::{Begun, Outgoing, Progress};
use bytes::Bytes;
use dewpier_reuse::Stake;
use gannetproxy::Time;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, Uri};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The body of a request.
#[derive(Debug)]
pub enum Carried {
    /// All of it is here, and may be sent again.
    Whole(Bytes),
    /// It is passed on, once. The client waits so long for the answer from its last byte on.
    Passed(RefCell<Option<Begun>>, Duration),
}

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
    pub body: Carried,
    /// What a connection loses that swallows it.
    pub stake: Stake,
    /// A kept connection has lost an attempt of it. Those that other backends keep may be as old and lose the next one
    /// as well, and where no backend is left then it can't be served: it goes on new ones from here on.
    pub lost: Cell<bool>,
}

impl Payload {
    /// How far its body has come, where it is passed on and has not been before, and how long it may then take.
    pub fn passes(&self) -> Option<Option<(Progress, Duration)>> {
        match &self.body {
            Carried::Whole(_) => None,
            Carried::Passed(begun, patience) => {
                Some(begun.borrow().as_ref().map(|_| (Progress::default(), *patience)))
            }
        }
    }

    /// The request for an attempt that is given up after `wait` seconds. What is passed on goes with it, and there is
    /// none where that has gone with another one.
    pub fn request(&self, wait: Time, progress: Option<&Progress>) -> Option<hyper::Request<Outgoing>> {
        let body = match &self.body {
            Carried::Whole(body) => Outgoing::Whole(Full::new(body.clone())),
            Carried::Passed(begun, _) => {
                Outgoing::Passed(begun.take()?, progress.cloned().unwrap_or_default())
            }
        };
        let mut request = hyper::Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        if request.body().size_hint().exact().is_none() {
            // Said outright, as hyper takes a GET of unknown length for one without a body.
            request.headers_mut().insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        let wait = HeaderValue::from((wait.max(0.0) * 1000.0) as u64);
        request.headers_mut().insert("x-remaining-ms", wait);
        Some(request)
    }
}
