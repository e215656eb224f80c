//! Every state of a streamed request body: whom it waits for, and until when.

use dewpier_http::upload::{CLIENT_STALL_TIMEOUT, ClientInput, Upload};
use std::time::Duration;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_secs(2);

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn answer_is_due_by_the_latest_moment_at_which_the_body_was_certainly_incomplete() {
    let start = Instant::now();
    let input = ClientInput::new(start);
    let upload = Upload::new(input.clone(), WAIT);
    input.begin_body(at(start, 100), Some(1_000_000));
    assert_eq!(upload.due(at(start, 500)), at(start, 100) + WAIT, "the backend takes nothing");
    input.record_waiting(at(start, 600));
    assert_eq!(upload.due(at(start, 900)), at(start, 900) + WAIT, "the client is waited for");
    input.record_bytes(at(start, 1000), b"bytes");
    assert_eq!(upload.due(at(start, 1500)), at(start, 1000) + WAIT, "the client may have sent all since");
    input.record_waiting(at(start, 1600));
    input.record_bytes(at(start, 1700), b"the last ones");
    input.end_body(at(start, 1750));
    input.record_waiting(at(start, 1800));
    assert_eq!(upload.due(at(start, 5000)), at(start, 1700) + WAIT, "the body is complete");
}

#[test]
fn client_that_stops_is_told_apart_from_one_that_may_have_sent_all() {
    let start = Instant::now();
    let input = ClientInput::new(start);
    input.begin_body(start, Some(1_000_000));
    assert!(!input.is_stalled(start + 2 * CLIENT_STALL_TIMEOUT), "its backend takes nothing");
    input.record_waiting(start);
    assert!(!input.is_stalled(start + CLIENT_STALL_TIMEOUT / 2));
    // A later look at the same empty socket is no new byte.
    input.record_waiting(start + CLIENT_STALL_TIMEOUT / 2);
    assert!(input.is_stalled(start + CLIENT_STALL_TIMEOUT));
    input.record_bytes(start + CLIENT_STALL_TIMEOUT, b"more");
    assert!(!input.is_stalled(start + 2 * CLIENT_STALL_TIMEOUT));
}

#[test]
fn end_of_a_body_that_was_received_and_not_read_is_allowed_for() {
    let start = Instant::now();
    let input = ClientInput::new(start);
    input.begin_body(start, Some(200_000));
    assert!(input.is_certainly_incomplete(65_536));
    input.record_handed_on(130_000);
    assert!(!input.is_certainly_incomplete(65_536), "all may be among the bytes that were not read");
    input.begin_body(start, None);
    input.record_bytes(start, b"5\r\nhello\r\n");
    assert!(input.is_certainly_incomplete(0));
    for end in [&b"0\r\n\r\n"[..], b"0\r\nX-Trailer: there\r\n\r\n"] {
        input.record_bytes(start, b"5\r\nhello\r\n");
        end.iter().for_each(|byte| input.record_bytes(start, &[*byte]));
        assert!(!input.is_certainly_incomplete(0), "{end:?}");
    }
}
