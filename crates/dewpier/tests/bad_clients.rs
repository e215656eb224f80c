//! Clients that stay, say nothing or send what can't be served: they are turned away soon, reach
//! no backend, and keep no one else out.

mod common;

use common::sockets::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Until an error or the end of its connection, whichever comes first.
fn turned_away(stream: &mut BufReader<TcpStream>) -> Option<u16> {
    let status = read(stream).map(|m| m.status());
    assert!(status.is_none_or(|s| s >= 400), "{status:?}");
    status
}

#[test]
fn connections_that_stay_without_a_request_make_room_for_others() {
    let backend = Played::good("hello");
    let mut config = build_config(&settings(), &known_list(&[&backend]));
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    // Asks on a connection of its own until it is served; what is closed or refused for want of
    // room is tried again.
    let served = || {
        let mut kept = proxy.connect();
        wait_for("answer", || {
            let sent = kept.get_mut().write_all(request_text("look", 9000).as_bytes());
            let served = sent.is_ok() && read(&mut kept).is_some_and(|m| m.status() == 200);
            if !served {
                kept = proxy.connect();
                std::thread::sleep(Duration::from_millis(50));
            }
            served
        });
        kept
    };
    // More of either kind than it has descriptors.
    let asked: Vec<_> = (0..70).map(|_| served()).collect();
    let mute: Vec<_> = (0..70).map(|_| proxy.connect()).collect();
    served();
    drop((asked, mute));
}

#[test]
fn who_gets_the_place_of_a_connection_that_never_asked_is_served() {
    let backend = Played::good("hello");
    let mut config = build_config(&settings(), &known_list(&[&backend]));
    config["limits"]["sockets"] = json!(64); // room for 21 clients
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    let mute: Vec<_> = (0..21).map(|_| proxy.connect()).collect();
    // Longer than a connection may say nothing while others wait for its place.
    std::thread::sleep(Duration::from_secs(1));
    let mut asked = Vec::new();
    for n in 0..15 {
        let mut stream = proxy.connect();
        assert_eq!(ask(&mut stream, &request_text("look", 9000)).status(), 200, "client {n}");
        asked.push(stream);
    }
    drop(mute);
}

#[test]
fn a_newcomer_takes_the_place_of_one_that_rests_between_two_requests() {
    let backend = Played::good("hello");
    let mut config = build_config(&settings(), &known_list(&[&backend]));
    config["limits"]["sockets"] = json!(64); // room for 21 clients
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    let mut kept = Vec::new();
    for n in 0..63 {
        let mut stream = proxy.connect();
        assert_eq!(ask(&mut stream, &request_text("look", 9000)).status(), 200, "client {n}");
        kept.push(stream);
        // The one that has rested longest does so for less than two seconds, and more than a tenth.
        std::thread::sleep(Duration::from_millis(40));
    }
}

#[test]
fn a_connection_with_a_request_in_hand_is_not_closed_to_make_room() {
    let (backend, release) = Played::held("hello");
    let mut config = build_config(&settings(), &known_list(&[&backend]));
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    let mut busy = proxy.connect();
    busy.get_mut().write_all(request_text("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    let mute: Vec<_> = (0..60).map(|_| proxy.connect()).collect();
    // Those that say nothing are all closed in time; the one at work is not.
    for mut stream in mute {
        assert_eq!(turned_away(&mut stream), None);
    }
    release.send(()).unwrap();
    assert_eq!(read(&mut busy).expect("an answer").status(), 200);
}

#[test]
fn what_never_comes_whole_is_given_up_within_three_seconds() {
    let backend = Played::good("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let good = request_text("look", 9000);
    let start = Instant::now();
    let parts = ["", "GET /api HT", good.strip_suffix("dy").unwrap()];
    let mut streams = parts.map(|part| {
        let mut stream = proxy.connect();
        stream.get_mut().write_all(part.as_bytes()).unwrap();
        stream
    });
    // One that has had an answer before is no better.
    let mut second = proxy.connect();
    assert_eq!(ask(&mut second, &request_text("look", 9000)).status(), 200);
    second.get_mut().write_all(b"GET /api HT").unwrap();
    let statuses = streams.each_mut().map(turned_away);
    assert_eq!(statuses, [None, None, Some(408)]);
    turned_away(&mut second);
    // 3 s is what is owed; a busy machine is given more, and what it was before is far beyond.
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
    assert_eq!(backend.count(), 1);
}

#[test]
fn a_connection_at_rest_is_kept() {
    let backend = Played::good("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let mut stream = proxy.connect();
    assert_eq!(ask(&mut stream, &request_text("look", 9000)).status(), 200);
    std::thread::sleep(Duration::from_millis(3500));
    assert_eq!(ask(&mut stream, &request_text("look", 9000)).status(), 200);
}

#[test]
fn what_could_be_read_in_two_ways_does_not_go_on() {
    let backend = Played::good("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let good = request_text("save", 9000);
    let hidden = format!("0\r\n\r\n{}", request_text("save", 9000));
    for coding in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n{hidden}", hidden.len()),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n\r\n{hidden}", hidden.len()),
        "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n".to_string(),
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n".to_string(),
        "Transfer-Encoding: identity\r\n\r\nbody".to_string(),
        "Transfer-Encoding: chunked\r\n\r\n4x\r\nbody\r\n0\r\n\r\n".to_string(),
        "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody".to_string(),
        "Content-Length: -4\r\n\r\nbody".to_string(),
        "Content-Length: +4\r\n\r\nbody".to_string(),
        "Content-Length: 99999999999999999999999\r\n\r\nbody".to_string(),
    ] {
        let mut stream = proxy.connect();
        let text = good.replace("Content-Length: 4\r\n\r\nbody", &coding);
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        turned_away(&mut stream);
        // Nor does anything behind it.
        assert!(read(&mut stream).is_none(), "{coding}");
    }
    assert_eq!(backend.count(), 0);
}

#[test]
fn a_spoilt_request_is_refused_and_its_connection_closed() {
    let backend = Played::good("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let (look, save, order) =
        (request_text("look", 9000), request_text("save", 9000), request_text("order", 9000));
    let id = look.lines().find(|l| l.starts_with("X-Txn")).unwrap();
    for text in [
        look.replace("GET ", "POST "),
        save.replace("POST ", "GET "),
        order.replace("POST ", "PUT "),
        order.replace("X-Org", "Idempotency-Key: 5c0f6e1a\r\nX-Org"),
        save.replace("Idempotency-Key: 5c0f6e1a\r\n", ""),
        look.replace("X-Txn: 0", "X-Txn: +"),
        look.replace(id, &format!("{id}\r\n{id}")),
        look.replace(&format!("{id}\r\n"), ""),
        look.replace("X-Lane: look", "X-Lane: look\r\nX-Lane: save"),
        look.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: -1"),
        look.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: +9000"),
        look.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: 99999999999999"),
        look.replace("GET /api?q=1", "CONNECT elsewhere:80"),
    ] {
        let mut stream = proxy.connect();
        let reply = ask(&mut stream, &text);
        assert_eq!((reply.status(), reply.header("connection")), (400, Some("close")), "{text}");
        assert!(read(&mut stream).is_none(), "{text}");
    }
    assert_eq!(backend.count(), 0);
    // A wait that no class allows is cut to what it does allow.
    assert_eq!(proxy.exchange(&look.replace("9000", "4294967295")).status(), 200);
    let sent = backend.requests.lock().unwrap()[0].clone();
    assert!(sent.header("x-remaining-ms").unwrap().parse::<u64>().unwrap() <= 30_000);
}

#[test]
fn a_head_without_end_is_refused() {
    let backend = Played::good("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let mut stream = proxy.connect();
    let _ = stream.get_mut().write_all(b"GET /api HTTP/1.1\r\n");
    for i in 0..2000 {
        // It may have been closed meanwhile.
        if stream.get_mut().write_all(format!("X-{i}: {}\r\n", "y".repeat(64)).as_bytes()).is_err() {
            break;
        }
    }
    turned_away(&mut stream);
    assert_eq!(backend.count(), 0);
}

#[test]
fn the_id_of_an_open_request_neither_ends_nor_answers_it() {
    let (backend, release) = Played::held("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let text = request_text("order", 20_000);
    let mut first = proxy.connect();
    first.get_mut().write_all(text.as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    assert_eq!(proxy.exchange(&text).status(), 400);
    release.send(()).unwrap();
    assert_eq!(read(&mut first).expect("an answer").status(), 200);
    assert_eq!(backend.count(), 1);
}

#[test]
fn an_id_used_again_is_not_answered_by_what_is_still_out_of_the_first() {
    // The first answer is late, and attempts are not cancelled here.
    let backend = Played::new(move |before, _| {
        if before == 0 {
            std::thread::sleep(Duration::from_millis(1500));
            return Play::Answer(answer("200 OK", "first"));
        }
        std::thread::sleep(Duration::from_millis(1500));
        Play::Answer(answer("200 OK", "second"))
    });
    let mut settings = settings();
    settings["caps"]["cancel"] = json!(false);
    let proxy = Proxy::start(&settings, &known_list(&[&backend]), idle_discovery().address);
    let text = request_text("order", 600);
    let status = proxy.exchange(&text).status();
    assert!(status != 200 && status != 503, "{status}");
    let again = proxy.exchange(&text.replace("X-Remaining-Ms: 600", "X-Remaining-Ms: 20000"));
    assert_eq!((again.status(), again.body.as_slice()), (200, b"second".as_slice()));
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2);
}
