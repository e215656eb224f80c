//! Processes that benchmarks measure: the program, and parts of the benchmarks themselves.

#![allow(dead_code)] // not every benchmark needs all of it

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const STARTS_WITHIN: Duration = Duration::from_secs(30);

/// A process of this run, on that core; ended when it is dropped.
pub struct Part(pub Child);

impl Drop for Part {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A command on a core of its own, where the system lets us say so.
pub fn pinned(core: usize, program: &str, args: &[String]) -> Command {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let can =
        Command::new("taskset").arg("--version").stdout(Stdio::null()).status().is_ok_and(|s| s.success());
    let mut command = match can && cores > core {
        true => {
            let mut command = Command::new("taskset");
            command.args(["-c", &core.to_string(), program]);
            command
        }
        false => Command::new(program),
    };
    command.args(args);
    command
}

/// The program with that command and configuration, on that core, where it says that it is, and how many
/// lists it has read so far.
pub fn program(core: usize, command: &str, folder: &Path, text: &str) -> (Part, String, Arc<AtomicUsize>) {
    program_at(core, env!("CARGO_BIN_EXE_dewpier"), command, folder, text)
}

/// The same with the program that is there, perhaps an earlier build.
pub fn program_at(
    core: usize,
    built: &str,
    command: &str,
    folder: &Path,
    text: &str,
) -> (Part, String, Arc<AtomicUsize>) {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let path = folder.join(format!("{command}-{}.toml", NEXT.fetch_add(1, Ordering::SeqCst)));
    std::fs::write(&path, text).expect("a configuration");
    let args = [command, "--config", &path.display().to_string()].map(String::from);
    let mut started = pinned(core, built, &args);
    let mut part = Part(started.stderr(Stdio::piped()).spawn().expect("the program"));
    let log = BufReader::new(part.0.stderr.take().expect("its log"));
    let (told, address) = std::sync::mpsc::channel();
    let lists: Arc<AtomicUsize> = Arc::default();
    let read = lists.clone();
    // It goes on reading, as a pipe that nobody reads stops who writes.
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            let at =
                ["dewpier: listening on ", "dewpier: planning on "].iter().find_map(|w| line.strip_prefix(w));
            at.into_iter().for_each(|at| drop(told.send(at.to_string())));
            let own = line.contains("backends from") && !line.contains(" planners, ");
            read.fetch_add(usize::from(own), Ordering::SeqCst);
        }
    });
    (part, address.recv_timeout(STARTS_WITHIN).expect("it starts"), lists)
}

/// What a process has used of its core so far, in its own code and in the system's, in seconds
/// (proc(5): the 14th and 15th field, in hundredths).
pub fn used(process: u32) -> [f64; 2] {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| after_name.split_whitespace().nth(n).and_then(|f| f.parse::<f64>().ok());
    [11, 12].map(|n| field(n).unwrap_or(0.0) / 100.0)
}
