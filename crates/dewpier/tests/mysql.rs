//! `dewpier serve` with a MySQL front: a real client library, mock servers, a changing inventory, and the stop.

use dewpier_standins::mysql::{MySqlServer, ReceivedStatement, Reply};
use dewpier_standins::wait_for;
use dewpier_trials::process::*;
use mysql::prelude::Queryable;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

fn answer(statement: &ReceivedStatement) -> Reply {
    match statement.text.starts_with("SELECT") {
        true => Reply::Rows(vec!["a"], vec![vec![Some("7".into())]]),
        false => Reply::Delayed(Duration::from_millis(300), Box::new(Reply::Ok(1, 0))),
    }
}

fn inventory_text(servers: &[(&MySqlServer, &str)]) -> String {
    let row = |(i, (server, state)): (usize, &(&MySqlServer, &str))| {
        format!("s{i},127.0.0.1,{},{state}\n", server.address.port())
    };
    let rows: String = servers.iter().enumerate().map(row).collect();
    format!("id,address,port,state\n{rows}")
}

fn client(address: SocketAddr) -> mysql::Result<mysql::Conn> {
    let options = mysql::OptsBuilder::new()
        .ip_or_hostname(Some("127.0.0.1"))
        .tcp_port(address.port())
        .user(Some("planner"))
        .pass(Some("oak"))
        .prefer_socket(false)
        .max_allowed_packet(Some(1 << 20));
    mysql::Conn::new(options)
}

#[test]
fn mysql_front_serves_next_to_http_and_follows_its_own_inventory() {
    let servers = [MySqlServer::start("elm", answer), MySqlServer::start("elm", answer)];
    let folder = create_test_folder("mysql");
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    let mut hash_command = Command::new(env!("CARGO_BIN_EXE_dewpier"))
        .args(["mysql", "hash"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    hash_command.stdin.take().unwrap().write_all(b"oak\n").unwrap();
    let hash = String::from_utf8(hash_command.wait_with_output().unwrap().stdout).unwrap();
    write("users.toml", &format!("[users]\nplanner = \"{}\"\n", hash.trim()));
    write("password", "elm\n");
    write("servers.csv", &inventory_text(&[(&servers[0], "serving"), (&servers[1], "serving")]));
    write("nodes.csv", "id,address,port\nb,127.0.0.1,1\n");
    let file = |name: &str| folder.join(name).display().to_string();
    let settings = format!(
        "[mysql]\nlisten = \"127.0.0.1:0\"\nusers = \"{}\"\nserver_user = \"dewpier\"\n\
         server_password_file = \"{}\"\n[mysql.inventory]\nfile = \"{}\"\nsettle_ms = 20\nmax_vanish = 0.9\n",
        file("users.toml"),
        file("password"),
        file("servers.csv"),
    );
    let proxy = DewpierProcess::serve_file(&folder.join("nodes.csv"), &settings);
    let (_, line) = proxy.wait_for_log(0, "listening for MySQL on ");
    let address: SocketAddr = line.rsplit(' ').next().unwrap().parse().unwrap();
    let mut connection = client(address).unwrap();
    for _ in 0..20 {
        assert_eq!(connection.query_first::<String, _>("SELECT a FROM t").unwrap().as_deref(), Some("7"));
    }
    connection.query_drop("INSERT INTO t VALUES (1)").unwrap();

    let from = proxy.log_line_count();
    write("servers.csv", &inventory_text(&[(&servers[0], "draining"), (&servers[1], "serving")]));
    proxy.wait_for_log(from, "1 of them serving");
    std::thread::sleep(Duration::from_millis(500));
    let before = servers[0].statements().len();
    for _ in 0..20 {
        connection.query_drop("SELECT a FROM t").unwrap();
    }
    assert_eq!(servers[0].statements().len(), before);

    let running = std::thread::spawn(move || connection.query_drop("INSERT INTO t VALUES (2)"));
    wait_for("statement", || servers[1].count_statements("INSERT INTO t VALUES (2)") == 1);
    proxy.terminate();
    assert!(running.join().unwrap().is_ok(), "the accepted statement must be answered");
    assert!(client(address).is_err());
}

#[test]
fn example_configuration_is_valid_and_errors_are_reported_with_their_position() {
    let deploy = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy"));
    let check = |path: &Path| {
        let output = Command::new(env!("CARGO_BIN_EXE_dewpier"))
            .args(["check", "--config"])
            .arg(path)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
            String::from_utf8(output.stderr).unwrap(),
        )
    };
    let (code, output, _) = check(&deploy.join("mysql.toml"));
    assert!(code == Some(0) && output.contains("3 backends"), "{output}");
    let good = std::fs::read_to_string(deploy.join("mysql.toml")).unwrap();
    let folder = create_test_folder("checked");
    for name in ["nodes.csv", "mysql-servers.csv", "mysql-replicas.csv", "mysql-users.toml", "mysql-password"]
    {
        std::fs::copy(deploy.join(name), folder.join(name)).unwrap();
    }
    for (from, to, position, expected_text) in [
        ("127.0.0.1:3307", "0.0.0.0:3307", "mysql.toml:10:10", "a loopback address"),
        ("read_aim_ms = 1000", "read_aim_ms = 20000", "mysql.toml:14:15", "1 to 10000"),
        ("hold_kb = 1024 ", "hold_kb = 999999 ", "mysql.toml:18:11", "0 to 131072"),
        ("server_user = \"dewpier\"", "server_user = \"\"", "mysql.toml:12:15", "a name"),
        ("mysql-password\"", "nothing\"", "nothing", "cannot read it"),
        ("\"mysql-users.toml\"", "\"nodes.csv\"", "nodes.csv:", ""),
    ] {
        assert!(good.contains(from), "{from}");
        let path = folder.join("mysql.toml");
        std::fs::write(&path, good.replace(from, to)).unwrap();
        let (code, _, message) = check(&path);
        assert!(
            code == Some(2) && message.contains(position) && message.contains(expected_text),
            "{to}: {message}"
        );
    }
}
