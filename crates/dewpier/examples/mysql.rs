//! A proxy with a front for MySQL clients before three stand-in replicas, one of them ten times slower than the
//! others and one that dies and comes back. Clients of a real library read, write and run transactions. Prints what
//! they got. Ends by itself, with status 1 if a write reached servers twice, or one that was told as done never did.

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

const STEP: Duration = Duration::from_millis(2500);

/// What the clients were told.
#[derive(Default)]
struct Told {
    reads: Vec<Duration>,
    reads_failed: usize,
    done: Vec<String>,
    refused: usize,
    unknown: usize,
    other: Vec<String>,
}

fn server(work: Duration) -> MySqlServer {
    MySqlServer::start("elm", move |asked: &ReceivedStatement| {
        let reply = match asked.text.starts_with("SELECT") {
            true => Reply::Rows(vec!["id", "due"], vec![vec![Some("7".into()), Some("monday".into())]]),
            false => Reply::Ok(1, 0),
        };
        Reply::Delayed(work, Box::new(reply))
    })
}

fn client(address: SocketAddr) -> mysql::Result<mysql::Conn> {
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

/// Reads and writes until it is over.
fn work(address: SocketAddr, number: usize, over: &AtomicBool, told: &Mutex<Told>) -> mysql::Result<()> {
    let mut client = client(address)?;
    for n in 0.. {
        if over.load(Ordering::SeqCst) {
            break;
        }
        let begun = Instant::now();
        let read = client.query_drop("SELECT id, due FROM schedule WHERE id = 7");
        let took = begun.elapsed();
        let mut writes = Vec::new();
        if n % 10 == 0 {
            let text = format!("INSERT INTO orders VALUES ({number}, {n})");
            writes.push((client.query_drop(&text), text));
        }
        let mut told = told.lock().unwrap_or_else(PoisonError::into_inner);
        match read {
            Ok(()) => told.reads.push(took),
            Err(_) => told.reads_failed += 1,
        }
        for (write, text) in writes {
            match write {
                Ok(()) => told.done.push(text),
                Err(mysql::Error::MySqlError(e)) if e.state == "40001" => told.refused += 1,
                Err(mysql::Error::MySqlError(e)) if e.state == "08007" => told.unknown += 1,
                Err(error) => told.other.push(error.to_string()),
            }
        }
    }
    Ok(())
}

fn play(folder: &Path) -> Result<bool, Box<dyn Error>> {
    let servers = [Duration::from_millis(20), Duration::from_millis(2), Duration::from_millis(2)].map(server);
    std::fs::write(
        folder.join("users.toml"),
        format!("[users]\nplanner = \"{}\"\n", hash_password("oak", false)),
    )?;
    std::fs::write(folder.join("password"), "elm\n")?;
    let rows: String =
        servers.iter().enumerate().map(|(i, s)| format!("replica-{i},{}\n", s.address)).collect();
    std::fs::write(folder.join("servers.csv"), format!("id,address\n{rows}"))?;
    std::fs::write(folder.join("nodes.csv"), "id,address\nnone,127.0.0.1:1\n")?;
    // A port that is free now, as the front's own is not told.
    let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let text = format!(
        "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"nodes.csv\"\n[mysql]\nlisten = \"{address}\"\n\
         users = \"users.toml\"\nserver_user = \"dewpier\"\nserver_password_file = \"password\"\n\
         read_deadline_ms = 5000\nwrite_deadline_ms = 5000\n[mysql.inventory]\nfile = \"servers.csv\"\n"
    );
    let config = Config::parse(&text, &folder.join("dewpier.toml"))?;
    let (ready, started) = mpsc::channel();
    let (stop, stopped) = oneshot::channel::<()>();
    let proxy = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let reload = Notify::new();
        let told = move |_| {
            let _ = ready.send(());
        };
        let stop = async move { drop(stopped.await) };
        tokio::task::LocalSet::new().block_on(&runtime, run::run(config, told, &reload, stop))
    });
    if started.recv().is_err() {
        return Err(format!("the proxy did not start: {:?}", proxy.join().map(|ran| ran.err())).into());
    }
    println!("MySQL front on {address} before three replicas; replica-0 takes 20 ms, the others 2 ms");
    let (over, told) = (AtomicBool::new(false), Mutex::new(Told::default()));
    std::thread::scope(|scope| {
        for number in 0..12 {
            let (over, told) = (&over, &told);
            scope.spawn(move || {
                if let Err(error) = work(address, number, over, told) {
                    told.lock().unwrap_or_else(PoisonError::into_inner).other.push(error.to_string());
                }
            });
        }
        std::thread::sleep(STEP);
        println!("- replica-1 dies");
        servers[1].kill();
        std::thread::sleep(STEP);
        println!("- replica-1 is back");
        servers[1].restart();
        std::thread::sleep(STEP);
        over.store(true, Ordering::SeqCst);
    });
    drop(stop);
    let ran = proxy.join().map_err(|_| "the proxy panicked")?;
    ran?;
    let mut told = told.into_inner().unwrap_or_else(PoisonError::into_inner);
    told.reads.sort_unstable();
    let at = |part: f64| told.reads[((told.reads.len() - 1) as f64 * part) as usize].as_secs_f64() * 1000.0;
    let (reads, failed) = (told.reads.len(), told.reads_failed);
    println!("reads   {reads} served, {failed} not; p50 {:.1} ms, p99 {:.1} ms", at(0.5), at(0.99));
    let (done, refused, unknown) = (told.done.len(), told.refused, told.unknown);
    println!("writes  {done} done, {refused} refused, {unknown} told as unknown");
    let mut seen: HashMap<String, usize> = HashMap::new();
    for asked in servers.iter().flat_map(|s| s.statements()).filter(|asked| asked.text.starts_with("INSERT"))
    {
        *seen.entry(asked.text).or_default() += 1;
    }
    let twice = seen.values().filter(|times| **times > 1).count();
    let never = told.done.iter().filter(|text| !seen.contains_key(*text)).count();
    println!("{twice} writes reached servers twice, {never} that were told as done never did");
    told.other.iter().take(5).for_each(|error| println!("unexpected: {error}"));
    Ok(twice == 0 && never == 0 && told.other.is_empty() && done > 0)
}

fn main() -> ExitCode {
    let folder = std::env::temp_dir().join(format!("dewpier-mysql-{}", std::process::id()));
    let played = std::fs::create_dir_all(&folder).map_err(Box::from).and_then(|()| play(&folder));
    let _ = std::fs::remove_dir_all(&folder);
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
