//! A seeded run over server connections that are cut, stalled and garbled at random places, from the login on. Checks that
//! each write runs at most once, that each statement ends once, that results are complete, and that no session sees the
//! state of another.
//!
//! MYSQL_FAULTS_SEED sets the seed, MYSQL_FAULTS the number of statements of each client (200).

mod common;

use common::*;
use dewpier_standins::faulty_relay::FaultyRelay;
use dewpier_standins::mysql::MySqlServer;
use dewpier_standins::rng::Rng;
use mysql::prelude::Queryable;
use std::collections::HashMap;

const CLIENT_COUNT: usize = 8;
const READ: &str = "SELECT id, name FROM t";

#[derive(Debug, Default)]
struct Outcomes {
    completed_writes: Vec<String>,
    reads: usize,
    rejected: usize,
    unknown: usize,
    closed: usize,
}

/// Counts an error by its SQLSTATE. Always returns true: the statement has failed.
fn count_error(error: &mysql::Error, outcomes: &mut Outcomes) -> bool {
    match error {
        mysql::Error::MySqlError(e) => match e.state.as_str() {
            "40001" => outcomes.rejected += 1,
            "08007" => outcomes.unknown += 1,
            // The session state is lost, and the connection ends after the error.
            "08006" => outcomes.closed += 1,
            state => panic!("unexpected SQLSTATE {state}: {e}"),
        },
        error => panic!("the proxy closed the connection without an error packet: {error}"),
    }
    true
}

fn run_client(proxy: &Proxy, number: usize, count: usize, mut rng: Rng) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut client = proxy.connect();
    // The variable that the session has set, and whether it is pinned by setting or reading a variable.
    let (mut own_value, mut is_pinned) = (None, false);
    for n in 0..count {
        let text = format!("INSERT INTO t VALUES ({number}, {n})");
        let mut lost = false;
        match rng.below(10) {
            0..=2 => match client.query_drop(&text) {
                Ok(()) => outcomes.completed_writes.push(text),
                Err(error) => lost = count_error(&error, &mut outcomes),
            },
            3 => {
                // The transaction either commits as a whole or has no effect.
                let steps = ["BEGIN", &text, "COMMIT"];
                let result = steps.iter().try_for_each(|step| client.query_drop(step));
                match result {
                    Ok(()) => outcomes.completed_writes.push(text),
                    Err(error) => {
                        lost = count_error(&error, &mut outcomes);
                        let _ = client.query_drop("ROLLBACK");
                    }
                }
            }
            4 => match client.exec_drop("INSERT INTO t VALUES (?, ?)", (number, n)) {
                Ok(()) => outcomes.completed_writes.push(text),
                Err(error) => lost = count_error(&error, &mut outcomes),
            },
            5 if rng.below(8) == 0 => {
                let value = format!("{number}");
                match client.query_drop(format!("SET @A = {value}")) {
                    Ok(()) => (own_value, is_pinned) = (Some(value), true),
                    Err(error) => lost = count_error(&error, &mut outcomes),
                }
            }
            6 => match query_rows(&mut client, "SELECT @A") {
                Ok(rows) => {
                    is_pinned = true;
                    let found = rows[0][0].clone().unwrap_or_default();
                    assert_eq!(
                        found,
                        own_value.clone().unwrap_or("unset".into()),
                        "value of another session"
                    );
                }
                Err(error) => lost = count_error(&error, &mut outcomes),
            },
            _ => match query_rows(&mut client, READ) {
                Ok(rows) => {
                    assert_eq!((rows.len(), rows[299][0].as_deref()), (300, Some("299")));
                    outcomes.reads += 1;
                }
                Err(error) => lost = count_error(&error, &mut outcomes),
            },
        }
        // The connection of a session with state ends after the error.
        if (lost && is_pinned) || rng.below(40) == 0 {
            (client, own_value, is_pinned) = (proxy.connect(), None, false);
        }
    }
    outcomes
}

#[test]
fn writes_run_at_most_once_and_statements_end_once_on_faulty_connections() {
    let mut rng = Rng::from_env("MYSQL_FAULTS_SEED", 41);
    let count = std::env::var("MYSQL_FAULTS").ok().and_then(|n| n.parse().ok()).unwrap_or(200);
    let servers: [MySqlServer; 3] =
        std::array::from_fn(|_| MySqlServer::start(SERVER_PASSWORD, default_reply));
    let relays: Vec<_> =
        servers.iter().map(|server| FaultyRelay::start(server.address, rng.next_u64(), 100, 14)).collect();
    let proxy = Proxy::at_addresses(&relays.iter().map(|s| s.address).collect::<Vec<_>>());
    let outcomes: Vec<Outcomes> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|number| {
                let (proxy, rng) = (&proxy, Rng::new(rng.next_u64()));
                scope.spawn(move || run_client(proxy, number, count, rng))
            })
            .collect();
        clients.into_iter().map(|client| client.join().expect("the checks of the client hold")).collect()
    });
    let failed_connections: usize = relays.iter().map(FaultyRelay::failed_connections).sum();
    let mut run_counts: HashMap<String, usize> = HashMap::new();
    for statement in
        servers.iter().flat_map(|s| s.statements()).filter(|statement| statement.text.starts_with("INSERT"))
    {
        *run_counts.entry(statement.text).or_default() += 1;
    }
    let duplicates: Vec<_> = run_counts.iter().filter(|(_, times)| **times > 1).collect();
    assert!(duplicates.is_empty(), "{duplicates:?}");
    let completed = outcomes.iter().flat_map(|outcomes| &outcomes.completed_writes);
    let missing: Vec<_> = completed.clone().filter(|text| !run_counts.contains_key(*text)).collect();
    assert!(missing.is_empty(), "reported as completed, but not received by a server: {missing:?}");
    let sum = |counter: fn(&Outcomes) -> usize| outcomes.iter().map(counter).sum::<usize>();
    let (reads, unknown) = (sum(|t| t.reads), sum(|t| t.unknown));
    println!(
        "{failed_connections} connections failed; {} writes completed, {reads} reads, {} rejected, {unknown} unknown, {} closed",
        completed.count(),
        sum(|t| t.rejected),
        sum(|t| t.closed)
    );
    // The faults were effective.
    assert!(
        failed_connections > 100 && unknown > 0 && reads > CLIENT_COUNT * count / 20,
        "too few faults or reads"
    );
}
