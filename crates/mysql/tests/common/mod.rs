//! The proxy on a thread of its own, between stand-in servers and real client libraries.
#![allow(dead_code)]

use dewpier_mysql::auth::PasswordHash;
use dewpier_mysql::io::{Front, FrontSettings, MySqlUpstream, Role};
use dewpier_mysql::login::Credentials;
use dewpier_standins::mysql::{MySqlServer, ReceivedStatement, Reply};
use gannetproxy::engine::{BackendListUpdate, Budget, Engine, EngineLimits, ListedBackend};
use gannetproxy::{BackendEntry, BackendId, Class, Effect, Settings, Status};
use mysql::prelude::Queryable;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The password of clients, and that of the proxy at servers.
pub const CLIENT: &str = "oak";
pub const OWN: &str = "elm";
pub const GRACE: Duration = Duration::from_millis(500);

pub struct Proxy {
    pub address: SocketAddr,
    news: mpsc::UnboundedSender<BackendListUpdate>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

pub fn listed(id: u32, address: SocketAddr, status: Status) -> ListedBackend {
    ListedBackend { entry: BackendEntry { id: BackendId(id), status, ..BackendEntry::default() }, address }
}

fn addresses(servers: &[&MySqlServer]) -> Vec<SocketAddr> {
    servers.iter().map(|server| server.address).collect()
}

impl Proxy {
    /// Before these servers, whose ids are their places.
    pub fn before(servers: &[&MySqlServer]) -> Self {
        Self::holding(servers, 1 << 20)
    }

    pub fn holding(servers: &[&MySqlServer], held: usize) -> Self {
        Self::start(&addresses(servers), None, held)
    }

    /// Before what listens there.
    pub fn at(addresses: &[SocketAddr]) -> Self {
        Self::start(addresses, None, 1 << 20)
    }

    /// Before a primary, and replicas that read.
    pub fn reading(primary: &MySqlServer, replicas: &[&MySqlServer]) -> Self {
        Self::start(&[primary.address], Some(&addresses(replicas)), 1 << 20)
    }

    fn start(servers: &[SocketAddr], replicas: Option<&[SocketAddr]>, held: usize) -> Self {
        let list = |servers: &[SocketAddr]| -> Vec<ListedBackend> {
            (0..).zip(servers).map(|(id, address)| listed(id, *address, Status::InService)).collect()
        };
        let (list, replicas) = (list(servers), replicas.map(list));
        let (ready, address) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let (news, mut told) = mpsc::unbounded_channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                let class = |effect| Class {
                    aim: 1.0,
                    deadline: 3.0,
                    late_worth: 0.5,
                    worth: 1.0,
                    effect,
                    in_order: false,
                };
                let settings = Settings {
                    classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
                    max_retry_after: 1.0,
                    ..Settings::default()
                };
                let upstream = |role| MySqlUpstream {
                    role,
                    connection_budget: Budget::new(200),
                    response_budget: Budget::new(64 << 20),
                    max_buffered_bytes: held,
                    max_packet_bytes: 64 << 20,
                    connect_timeout: Duration::from_secs(2),
                    server_idle_timeout: Duration::from_secs(60),
                    credentials: Rc::new(Credentials { user: "dewpier".into(), password: OWN.into() }),
                };
                let bounds = EngineLimits { drain_grace: GRACE, max_open_requests: 1000 };
                let engine = Engine::start(settings.clone(), bounds, 7, upstream(Role::Primary));
                engine.update_list(BackendListUpdate::Remembered(list));
                let replicas = replicas.map(|list| {
                    let engine = Engine::start(settings, bounds, 8, upstream(Role::Replica));
                    engine.update_list(BackendListUpdate::Remembered(list));
                    engine
                });
                let front = FrontSettings {
                    server_version: "8.0.40-dewpier".into(),
                    max_sessions: 300,
                    idle_timeout: Duration::from_secs(600),
                    max_command_bytes: 64 << 20,
                    read_own_writes_window: Duration::from_secs(1),
                    deadlines: [3.0, 3.0],
                };
                let users = [
                    ("planner".to_string(), PasswordHash::native(CLIENT)),
                    ("maker".to_string(), PasswordHash::sha2(CLIENT)),
                ]
                .into();
                let front = Front::new(engine.clone(), replicas, users, front);
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                ready.send(listener.local_addr().unwrap()).unwrap();
                let listing = async move {
                    while let Some(news) = told.recv().await {
                        engine.update_list(news);
                    }
                    std::future::pending::<()>().await;
                };
                tokio::select! {
                    () = front.run(listener, async { stopped.await.unwrap_or_default() }) => {}
                    () = listing => {}
                }
            });
        });
        let address = address.recv().expect("it listens");
        Self { address, news, stop: Some(stop), thread: Some(thread) }
    }

    /// News of its list.
    pub fn news(&self, list: Vec<ListedBackend>) {
        self.news.send(BackendListUpdate::Full(list)).expect("it runs");
    }

    /// Asks it to stop, and waits until it has.
    pub fn stop(&mut self) {
        drop(self.stop.take());
        self.thread.take().into_iter().for_each(|thread| thread.join().expect("it ends well"));
    }

    pub fn client(&self) -> mysql::Conn {
        client(self.address, "planner", CLIENT).expect("it is let in")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            self.stop();
        }
    }
}

/// A client of the library, that asks for nothing by itself.
pub fn client(address: SocketAddr, user: &str, password: &str) -> mysql::Result<mysql::Conn> {
    let options = mysql::OptsBuilder::new()
        .ip_or_hostname(Some("127.0.0.1"))
        .tcp_port(address.port())
        .user(Some(user))
        .pass(Some(password))
        .db_name(Some("plans"))
        .prefer_socket(false)
        .max_allowed_packet(Some(64 << 20))
        .read_timeout(Some(Duration::from_secs(30)));
    mysql::Conn::new(options)
}

/// Rows of text, nulls as such.
pub fn rows(client: &mut mysql::Conn, text: &str) -> mysql::Result<Vec<Vec<Option<String>>>> {
    let rows: Vec<mysql::Row> = client.query(text)?;
    Ok(rows.into_iter().map(|row| (0..row.len()).map(|i| row.get(i).expect("a column")).collect()).collect())
}

/// The number and the SQLSTATE of an error of the server.
pub fn error(result: mysql::Result<impl std::fmt::Debug>) -> (u16, String) {
    match result {
        Err(mysql::Error::MySqlError(error)) => (error.code, error.state),
        other => panic!("{other:?}"),
    }
}

pub fn one(text: &str) -> Reply {
    Reply::Rows(vec!["a"], vec![vec![Some(text.into())]])
}

/// What servers answer where a test wants nothing else.
pub fn usual(asked: &ReceivedStatement) -> Reply {
    let upper = asked.text.to_ascii_uppercase();
    let first = upper.split(' ').next().unwrap_or_default();
    match first {
        "SELECT" if upper.contains("NOTHING") => Reply::Rows(vec!["a", "b"], Vec::new()),
        "SELECT" if upper.contains("DATABASE") => one(asked.database.as_deref().unwrap_or("none")),
        "SELECT" if upper.contains('@') => {
            let name = upper.trim_start_matches("SELECT ").trim().to_string();
            one(asked.variables.get(&name).map_or("unset", |value| value))
        }
        "SELECT" if upper.contains("WRONG") => {
            Reply::Error(1146, "42S02", "Table 'wrong' doesn't exist".into())
        }
        "SELECT" if upper.contains("LAST_INSERT_ID") => one(&asked.connection.to_string()),
        "SELECT" => Reply::Rows(
            vec!["id", "name"],
            (0..300).map(|i| vec![Some(i.to_string()), (i % 7 != 0).then(|| "x".repeat(i))]).collect(),
        ),
        "INSERT" if upper.contains("AUTO") => Reply::Ok(1, u64::from(asked.connection)),
        _ => Reply::Ok(u64::from(first == "INSERT"), 0),
    }
}
