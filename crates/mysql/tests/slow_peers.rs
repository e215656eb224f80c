//! Peers that take and give bytes steadily, for longer than any stall limit, and peers that stop.

mod common;

use common::*;
use dewpier_mysql::io::StallTimeouts;
use dewpier_standins::mysql::{MySqlServer, ReceivedStatement, Reply};
use dewpier_standins::relay::Relay;
use mysql::prelude::Queryable;
use std::time::{Duration, Instant};

/// Stall limit of the proxy in each direction.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes a second of a slow peer.
const RATE: f64 = 2_000_000.0;
/// Bytes of a row: more than the buffers of the system take, and several times the stall limit for a slow peer.
const ROW_BYTES: usize = 8_000_000;
/// Bytes of a row that makes a response a streamed one.
const FIRST_ROW_BYTES: usize = 200_000;
const STREAMED_FROM_BYTES: usize = 64 << 10;
const BUFFERED_UP_TO_BYTES: usize = 16 << 20;

const STALL_TIMEOUTS: StallTimeouts =
    StallTimeouts { command: STALL_TIMEOUT, client_write: STALL_TIMEOUT, response: STALL_TIMEOUT };

/// Answers reads with a short row and a long one.
fn long_rows(statement: &ReceivedStatement) -> Reply {
    match statement.text.starts_with("SELECT") {
        true => Reply::Rows(
            vec!["name"],
            [FIRST_ROW_BYTES, ROW_BYTES].map(|size| vec![Some("x".repeat(size))]).to_vec(),
        ),
        false => Reply::Ok(1, 0),
    }
}

fn connect(relay: &Relay) -> mysql::Conn {
    connect_client(relay.address, "planner", CLIENT_PASSWORD).expect("the login succeeds")
}

/// Reads the long rows, and checks that they took longer than the stall limit.
fn read_long_rows(client: &mut mysql::Conn) {
    let started_at = Instant::now();
    let rows: Vec<String> = client.query("SELECT id, name FROM t").expect("a whole response");
    let sizes: Vec<usize> = rows.iter().map(String::len).collect();
    assert_eq!(sizes, [FIRST_ROW_BYTES, ROW_BYTES]);
    assert!(started_at.elapsed() > 2 * STALL_TIMEOUT, "the peer was not slow: {:?}", started_at.elapsed());
}

/// Guards against a limit on the time of a whole write or chunk, which a client that reads steadily exceeds.
#[test]
fn client_that_reads_steadily_gets_long_responses() {
    let server = MySqlServer::start(SERVER_PASSWORD, long_rows);
    for max_buffered_bytes in [STREAMED_FROM_BYTES, BUFFERED_UP_TO_BYTES] {
        let proxy = Proxy::with_stall_timeouts(server.address, max_buffered_bytes, STALL_TIMEOUTS);
        read_long_rows(&mut connect(&Relay::slow(proxy.address, RATE)));
    }
}

/// Guards against a limit on the time of a whole packet, which a server that sends steadily exceeds.
#[test]
fn server_that_sends_steadily_is_read_to_the_end() {
    let server = MySqlServer::start(SERVER_PASSWORD, long_rows);
    let relay = Relay::slow(server.address, RATE);
    let proxy = Proxy::with_stall_timeouts(relay.address, STREAMED_FROM_BYTES, STALL_TIMEOUTS);
    read_long_rows(&mut proxy.connect());
}

/// Guards against a limit on the time of a whole command, which a client that sends steadily exceeds.
#[test]
fn client_that_sends_steadily_has_its_command_run() {
    let server = MySqlServer::start(SERVER_PASSWORD, long_rows);
    let proxy = Proxy::with_stall_timeouts(server.address, STREAMED_FROM_BYTES, STALL_TIMEOUTS);
    let relay = Relay::slow(proxy.address, RATE);
    let mut client = connect(&relay);
    let (text, started_at) = (format!("INSERT INTO t VALUES ('{}')", "x".repeat(ROW_BYTES)), Instant::now());
    client.query_drop(&text).expect("the command runs");
    assert_eq!(server.count_statements(&text), 1);
    assert!(started_at.elapsed() > 2 * STALL_TIMEOUT, "the client was not slow: {:?}", started_at.elapsed());
}

/// The limits still end what stops: a client that reads no more, one that sends no more, and a server that gives no more.
#[test]
fn peers_that_stop_are_cut_off() {
    const STOP_AFTER: Duration = Duration::from_millis(1200);
    let server = MySqlServer::start(SERVER_PASSWORD, long_rows);
    let slow_server = Relay::slow(server.address, RATE);
    let proxy = Proxy::with_stall_timeouts(server.address, STREAMED_FROM_BYTES, STALL_TIMEOUTS);
    let far_proxy = Proxy::with_stall_timeouts(slow_server.address, STREAMED_FROM_BYTES, STALL_TIMEOUTS);
    let insert = format!("INSERT INTO t VALUES ('{}')", "x".repeat(ROW_BYTES));
    std::thread::scope(|scope| {
        for (stops_responses, text) in [(true, "SELECT id, name FROM t"), (false, &insert)] {
            let proxy = &proxy;
            scope.spawn(move || {
                let relay = Relay::slow(proxy.address, RATE);
                let mut client = connect(&relay);
                std::thread::scope(|scope| {
                    let query = scope.spawn(|| client.query::<String, _>(text));
                    std::thread::sleep(STOP_AFTER);
                    relay.set_blocked(!stops_responses, stops_responses);
                    std::thread::sleep(STALL_TIMEOUT + 2 * STOP_AFTER);
                    relay.set_blocked(false, false);
                    assert!(query.join().unwrap().is_err(), "{}", &text[..20]);
                });
            });
        }
        scope.spawn(|| {
            let mut client = far_proxy.connect();
            std::thread::scope(|scope| {
                let query = scope.spawn(|| client.query::<String, _>("SELECT id, name FROM t"));
                std::thread::sleep(STOP_AFTER);
                slow_server.set_blocked(false, true);
                let stopped_at = Instant::now();
                assert!(query.join().unwrap().is_err(), "the response was not whole");
                assert!(stopped_at.elapsed() < STALL_TIMEOUT + 2 * STOP_AFTER);
            });
        });
    });
    assert_eq!(server.count_statements(&insert), 0);
}
