//! Runs the proxy on its own thread, between mock servers and real client libraries.
#![allow(dead_code)]

use dewpier_mysql::auth::PasswordHash;
use dewpier_mysql::io::{Front, FrontSettings, MySqlUpstream, Role, StallTimeouts, StopLimits};
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

/// Password of the clients.
pub const CLIENT_PASSWORD: &str = "oak";
/// Password of the proxy at the servers.
pub const SERVER_PASSWORD: &str = "elm";
/// Drain grace of the proxy.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Time limit of statements.
pub const STATEMENT_DEADLINE: Duration = Duration::from_secs(3);
/// Limits of a stop of the proxy.
pub const STOP_LIMITS: StopLimits =
    StopLimits { answers_within: Duration::from_millis(1000), ends_within: Duration::from_millis(1300) };

pub struct Proxy {
    pub address: SocketAddr,
    list_updates: mpsc::UnboundedSender<BackendListUpdate>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// An entry of the list of servers.
pub fn listed_backend(id: u32, address: SocketAddr, status: Status) -> ListedBackend {
    ListedBackend { entry: BackendEntry { id: BackendId(id), status, ..BackendEntry::default() }, address }
}

fn addresses(servers: &[&MySqlServer]) -> Vec<SocketAddr> {
    servers.iter().map(|server| server.address).collect()
}

impl Proxy {
    /// Starts a proxy for these servers, whose ids are their indexes.
    pub fn start(servers: &[&MySqlServer]) -> Self {
        Self::with_buffer_limit(servers, 1 << 20)
    }

    /// Starts a proxy that buffers at most `max_buffered_bytes` of a response.
    pub fn with_buffer_limit(servers: &[&MySqlServer], max_buffered_bytes: usize) -> Self {
        Self::start_with(&addresses(servers), None, max_buffered_bytes, StallTimeouts::default())
    }

    /// Starts a proxy for the servers at these addresses.
    pub fn at_addresses(addresses: &[SocketAddr]) -> Self {
        Self::start_with(addresses, None, 1 << 20, StallTimeouts::default())
    }

    /// Starts a proxy for the server at this address that streams responses of over `max_buffered_bytes`.
    pub fn with_stall_timeouts(
        address: SocketAddr,
        max_buffered_bytes: usize,
        stall_timeouts: StallTimeouts,
    ) -> Self {
        Self::start_with(&[address], None, max_buffered_bytes, stall_timeouts)
    }

    /// Starts a proxy for a primary and replicas.
    pub fn with_replicas(primary: &MySqlServer, replicas: &[&MySqlServer]) -> Self {
        Self::start_with(&[primary.address], Some(&addresses(replicas)), 1 << 20, StallTimeouts::default())
    }

    fn start_with(
        servers: &[SocketAddr],
        replicas: Option<&[SocketAddr]>,
        max_buffered_bytes: usize,
        stall_timeouts: StallTimeouts,
    ) -> Self {
        let list = |servers: &[SocketAddr]| -> Vec<ListedBackend> {
            (0..).zip(servers).map(|(id, address)| listed_backend(id, *address, Status::InService)).collect()
        };
        let (list, replicas) = (list(servers), replicas.map(list));
        let (ready, address) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let (list_updates, mut received_updates) = mpsc::unbounded_channel();
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
                    max_buffered_bytes,
                    max_packet_bytes: 64 << 20,
                    connect_timeout: Duration::from_secs(2),
                    server_idle_timeout: Duration::from_secs(60),
                    response_stall_timeout: stall_timeouts.response,
                    credentials: Rc::new(Credentials {
                        user: "dewpier".into(),
                        password: SERVER_PASSWORD.into(),
                    }),
                };
                let limits = EngineLimits { drain_grace: DRAIN_GRACE, max_open_requests: 1000 };
                let engine = Engine::start(settings.clone(), limits, 7, upstream(Role::Primary));
                engine.update_list(BackendListUpdate::Remembered(list));
                let replicas = replicas.map(|list| {
                    let engine = Engine::start(settings, limits, 8, upstream(Role::Replica));
                    engine.update_list(BackendListUpdate::Remembered(list));
                    engine
                });
                let front = FrontSettings {
                    server_version: "8.0.40-dewpier".into(),
                    max_sessions: 300,
                    idle_timeout: Duration::from_secs(600),
                    max_command_bytes: 64 << 20,
                    read_own_writes_window: Duration::from_secs(1),
                    deadlines: [STATEMENT_DEADLINE.as_secs_f64(); 2],
                    stall_timeouts,
                    stop_limits: STOP_LIMITS,
                };
                let users = [
                    ("planner".to_string(), PasswordHash::native(CLIENT_PASSWORD)),
                    ("maker".to_string(), PasswordHash::sha2(CLIENT_PASSWORD)),
                ]
                .into();
                let front = Front::new(engine.clone(), replicas, users, front);
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                ready.send(listener.local_addr().unwrap()).unwrap();
                let updating = async move {
                    while let Some(update) = received_updates.recv().await {
                        engine.update_list(update);
                    }
                    std::future::pending::<()>().await;
                };
                tokio::select! {
                    () = front.run(listener, async { stopped.await.unwrap_or_default() }) => {}
                    () = updating => {}
                }
            });
        });
        let address = address.recv().expect("the proxy listens");
        Self { address, list_updates, stop: Some(stop), thread: Some(thread) }
    }

    /// Sends a new list of servers to the proxy.
    pub fn update_list(&self, list: Vec<ListedBackend>) {
        self.list_updates.send(BackendListUpdate::Full(list)).expect("the proxy runs");
    }

    /// Stops the proxy and waits until it has ended.
    pub fn stop(&mut self) {
        drop(self.stop.take());
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| thread.join().expect("the proxy ends without panic"));
    }

    pub fn connect(&self) -> mysql::Conn {
        connect_client(self.address, "planner", CLIENT_PASSWORD).expect("the login succeeds")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            self.stop();
        }
    }
}

/// Connects a client that sends no statements by itself.
pub fn connect_client(address: SocketAddr, user: &str, password: &str) -> mysql::Result<mysql::Conn> {
    mysql::Conn::new(client_options(address, user, password))
}

/// The options of a client that sends no statements by itself and keeps all that it has prepared.
pub fn client_options(address: SocketAddr, user: &str, password: &str) -> mysql::OptsBuilder {
    mysql::OptsBuilder::new()
        .ip_or_hostname(Some("127.0.0.1"))
        .tcp_port(address.port())
        .user(Some(user))
        .pass(Some(password))
        .db_name(Some("plans"))
        .prefer_socket(false)
        .max_allowed_packet(Some(64 << 20))
        .stmt_cache_size(1024)
        .read_timeout(Some(Duration::from_secs(30)))
}

/// Runs a statement and returns the rows as text, with None for NULL.
pub fn query_rows(client: &mut mysql::Conn, text: &str) -> mysql::Result<Vec<Vec<Option<String>>>> {
    let rows: Vec<mysql::Row> = client.query(text)?;
    Ok(rows.into_iter().map(|row| (0..row.len()).map(|i| row.get(i).expect("a column")).collect()).collect())
}

/// The code and the SQLSTATE of an expected server error.
pub fn server_error(result: mysql::Result<impl std::fmt::Debug>) -> (u16, String) {
    match result {
        Err(mysql::Error::MySqlError(error)) => (error.code, error.state),
        other => panic!("{other:?}"),
    }
}

/// A reply of one row with one column.
pub fn single_value(text: &str) -> Reply {
    Reply::Rows(vec!["a"], vec![vec![Some(text.into())]])
}

/// The reply of servers unless a test scripts another.
pub fn default_reply(statement: &ReceivedStatement) -> Reply {
    let upper = statement.text.to_ascii_uppercase();
    let keyword = upper.split(' ').next().unwrap_or_default();
    match keyword {
        "SELECT" if upper.contains("NOTHING") => Reply::Rows(vec!["a", "b"], Vec::new()),
        "SELECT" if upper.contains("DATABASE") => {
            single_value(statement.database.as_deref().unwrap_or("none"))
        }
        "SELECT" if upper.contains('@') => {
            let name = upper.trim_start_matches("SELECT ").trim().to_string();
            single_value(statement.variables.get(&name).map_or("unset", |value| value))
        }
        "SELECT" if upper.contains("WRONG") => {
            Reply::Error(1146, "42S02", "Table 'wrong' doesn't exist".into())
        }
        "SELECT" if upper.contains("LAST_INSERT_ID") => single_value(&statement.connection.to_string()),
        "SELECT" => Reply::Rows(
            vec!["id", "name"],
            (0..300).map(|i| vec![Some(i.to_string()), (i % 7 != 0).then(|| "x".repeat(i))]).collect(),
        ),
        "INSERT" if upper.contains("AUTO") => Reply::Ok(1, u64::from(statement.connection)),
        _ => Reply::Ok(u64::from(keyword == "INSERT"), 0),
    }
}
