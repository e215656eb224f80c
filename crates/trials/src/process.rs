//! Runs the dewpier program as its commands start it, with an inventory file that a test can rewrite.

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

static NEXT_FOLDER: AtomicUsize = AtomicUsize::new(0);

/// Returns the folder of the built program; tests, examples and benchmarks lie in folders below it.
fn build_folder() -> PathBuf {
    let own_path = std::env::current_exe().expect("the path of this program");
    own_path.parent().and_then(Path::parent).expect("a folder two levels up").into()
}

/// Creates a new empty folder for a test.
pub fn create_test_folder(name: &str) -> PathBuf {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::SeqCst);
    let path = build_folder().join("tmp").join(format!("{name}-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// A running process of the program with its log lines and their times.
pub struct DewpierProcess {
    /// The process.
    pub child: Child,
    /// Address on which it listens for requests, or for forwarders if it is a planner.
    pub address: SocketAddr,
    /// Its inventory file.
    pub inventory_file: PathBuf,
    /// Its configuration file.
    pub config_file: PathBuf,
    log_lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl DewpierProcess {
    /// Serves an inventory written to a new file called `name`. `settings` follow in the table of the inventory and
    /// may open further tables.
    pub fn serve_inventory(name: &str, text: &[u8], settings: &str) -> Self {
        let folder = create_test_folder("served");
        let file = folder.join(name);
        std::fs::write(&file, text).unwrap();
        Self::serve_file(&file, settings)
    }

    /// Serves an inventory file, with `settings` in and after the table of the inventory.
    pub fn serve_file(file: &Path, settings: &str) -> Self {
        let text =
            format!("listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"{}\"\n{settings}\n", file.display());
        Self::start_with_text("serve", &text, file)
    }

    /// Serves an inventory file, with `top_level` settings before all tables and `settings` in and after the table of
    /// the inventory.
    pub fn serve_file_with(top_level: &str, file: &Path, settings: &str) -> Self {
        let inventory = format!("[inventory]\nfile = \"{}\"\n", file.display());
        Self::start_with_text(
            "serve",
            &format!("listen = \"127.0.0.1:0\"\n{top_level}{inventory}{settings}\n"),
            file,
        )
    }

    /// Starts a planner that listens on an address and watches an inventory file.
    pub fn start_planner(listen: &str, file: &Path) -> Self {
        Self::start_planner_with(listen, file, "")
    }

    /// Starts a planner with further settings.
    pub fn start_planner_with(listen: &str, file: &Path, settings: &str) -> Self {
        let plaintext = if settings.contains("tls") { "" } else { "plaintext = true\n" };
        let text = format!("listen = \"{listen}\"\n{plaintext}{settings}\n{}", inventory_settings(file));
        Self::start_with_text("planner", &text, file)
    }

    /// Starts a forwarder of the given planners.
    pub fn start_forwarder(name: &str, planners: &[SocketAddr]) -> Self {
        Self::start_forwarder_with(name, planners, "")
    }

    /// Starts a forwarder with `settings` in and after the table of its planners.
    pub fn start_forwarder_with(name: &str, planners: &[SocketAddr], settings: &str) -> Self {
        let plaintext = if settings.contains("tls") { "" } else { "plaintext = true\n" };
        let addresses: Vec<String> = planners.iter().map(|p| format!("\"{p}\"")).collect();
        let text = format!(
            "listen = \"127.0.0.1:0\"\n[planners]\nname = \"{name}\"\naddresses = [{}]\nbeat_ms = 50\n{plaintext}{settings}\n",
            addresses.join(", ")
        );
        Self::start_with_text("forwarder", &text, Path::new(""))
    }

    fn start_with_text(command: &str, text: &str, file: &Path) -> Self {
        let config = create_test_folder("config").join("dewpier.toml");
        std::fs::write(&config, text).unwrap();
        Self::start_from_config(command, &config, file)
    }

    /// Starts a command with an existing configuration file.
    pub fn start_from_config(command: &str, config: &Path, file: &Path) -> Self {
        // A reserved port may be in use by another connection for a moment, so the start is retried.
        let start = Instant::now();
        loop {
            let process = Self::start_once(command, config, file);
            if process.address.port() != 0 {
                return process;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the address stays in use: {:?}", process.log_lines());
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Starts the command once. The port of the address is 0 if the address was in use.
    fn start_once(command: &str, config: &Path, file: &Path) -> Self {
        let mut command_line = Command::new(build_folder().join("dewpier"));
        let mut child =
            command_line.arg(command).arg("--config").arg(config).stderr(Stdio::piped()).spawn().unwrap();
        let log: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let (lines, stderr) = (log.clone(), BufReader::new(child.stderr.take().unwrap()));
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                lines.lock().unwrap().push((Instant::now(), line));
            }
        });
        let mut process = Self {
            child,
            address: ([127, 0, 0, 1], 0).into(),
            inventory_file: file.to_path_buf(),
            config_file: config.into(),
            log_lines: log,
        };
        let is_address_in_use = |s: &Self| s.log_lines().iter().any(|l| l.contains("Address already in use"));
        wait_for("start", || {
            is_address_in_use(&process) || process.log_lines().iter().any(|l| l.contains("ing on 127."))
        });
        if !is_address_in_use(&process) {
            let (_, line) = process.wait_for_log(0, "ing on 127.");
            process.address = line.rsplit(' ').next().unwrap().parse().unwrap();
        }
        process
    }

    /// Returns the number of lines logged so far.
    pub fn log_line_count(&self) -> usize {
        self.log_lines.lock().unwrap().len()
    }

    /// Returns all lines logged so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.log_lines.lock().unwrap().iter().map(|(_, line)| line.clone()).collect()
    }

    /// Returns the times of all lines that contain a text.
    pub fn log_times(&self, text: &str) -> Vec<Instant> {
        let log = self.log_lines.lock().unwrap();
        log.iter().filter(|(_, line)| line.contains(text)).map(|(at, _)| *at).collect()
    }

    /// Returns all lines that contain a text.
    pub fn log_lines_containing(&self, text: &str) -> Vec<String> {
        let log = self.log_lines.lock().unwrap();
        log.iter().filter(|(_, line)| line.contains(text)).map(|(_, line)| line.clone()).collect()
    }

    /// Waits for a line that contains a text, among the lines from index `from` on.
    #[track_caller]
    pub fn wait_for_log(&self, from: usize, text: &str) -> (Instant, String) {
        let start = Instant::now();
        loop {
            let found =
                self.log_lines.lock().unwrap().iter().skip(from).find(|(_, l)| l.contains(text)).cloned();
            if let Some(found) = found {
                return found;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "no line with '{text}' in {:?}", self.log_lines());
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Opens a connection to the process.
    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    /// Sends a signal, such as `-STOP`.
    pub fn send_signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Terminates the process with SIGTERM and checks that its exit code is 0.
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

/// Formats the settings of an inventory that takes effect soon after its file is rewritten.
pub fn inventory_settings(file: &Path) -> String {
    format!("[inventory]\nfile = \"{}\"\nsettle_ms = 20\nmax_vanish = 0.9\n", file.display())
}

/// Formats an inventory of backends, named by their position.
pub fn inventory_csv(backends: &[Backend]) -> String {
    let row =
        |(i, b): (usize, &Backend)| format!("pricing-{i:02},{},a,{},1,serving,түйін\n", b.address, i / 4);
    "id,address,zone,cell,weight,state,comment\n".to_string()
        + &backends.iter().enumerate().map(row).collect::<String>()
}

/// Marks the given nodes of an inventory as draining.
pub fn with_draining_nodes(table: &str, draining: &[usize]) -> String {
    let is_draining = |l: &str| draining.iter().any(|i| l.starts_with(&format!("pricing-{i:02}")));
    table
        .lines()
        .map(|l| if is_draining(l) { l.replace("serving", "draining") } else { l.into() } + "\n")
        .collect()
}

/// Replaces a file atomically, by renaming a new file over it.
pub fn replace_file(file: &Path, text: &[u8]) {
    let new_file = file.with_extension("new");
    std::fs::write(&new_file, text).unwrap();
    std::fs::rename(new_file, file).unwrap();
}

/// Time after a planner has read a drain from which no new request may reach the node.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Starts clients that read, with an order of unique name in every fourth request.
pub fn start_order_load(
    address: SocketAddr,
    name: &'static str,
    clients: usize,
    pause: Duration,
) -> LoadGenerator {
    let script = move |client: usize, request: u64| {
        let order_header = if request.is_multiple_of(4) {
            format!("X-Order: {name}-{client}-{request}\r\n")
        } else {
            String::new()
        };
        let method = if order_header.is_empty() { "GET" } else { "POST" };
        format!("{method} /orders HTTP/1.1\r\nHost: shop\r\n{order_header}Content-Length: 0\r\n\r\n")
    };
    LoadGenerator::start(address, clients, pause, Arc::new(script))
}

/// Counts requests at a backend that arrived after the drain grace.
pub fn count_after_drain_grace(backend: &Backend, since: Instant) -> usize {
    count_after(backend, since, DRAIN_GRACE)
}

/// Counts requests at a backend that arrived later than `grace` after `since`.
pub fn count_after(backend: &Backend, since: Instant, grace: Duration) -> usize {
    backend.arrivals().iter().filter(|a| a.received_at > since + grace).count()
}
