//! Starts the processes that benchmarks measure: the program, and helper processes of the benchmarks.

#![allow(dead_code)] // each benchmark uses a part of this module

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The maximum time that a process may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A process of a benchmark; it is killed on drop.
pub struct ChildProcess(pub Child);

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a command pinned to a core, if `taskset` and the core exist.
pub fn pinned_command(core: usize, program: &str, args: &[String]) -> Command {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let has_taskset =
        Command::new("taskset").arg("--version").stdout(Stdio::null()).status().is_ok_and(|s| s.success());
    let mut command = match has_taskset && cores > core {
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

/// Starts the program on a core with a command and a configuration. Returns the process, its address, and the number of
/// lists that it has read so far.
pub fn start_program(
    core: usize,
    command: &str,
    folder: &Path,
    text: &str,
) -> (ChildProcess, String, Arc<AtomicUsize>) {
    start_program_at(core, env!("CARGO_BIN_EXE_dewpier"), command, folder, text)
}

/// Starts another build of the program, like `start_program`.
pub fn start_program_at(
    core: usize,
    executable: &str,
    command: &str,
    folder: &Path,
    text: &str,
) -> (ChildProcess, String, Arc<AtomicUsize>) {
    static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
    let path = folder.join(format!("{command}-{}.toml", NEXT_NUMBER.fetch_add(1, Ordering::SeqCst)));
    std::fs::write(&path, text).expect("a configuration");
    let args = [command, "--config", &path.display().to_string()].map(String::from);
    let mut program = pinned_command(core, executable, &args);
    let mut process = ChildProcess(program.stderr(Stdio::piped()).spawn().expect("the program"));
    let log = BufReader::new(process.0.stderr.take().expect("its log"));
    let (address_sender, address) = std::sync::mpsc::channel();
    let list_count: Arc<AtomicUsize> = Arc::default();
    let counter = list_count.clone();
    // A full pipe would block the process.
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            let at =
                ["dewpier: listening on ", "dewpier: planning on "].iter().find_map(|w| line.strip_prefix(w));
            at.into_iter().for_each(|at| drop(address_sender.send(at.to_string())));
            let is_list = line.contains("backends from") && !line.contains(" planners, ");
            counter.fetch_add(usize::from(is_list), Ordering::SeqCst);
        }
    });
    (process, address.recv_timeout(START_TIMEOUT).expect("the program starts"), list_count)
}

/// Returns the user and system processor time of a process, in seconds (proc(5), fields 14 and 15 in 1/100 s).
pub fn cpu_seconds(process: u32) -> [f64; 2] {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| after_name.split_whitespace().nth(n).and_then(|f| f.parse::<f64>().ok());
    [11, 12].map(|n| field(n).unwrap_or(0.0) / 100.0)
}
