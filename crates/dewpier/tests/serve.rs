//! `dewpier serve` with plain clients and an inventory that changes under load.

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

fn format_request(method: &str, path: &str, headers: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: shop\r\n{headers}Content-Length: 0\r\n\r\n")
}

/// Starts clients that send quotes, and orders with every fifth request.
fn start_load(address: std::net::SocketAddr, clients: usize) -> LoadGenerator {
    let script = |client: usize, n: u64| match n % 5 {
        0 => format_request("POST", "/orders", &format!("X-Order: {client}-{n}\r\n")),
        _ => format_request("GET", "/quotes/7", ""),
    };
    LoadGenerator::start(address, clients, Duration::from_millis(1), Arc::new(script))
}

/// Checks that all requests were served and that no order ran more than once.
#[track_caller]
fn assert_all_served(tally: &ResponseCounts, backends: &[Backend]) {
    assert_eq!((tally.rejected, tally.failed, tally.unanswered), (0, 0, 0), "of {}", tally.total());
    assert!(tally.served > 0);
    assert_orders_ran_once(backends);
}

#[track_caller]
fn assert_orders_ran_once(backends: &[Backend]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for order in backends.iter().flat_map(|b| b.arrivals()).filter_map(|a| a.order_id) {
        *runs.entry(order).or_default() += 1;
    }
    assert!(!runs.is_empty());
    let duplicates: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
    assert!(duplicates.is_empty(), "{duplicates:?}");
}

#[test]
fn clients_get_the_answers_of_backends() {
    let respond = |_: usize, message: &dewpier_standins::message::Message| {
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
    // A repeat goes to the other backend.
    let backends = [ScriptedServer::new(respond), ScriptedServer::new(respond)];
    let count_requests = || backends.iter().map(ScriptedServer::request_count).sum::<usize>();
    let settings = "default_port = 80\n[[class]]\nname = \"quote\"\neffect = \"keyed\"\nwindow_ms = 5000\n\
                    match = [{ methods = [\"POST\"], path = \"/quotes\" }]\n\
                    [[class]]\nname = \"brief\"\neffect = \"safe\"\ndeadline_ms = 900\naim_ms = 900\n\
                    match = [{ path = \"/broken\", methods = [\"GET\"] }]";
    let table = format!("address\n{}\n{}\n", backends[0].address, backends[1].address);
    let proxy = DewpierProcess::serve_inventory("nodes.csv", table.as_bytes(), settings);
    let mut client = proxy.connect();
    let answer = exchange(&mut client, &format_request("GET", "/x", ""));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"hello".as_slice()));
    let answer = exchange(&mut client, &format_request("GET", "/found", ""));
    let cookies: Vec<_> = answer.headers.iter().filter(|(n, _)| n == "set-cookie").collect();
    assert_eq!((answer.status(), answer.header("location"), cookies.len()), (302, Some("/there"), 2));
    assert_eq!(answer.header("x-hop"), None, "a header of the connection is not forwarded");
    assert_eq!(exchange(&mut client, &format_request("GET", "/none", "")).status(), 404);
    // The error of an unsafe request is forwarded; it may have run and is not sent again.
    let before = count_requests();
    let answer = exchange(&mut client, &format_request("POST", "/broken", ""));
    assert_eq!((answer.status(), answer.body.as_slice()), (500, b"sorry".as_slice()));
    assert_eq!(count_requests() - before, 1);
    // A 503 without the header of a rejection does not prove that the request was not run.
    assert_eq!(exchange(&mut client, &format_request("POST", "/busy", "")).status(), 502);
    assert_eq!(count_requests() - before, 2);
    let before = before + 1;
    let answer = exchange(&mut proxy.connect(), &format_request("GET", "/broken", ""));
    assert_eq!((answer.status(), answer.body.as_slice()), (500, b"sorry".as_slice()));
    assert_eq!(count_requests() - before, 3, "a safe request is sent again");
    let mut client = proxy.connect();
    assert_eq!(
        exchange(&mut client, &format_request("POST", "/quotes/1", "Idempotency-Key: k\r\n")).status(),
        200
    );
    let answer = exchange(&mut client, &format_request("POST", "/quotes/1", ""));
    assert_eq!(answer.status(), 400, "{}", String::from_utf8_lossy(&answer.body));
    let mut client = proxy.connect();
    client.get_mut().write_all(format_request("HEAD", "/head", "").as_bytes()).unwrap();
    let head = read_head(&mut client).unwrap();
    assert_eq!((head.status(), head.header("content-length")), (200, Some("1234")));
    assert_eq!(exchange(&mut client, &format_request("GET", "/x", "")).body, b"hello");
    proxy.terminate();
}

#[test]
fn invalid_input_ends_the_start_with_its_position_and_status_2() {
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
    for (text, message) in [
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
        let expected = (Some(2), String::new(), format!("{csv_name}:{message}"));
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
    let (code, _, message) = run(&["inventory", "check", csv_name, "--format", "list"]);
    assert!(code == Some(2) && message.starts_with(&format!("{csv_name}:")), "{message}");
    let (code, _, message) = run(&["inventory", "check", "/no/such/file"]);
    assert!(code == Some(2) && message.starts_with("/no/such/file: cannot read it: "), "{message}");
    std::fs::write(&toml, "listen = 1\n[inventory]\nfile = \"n.csv\"\n").unwrap();
    let (code, _, message) = run(&["serve", "--config", toml_name]);
    assert!(code == Some(2) && message.starts_with(&format!("{toml_name}:1:10: ")), "{message}");
    std::fs::write(&csv, "id,address\na,pricing-1.example.org:80\n").unwrap();
    std::fs::write(&toml, "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"n.csv\"\n").unwrap();
    let (code, _, message) = run(&["serve", "--config", toml_name]);
    assert!(
        code == Some(2) && message.contains("2:1: expected an IP address") && message.contains("look-up"),
        "{message}"
    );
}

#[test]
fn host_names_are_resolved_with_the_setting_look_up() {
    let backend = Backend::start("b", Duration::ZERO);
    let table = format!("id,address\na,localhost:{}\n", backend.address.port());
    let proxy = DewpierProcess::serve_inventory("n.csv", table.as_bytes(), "names = \"look-up\"");
    assert_eq!(exchange(&mut proxy.connect(), &format_request("GET", "/", "")).status(), 200);
    // Two ids with the same address are rejected.
    let lines = proxy.log_line_count();
    let duplicate_address = format!("{table}b,127.0.0.1:{}\n", backend.address.port());
    replace_file(&proxy.inventory_file, duplicate_address.as_bytes());
    let (_, line) = proxy.wait_for_log(lines, "the last good list serves on");
    assert!(line.contains("expected one node an address"), "{line}");
    assert_eq!(exchange(&mut proxy.connect(), &format_request("GET", "/", "")).status(), 200);
}

/// Damages any text in the `n`-th way; returns the name of the damage and the new bytes.
fn damage_text(rng: &mut Rng, good: &str, n: usize) -> (&'static str, Vec<u8>) {
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

/// Damages a table in the `n`-th way; returns the name of the damage and the new bytes.
fn damage_table(rng: &mut Rng, good: &str, n: usize) -> (&'static str, Vec<u8>) {
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
        _ => damage_text(rng, good, n),
    }
}

/// Writes an Ansible inventory of these backends.
fn ansible_inventory(backends: &[Backend]) -> String {
    let host = |(i, b): (usize, &Backend)| {
        format!(
            "        pricing-{i:02}: # түйін\n          ansible_host: 127.0.0.1\n          ansible_port: {}\n",
            b.address.port()
        )
    };
    "all:\n  vars: {zone: \"a\", weight: 1}\n  children:\n    pricing:\n      hosts:\n".to_string()
        + &backends.iter().enumerate().map(host).collect::<String>()
}

/// Damages an Ansible inventory in the `n`-th way; returns the name of the damage and the new bytes.
fn damage_yaml(rng: &mut Rng, good: &str, n: usize) -> (&'static str, Vec<u8>) {
    let lines: Vec<&str> = good.lines().collect();
    // A host takes three lines, after five lines of the head.
    let host = 5 + 3 * rng.below((lines.len() - 5) / 3);
    let replace_line = |i: usize, new: String| {
        let all = lines.iter().enumerate().map(|(k, l)| if k == i { new.clone() } else { l.to_string() });
        (all.collect::<Vec<_>>().join("\n") + "\n").into_bytes()
    };
    let ports = &["012", "22:22", "0x50", "80.5", "no", "[80]", "{}", "&a *a", "*b"];
    let port = |word: &&str| format!("          ansible_port: {word}");
    match n % 14 {
        0 => ("key doubled", replace_line(host + 2, format!("{}\n{}", lines[host + 2], lines[host + 2]))),
        1 => ("host doubled", replace_line(host + 2, format!("{}\n{}", lines[host + 2], lines[host]))),
        2 => ("port", replace_line(host + 2, port(rng.pick(ports)))),
        3 => ("quote", replace_line(1, lines[1].replacen('"', "", 1))),
        4 => ("second document", replace_line(host, format!("---\n{}", lines[host]))),
        5 => ("tab", replace_line(host + 1, lines[host + 1].replacen("          ", "\t", 1))),
        6 => ("misspelt", replace_line(4, "      host:".into())),
        7 => ("bomb", replace_line(1, "  vars: {a: &a [x,x,x,x,x,x,x,x,x], b: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a], c: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b], d: &d [*c,*c,*c,*c,*c,*c,*c,*c,*c], e: &e [*d,*d,*d,*d,*d,*d,*d,*d,*d], f: &f [*e,*e,*e,*e,*e,*e,*e,*e,*e], g: &g [*f,*f,*f,*f,*f,*f,*f,*f,*f], h: [*g,*g,*g,*g,*g,*g,*g,*g,*g]}".into())),
        _ => damage_text(rng, good, n),
    }
}

type Damage = fn(&mut Rng, &str, usize) -> (&'static str, Vec<u8>);

/// Damages an inventory under steady load: each damaged file is rejected, or read exactly as it is on disk.
#[track_caller]
fn damage_under_load(name: &str, backends: &[Backend], good: &str, cases: usize, damage: Damage) {
    // The file is read on SIGHUP only, so that the result of each damage is known. One node may be missing, as a file
    // cut after its last but one row is valid.
    let settings = "settle_ms = 60000\npoll_ms = 3600000\nmax_vanish = 0.0";
    let proxy = DewpierProcess::serve_inventory(name, good.as_bytes(), settings);
    let load = start_load(proxy.address, 4);
    let mut rng = Rng::from_env("INVENTORY_SEED", 20_261);
    let cases = std::env::var("INVENTORY_WAYS").ok().and_then(|n| n.parse().ok()).unwrap_or(cases);
    let (mut rejected, mut read) = (0, 0);
    for n in 0..cases {
        let (kind, text) = damage(&mut rng, good, n);
        if text == good.as_bytes() {
            continue;
        }
        // In place, by rename, and by a changed symbolic link.
        match n / 14 % 3 {
            0 => std::fs::write(&proxy.inventory_file, &text).unwrap(),
            1 => replace_file(&proxy.inventory_file, &text),
            _ => {
                let (target, link) = (
                    proxy.inventory_file.with_extension(format!("v{n}")),
                    proxy.inventory_file.with_extension("link"),
                );
                std::fs::write(&target, &text).unwrap();
                std::os::unix::fs::symlink(&target, &link).unwrap();
                std::fs::rename(&link, &proxy.inventory_file).unwrap();
            }
        }
        let lines = proxy.log_line_count();
        proxy.send_signal("-HUP");
        let (_, line) = proxy.wait_for_log(lines, "");
        let file_name = proxy.inventory_file.display().to_string();
        let inventory = dewpier_inventory::read(&text, &file_name, &Default::default());
        if line.contains("the last good list serves on") {
            rejected += 1;
            let reason = line.split(&file_name).nth(1).unwrap_or_default();
            assert!(reason.contains("expected"), "{kind}: {line}");
            assert!(
                reason.contains("found") || reason.contains("twice") || reason.contains("that of"),
                "{kind}: {line}"
            );
            continue;
        }
        // The file was read: all its nodes are listed, and at most one node is missing.
        read += 1;
        let count: usize = line.trim_start_matches("dewpier: ").split(' ').next().unwrap().parse().unwrap();
        assert_eq!(inventory.unwrap().backends.len(), count, "{kind}");
        assert!(line.contains("backends from") && count + 1 >= backends.len(), "{kind}: {line}");
        replace_file(&proxy.inventory_file, good.as_bytes());
        let lines = proxy.log_line_count();
        proxy.send_signal("-HUP");
        proxy.wait_for_log(lines, &format!("{} backends from", backends.len()));
    }
    println!("{rejected} rejected, {read} read");
    assert!(rejected > cases / 2 && rejected + read > cases * 9 / 10, "{rejected} rejected, {read} read");
    let tally = load.stop();
    // A flipped bit may yield a valid address without a listener: then another node answers.
    assert_eq!((tally.failed, tally.unanswered, tally.rejected), (0, 0, 0), "of {}", tally.total());
    assert!(tally.served > 100, "{}", tally.served);
    assert_orders_ran_once(backends);
    proxy.terminate();
}

#[test]
fn damaged_table_is_rejected_or_read_exactly_while_the_last_good_list_serves() {
    let backends = backends(12);
    damage_under_load("nodes.csv", &backends, &inventory_csv(&backends), 330, damage_table);
}

#[test]
fn damaged_yaml_inventory_is_rejected_or_read_exactly_while_the_last_good_list_serves() {
    let backends = backends(12);
    damage_under_load("hosts.yaml", &backends, &ansible_inventory(&backends), 210, damage_yaml);
}

#[test]
fn partially_written_file_is_not_applied() {
    let backends = backends(8);
    let good = inventory_csv(&backends);
    let proxy =
        DewpierProcess::serve_inventory("nodes.csv", good.as_bytes(), "settle_ms = 400\npoll_ms = 100");
    let load = start_load(proxy.address, 2);
    // Writes row by row with pauses below the settling time: no partial file may be applied.
    let mut file = std::fs::File::create(&proxy.inventory_file).unwrap();
    let rows: Vec<&str> = good.lines().collect();
    for _ in 0..2 {
        file.set_len(0).unwrap();
        std::io::Seek::rewind(&mut file).unwrap();
        for line in &rows {
            file.write_all(line.as_bytes()).unwrap();
            std::thread::sleep(Duration::from_millis(20));
            file.write_all(b"\n").unwrap();
        }
    }
    file.write_all(format!("late,{},,,,,\n", Backend::start("late", Duration::ZERO).address).as_bytes())
        .unwrap();
    drop(file);
    proxy.wait_for_log(0, "9 backends from");
    let lists: Vec<String> = proxy.log_lines().into_iter().filter(|l| l.contains("backends from")).collect();
    assert_eq!(lists.len(), 2, "a partial file was applied: {lists:?}");
    assert!(!proxy.log_lines().iter().any(|l| l.contains("serves on")), "{:?}", proxy.log_lines());
    // A file without a complete last line is rejected, even if the partial line is valid: 127.0.0.1:80 may be a part of
    // 127.0.0.1:8080.
    let lines = proxy.log_line_count();
    let cut = good.trim_end().rfind(',').unwrap();
    std::fs::write(&proxy.inventory_file, &good[..cut]).unwrap();
    let (_, line) = proxy.wait_for_log(lines, "serves on");
    assert!(line.contains("values, as the header has") || line.contains("complete last line"), "{line}");
    let lines = proxy.log_line_count();
    std::fs::write(&proxy.inventory_file, good.trim_end()).unwrap();
    let (_, line) = proxy.wait_for_log(lines, "serves on");
    assert!(line.contains(":9:") && line.contains("complete last line"), "{line}");
    // A file cut between lines is rejected for the number of missing nodes, which the operator can confirm.
    let lines = proxy.log_line_count();
    let half: String = good.lines().take(4).map(|l| format!("{l}\n")).collect();
    std::fs::write(&proxy.inventory_file, &half).unwrap();
    let (_, line) = proxy.wait_for_log(lines, "serves on");
    assert!(line.contains("found 6 missing") && line.contains("confirm"), "{line}");
    let lines = proxy.log_line_count();
    let confirm = |file: &std::path::Path| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dewpier"));
        assert!(command.args(["inventory", "confirm"]).arg(file).output().unwrap().status.success());
    };
    confirm(&proxy.inventory_file);
    proxy.wait_for_log(lines, "3 backends from");
    // The confirmation covers only that text.
    let lines = proxy.log_line_count();
    std::fs::write(&proxy.inventory_file, good.lines().take(2).map(|l| format!("{l}\n")).collect::<String>())
        .unwrap();
    proxy.wait_for_log(lines, "found 2 missing");
    // A deleted file changes nothing.
    let lines = proxy.log_line_count();
    std::fs::remove_file(&proxy.inventory_file).unwrap();
    proxy.wait_for_log(lines, "cannot read it");
    let tally = load.stop();
    assert_eq!((tally.rejected, tally.failed, tally.unanswered), (0, 0, 0), "of {}", tally.total());
    assert_orders_ran_once(&backends);
    proxy.terminate();
}

#[test]
fn drained_or_removed_node_gets_no_request_after_the_grace_period() {
    let backends = backends(6);
    let good = inventory_csv(&backends);
    let proxy =
        DewpierProcess::serve_inventory("nodes.csv", good.as_bytes(), "settle_ms = 20\nmax_vanish = 0.9");
    let load = start_load(proxy.address, 8);
    let has_load = |from: usize| backends[from..].iter().all(|b| b.request_count() > 20);
    wait_for("load on all", || has_load(0));
    // One node drains and one is removed; the others go on serving.
    let text: String = good
        .lines()
        .filter(|l| !l.starts_with("pricing-01"))
        .map(|l| if l.starts_with("pricing-00") { l.replace("serving", "draining") } else { l.into() } + "\n")
        .collect();
    let lines = proxy.log_line_count();
    replace_file(&proxy.inventory_file, text.as_bytes());
    let (accepted, _) = proxy.wait_for_log(lines, "5 backends from");
    std::thread::sleep(Duration::from_millis(1500));
    let grace = Duration::from_millis(500);
    for node in &backends[..2] {
        let late = node.arrivals().iter().filter(|a| a.received_at > accepted + grace).count();
        assert_eq!(late, 0);
    }
    let counts: Vec<usize> = backends[2..].iter().map(|b| b.request_count()).collect();
    wait_for("load on the rest", || {
        backends[2..].iter().zip(&counts).all(|(b, count)| b.request_count() > count + 20)
    });
    // Both nodes return and are used again.
    let before = [backends[0].request_count(), backends[1].request_count()];
    replace_file(&proxy.inventory_file, good.as_bytes());
    let returned_at = Instant::now();
    wait_for("load on the returned nodes", || {
        backends.iter().zip(before).take(2).all(|(b, n)| b.request_count() > n)
    });
    println!("both nodes are used again after {:?}", returned_at.elapsed());
    assert_all_served(&load.stop(), &backends);
    proxy.terminate();
}

#[test]
fn backend_crash_does_not_run_an_order_again() {
    let backends = backends(4);
    let proxy = DewpierProcess::serve_inventory("nodes.csv", inventory_csv(&backends).as_bytes(), "");
    let load = start_load(proxy.address, 8);
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 20));
    for backend in &backends[..2] {
        backend.kill();
        std::thread::sleep(Duration::from_millis(200));
        backend.restart();
    }
    std::thread::sleep(Duration::from_millis(200));
    let tally = load.stop();
    assert_eq!(tally.unanswered, 0, "every request must have an answer; {} failed", tally.failed);
    assert_orders_ran_once(&backends);
    proxy.terminate();
}
