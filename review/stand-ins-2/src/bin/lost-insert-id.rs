//! A connection to a MySQL server is lost between two statements of a session. Is what LAST_INSERT_ID() stands for right,
//! or refused?

use stand_ins_2::mysql::{self, Answer, Packets, Session};
use stand_ins_2::{begin, free_addresses, lock, sleep, Case, BROKEN, HELD};
use std::collections::HashMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

const SESSIONS: usize = 8;

/// A server with two tables: orders, with a generated id, and lines, which name an order.
#[derive(Default)]
struct Server {
    connections: HashMap<u32, TcpStream>,
    last_order: u64,
    /// Rows of committed lines: the order that they name, and their text.
    lines: Vec<(u64, String)>,
}

fn serve_connection(
    case: &'static Case,
    server: Arc<Mutex<Server>>,
    stream: TcpStream,
    number: u32,
) -> std::io::Result<()> {
    lock(&server).connections.insert(number, stream.try_clone()?);
    let mut packets = Packets::new(stream);
    mysql::accept_login(&mut packets, number)?;
    let (mut insert_id, mut in_transaction, mut uncommitted) = (0, false, Vec::new());
    loop {
        let command = packets.read()?;
        let text = String::from_utf8_lossy(&command[1..]).into_owned();
        case.note(&format!("server, connection {number}: command {:#04x} {text}", command[0]));
        match command[0] {
            mysql::COM_QUIT => return Ok(()),
            mysql::COM_QUERY => {}
            mysql::COM_RESET_CONNECTION => {
                (insert_id, in_transaction) = (0, false);
                uncommitted.clear();
                packets.write(&mysql::ok(0, 0, false))?;
                continue;
            }
            _ => {
                packets.write(&mysql::ok(0, 0, in_transaction))?;
                continue;
            }
        }
        if text == "SELECT LAST_INSERT_ID()" {
            mysql::write_value(&mut packets, "LAST_INSERT_ID()", &insert_id.to_string(), in_transaction)?;
            continue;
        }
        let answer = if text.starts_with("INSERT INTO orders") {
            let mut server = lock(&server);
            server.last_order += 1;
            insert_id = server.last_order;
            mysql::ok(1, insert_id, in_transaction)
        } else if let Some(line) =
            text.strip_prefix("INSERT INTO lines (order_id, item) VALUES (LAST_INSERT_ID(), ")
        {
            uncommitted.push((insert_id, line.to_string()));
            if !in_transaction {
                lock(&server).lines.append(&mut uncommitted);
            }
            mysql::ok(1, 0, in_transaction)
        } else if text == "BEGIN" {
            in_transaction = true;
            mysql::ok(0, 0, true)
        } else if text == "COMMIT" {
            in_transaction = false;
            lock(&server).lines.append(&mut uncommitted);
            mysql::ok(0, 0, false)
        } else {
            mysql::error(1064, "42000", "not known here")
        };
        packets.write(&answer)?;
    }
}

fn main() {
    let case = begin();
    let server: Arc<Mutex<Server>> = Arc::default();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let server_address = listener.local_addr().expect("its address");
    let accepting = server.clone();
    std::thread::spawn(move || {
        for (number, stream) in (1..).zip(listener.incoming().map_while(Result::ok)) {
            let server = accepting.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(case, server.clone(), stream, number);
                lock(&server).connections.remove(&number);
                case.note(&format!("server, connection {number}: closed"));
            });
        }
    });
    let [listen, listen_mysql] = free_addresses();
    case.write("nodes.csv", "id,address\nn-1,127.0.0.1:9\n");
    case.write("servers.csv", &format!("id,address\nprimary-1,{server_address}\n"));
    case.write("users.toml", "[users]\nplanner = \"*4E17776F29745C48DD43A6C88F99E630073FD3A2\"\n");
    case.write("password", "birch\n");
    let config = case.write(
        "mysql.toml",
        &format!(
            "listen = \"{listen}\"\n[inventory]\nfile = \"nodes.csv\"\n[mysql]\nlisten = \"{listen_mysql}\"\n\
             users = \"users.toml\"\nserver_user = \"dewpier\"\nserver_password_file = \"password\"\n\
             read_aim_ms = 1000\nread_deadline_ms = 10000\nwrite_deadline_ms = 30000\nmax_connections = 200\n\
             hold_kb = 1024\n[mysql.inventory]\nfile = \"servers.csv\"\n"
        ),
    );
    let command = format!("exec target/release/dewpier serve --config {}", config.display());
    case.start("proxy", &command, &[("TMPDIR", case.temporary.display().to_string())]);
    case.wait_for("the MySQL front", || TcpStream::connect(listen_mysql).is_ok());

    let mut wrong = 0;
    for number in 0..SESSIONS {
        let mut session = Session::connect(listen_mysql, "planner", "oak").expect("a login");
        let mut query = |text: &str| {
            let answer = session.query(text).expect("an answer");
            case.note(&format!("client {number}: {text}: {answer:?}"));
            answer
        };
        let Answer::Ok { insert_id: order, .. } =
            query(&format!("INSERT INTO orders (dealer) VALUES ({number})"))
        else {
            panic!("the order should be stored");
        };
        if case.trouble {
            // The connections rest between two statements; the server, or something on the way, resets them.
            for (number, connection) in lock(&server).connections.iter() {
                case.note(&format!("connection {number} is ended"));
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        sleep(0.3);
        if !matches!(query("BEGIN"), Answer::Ok { .. }) {
            case.note(&format!("client {number}: told, and gives up"));
            continue;
        }
        let selected = query("SELECT LAST_INSERT_ID()");
        if matches!(&selected, Answer::Value(value) if *value != order.to_string()) {
            wrong += 1;
            case.note(&format!("WRONG: client {number} asked for {order} and got {selected:?}"));
        }
        let line = format!("'line of {order}')");
        let stored = query(&format!("INSERT INTO lines (order_id, item) VALUES (LAST_INSERT_ID(), {line}"));
        if matches!(stored, Answer::Ok { .. }) && matches!(query("COMMIT"), Answer::Ok { .. }) {
            for (named, _) in
                lock(&server).lines.iter().filter(|(named, text)| *text == line && *named != order)
            {
                wrong += 1;
                case.note(&format!("WRONG: the line of order {order} is stored for order {named}"));
            }
        }
    }
    case.note(&format!("{wrong} wrong answers or rows in {SESSIONS} sessions"));
    case.end(if wrong == 0 { HELD } else { BROKEN });
}
