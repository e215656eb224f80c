//! A connection to a MySQL server is lost between two statements of a session. Does a prepared statement still write to the
//! database of its PREPARE?

use stand_ins_2::mysql::{self, Answer, Packets, Session};
use stand_ins_2::{begin, free_addresses, lock, sleep, Case, BROKEN, HELD};
use std::collections::HashMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

const SESSIONS: usize = 8;

/// A server with a table of plans in each database.
#[derive(Default)]
struct Server {
    connections: HashMap<u32, TcpStream>,
    /// Rows: the database, and the text of the statement that has stored them.
    rows: Vec<(String, String)>,
}

/// A statement belongs to the database that was selected when it was prepared.
fn serve_connection(
    case: &'static Case,
    server: &Mutex<Server>,
    mut packets: Packets,
    number: u32,
) -> std::io::Result<()> {
    mysql::accept_login(&mut packets, number)?;
    let mut database = String::new();
    let mut prepared: HashMap<u32, (String, String)> = HashMap::new();
    loop {
        let command = packets.read()?;
        let text = String::from_utf8_lossy(&command[1..]).into_owned();
        match command[0] {
            mysql::COM_QUIT => return Ok(()),
            mysql::COM_INIT_DB => {
                case.note(&format!("server, connection {number}: database {text}"));
                database = text;
                packets.write(&mysql::ok(0, 0, false))?;
            }
            mysql::COM_QUERY => {
                case.note(&format!("server, connection {number}: {text}"));
                if let Some(name) = text.strip_prefix("USE ") {
                    database = name.to_string();
                }
                packets.write(&mysql::ok(0, 0, false))?;
            }
            mysql::COM_STMT_PREPARE => {
                let id = prepared.len() as u32 + 1;
                case.note(&format!("server, connection {number}: in {database} prepares as {id}: {text}"));
                prepared.insert(id, (database.clone(), text));
                packets.write(&mysql::prepare_ok(id))?;
            }
            mysql::COM_STMT_EXECUTE => {
                let id = u32::from_le_bytes([command[1], command[2], command[3], command[4]]);
                let Some(row) = prepared.get(&id).cloned() else {
                    packets.write(&mysql::error(1243, "HY000", "Unknown prepared statement handler"))?;
                    continue;
                };
                case.note(&format!("server, connection {number}: executes {id}, in {}: {}", row.0, row.1));
                lock(server).rows.push(row);
                packets.write(&mysql::ok(1, 0, false))?;
            }
            mysql::COM_RESET_CONNECTION => {
                case.note(&format!("server, connection {number}: reset"));
                prepared.clear();
                packets.write(&mysql::ok(0, 0, false))?;
            }
            mysql::COM_STMT_CLOSE => {}
            _ => packets.write(&mysql::ok(0, 0, false))?,
        }
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
            lock(&server).connections.insert(number, stream.try_clone().expect("a copy"));
            std::thread::spawn(move || {
                let _ = serve_connection(case, &server, Packets::new(stream), number);
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
        let said = |text: &str, answer: &Answer| case.note(&format!("client {number}: {text}: {answer:?}"));
        let answer = session.query("USE steppe").expect("an answer");
        said("USE steppe", &answer);
        let text = format!("INSERT INTO plans (day) VALUES ({number})");
        let statement = session.prepare(&text).expect("a prepared statement");
        case.note(&format!("client {number}: prepared as {statement}: {text}"));
        let executed = session.execute(statement).expect("an answer");
        said("EXECUTE", &executed);
        let answer = session.query("USE archive").expect("an answer");
        said("USE archive", &answer);
        if case.trouble {
            // The connections rest between two statements; the server, or something on the way, resets them.
            for (number, connection) in lock(&server).connections.iter() {
                case.note(&format!("connection {number} is ended"));
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        sleep(0.3);
        let executed = session.execute(statement).expect("an answer");
        said("EXECUTE", &executed);
        let astray =
            lock(&server).rows.iter().filter(|(database, row)| *row == text && database != "steppe").count();
        if astray > 0 {
            wrong += astray;
            case.note(&format!(
                "WRONG: what was prepared in steppe is stored in another database; told {executed:?}"
            ));
        }
    }
    case.note(&format!("{wrong} rows in the wrong database in {SESSIONS} sessions"));
    case.end(if wrong == 0 { HELD } else { BROKEN });
}
