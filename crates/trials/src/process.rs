//! The program as its commands start it, with an inventory that the test rewrites.

use dewpier_standins::backend::Backend;
use dewpier_standins::load::LoadGenerator;
use dewpier_standins::{WAIT_TIMEOUT, wait_for};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

static NEXT: AtomicUsize = AtomicUsize::new(0);

/// Where a build puts the program: tests, examples and benchmarks lie in folders beside it.
fn build_folder() -> PathBuf {
    let own = std::env::current_exe().expect("the path of this program");
    own.parent().and_then(Path::parent).expect("a folder two levels up").into()
}

/// A folder of the test's own.
pub fn create_test_folder(name: &str) -> PathBuf {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let path = build_folder().join("tmp").join(format!("{name}-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The program, what it logs, and when.
pub struct DewpierProcess {
    /// The process.
    pub child: Child,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its inventory.
    pub inventory_file: PathBuf,
    /// Its configuration.
    pub config_file: PathBuf,
    log_lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl DewpierProcess {
    /// Serves the inventory `text`, in a file of that name, with these further settings of the
    /// inventory's table and those that come behind it.
    pub fn serve_inventory(name: &str, text: &[u8], settings: &str) -> Self {
        let folder = create_test_folder("served");
        let file = folder.join(name);
        std::fs::write(&file, text).unwrap();
        Self::serve_file(&file, settings)
    }

    /// Serves this inventory, with these further settings.
    pub fn serve_file(file: &Path, settings: &str) -> Self {
        let text =
            format!("listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"{}\"\n{settings}\n", file.display());
        Self::start_with_text("serve", &text, file)
    }

    /// The same with settings before all tables.
    pub fn serve_file_with(first: &str, file: &Path, settings: &str) -> Self {
        let inventory = format!("[inventory]\nfile = \"{}\"\n", file.display());
        Self::start_with_text(
            "serve",
            &format!("listen = \"127.0.0.1:0\"\n{first}{inventory}{settings}\n"),
            file,
        )
    }

    /// A planner at that address, which watches that inventory.
    pub fn start_planner(listen: &str, file: &Path) -> Self {
        Self::start_planner_with(listen, file, "")
    }

    /// The same with further settings.
    pub fn start_planner_with(listen: &str, file: &Path, settings: &str) -> Self {
        let plain = if settings.contains("tls") { "" } else { "plaintext = true\n" };
        let text = format!("listen = \"{listen}\"\n{plain}{settings}\n{}", inventory_settings(file));
        Self::start_with_text("planner", &text, file)
    }

    /// A forwarder of these planners.
    pub fn start_forwarder(name: &str, planners: &[SocketAddr]) -> Self {
        Self::start_forwarder_with(name, planners, "")
    }

    /// The same with further settings, of its planners' table and those behind it.
    pub fn start_forwarder_with(name: &str, planners: &[SocketAddr], settings: &str) -> Self {
        let plain = if settings.contains("tls") { "" } else { "plaintext = true\n" };
        let addresses: Vec<String> = planners.iter().map(|p| format!("\"{p}\"")).collect();
        let text = format!(
            "listen = \"127.0.0.1:0\"\n[planners]\nname = \"{name}\"\naddresses = [{}]\nbeat_ms = 50\n{plain}{settings}\n",
            addresses.join(", ")
        );
        Self::start_with_text("forwarder", &text, Path::new(""))
    }

    fn start_with_text(command: &str, text: &str, file: &Path) -> Self {
        let config = create_test_folder("config").join("dewpier.toml");
        std::fs::write(&config, text).unwrap();
        Self::start_from_config(command, &config, file)
    }

    /// A process by a configuration that is there.
    pub fn start_from_config(command: &str, config: &Path, file: &Path) -> Self {
        // A port that was free may be some connection's own for a moment: it is tried again.
        let start = Instant::now();
        loop {
            let served = Self::start_once(command, config, file);
            if served.address.port() != 0 {
                return served;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "its address stays in use: {:?}", served.log_lines());
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Started once; without an address where that is in use.
    fn start_once(command: &str, config: &Path, file: &Path) -> Self {
        let mut started = Command::new(build_folder().join("dewpier"));
        let mut child =
            started.arg(command).arg("--config").arg(config).stderr(Stdio::piped()).spawn().unwrap();
        let log: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let (lines, stderr) = (log.clone(), BufReader::new(child.stderr.take().unwrap()));
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                lines.lock().unwrap().push((Instant::now(), line));
            }
        });
        let mut served = Self {
            child,
            address: ([127, 0, 0, 1], 0).into(),
            inventory_file: file.to_path_buf(),
            config_file: config.into(),
            log_lines: log,
        };
        let in_use = |s: &Self| s.log_lines().iter().any(|l| l.contains("Address already in use"));
        wait_for("start", || in_use(&served) || served.log_lines().iter().any(|l| l.contains("ing on 127.")));
        if !in_use(&served) {
            let (_, line) = served.wait_for_log(0, "ing on 127.");
            served.address = line.rsplit(' ').next().unwrap().parse().unwrap();
        }
        served
    }

    /// How many lines it has logged.
    pub fn log_line_count(&self) -> usize {
        self.log_lines.lock().unwrap().len()
    }

    /// All of them.
    pub fn log_lines(&self) -> Vec<String> {
        self.log_lines.lock().unwrap().iter().map(|(_, line)| line.clone()).collect()
    }

    /// When it has logged a line with these words, each time.
    pub fn log_times(&self, words: &str) -> Vec<Instant> {
        let log = self.log_lines.lock().unwrap();
        log.iter().filter(|(_, line)| line.contains(words)).map(|(at, _)| *at).collect()
    }

    /// Lines with these words.
    pub fn log_lines_containing(&self, words: &str) -> Vec<String> {
        let log = self.log_lines.lock().unwrap();
        log.iter().filter(|(_, line)| line.contains(words)).map(|(_, line)| line.clone()).collect()
    }

    /// Waits for a line with these words among those from `from` on.
    #[track_caller]
    pub fn wait_for_log(&self, from: usize, words: &str) -> (Instant, String) {
        let start = Instant::now();
        loop {
            let found =
                self.log_lines.lock().unwrap().iter().skip(from).find(|(_, l)| l.contains(words)).cloned();
            if let Some(found) = found {
                return found;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "no '{words}' in {:?}", self.log_lines());
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// A connection to it.
    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    /// Sends it a signal, such as `-STOP`.
    pub fn send_signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Ends it by SIGTERM, and sees that it ends well.
    pub fn terminate(mut self) {
        self.send_signal("-TERM");
        wait_for("exit", || self.child.try_wait().unwrap().is_some());
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
    }
}

impl Drop for DewpierProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The settings of an inventory that may be rewritten at any moment.
pub fn inventory_settings(file: &Path) -> String {
    format!("[inventory]\nfile = \"{}\"\nsettle_ms = 20\nmax_vanish = 0.9\n", file.display())
}

/// A table of these backends, by their numbers.
pub fn inventory_csv(backends: &[Backend]) -> String {
    let row =
        |(i, b): (usize, &Backend)| format!("pricing-{i:02},{},a,{},1,serving,түйін\n", b.address, i / 4);
    "id,address,zone,cell,weight,state,comment\n".to_string()
        + &backends.iter().enumerate().map(row).collect::<String>()
}

/// A table in which these drain.
pub fn with_draining_nodes(table: &str, which: &[usize]) -> String {
    let drains = |l: &str| which.iter().any(|i| l.starts_with(&format!("pricing-{i:02}")));
    table
        .lines()
        .map(|l| if drains(l) { l.replace("serving", "draining") } else { l.into() } + "\n")
        .collect()
}

/// Replaces a file as careful tools do.
pub fn replace_file(file: &Path, text: &[u8]) {
    let new = file.with_extension("new");
    std::fs::write(&new, text).unwrap();
    std::fs::rename(new, file).unwrap();
}

/// Nothing new goes to a node this long after a planner was told that it drains.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Clients that read, and order in every fourth request, each order with a name of its own.
pub fn start_order_load(
    address: SocketAddr,
    name: &'static str,
    clients: usize,
    pause: Duration,
) -> LoadGenerator {
    let script = move |client: usize, n: u64| {
        let order =
            if n.is_multiple_of(4) { format!("X-Order: {name}-{client}-{n}\r\n") } else { String::new() };
        let method = if order.is_empty() { "GET" } else { "POST" };
        format!("{method} /orders HTTP/1.1\r\nHost: shop\r\n{order}Content-Length: 0\r\n\r\n")
    };
    LoadGenerator::start(address, clients, pause, Arc::new(script))
}

/// How many requests began there after the grace.
pub fn count_after_drain_grace(backend: &Backend, since: Instant) -> usize {
    count_after(backend, since, DRAIN_GRACE)
}

/// How many began later than that after it was told.
pub fn count_after(backend: &Backend, since: Instant, grace: Duration) -> usize {
    backend.arrivals().iter().filter(|a| a.received_at > since + grace).count()
}
