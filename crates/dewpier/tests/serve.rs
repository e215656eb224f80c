//! `dewpier serve` from outside: plain clients, and an inventory that is rewritten under load.

use dewpier_standins::backend::Backend;
use dewpier_standins::load::{LoadGenerator, ResponseCounts};
use dewpier_standins::message::{exchange, format_response, read_head};
use dewpier_standins::rng::Rng;
use dewpier_standins::scripted_server::{ScriptedReply, ScriptedServer};
use dewpier_standins::wait_for;
use dewpier_trials::process::*;
use std::collections::HashMap;
use std::io::Write;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn backends(count: usize) -> Vec<Backend> {
    (0..count).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect()
}

fn plain(method: &str, path: &str, headers: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: shop\r\n{headers}Content-Length: 0\r\n\r\n")
}

/// Gets, and an order now and then, which must not run twice.
fn mixed(address: std::net::SocketAddr, clients: usize) -> LoadGenerator {
    let script = |client: usize, n: u64| match n % 5 {
        0 => plain("POST", "/orders", &format!("X-Order: {client}-{n}\r\n")),
        _ => plain("GET", "/quotes/7", ""),
    };
    LoadGenerator::start(address, clients, Duration::from_millis(1), Arc::new(script))
}

/// Nothing was dropped, and no order ran twice.
#[track_caller]
fn whole(tally: &ResponseCounts, backends: &[Backend]) {
    assert_eq!((tally.rejected, tally.failed, tally.unanswered), (0, 0, 0), "of {}", tally.total());
    assert!(tally.served > 0);
    no_order_twice(backends);
}

#[track_caller]
fn no_order_twice(backends: &[Backend]) {
    let mut seen: HashMap<String, usize> = HashMap::new();
    for order in backends.iter().flat_map(|b| b.arrivals()).filter_map(|a| a.order_id) {
        *seen.entry(order).or_default() += 1;
    }
    assert!(!seen.is_empty());
    let twice: Vec<_> = seen.iter().filter(|(_, n)| **n > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
}

#[test]
fn plain_clients_are_served_and_see_what_backends_say() {
    let play = |_: usize, message: &dewpier_standins::message::Message| {
        let path = message.start_line.split(' ').nth(1).unwrap_or_default().to_string();
        ScriptedReply::Respond(match path.as_str() {
            "/found" => "HTTP/1.1 302 Found\r\nLocation: /there\r\nConnection: x-hop\r\nX-Hop: 1\r\n\
                         Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 2\r\n\r\nok"
                .into(),
            "/none" => format_response("404 Not Found", "none"),
            "/busy" => format_response("503 Service Unavailable", "busy"),
            "/broken" => format_response("500 Internal Server Error", "sorry"),
            "/head" => "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n".into(),
            _ => format_response("200 OK", "hello"),
        })
    };
    // A repeat goes to another backend.
    let backends = [ScriptedServer::new(play), ScriptedServer::new(play)];
    let asked = || backends.iter().map(ScriptedServer::request_count).sum::<usize>();
    let settings = "default_port = 80\n[[class]]\nname = \"quote\"\neffect = \"keyed\"\nwindow_ms = 5000\n\
                    match = [{ methods = [\"POST\"], path = \"/quotes\" }]\n\
                    [[class]]\nname = \"brief\"\neffect = \"safe\"\ndeadline_ms = 900\naim_ms = 900\n\
                    match = [{ path = \"/broken\", methods = [\"GET\"] }]";
    let table = format!("address\n{}\n{}\n", backends[0].address, backends[1].address);
    let served = DewpierProcess::serve_inventory("nodes.csv", table.as_bytes(), settings);
    let mut client = served.connect();
    let answer = exchange(&mut client, &plain("GET", "/x", ""));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"hello".as_slice()));
    let answer = exchange(&mut client, &plain("GET", "/found", ""));
    let cookies: Vec<_> = answer.headers.iter().filter(|(n, _)| n == "set-cookie").collect();
    assert_eq!((answer.status(), answer.header("location"), cookies.len()), (302, Some("/there"), 2));
    assert_eq!(answer.header("x-hop"), None, "a header of the connection");
    assert_eq!(exchange(&mut client, &plain("GET", "/none", "")).status(), 404);
    // An error is the answer if nothing better comes; what may have run is not sent again.
    let before = asked();
    let answer = exchange(&mut client, &plain("POST", "/broken", ""));
    assert_eq!((answer.status(), answer.body.as_slice()), (500, b"sorry".as_slice()));
    assert_eq!(asked() - before, 1);
    // A 503 that does not say that the request was turned away promises nothing.
    assert_eq!(exchange(&mut client, &plain("POST", "/busy", "")).status(), 502);
    assert_eq!(asked() - before, 2);
    let before = before + 1;
    let answer = exchange(&mut served.connect(), &plain("GET", "/broken", ""));
    assert_eq!((answer.status(), answer.body.as_slice()), (500, b"sorry".as_slice()));
    assert_eq!(asked() - before, 3, "a safe request is tried again");
    let mut client = served.connect();
    assert_eq!(exchange(&mut client, &plain("POST", "/quotes/1", "Idempotency-Key: k\r\n")).status(), 200);
    let answer = exchange(&mut client, &plain("POST", "/quotes/1", ""));
    assert_eq!(answer.status(), 400, "{}", String::from_utf8_lossy(&answer.body));
    let mut client = served.connect();
    client.get_mut().write_all(plain("HEAD", "/head", "").as_bytes()).unwrap();
    let head = read_head(&mut client).unwrap();
    assert_eq!((head.status(), head.header("content-length")), (200, Some("1234")));
    assert_eq!(exchange(&mut client, &plain("GET", "/x", "")).body, b"hello");
    served.terminate();
}

#[test]
fn what_cannot_be_used_is_told_at_the_start_with_its_place_and_status_2() {
    let folder = create_test_folder("bad");
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_dewpier")).args(args).output().unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
            String::from_utf8(output.stderr).unwrap(),
        )
    };
    let (csv, toml) = (folder.join("n.csv"), folder.join("d.toml"));
    let (csv_name, toml_name) = (csv.to_str().unwrap(), toml.to_str().unwrap());
    std::fs::write(&toml, "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"n.csv\"\n").unwrap();
    for (text, told) in [
        (
            "id,address\na,10.0.0.1\n",
            "2:3: port: expected a port from 1 to 65535, found none in '10.0.0.1'\n",
        ),
        (
            "id,address\na,10.0.0.1:1\na,10.0.0.2:1\n",
            "3:1: id 'a' is here twice, first at 2:1: expected it once\n",
        ),
    ] {
        std::fs::write(&csv, text).unwrap();
        let expected = (Some(2), String::new(), format!("{csv_name}:{told}"));
        assert_eq!(run(&["inventory", "check", csv_name]), expected);
        assert_eq!(run(&["check", "--config", toml_name]), expected);
        assert_eq!(run(&["serve", "--config", toml_name]), expected);
    }
    std::fs::write(&csv, "id,address,zone\nb,[::1]:2,z\na,10.0.0.1:1,\n").unwrap();
    let json = "{\"format\":\"csv\",\"encoding\":\"utf-8\",\"backends\":[\
                {\"id\":\"a\",\"address\":\"10.0.0.1:1\",\"zone\":\"\",\"cell\":0,\"weight\":1.0,\"state\":\"serving\"},\
                {\"id\":\"b\",\"address\":\"[::1]:2\",\"zone\":\"z\",\"cell\":0,\"weight\":1.0,\"state\":\"serving\"}]}\n";
    assert_eq!(run(&["inventory", "check", csv_name, "--json"]), (Some(0), json.to_string(), String::new()));
    assert_eq!(run(&["check", "--config", toml_name]).0, Some(0));
    let (code, _, told) = run(&["inventory", "check", csv_name, "--format", "list"]);
    assert!(code == Some(2) && told.starts_with(&format!("{csv_name}:")), "{told}");
    let (code, _, told) = run(&["inventory", "check", "/no/such/file"]);
    assert!(code == Some(2) && told.starts_with("/no/such/file: cannot read it: "), "{told}");
    std::fs::write(&toml, "listen = 1\n[inventory]\nfile = \"n.csv\"\n").unwrap();
    let (code, _, told) = run(&["serve", "--config", toml_name]);
    assert!(code == Some(2) && told.starts_with(&format!("{toml_name}:1:10: ")), "{told}");
    std::fs::write(&csv, "id,address\na,pricing-1.example.org:80\n").unwrap();
    std::fs::write(&toml, "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"n.csv\"\n").unwrap();
    let (code, _, told) = run(&["serve", "--config", toml_name]);
    assert!(
        code == Some(2) && told.contains("2:1: expected an IP address") && told.contains("look-up"),
        "{told}"
    );
}

#[test]
fn names_are_looked_up_where_that_is_asked_for() {
    let backend = Backend::start("b", Duration::ZERO);
    let table = format!("id,address\na,localhost:{}\n", backend.address.port());
    let served = DewpierProcess::serve_inventory("n.csv", table.as_bytes(), "names = \"look-up\"");
    assert_eq!(exchange(&mut served.connect(), &plain("GET", "/", "")).status(), 200);
    // Two names of one address are one node under two ids.
    let lines = served.log_line_count();
    let both = format!("{table}b,127.0.0.1:{}\n", backend.address.port());
    replace_file(&served.inventory_file, both.as_bytes());
    let (_, told) = served.wait_for_log(lines, "the last good list serves on");
    assert!(told.contains("expected one node an address"), "{told}");
    assert_eq!(exchange(&mut served.connect(), &plain("GET", "/", "")).status(), 200);
}

/// Ways to break any text.
fn damaged(rng: &mut Rng, good: &str, n: usize) -> (&'static str, Vec<u8>) {
    let bytes = good.as_bytes();
    match n % 6 {
        0 => ("cut", bytes[..rng.below(bytes.len())].to_vec()),
        1 => {
            let mut new = bytes.to_vec();
            let at = rng.below(new.len());
            new[at] ^= 1 << rng.below(8);
            ("flipped", new)
        }
        2 => {
            let at = rng.below(bytes.len());
            let end = (at + 1 + rng.below(40)).min(bytes.len());
            ("hole", [&bytes[..at], &bytes[end..]].concat())
        }
        3 => {
            let mut new = bytes.to_vec();
            let at = good.find("түйін").unwrap() + 1;
            new.splice(at..at + 2, [0xd2, 0x98]);
            ("two encodings", new)
        }
        4 => {
            let mut new: Vec<u8> = vec![0xff, 0xfe];
            new.extend(good.encode_utf16().flat_map(u16::to_le_bytes));
            new.truncate(new.len() - 1 - 2 * rng.below(60));
            ("half of UTF-16", new)
        }
        _ => {
            let mut new = bytes.to_vec();
            new.insert(rng.below(bytes.len()), 0);
            ("NUL", new)
        }
    }
}

/// Ways to break a table.
fn broken_table(rng: &mut Rng, good: &str, n: usize) -> (&'static str, Vec<u8>) {
    let rows: Vec<&str> = good.lines().collect();
    let row = 1 + rng.below(rows.len() - 1);
    let join = |rows: Vec<String>| (rows.join("\n") + "\n").into_bytes();
    let edit = |f: &dyn Fn(&str) -> String| {
        join(rows.iter().enumerate().map(|(i, r)| if i == row { f(r) } else { r.to_string() }).collect())
    };
    let value = |rng: &mut Rng, column: usize, values: &[&str]| {
        let new = rng.pick(values).to_string();
        edit(&move |r: &str| {
            let mut all: Vec<&str> = r.split(',').collect();
            all[column] = &new;
            all.join(",")
        })
    };
    let addresses = ["127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "x y:1", "", "127.1:80", "[::1:80"];
    match n % 12 {
        0 => {
            let mut all: Vec<String> = rows.iter().map(|r| r.to_string()).collect();
            all.push(rows[row].to_string());
            ("row doubled", join(all))
        }
        1 => ("id doubled", value(rng, 0, &["pricing-00", "pricing-01", "", " "])),
        2 => ("address", value(rng, 1, &addresses)),
        3 => ("weight", value(rng, 4, &["NaN", "-1", "inf", "1e9", "one"])),
        4 => ("quote", edit(&|r: &str| r.replacen(',', ",\"", 1 + row % 5))),
        5 if row.is_multiple_of(2) => ("ragged", edit(&|r: &str| format!("{r},more"))),
        5 => ("ragged", edit(&|r: &str| r.rsplit_once(',').unwrap().0.into())),
        _ => damaged(rng, good, n),
    }
}

/// An Ansible inventory of these backends.
fn groups(backends: &[Backend]) -> String {
    let host = |(i, b): (usize, &Backend)| {
        format!(
            "        pricing-{i:02}: # түйін\n          ansible_host: 127.0.0.1\n          ansible_port: {}\n",
            b.address.port()
        )
    };
    "all:\n  vars: {zone: \"a\", weight: 1}\n  children:\n    pricing:\n      hosts:\n".to_string()
        + &backends.iter().enumerate().map(host).collect::<String>()
}

/// Ways to break one.
fn broken_groups(rng: &mut Rng, good: &str, n: usize) -> (&'static str, Vec<u8>) {
    let lines: Vec<&str> = good.lines().collect();
    // The lines of a host are three, behind five of the head.
    let host = 5 + 3 * rng.below((lines.len() - 5) / 3);
    let with = |i: usize, new: String| {
        let all = lines.iter().enumerate().map(|(k, l)| if k == i { new.clone() } else { l.to_string() });
        (all.collect::<Vec<_>>().join("\n") + "\n").into_bytes()
    };
    let ports = &["012", "22:22", "0x50", "80.5", "no", "[80]", "{}", "&a *a", "*b"];
    let port = |word: &&str| format!("          ansible_port: {word}");
    match n % 14 {
        0 => ("key doubled", with(host + 2, format!("{}\n{}", lines[host + 2], lines[host + 2]))),
        1 => ("host doubled", with(host + 2, format!("{}\n{}", lines[host + 2], lines[host]))),
        2 => ("port", with(host + 2, port(rng.pick(ports)))),
        3 => ("quote", with(1, lines[1].replacen('"', "", 1))),
        4 => ("second document", with(host, format!("---\n{}", lines[host]))),
        5 => ("tab", with(host + 1, lines[host + 1].replacen("          ", "\t", 1))),
        6 => ("misspelt", with(4, "      host:".into())),
        7 => ("bomb", with(1, "  vars: {a: &a [x,x,x,x,x,x,x,x,x], b: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a], c: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b], d: &d [*c,*c,*c,*c,*c,*c,*c,*c,*c], e: &e [*d,*d,*d,*d,*d,*d,*d,*d,*d], f: &f [*e,*e,*e,*e,*e,*e,*e,*e,*e], g: &g [*f,*f,*f,*f,*f,*f,*f,*f,*f], h: [*g,*g,*g,*g,*g,*g,*g,*g,*g]}".into())),
        _ => damaged(rng, good, n),
    }
}

type Breaks = fn(&mut Rng, &str, usize) -> (&'static str, Vec<u8>);

/// Breaks an inventory in so many ways under steady load: each is refused, or read as what it is.
#[track_caller]
fn break_under_load(name: &str, backends: &[Backend], good: &str, ways: usize, breaks: Breaks) {
    // Only SIGHUP reads here: what each does is then known. One node may go, as a cut at the end of
    // the last row but one looks like that.
    let settings = "settle_ms = 60000\npoll_ms = 3600000\nmax_vanish = 0.0";
    let served = DewpierProcess::serve_inventory(name, good.as_bytes(), settings);
    let load = mixed(served.address, 4);
    let mut rng = Rng::from_env("INVENTORY_SEED", 20_261);
    let ways = std::env::var("INVENTORY_WAYS").ok().and_then(|n| n.parse().ok()).unwrap_or(ways);
    let (mut refused, mut read) = (0, 0);
    for n in 0..ways {
        let (how, text) = breaks(&mut rng, good, n);
        if text == good.as_bytes() {
            continue;
        }
        // In place, by rename, and by a link that is pointed elsewhere.
        match n / 14 % 3 {
            0 => std::fs::write(&served.inventory_file, &text).unwrap(),
            1 => replace_file(&served.inventory_file, &text),
            _ => {
                let (target, link) = (
                    served.inventory_file.with_extension(format!("v{n}")),
                    served.inventory_file.with_extension("link"),
                );
                std::fs::write(&target, &text).unwrap();
                std::os::unix::fs::symlink(&target, &link).unwrap();
                std::fs::rename(&link, &served.inventory_file).unwrap();
            }
        }
        let lines = served.log_line_count();
        served.send_signal("-HUP");
        let (_, told) = served.wait_for_log(lines, "");
        let shown = served.inventory_file.display().to_string();
        let whole = dewpier_inventory::read(&text, &shown, &Default::default());
        if told.contains("the last good list serves on") {
            refused += 1;
            let reason = told.split(&shown).nth(1).unwrap_or_default();
            assert!(reason.contains("expected"), "{how}: {told}");
            assert!(
                reason.contains("found") || reason.contains("twice") || reason.contains("that of"),
                "{how}: {told}"
            );
            continue;
        }
        // Read right: the very text on disk, whole, and at most one node gone.
        read += 1;
        let count: usize = told.trim_start_matches("dewpier: ").split(' ').next().unwrap().parse().unwrap();
        assert_eq!(whole.unwrap().backends.len(), count, "{how}");
        assert!(told.contains("backends from") && count + 1 >= backends.len(), "{how}: {told}");
        replace_file(&served.inventory_file, good.as_bytes());
        let lines = served.log_line_count();
        served.send_signal("-HUP");
        served.wait_for_log(lines, &format!("{} backends from", backends.len()));
    }
    println!("{refused} refused, {read} read");
    assert!(refused > ways / 2 && refused + read > ways * 9 / 10, "{refused} refused, {read} read");
    let tally = load.stop();
    // What a flipped bit left readable may have named an address where nothing listens: then another
    // node answers.
    assert_eq!((tally.failed, tally.unanswered, tally.rejected), (0, 0, 0), "of {}", tally.total());
    assert!(tally.served > 100, "{}", tally.served);
    no_order_twice(backends);
    served.terminate();
}

#[test]
fn a_broken_table_is_refused_or_read_right_and_the_last_good_list_serves_on() {
    let backends = backends(12);
    break_under_load("nodes.csv", &backends, &inventory_csv(&backends), 330, broken_table);
}

#[test]
fn a_broken_yaml_inventory_is_refused_or_read_right_and_the_last_good_list_serves_on() {
    let backends = backends(12);
    break_under_load("hosts.yaml", &backends, &groups(&backends), 210, broken_groups);
}

#[test]
fn a_file_caught_halfway_through_a_write_in_place_is_not_taken() {
    let backends = backends(8);
    let good = inventory_csv(&backends);
    let served =
        DewpierProcess::serve_inventory("nodes.csv", good.as_bytes(), "settle_ms = 400\npoll_ms = 100");
    let load = mixed(served.address, 2);
    // Row by row, each within the settle time, a dozen times: no part of it may be seen.
    let mut file = std::fs::File::create(&served.inventory_file).unwrap();
    let turned: Vec<&str> = good.lines().collect();
    for _ in 0..2 {
        file.set_len(0).unwrap();
        std::io::Seek::rewind(&mut file).unwrap();
        for line in &turned {
            file.write_all(line.as_bytes()).unwrap();
            std::thread::sleep(Duration::from_millis(20));
            file.write_all(b"\n").unwrap();
        }
    }
    file.write_all(format!("late,{},,,,,\n", Backend::start("late", Duration::ZERO).address).as_bytes())
        .unwrap();
    drop(file);
    served.wait_for_log(0, "9 backends from");
    let seen: Vec<String> = served.log_lines().into_iter().filter(|l| l.contains("backends from")).collect();
    assert_eq!(seen.len(), 2, "nothing in between: {seen:?}");
    assert!(!served.log_lines().iter().any(|l| l.contains("serves on")), "{:?}", served.log_lines());
    // A writer that stops in the middle of a line is seen by that, whatever the rest looks like:
    // 127.0.0.1:80 is a port as good as 127.0.0.1:8080.
    let lines = served.log_line_count();
    let cut = good.trim_end().rfind(',').unwrap();
    std::fs::write(&served.inventory_file, &good[..cut]).unwrap();
    let (_, told) = served.wait_for_log(lines, "serves on");
    assert!(told.contains("values, as the header has") || told.contains("complete last line"), "{told}");
    let lines = served.log_line_count();
    std::fs::write(&served.inventory_file, good.trim_end()).unwrap();
    let (_, told) = served.wait_for_log(lines, "serves on");
    assert!(told.contains(":9:") && told.contains("complete last line"), "{told}");
    // One that stops between lines, by how much is gone; and that can be confirmed.
    let lines = served.log_line_count();
    let half: String = good.lines().take(4).map(|l| format!("{l}\n")).collect();
    std::fs::write(&served.inventory_file, &half).unwrap();
    let (_, told) = served.wait_for_log(lines, "serves on");
    assert!(told.contains("found 6 missing") && told.contains("confirm"), "{told}");
    let lines = served.log_line_count();
    let confirm = |file: &std::path::Path| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dewpier"));
        assert!(command.args(["inventory", "confirm"]).arg(file).output().unwrap().status.success());
    };
    confirm(&served.inventory_file);
    served.wait_for_log(lines, "3 backends from");
    // It confirmed that text and no other.
    let lines = served.log_line_count();
    std::fs::write(
        &served.inventory_file,
        good.lines().take(2).map(|l| format!("{l}\n")).collect::<String>(),
    )
    .unwrap();
    served.wait_for_log(lines, "found 2 missing");
    // A file that is gone changes nothing.
    let lines = served.log_line_count();
    std::fs::remove_file(&served.inventory_file).unwrap();
    served.wait_for_log(lines, "cannot read it");
    let tally = load.stop();
    assert_eq!((tally.rejected, tally.failed, tally.unanswered), (0, 0, 0), "of {}", tally.total());
    no_order_twice(&backends);
    served.terminate();
}

#[test]
fn a_node_that_the_file_drains_or_drops_gets_nothing_new_after_the_grace() {
    let backends = backends(6);
    let good = inventory_csv(&backends);
    let served =
        DewpierProcess::serve_inventory("nodes.csv", good.as_bytes(), "settle_ms = 20\nmax_vanish = 0.9");
    let load = mixed(served.address, 8);
    let spread = |from: usize| backends[from..].iter().all(|b| b.request_count() > 20);
    wait_for("load on all", || spread(0));
    // One drains and one is dropped, at once; then the others carry on.
    let text: String = good
        .lines()
        .filter(|l| !l.starts_with("pricing-01"))
        .map(|l| if l.starts_with("pricing-00") { l.replace("serving", "draining") } else { l.into() } + "\n")
        .collect();
    let lines = served.log_line_count();
    replace_file(&served.inventory_file, text.as_bytes());
    let (accepted, _) = served.wait_for_log(lines, "5 backends from");
    std::thread::sleep(Duration::from_millis(1500));
    let grace = Duration::from_millis(500);
    for drained in &backends[..2] {
        let late = drained.arrivals().iter().filter(|a| a.received_at > accepted + grace).count();
        assert_eq!(late, 0);
    }
    let since: Vec<usize> = backends[2..].iter().map(|b| b.request_count()).collect();
    wait_for("load on the rest", || {
        backends[2..].iter().zip(&since).all(|(b, s)| b.request_count() > s + 20)
    });
    // They come back, and are used again.
    let before = [backends[0].request_count(), backends[1].request_count()];
    replace_file(&served.inventory_file, good.as_bytes());
    let start = Instant::now();
    wait_for("return", || backends.iter().zip(before).take(2).all(|(b, n)| b.request_count() > n));
    println!("both are back after {:?}", start.elapsed());
    whole(&load.stop(), &backends);
    served.terminate();
}

#[test]
fn a_backend_that_dies_costs_no_order_a_second_run() {
    let backends = backends(4);
    let served = DewpierProcess::serve_inventory("nodes.csv", inventory_csv(&backends).as_bytes(), "");
    let load = mixed(served.address, 8);
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 20));
    for backend in &backends[..2] {
        backend.kill();
        std::thread::sleep(Duration::from_millis(200));
        backend.restart();
    }
    std::thread::sleep(Duration::from_millis(200));
    let tally = load.stop();
    assert_eq!(tally.unanswered, 0, "each has one answer, {} of them a failure", tally.failed);
    no_order_twice(&backends);
    served.terminate();
}
