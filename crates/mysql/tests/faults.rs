//! A seeded run over connections to servers that are cut, stalled and garbled at every kind of place, from the
//! login on: each write is seen once at most, each statement ends once, what is served is whole, and nothing of one
//! session reaches another.
//!
//! MYSQL_FAULTS_SEED names the seed, MYSQL_FAULTS how many statements each client sends (200).

mod common;

use common::*;
use dewpier_standins::faulty_relay::FaultyRelay;
use dewpier_standins::mysql::MySqlServer;
use dewpier_standins::rng::Rng;
use mysql::prelude::Queryable;
use std::collections::HashMap;

const CLIENTS: usize = 8;
const READ: &str = "SELECT id, name FROM t";

#[derive(Debug, Default)]
struct Told {
    done: Vec<String>,
    served: usize,
    refused: usize,
    unknown: usize,
    closed: usize,
}

/// What an error says is true of a statement.
fn sort(error: &mysql::Error, told: &mut Told) -> bool {
    match error {
        mysql::Error::MySqlError(e) => match e.state.as_str() {
            "40001" => told.refused += 1,
            "08007" => told.unknown += 1,
            // The state of the session is lost: the error says so, and the connection ends.
            "08006" => told.closed += 1,
            state => panic!("an error of state {state}: {e}"),
        },
        error => panic!("the proxy ended the connection without a word: {error}"),
    }
    true
}

fn play(proxy: &Proxy, number: usize, count: usize, mut rng: Rng) -> Told {
    let mut told = Told::default();
    let mut client = proxy.client();
    // What it has set, and whether it has asked for anything of the kind: that holds it as well.
    let (mut own, mut held) = (None, false);
    for n in 0..count {
        let text = format!("INSERT INTO t VALUES ({number}, {n})");
        let mut lost = false;
        match rng.below(10) {
            0..=2 => match client.query_drop(&text) {
                Ok(()) => told.done.push(text),
                Err(error) => lost = sort(&error, &mut told),
            },
            3 => {
                // All of a transaction, or nothing of it that counts.
                let steps = ["BEGIN", &text, "COMMIT"];
                let ended = steps.iter().try_for_each(|step| client.query_drop(step));
                match ended {
                    Ok(()) => told.done.push(text),
                    Err(error) => {
                        lost = sort(&error, &mut told);
                        let _ = client.query_drop("ROLLBACK");
                    }
                }
            }
            4 => match client.exec_drop("INSERT INTO t VALUES (?, ?)", (number, n)) {
                Ok(()) => told.done.push(text),
                Err(error) => lost = sort(&error, &mut told),
            },
            5 if rng.below(8) == 0 => {
                let value = format!("{number}");
                match client.query_drop(format!("SET @A = {value}")) {
                    Ok(()) => (own, held) = (Some(value), true),
                    Err(error) => lost = sort(&error, &mut told),
                }
            }
            6 => match rows(&mut client, "SELECT @A") {
                Ok(rows) => {
                    held = true;
                    let found = rows[0][0].clone().unwrap_or_default();
                    assert_eq!(found, own.clone().unwrap_or("unset".into()), "of another session");
                }
                Err(error) => lost = sort(&error, &mut told),
            },
            _ => match rows(&mut client, READ) {
                Ok(rows) => {
                    assert_eq!((rows.len(), rows[299][0].as_deref()), (300, Some("299")));
                    told.served += 1;
                }
                Err(error) => lost = sort(&error, &mut told),
            },
        }
        // Where it held state, its end comes behind the error.
        if (lost && held) || rng.below(40) == 0 {
            (client, own, held) = (proxy.client(), None, false);
        }
    }
    told
}

#[test]
fn whatever_becomes_of_connections_no_write_runs_twice_and_every_statement_ends_once() {
    let mut rng = Rng::from_env("MYSQL_FAULTS_SEED", 41);
    let count = std::env::var("MYSQL_FAULTS").ok().and_then(|n| n.parse().ok()).unwrap_or(200);
    let servers: [MySqlServer; 3] = std::array::from_fn(|_| MySqlServer::start(OWN, usual));
    let spoilers: Vec<_> =
        servers.iter().map(|server| FaultyRelay::start(server.address, rng.next_u64(), 100, 14)).collect();
    let proxy = Proxy::at(&spoilers.iter().map(|s| s.address).collect::<Vec<_>>());
    let told: Vec<Told> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (proxy, rng) = (&proxy, Rng::new(rng.next_u64()));
                scope.spawn(move || play(proxy, number, count, rng))
            })
            .collect();
        clients.into_iter().map(|client| client.join().expect("its checks hold")).collect()
    });
    let spoilt: usize = spoilers.iter().map(FaultyRelay::failed_connections).sum();
    let mut seen: HashMap<String, usize> = HashMap::new();
    for asked in servers.iter().flat_map(|s| s.statements()).filter(|asked| asked.text.starts_with("INSERT"))
    {
        *seen.entry(asked.text).or_default() += 1;
    }
    let twice: Vec<_> = seen.iter().filter(|(_, times)| **times > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
    let done = told.iter().flat_map(|told| &told.done);
    let never: Vec<_> = done.clone().filter(|text| !seen.contains_key(*text)).collect();
    assert!(never.is_empty(), "told as done, and never seen: {never:?}");
    let sum = |of: fn(&Told) -> usize| told.iter().map(of).sum::<usize>();
    let (served, unknown) = (sum(|t| t.served), sum(|t| t.unknown));
    println!(
        "{spoilt} connections spoilt; {} writes done, {served} reads served, {} refused, {unknown} unknown, {} closed",
        done.count(),
        sum(|t| t.refused),
        sum(|t| t.closed)
    );
    // The faults do reach what they are for.
    assert!(spoilt > 100 && unknown > 0 && served > CLIENTS * count / 20, "they do not");
}
