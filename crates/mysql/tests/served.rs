//! Real client libraries before stand-in servers, straight and through the proxy; and the failures of servers, with
//! what reached each of them counted there.

mod common;

use common::*;
use dewpier_standins::mysql::{MySqlServer, Reply};
use dewpier_standins::wait_for;
use gannetproxy::Status;
use mysql::prelude::Queryable;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SQLSTATE_SERIALIZATION_FAILURE: &str = "40001";
const SQLSTATE_RESOLUTION_UNKNOWN: &str = "08007";

#[test]
fn a_client_hears_the_same_straight_and_through_the_proxy() {
    let server = MySqlServer::start(OWN, usual);
    let proxy = Proxy::before(&[&server]);
    let told = |mut client: mysql::Conn| {
        let mut told = Vec::new();
        for text in [
            "SELECT id, name FROM t",
            "SELECT a, b FROM nothing",
            "SELECT DATABASE()",
            "SELECT a FROM wrong",
            "INSERT INTO t (id) VALUES (1)",
            "UPDATE t SET a = 1",
            "USE other",
            "SELECT DATABASE()",
            "BEGIN",
            "SELECT id, name FROM t",
            "COMMIT",
        ] {
            told.push(format!("{:?}", rows(&mut client, text)));
            told.push(format!("{} {}", client.affected_rows(), client.last_insert_id()));
        }
        client.ping().expect("it answers");
        told.push(format!("{:?}", client.select_db("nowhere")));
        client.select_db("plans").expect("it is there");
        told.push(format!("{:?}", rows(&mut client, "SELECT DATABASE()")));
        told
    };
    let straight = told(client(server.address, "dewpier", OWN).unwrap());
    assert!(straight[0].contains("299") && straight[6].contains("1146"), "{straight:?}");
    assert_eq!(told(proxy.client()), straight);
}

#[test]
fn prepared_statements_are_the_same_and_follow_their_session() {
    let servers = [MySqlServer::start(OWN, usual), MySqlServer::start(OWN, usual)];
    let proxy = Proxy::before(&[&servers[0], &servers[1]]);
    let told = |client: &mut mysql::Conn| {
        let mut told = Vec::new();
        let read = client.prep("SELECT id, name FROM t WHERE a = ? AND b = ?").unwrap();
        let write = client.prep("INSERT INTO t VALUES (?, ?, ?)").unwrap();
        told.push(format!("{:?}", client.prep("SELECT a FROM wrong").map(drop)));
        for i in 0..3 {
            let rows: Vec<mysql::Row> = client.exec(&read, (i, "x")).unwrap();
            told.push(format!("{:?}", rows.iter().map(|row| row.clone().unwrap()).collect::<Vec<_>>()));
            client.exec_drop(&write, (i, None::<u8>, format!("text {i}"))).unwrap();
            told.push(client.affected_rows().to_string());
        }
        client.close(read).unwrap();
        told
    };
    let straight = told(&mut client(servers[0].address, "dewpier", OWN).unwrap());
    let mut clients: Vec<_> = (0..4).map(|_| proxy.client()).collect();
    for _ in 0..5 {
        for client in &mut clients {
            assert_eq!(told(client), straight);
        }
    }
    let write = "INSERT INTO t VALUES (2, NULL, 'text 2')";
    assert_eq!(servers.iter().map(|s| s.count_statements(write)).sum::<usize>(), 1 + 20);
    // The connections that it was prepared on die: it is prepared on others.
    let mut client = proxy.client();
    let read = client.prep("SELECT id, name FROM t WHERE a = ?").unwrap();
    servers.iter().for_each(MySqlServer::close_connections);
    assert_eq!(client.exec::<mysql::Row, _, _>(&read, (9,)).unwrap().len(), 300);
    // So it is where the session moves from one server to the other.
    for (drains, n) in [(0, 20), (1, 21)] {
        let states = [0, 1].map(|i| if i == drains { Status::Draining } else { Status::InService });
        proxy.news((0..).zip(&servers).map(|(i, s)| listed(i, s.address, states[i as usize])).collect());
        wait_for("read at the other server", || {
            assert_eq!(client.exec::<mysql::Row, _, _>(&read, (n,)).unwrap().len(), 300);
            servers[1 - drains].count_statements(&format!("SELECT id, name FROM t WHERE a = {n}")) > 0
        });
    }
}

#[tokio::test]
async fn another_library_is_served_as_well() {
    use mysql_async::prelude::Queryable;
    let server = MySqlServer::start(OWN, usual);
    let proxy = Proxy::before(&[&server]);
    let options = mysql_async::OptsBuilder::default()
        .ip_or_hostname("127.0.0.1")
        .tcp_port(proxy.address.port())
        .user(Some("planner"))
        .pass(Some(CLIENT))
        .prefer_socket(false)
        .max_allowed_packet(Some(1 << 20))
        .wait_timeout(Some(100));
    let mut client = mysql_async::Conn::new(options).await.unwrap();
    let rows: Vec<(u32, Option<String>)> = client.query("SELECT id, name FROM t").await.unwrap();
    assert_eq!((rows.len(), rows[299].0, rows[8].1.as_deref()), (300, 299, Some("xxxxxxxx")));
    client.query_drop("INSERT INTO t (id) VALUES (1)").await.unwrap();
    assert_eq!(client.affected_rows(), 1);
    client.disconnect().await.unwrap();
}

#[test]
fn who_does_not_prove_its_password_is_told_so() {
    let server = MySqlServer::start(OWN, usual);
    let proxy = Proxy::before(&[&server]);
    for (user, password) in [("planner", "ash"), ("planner", ""), ("nobody", CLIENT), ("maker", "ash")] {
        assert_eq!(error(client(proxy.address, user, password).map(drop)), (1045, "28000".into()));
    }
    assert_eq!(server.connection_count(), 0);
    // Whose newer hash is kept logs in by that.
    let mut maker = client(proxy.address, "maker", CLIENT).unwrap();
    assert_eq!(rows(&mut maker, "SELECT id, name FROM t").unwrap().len(), 300);
}

#[test]
fn reads_go_to_replicas_and_writes_to_the_primary_and_a_session_reads_what_it_wrote() {
    let servers: [MySqlServer; 3] = std::array::from_fn(|_| MySqlServer::start(OWN, usual));
    let [primary, replicas @ ..] = &servers;
    let proxy = Proxy::reading(primary, &[&replicas[0], &replicas[1]]);
    let mut client = proxy.client();
    for _ in 0..20 {
        client.query_drop("SELECT id, name FROM t").unwrap();
    }
    assert_eq!(primary.statements().len(), 0);
    client.query_drop("INSERT INTO t VALUES (1)").unwrap();
    client.query_drop("SELECT id, name FROM t").unwrap();
    client.query_drop("BEGIN").unwrap();
    client.query_drop("SELECT id, name FROM u").unwrap();
    client.query_drop("COMMIT").unwrap();
    assert_eq!(primary.statements().len(), 5);
    let read: usize = replicas.iter().map(|r| r.statements().len()).sum();
    assert_eq!(read, 20);
    // After a while replicas are taken to have it.
    wait_for("read at a replica", || {
        client.query_drop("SELECT id, name FROM t").unwrap();
        replicas.iter().map(|r| r.statements().len()).sum::<usize>() > read
    });
}

/// A server whose next answer to such a text ends by `end`.
fn failing(text: &'static str, end: fn(Reply) -> Reply) -> (MySqlServer, Arc<AtomicBool>) {
    let armed = Arc::new(AtomicBool::new(false));
    let arm = armed.clone();
    let server = MySqlServer::start(OWN, move |asked| {
        let fails = asked.text == text && arm.swap(false, Ordering::SeqCst);
        let reply = usual(asked);
        if fails { end(reply) } else { reply }
    });
    (server, armed)
}

/// Both servers fail once after they are armed: whichever is asked first has then.
fn two_failing(text: &'static str, end: fn(Reply) -> Reply) -> ([MySqlServer; 2], [Arc<AtomicBool>; 2]) {
    let ((a, arm_a), (b, arm_b)) = (failing(text, end), failing(text, end));
    ([a, b], [arm_a, arm_b])
}

fn arm(arms: &[Arc<AtomicBool>; 2]) {
    arms.iter().for_each(|arm| arm.store(true, Ordering::SeqCst));
}

#[test]
fn a_read_whose_server_stops_halfway_is_asked_again_and_comes_whole() {
    const TEXT: &str = "SELECT id, name FROM t";
    // Silence is waited for, and costs a timer each.
    type End = fn(Reply) -> Reply;
    let ends: [(End, usize, usize); 4] = [
        (|reply| Reply::Truncated(0, Box::new(reply)), 20, 15),
        (|reply| Reply::Truncated(2000, Box::new(reply)), 20, 15),
        (|reply| Reply::Stalled(0, Box::new(reply)), 4, 1),
        (|reply| Reply::Stalled(2000, Box::new(reply)), 4, 1),
    ];
    for (end, rounds, least) in ends {
        let (servers, arms) = two_failing(TEXT, end);
        let proxy = Proxy::before(&[&servers[0], &servers[1]]);
        let over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            // A rate to measure what is unanswered by.
            for _ in 0..4 {
                scope.spawn(|| {
                    let mut client = proxy.client();
                    while !over.load(Ordering::SeqCst) {
                        assert_eq!(rows(&mut client, "SELECT id, name FROM other").unwrap().len(), 300);
                    }
                });
            }
            let mut client = proxy.client();
            let whole = (0..rounds).filter(|round| {
                arms[round % 2].store(true, Ordering::SeqCst);
                let mut whole = true;
                // It is whole, or said to be none: never a part.
                while arms[round % 2].load(Ordering::SeqCst) {
                    match rows(&mut client, TEXT) {
                        Ok(rows) => assert_eq!(rows.len(), 300),
                        failed => {
                            assert_eq!(error(failed).1, SQLSTATE_SERIALIZATION_FAILURE);
                            whole = false;
                        }
                    }
                }
                whole
            });
            let whole = whole.count();
            over.store(true, Ordering::SeqCst);
            assert!(whole >= least, "{whole} of {rounds}");
        });
    }
}

#[test]
fn a_long_answer_is_passed_on_as_it_comes_and_one_that_breaks_off_is_told_from_a_whole_one() {
    const LONG: &str = "SELECT long FROM t";
    let (cut, passed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let (cuts, count) = (cut.clone(), passed.clone());
    let server = MySqlServer::start(OWN, move |asked| match asked.text == LONG {
        false => usual(asked),
        true => {
            count.fetch_add(1, Ordering::SeqCst);
            let rows = (0..2000).map(|i| vec![Some(i.to_string()), Some("x".repeat(500))]).collect();
            let reply = Reply::Rows(vec!["id", "text"], rows);
            if cuts.load(Ordering::SeqCst) { Reply::Truncated(700_000, Box::new(reply)) } else { reply }
        }
    });
    let proxy = Proxy::holding(&[&server], 20_000);
    let mut client = proxy.client();
    let whole = rows(&mut client, LONG).unwrap();
    assert_eq!((whole.len(), whole[1999][0].as_deref()), (2000, Some("1999")));
    cut.store(true, Ordering::SeqCst);
    let mut seen = 0;
    let broken = client.query_iter(LONG).unwrap().find_map(|row| match row {
        Ok(_) => {
            seen += 1;
            None
        }
        Err(error) => Some(error),
    });
    assert_eq!(error(broken.map_or(Ok(()), Err)), (1158, "08S01".into()));
    assert!((1000..2000).contains(&seen), "{seen}");
    assert_eq!(passed.load(Ordering::SeqCst), 2, "what has begun to go out is not asked again");
    cut.store(false, Ordering::SeqCst);
    assert_eq!(rows(&mut client, LONG).unwrap().len(), 2000, "the session goes on");
    // A client that leaves in the middle holds nothing up.
    let mut leaves = proxy.client();
    drop(leaves.query_iter(LONG).unwrap().next());
    drop(leaves);
    assert_eq!(rows(&mut client, LONG).unwrap().len(), 2000);
}

#[test]
fn a_write_whose_answer_is_cut_is_sent_once_and_told_as_unknown() {
    const TEXT: &str = "INSERT INTO t (id) VALUES (1)";
    let ends: [fn(Reply) -> Reply; 3] = [
        |reply| Reply::Truncated(0, Box::new(reply)),
        |reply| Reply::Truncated(5, Box::new(reply)),
        |reply| Reply::Stalled(3, Box::new(reply)),
    ];
    for end in ends {
        let (servers, arms) = two_failing(TEXT, end);
        arm(&arms);
        let proxy = Proxy::before(&[&servers[0], &servers[1]]);
        let mut client = proxy.client();
        let start = Instant::now();
        assert_eq!(error(client.query_drop(TEXT)).1, SQLSTATE_RESOLUTION_UNKNOWN);
        assert!(start.elapsed() < Duration::from_secs(8), "{:?}", start.elapsed());
        assert_eq!(servers.iter().map(|s| s.count_statements(TEXT)).sum::<usize>(), 1);
        // The session goes on.
        assert_eq!(rows(&mut client, "SELECT id, name FROM t").unwrap().len(), 300);
    }
}

#[test]
fn a_server_that_says_it_ran_nothing_is_passed_over_for_writes_too() {
    let reading = MySqlServer::start(OWN, |asked| match asked.text.starts_with("INSERT") {
        true => Reply::Error(1290, "HY000", "The MySQL server is running with the --read-only option".into()),
        false => usual(asked),
    });
    let (full, primary) = (MySqlServer::start(OWN, usual), MySqlServer::start(OWN, usual));
    full.set_refusing(true);
    let proxy = Proxy::before(&[&reading, &full, &primary]);
    let mut client = proxy.client();
    for i in 0..20 {
        client.query_drop(format!("INSERT INTO t (id) VALUES ({i})")).expect("the primary does it");
    }
    for i in 0..20 {
        assert_eq!(primary.count_statements(&format!("INSERT INTO t (id) VALUES ({i})")), 1);
    }
}

#[test]
fn a_procedure_that_meets_a_read_only_server_halfway_is_not_called_again() {
    let server = || {
        MySqlServer::start(OWN, |asked| match asked.text.starts_with("CALL") {
            true => {
                Reply::Error(1290, "HY000", "The MySQL server is running with the --read-only option".into())
            }
            false => usual(asked),
        })
    };
    let servers = [server(), server()];
    let proxy = Proxy::before(&[&servers[0], &servers[1]]);
    assert_eq!(error(proxy.client().query_drop("CALL place_order(7)")).0, 1290);
    assert_eq!(servers.iter().map(|s| s.count_statements("CALL place_order(7)")).sum::<usize>(), 1);
}

#[test]
fn a_transaction_stays_on_its_connection_and_ends_truly_when_that_dies() {
    let servers = [MySqlServer::start(OWN, usual), MySqlServer::start(OWN, usual)];
    let proxy = Proxy::before(&[&servers[0], &servers[1]]);
    let mut client = proxy.client();
    let all = || servers.iter().flat_map(|s| s.statements()).collect::<Vec<_>>();
    for text in
        ["BEGIN", "INSERT INTO t VALUES (1)", "SELECT id, name FROM t", "INSERT INTO t VALUES (2)", "COMMIT"]
    {
        client.query_drop(text).unwrap();
    }
    let first = all();
    assert_eq!(first.len(), 5);
    assert!(first.iter().all(|asked| asked.connection == first[0].connection));
    let ran = |server: &MySqlServer| server.statements().len();
    assert!(ran(&servers[0]) == 0 || ran(&servers[1]) == 0, "one server has all of it");

    client.query_drop("BEGIN").unwrap();
    client.query_drop("INSERT INTO t VALUES (3)").unwrap();
    servers.iter().for_each(MySqlServer::close_connections);
    // It can't have been committed: the server undoes it with the connection.
    assert_eq!(error(client.query_drop("INSERT INTO t VALUES (4)")).1, SQLSTATE_SERIALIZATION_FAILURE);
    let count = |text: &str| servers.iter().map(|s| s.count_statements(text)).sum::<usize>();
    assert_eq!((count("INSERT INTO t VALUES (3)"), count("INSERT INTO t VALUES (4)")), (1, 0));
    client.query_drop("INSERT INTO t VALUES (5)").unwrap();
    let last = all().into_iter().find(|asked| asked.text == "INSERT INTO t VALUES (5)").unwrap();
    assert!(!last.in_transaction, "it is outside of what is gone");
}

#[test]
fn a_commit_whose_answer_is_cut_is_unknown_and_is_not_sent_again() {
    let (servers, arms) = two_failing("COMMIT", |reply| Reply::Truncated(0, Box::new(reply)));
    arm(&arms);
    let proxy = Proxy::before(&[&servers[0], &servers[1]]);
    let mut client = proxy.client();
    client.query_drop("BEGIN").unwrap();
    client.query_drop("INSERT INTO t VALUES (1)").unwrap();
    assert_eq!(error(client.query_drop("COMMIT")).1, SQLSTATE_RESOLUTION_UNKNOWN);
    assert_eq!(servers.iter().map(|s| s.count_statements("COMMIT")).sum::<usize>(), 1);
    client.query_drop("INSERT INTO t VALUES (2)").unwrap();
}

#[test]
fn state_of_a_session_is_its_own_and_its_loss_ends_it() {
    let server = MySqlServer::start(OWN, usual);
    let proxy = Proxy::before(&[&server]);
    let (mut a, mut b) = (proxy.client(), proxy.client());
    let value = |client: &mut mysql::Conn| rows(client, "SELECT @A").map(|rows| rows[0][0].clone().unwrap());
    a.query_drop("SET @A = 7").unwrap();
    assert_eq!((value(&mut a).unwrap(), value(&mut b).unwrap()), ("7".into(), "unset".into()));
    drop(a);
    for _ in 0..5 {
        let mut next = proxy.client();
        assert_eq!(value(&mut next).unwrap(), "unset");
    }
    let mut a = proxy.client();
    a.query_drop("SET @A = 8").unwrap();
    server.close_connections();
    assert!(a.query_drop("INSERT INTO t VALUES (1)").is_err());
    assert!(a.ping().is_err(), "it goes on as if nothing were lost");
    assert_eq!(server.count_statements("INSERT INTO t VALUES (1)"), 0);
}

#[test]
fn a_generated_id_is_asked_for_where_it_was_made() {
    let servers = [MySqlServer::start(OWN, usual), MySqlServer::start(OWN, usual)];
    let proxy = Proxy::before(&[&servers[0], &servers[1]]);
    let mut clients: Vec<_> = (0..8).map(|_| proxy.client()).collect();
    for client in &mut clients {
        client.query_drop("INSERT INTO auto (a) VALUES (1)").unwrap();
        let made = client.last_insert_id().to_string();
        assert_eq!(rows(client, "SELECT LAST_INSERT_ID()").unwrap(), [[Some(made)]]);
    }
}

#[test]
fn nothing_new_reaches_a_server_that_drains_and_its_transactions_end() {
    let servers = [MySqlServer::start(OWN, usual), MySqlServer::start(OWN, usual)];
    let proxy = Proxy::before(&[&servers[0], &servers[1]]);
    let mut held = proxy.client();
    held.query_drop("BEGIN").unwrap();
    let holder = servers.iter().position(|s| s.count_statements("BEGIN") == 1).unwrap();
    let list = |status| {
        let mut list: Vec<_> =
            (0..).zip(&servers).map(|(id, s)| listed(id, s.address, Status::InService)).collect();
        list[holder].entry.status = status;
        list
    };
    proxy.news(list(Status::Draining));
    std::thread::sleep(GRACE + Duration::from_millis(100));
    let before = servers[holder].statements().len();
    assert_eq!(error(held.query_drop("INSERT INTO t VALUES (1)")).1, SQLSTATE_SERIALIZATION_FAILURE);
    for _ in 0..30 {
        held.query_drop("INSERT INTO t VALUES (2)").unwrap();
    }
    assert_eq!(servers[holder].statements().len(), before);
    wait_for("end of the connections to it", || servers[holder].connection_count() == 0);
}

#[test]
fn many_clients_write_while_servers_die_and_no_write_is_seen_twice() {
    let servers: [MySqlServer; 3] = std::array::from_fn(|_| MySqlServer::start(OWN, usual));
    let proxy = Proxy::before(&[&servers[0], &servers[1], &servers[2]]);
    let over = AtomicBool::new(false);
    let (served, told) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for client_number in 0..8 {
            let (over, served, told, proxy) = (&over, &served, &told, &proxy);
            scope.spawn(move || {
                let mut client = proxy.client();
                for i in 0.. {
                    if over.load(Ordering::SeqCst) {
                        break;
                    }
                    let text = format!("INSERT INTO t VALUES ({client_number}, {i})");
                    match client.query_drop(&text) {
                        Ok(()) => {
                            served.fetch_add(1, Ordering::SeqCst);
                            told.lock().unwrap().push((text, true));
                        }
                        // It is one of the two, and never the end of the connection.
                        Err(mysql::Error::MySqlError(e))
                            if e.state == SQLSTATE_RESOLUTION_UNKNOWN
                                || e.state == SQLSTATE_SERIALIZATION_FAILURE =>
                        {
                            told.lock().unwrap().push((text, false));
                        }
                        Err(error) => panic!("{error}"),
                    }
                    assert_eq!(
                        rows(&mut client, "SELECT id, name FROM t").map(|rows| rows.len()).unwrap_or(300),
                        300
                    );
                }
            });
        }
        for round in 0..9 {
            let server = &servers[round % 3];
            std::thread::sleep(Duration::from_millis(60));
            server.kill();
            std::thread::sleep(Duration::from_millis(120));
            server.restart();
        }
        over.store(true, Ordering::SeqCst);
    });
    let mut seen = std::collections::HashMap::new();
    for asked in servers.iter().flat_map(|s| s.statements()).filter(|asked| asked.text.starts_with("INSERT"))
    {
        *seen.entry(asked.text).or_insert(0) += 1;
    }
    assert!(seen.values().all(|times| *times == 1), "{:?}", seen.iter().find(|(_, times)| **times > 1));
    let told = told.into_inner().unwrap();
    assert!(told.iter().filter(|(_, served)| *served).all(|(text, _)| seen.contains_key(text)));
    assert!(served.into_inner() > 100, "hardly anything is served");
}

#[test]
fn a_stop_answers_what_was_taken() {
    let server = MySqlServer::start(OWN, |asked| match asked.text.starts_with("INSERT") {
        true => Reply::Delayed(Duration::from_millis(600), Box::new(usual(asked))),
        false => usual(asked),
    });
    let mut proxy = Proxy::before(&[&server]);
    let (mut busy, mut idle) = (proxy.client(), proxy.client());
    let running = std::thread::spawn(move || busy.query_drop("INSERT INTO t VALUES (1)"));
    wait_for("statement", || server.count_statements("INSERT INTO t VALUES (1)") == 1);
    proxy.stop();
    assert!(running.join().unwrap().is_ok(), "it was taken");
    assert!(idle.ping().is_err());
    assert!(client(proxy.address, "planner", CLIENT).is_err());
}
