//! Starts a proxy with a MySQL front and three mock replicas: one is ten times slower than the others, and one is killed
//! and restarted. Clients of a real library read and write. Prints their results. Exits with status 1 if a write reached
//! the servers more than once, or a write reported as done never reached them.

use dewpier::config::{Config, hash_password};
use dewpier::run;
use dewpier_standins::mysql::{MySqlServer, ReceivedStatement, Reply};
use mysql::prelude::Queryable;
use std::collections::HashMap;
use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};

/// The duration of each step.
const STEP: Duration = Duration::from_millis(2500);

/// The results that the clients got.
#[derive(Default)]
struct ClientResults {
    /// Durations of the served reads.
    reads: Vec<Duration>,
    failed_reads: usize,
    /// Texts of the successful writes.
    done_writes: Vec<String>,
    rejected_writes: usize,
    /// Writes with an unknown outcome.
    unknown_writes: usize,
    unexpected_errors: Vec<String>,
}

fn start_server(work_time: Duration) -> MySqlServer {
    MySqlServer::start("elm", move |statement: &ReceivedStatement| {
        let reply = match statement.text.starts_with("SELECT") {
            true => Reply::Rows(vec!["id", "due"], vec![vec![Some("7".into()), Some("monday".into())]]),
            false => Reply::Ok(1, 0),
        };
        Reply::Delayed(work_time, Box::new(reply))
    })
}

fn connect(address: SocketAddr) -> mysql::Result<mysql::Conn> {
    let options = mysql::OptsBuilder::new()
        .ip_or_hostname(Some("127.0.0.1"))
        .tcp_port(address.port())
        .user(Some("planner"))
        .pass(Some("oak"))
        .prefer_socket(false)
        .max_allowed_packet(Some(1 << 20))
        .read_timeout(Some(Duration::from_secs(30)));
    mysql::Conn::new(options)
}

/// Reads and writes as one client until `is_over` is set.
fn run_client(
    address: SocketAddr,
    number: usize,
    is_over: &AtomicBool,
    results: &Mutex<ClientResults>,
) -> mysql::Result<()> {
    let mut client = connect(address)?;
    for n in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let started_at = Instant::now();
        let read = client.query_drop("SELECT id, due FROM schedule WHERE id = 7");
        let duration = started_at.elapsed();
        let mut writes = Vec::new();
        if n % 10 == 0 {
            let text = format!("INSERT INTO orders VALUES ({number}, {n})");
            writes.push((client.query_drop(&text), text));
        }
        let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
        match read {
            Ok(()) => results.reads.push(duration),
            Err(_) => results.failed_reads += 1,
        }
        for (write, text) in writes {
            match write {
                Ok(()) => results.done_writes.push(text),
                Err(mysql::Error::MySqlError(e)) if e.state == "40001" => results.rejected_writes += 1,
                Err(mysql::Error::MySqlError(e)) if e.state == "08007" => results.unknown_writes += 1,
                Err(error) => results.unexpected_errors.push(error.to_string()),
            }
        }
    }
    Ok(())
}

/// Runs all steps; returns whether all checks hold.
fn run_steps(folder: &Path) -> Result<bool, Box<dyn Error>> {
    let servers =
        [Duration::from_millis(20), Duration::from_millis(2), Duration::from_millis(2)].map(start_server);
    std::fs::write(
        folder.join("users.toml"),
        format!("[users]\nplanner = \"{}\"\n", hash_password("oak", false)),
    )?;
    std::fs::write(folder.join("password"), "elm\n")?;
    let rows: String =
        servers.iter().enumerate().map(|(i, s)| format!("replica-{i},{}\n", s.address)).collect();
    std::fs::write(folder.join("servers.csv"), format!("id,address\n{rows}"))?;
    std::fs::write(folder.join("nodes.csv"), "id,address\nnone,127.0.0.1:1\n")?;
    // A free port, as the front does not report a port that it chooses itself.
    let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let text = format!(
        "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"nodes.csv\"\n[mysql]\nlisten = \"{address}\"\n\
         users = \"users.toml\"\nserver_user = \"dewpier\"\nserver_password_file = \"password\"\n\
         read_deadline_ms = 5000\nwrite_deadline_ms = 5000\n[mysql.inventory]\nfile = \"servers.csv\"\n"
    );
    let config = Config::parse(&text, &folder.join("dewpier.toml"))?;
    let (started_sender, started) = mpsc::channel();
    let (stop, stopped) = oneshot::channel::<()>();
    let proxy = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let reload = Notify::new();
        let on_ready = move |_| {
            let _ = started_sender.send(());
        };
        let stop = async move { drop(stopped.await) };
        tokio::task::LocalSet::new().block_on(&runtime, run::run(config, on_ready, &reload, stop))
    });
    if started.recv().is_err() {
        return Err(format!("the proxy did not start: {:?}", proxy.join().map(|ran| ran.err())).into());
    }
    println!(
        "MySQL front on {address} with three replicas; replica-0 needs 20 ms per statement, the others 2 ms"
    );
    let (is_over, results) = (AtomicBool::new(false), Mutex::new(ClientResults::default()));
    std::thread::scope(|scope| {
        for number in 0..12 {
            let (is_over, results) = (&is_over, &results);
            scope.spawn(move || {
                if let Err(error) = run_client(address, number, is_over, results) {
                    results
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .unexpected_errors
                        .push(error.to_string());
                }
            });
        }
        std::thread::sleep(STEP);
        println!("- replica-1 is killed");
        servers[1].kill();
        std::thread::sleep(STEP);
        println!("- replica-1 restarts");
        servers[1].restart();
        std::thread::sleep(STEP);
        is_over.store(true, Ordering::SeqCst);
    });
    drop(stop);
    let ran = proxy.join().map_err(|_| "the proxy panicked")?;
    ran?;
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.reads.sort_unstable();
    let quantile_ms = |fraction: f64| {
        results.reads[((results.reads.len() - 1) as f64 * fraction) as usize].as_secs_f64() * 1000.0
    };
    let (reads, failed) = (results.reads.len(), results.failed_reads);
    println!(
        "reads   {reads} served, {failed} failed; p50 {:.1} ms, p99 {:.1} ms",
        quantile_ms(0.5),
        quantile_ms(0.99)
    );
    let (done, rejected, unknown) =
        (results.done_writes.len(), results.rejected_writes, results.unknown_writes);
    println!("writes  {done} done, {rejected} rejected, {unknown} with an unknown outcome");
    let mut received: HashMap<String, usize> = HashMap::new();
    for statement in
        servers.iter().flat_map(|s| s.statements()).filter(|statement| statement.text.starts_with("INSERT"))
    {
        *received.entry(statement.text).or_default() += 1;
    }
    let duplicates = received.values().filter(|times| **times > 1).count();
    let missing = results.done_writes.iter().filter(|text| !received.contains_key(*text)).count();
    println!(
        "{duplicates} writes reached servers more than once, {missing} writes reported as done never reached them"
    );
    results.unexpected_errors.iter().take(5).for_each(|error| println!("unexpected: {error}"));
    Ok(duplicates == 0 && missing == 0 && results.unexpected_errors.is_empty() && done > 0)
}

fn main() -> ExitCode {
    let folder = std::env::temp_dir().join(format!("dewpier-mysql-{}", std::process::id()));
    let result = std::fs::create_dir_all(&folder).map_err(Box::from).and_then(|()| run_steps(&folder));
    let _ = std::fs::remove_dir_all(&folder);
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
