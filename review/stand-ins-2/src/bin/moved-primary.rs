//! The list gives the primary another address. Does the server at the old address get anything new?

use stand_ins_2::mysql::{self, Answer, Packets, Session};
use stand_ins_2::{begin, free_addresses, lock, replace, sleep, Case};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// `drain_grace_ms`, the default, and the slack of time limits on sockets.
const GRACE: f64 = 0.5 + 0.05;
const SESSIONS: usize = 4;

/// What a server got: the time and the text of each statement.
type Statements = Arc<Mutex<Vec<(f64, String)>>>;

fn serve_connection(
    case: &'static Case,
    name: &str,
    stream: TcpStream,
    number: u32,
    got: &Statements,
) -> std::io::Result<()> {
    let mut packets = Packets::new(stream);
    mysql::accept_login(&mut packets, number)?;
    loop {
        let command = packets.read()?;
        let text = String::from_utf8_lossy(&command[1..]).into_owned();
        case.note(&format!("{name}, connection {number}: command {:#04x} {text}", command[0]));
        if command[0] == mysql::COM_QUIT {
            return Ok(());
        }
        if command[0] == mysql::COM_QUERY {
            lock(got).push((case.now(), text));
        }
        packets.write(&mysql::ok(1, 0, false))?;
    }
}

fn start_server(case: &'static Case, name: &'static str) -> (SocketAddr, Statements) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let got = Statements::default();
    let statements = got.clone();
    std::thread::spawn(move || {
        for (number, stream) in (1..).zip(listener.incoming().map_while(Result::ok)) {
            let got = statements.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(case, name, stream, number, &got);
                case.note(&format!("{name}, connection {number}: closed"));
            });
        }
    });
    (address, got)
}

fn main() {
    let case = begin();
    let (old, old_got) = start_server(case, "old server");
    let (new, new_got) = start_server(case, "new server");
    let [listen, listen_mysql] = free_addresses();
    case.write("nodes.csv", "id,address\nn-1,127.0.0.1:9\n");
    let servers = case.write("servers.csv", &format!("id,address\nprimary-1,{old}\n"));
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
    let proxy = case.start("proxy", &command, &[("TMPDIR", case.temporary.display().to_string())]);
    case.wait_for("the MySQL front", || TcpStream::connect(listen_mysql).is_ok());

    let query = |number: usize, session: &mut Session, text: &str| {
        let answer = session.query(text);
        case.note(&format!("client {number}: {text}: {answer:?}"));
        answer
    };
    let connect = || Session::connect(listen_mysql, "planner", "oak").expect("a login");
    let mut sessions: Vec<Session> = (0..SESSIONS).map(|_| connect()).collect();
    for (number, session) in sessions.iter_mut().enumerate() {
        // As many clients begin.
        for text in ["SET NAMES utf8mb4", "INSERT INTO plans (day) VALUES (0)"] {
            let answer = query(number, session, text);
            assert!(matches!(answer, Ok(Answer::Ok { .. })), "a sound start");
        }
    }
    let accepted = || case.log("proxy").matches("1 backends from").count();
    let before = accepted();
    if case.trouble {
        replace(&servers, &format!("id,address\nprimary-1,{new}\n"));
        case.note(&format!("the list gives primary-1 the address {new} in place of {old}"));
        case.wait_for("the list", || accepted() > before);
        case.note("the proxy has taken the list");
    }
    let taken_at = case.now();
    sleep(GRACE + 0.2);
    for day in 1..=5 {
        let mut other = connect();
        let _ = query(SESSIONS, &mut other, &format!("INSERT INTO plans (day) VALUES ({day})"));
        for (number, session) in sessions.iter_mut().enumerate() {
            let _ = query(number, session, &format!("INSERT INTO plans (day) VALUES ({day})"));
        }
        sleep(0.5);
    }
    let old_got = lock(&old_got);
    let late = old_got.iter().filter(|(at, _)| case.trouble && *at > taken_at + GRACE);
    let late: Vec<f64> = late.map(|(at, _)| at - taken_at).collect();
    case.note(&format!(
        "the old server got {} statements, the new one {}",
        old_got.len(),
        lock(&new_got).len()
    ));
    let last = late.last().copied().unwrap_or(0.0);
    case.note(&format!(
        "{} statements came to the old server after the grace, the last {last:.3} s after the list",
        late.len()
    ));
    assert!(!case.has_ended(proxy), "the proxy runs to the end");
    case.judge(!late.is_empty());
}
