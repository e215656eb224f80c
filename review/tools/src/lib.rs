//! What the review cases share: the record, the proxy's process, and stand-ins on the standard library alone.

pub mod http;
pub mod mysql;
pub mod sha1;

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Ids of the processes that were started and have not been ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run with 2, and all that it started: the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    for id in STARTED.lock().map(|ids| ids.clone()).unwrap_or_default() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    std::process::exit(2)
}

/// What was sent, answered and run, with the time in ms since the start. The temporary folder stands as FOLDER.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant, Arc<str>);

impl Record {
    pub fn create(path: &Path, folder: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
        Self(Arc::new(Mutex::new(file)), Instant::now(), folder.into())
    }

    pub fn ms(&self) -> u128 {
        self.1.elapsed().as_millis()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.ms(), text.as_ref().replace(&*self.2, "FOLDER"));
        let _ = self.0.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The longest time in ms by which this process was held up, as a thread that sleeps has seen it.
static HELD_UP_MS: AtomicU64 = AtomicU64::new(0);
/// Held up for longer, the machine may be what a result shows.
const MAX_HELD_UP_MS: u64 = 300;

/// The arguments of a case: the record's path, a temporary folder, and whether there is a disruption.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    pub trouble: String,
}

impl Case {
    pub fn start() -> Self {
        let args: Vec<String> = std::env::args().collect();
        let [_, record, folder] = &args[..] else { cannot_run("expected RECORD and FOLDER") };
        let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
        // Whatever hangs, the run ends within the time that a script has.
        std::thread::spawn(|| {
            sleep(Duration::from_secs(100));
            cannot_run("it took over 100 s");
        });
        std::thread::spawn(|| {
            loop {
                let start = Instant::now();
                sleep(Duration::from_millis(10));
                let late = start.elapsed().as_millis().saturating_sub(10) as u64;
                HELD_UP_MS.fetch_max(late, Ordering::Relaxed);
            }
        });
        Self { record: Record::create(Path::new(record), folder), folder: folder.into(), trouble }
    }

    pub fn has_trouble(&self) -> bool {
        self.trouble != "0"
    }

    /// Ends the run: 1 if the rule was broken, 0 if it held, 2 if the machine was too busy to tell.
    pub fn finish(&self, proxy: Proxy, broken: bool) -> ! {
        drop(proxy);
        let held_up = HELD_UP_MS.load(Ordering::Relaxed);
        self.record.line(format!("this process was held up for {held_up} ms at most"));
        if held_up > MAX_HELD_UP_MS {
            cannot_run(&format!("the machine is too busy: held up for {held_up} ms"));
        }
        self.record.line(if broken { "rule broken" } else { "rule held" });
        std::process::exit(i32::from(broken))
    }
}

/// A process of the program, killed when dropped.
pub struct Proxy {
    pub child: Child,
    log: Arc<Mutex<Vec<(Instant, String)>>>,
}

/// The line `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| cannot_run(&format!("deploy/balancer.toml: {e}")));
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).unwrap_or_default();
    line.trim_end_matches('"').to_string()
}

impl Proxy {
    /// Starts `run` of the deploy file by `/bin/sh -c`, with further arguments if the case needs a sub-command.
    pub fn start(arguments: &str, environment: &[(&str, String)], record: &Record) -> Self {
        let mut command = Command::new("/bin/sh");
        let line = format!("{} {arguments}", run_command());
        command.args(["-c", line.trim()]).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        command.envs(environment.iter().map(|(name, value)| (*name, value.as_str())));
        let mut child = command.spawn().unwrap_or_else(|e| cannot_run(&e.to_string()));
        STARTED.lock().unwrap().push(child.id());
        let log: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let (lines, record) = (log.clone(), record.clone());
        let stderr = child.stderr.take().unwrap();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                record.line(format!("proxy log: {line}"));
                lines.lock().unwrap().push((Instant::now(), line));
            }
        });
        Self { child, log }
    }

    pub fn log_len(&self) -> usize {
        self.log.lock().unwrap().len()
    }

    /// Waits for a log line from `from` on that contains `text`, and returns its time and the line.
    pub fn wait_for_log(&self, from: usize, text: &str) -> (Instant, String) {
        let start = Instant::now();
        loop {
            if let Some(found) = self.log.lock().unwrap()[from..].iter().find(|(_, l)| l.contains(text)) {
                return found.clone();
            }
            if start.elapsed() > Duration::from_secs(15) {
                cannot_run(&format!("no log line with {text:?}"));
            }
            sleep(Duration::from_millis(5));
        }
    }

    /// The address at the end of a log line.
    pub fn wait_for_address(&self, text: &str) -> SocketAddr {
        let (_, line) = self.wait_for_log(0, text);
        line.rsplit(' ').next().and_then(|a| a.parse().ok()).unwrap_or_else(|| cannot_run(&line))
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.child.id().to_string()]).status();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }
}
