//! What the cases share: a record, processes that end with the case, and small HTTP stand-ins. Standard library only.

pub mod http;
pub mod mysql;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The rule held.
pub const HELD: i32 = 0;
/// The case could not run.
pub const NOT_RUN: i32 = 2;

/// A machine on which a sleep ends later than this is too busy to judge a time limit, in seconds.
const LONGEST_DELAY: f64 = 0.3;
/// The longest delay of a sleep so far, in microseconds.
static DELAY: AtomicU64 = AtomicU64::new(0);

/// A case ends itself before 120 seconds.
const LONGEST_RUN: Duration = Duration::from_secs(112);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One run of a case.
pub struct Case {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub temporary: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
    start: Instant,
    record: Mutex<File>,
    children: Mutex<Vec<(String, Child)>>,
}

static CASE: OnceLock<Case> = OnceLock::new();

/// Begins a case: the arguments are the root of the project and the folder of the case.
pub fn begin() -> &'static Case {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, root, folder] = &arguments[..] else {
        eprintln!("usage: {} ROOT FOLDER", arguments[0]);
        std::process::exit(NOT_RUN);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let temporary = std::env::temp_dir().join(format!("dewpier-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let record = Mutex::new(File::create(folder.join("record.txt")).expect("the record"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let children = Mutex::default();
    let case = Case { root, folder, temporary, trouble, start: Instant::now(), record, children };
    let case = CASE.get_or_init(|| case);
    std::panic::set_hook(Box::new(|panic| {
        let case = CASE.get().expect("the case has begun");
        case.note(&format!("the case could not run: {panic}"));
        case.end(NOT_RUN);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        panic!("the case took too long");
    });
    std::thread::spawn(|| loop {
        let (before, pause) = (Instant::now(), Duration::from_millis(10));
        std::thread::sleep(pause);
        DELAY.fetch_max(before.elapsed().saturating_sub(pause).as_micros() as u64, Ordering::Relaxed);
    });
    case.note(&format!("trouble: {}", case.trouble));
    case
}

impl Case {
    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Seconds from the start of the case to a moment.
    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Ends a case whose check has a time limit: a break on a machine that was too busy is none.
    pub fn judge(&self, is_broken: bool) -> ! {
        let delay = DELAY.load(Ordering::Relaxed) as f64 / 1e6;
        self.note(&format!("the longest delay of a sleep of this program: {delay:.3} s"));
        match is_broken {
            false => self.end(HELD),
            true if delay > LONGEST_DELAY => self.end(NOT_RUN),
            true => self.end(BROKEN),
        }
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let _ = writeln!(lock(&self.record), "{:9.3} {text}", self.now());
    }

    /// Starts a process of the project from its root, by `/bin/sh -c` as the deploy file says. Its log goes to the
    /// temporary folder.
    pub fn start(&self, name: &str, command: &str, environment: &[(&str, String)]) -> u32 {
        let log = || File::options().create(true).append(true).open(self.log_path(name)).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(&self.root)
            .envs(environment.iter().map(|(name, value)| (*name, value)))
            .stdin(Stdio::null())
            .stdout(log())
            .stderr(log())
            .spawn()
            .expect("the process should start");
        let id = child.id();
        self.note(&format!("started {name}, process {id}: {command}"));
        lock(&self.children).push((name.to_string(), child));
        id
    }

    pub fn log_path(&self, name: &str) -> PathBuf {
        self.temporary.join(format!("{name}.log"))
    }

    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.log_path(name)).unwrap_or_default()
    }

    /// Sends a signal to a process that this case started, by its id.
    pub fn signal(&self, id: u32, signal: &str) {
        assert!(lock(&self.children).iter().any(|(_, child)| child.id() == id), "not a process of this case");
        self.note(&format!("signal {signal} to process {id}"));
        let _ = Command::new("kill").args([format!("-{signal}"), id.to_string()]).status();
    }

    /// Kills a process that this case started, and waits for its end.
    pub fn kill(&self, id: u32) {
        let mut children = lock(&self.children);
        let (name, child) =
            children.iter_mut().find(|(_, child)| child.id() == id).expect("a process of this case");
        let _ = child.kill();
        let _ = child.wait();
        let text = format!("killed {name}, process {id}");
        drop(children);
        self.note(&text);
    }

    /// The exit status of a process, if it has ended.
    pub fn has_ended(&self, id: u32) -> bool {
        let mut children = lock(&self.children);
        let child = children.iter_mut().find(|(_, child)| child.id() == id);
        child.is_some_and(|(_, child)| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Waits until a condition holds; the case can't run if it does not within ten seconds.
    pub fn wait_for(&self, what: &str, condition: impl FnMut() -> bool) {
        self.wait_long_for(what, 10.0, condition);
    }

    pub fn wait_long_for(&self, what: &str, seconds: f64, mut condition: impl FnMut() -> bool) {
        let end = self.now() + seconds;
        while !condition() {
            assert!(self.now() < end, "waited {seconds} s in vain for {what}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Ends all processes that this case started, and the case.
    pub fn end(&self, code: i32) -> ! {
        for (_, child) in lock(&self.children).iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let meaning = match code {
            HELD => "the rule held",
            BROKEN => "the rule was broken",
            _ => "the case could not run",
        };
        self.note(&format!("exit {code}: {meaning}"));
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.temporary);
        }
        println!("exit {code}: {meaning}");
        std::process::exit(code);
    }

    /// Writes a file into the temporary folder, beside and renamed.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.temporary.join(name);
        replace(&path, text);
        path
    }
}

/// Replaces a file by a rename.
pub fn replace(path: &Path, text: &str) {
    let new = path.with_extension("new");
    std::fs::write(&new, text).expect("a file");
    std::fs::rename(&new, path).expect("a rename");
}

/// Free loopback addresses.
pub fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("its address"))
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}
