//! Which headers go on: all but those of the connection itself (RFC 9110, 7.6.1).

use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName};
use hyper::header::{TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// The headers of a request that go on to backends.
pub fn onward(mut headers: HeaderMap) -> HeaderMap {
    of_the_connection(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove("expect");
    headers
}

/// The headers of an answer that go on to the client. Its length is said anew, but where there is
/// no body to take it from, as in an answer to HEAD.
pub fn end_to_end(mut headers: HeaderMap, head_only: bool) -> HeaderMap {
    of_the_connection(&mut headers);
    if !head_only {
        headers.remove(CONTENT_LENGTH);
    }
    headers
}

fn of_the_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .into_iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != HOST)
        .collect();
    let own = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in named.iter().chain(&own) {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection"] {
        headers.remove(name);
    }
}
