//! Removes connection-specific headers from forwarded requests and responses (RFC 9110, section 7.6.1).

use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName};
use hyper::header::{TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// Returns the headers of a request that are forwarded to a backend.
pub fn forward_request_headers(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove("expect");
    headers
}

/// Returns the headers of a response that are forwarded to a client. The length is removed because the HTTP
/// library sets it from the body, except for a response without a body, such as one to HEAD (`head_only`).
pub fn forward_response_headers(mut headers: HeaderMap, head_only: bool) -> HeaderMap {
    remove_connection_headers(&mut headers);
    if !head_only {
        headers.remove(CONTENT_LENGTH);
    }
    headers
}

fn remove_connection_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .into_iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != HOST)
        .collect();
    let hop_by_hop = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in connection_options.iter().chain(&hop_by_hop) {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection"] {
        headers.remove(name);
    }
}
