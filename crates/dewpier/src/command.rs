//! The command line of `dewpier`: its commands, their output and exit codes.

use clap::{Args, Parser, Subcommand};
use dewpier::config::{Config, ListSourceConfig, MySqlConfig, PlannerConfig, hash_password};
use dewpier::error::ServeError;
use dewpier::{planner, run, status};
use dewpier_inventory::io::{confirm, read_file};
use dewpier_inventory::{Encoding, Format, Inventory, Options};
use serde::Serialize;
use std::io::{self, BufRead, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Exit code for input that cannot be used.
const BAD_INPUT: u8 = 2;

/// A balancer for services that call services.
///
/// Without a command it runs as the platform's proxy, configured through RELAY_CONFIG, RELAY_LISTEN and
/// RELAY_DISCOVERY.
#[derive(Parser)]
#[command(name = "dewpier", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve HTTP clients, with the backends that an inventory lists
    Serve(ConfigArgument),
    /// Watch an inventory and send plans to forwarders
    Planner(ConfigArgument),
    /// Serve HTTP clients, with the backends that planners send
    Forwarder(ConfigArgument),
    /// Check a configuration and the inventory that it names
    Check(ConfigArgument),
    /// Query or control a running proxy: exit 0 on success, 1 if it answers NO, 2 if it does not answer
    Operate {
        /// The operator call
        #[arg(value_parser = ["check", "vars", "drain-on", "drain-off", "verdicts", "avoid", "trust", "as-seen"])]
        call: String,
        /// The node's name in the backend list, for avoid, trust and as-seen
        node: Option<String>,
        /// Duration in seconds, for avoid and trust
        #[arg(long = "for", value_name = "SECONDS")]
        seconds: Option<u64>,
        /// The proxy's operator address: `operator` in its configuration
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// Print verdicts as JSON
        #[arg(long)]
        json: bool,
    },
    /// Inspect the plan that a forwarder uses
    #[command(subcommand)]
    Plan(PlanCommand),
    /// Check or confirm inventories
    #[command(subcommand)]
    Inventory(InventoryCommand),
    /// Prepare files for the MySQL front
    #[command(subcommand)]
    Mysql(MysqlCommand),
}

#[derive(Subcommand)]
enum MysqlCommand {
    /// Read a password from standard input and print its hash for a file of users
    Hash {
        /// Hash for clients that support only mysql_native_password
        #[arg(long)]
        native: bool,
    },
}

#[derive(Args)]
struct ConfigArgument {
    /// The configuration file, in TOML
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

#[derive(Subcommand)]
enum PlanCommand {
    /// Show the plan that a forwarder on this host uses, its age and how much longer it may be used
    Show {
        /// The forwarder's configuration, which names its status socket in planners.status
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Print it as JSON
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum InventoryCommand {
    /// Check an inventory: exit 0 if it is valid, else exit 2 and print FILE:LINE:COLUMN with the reason
    Check {
        /// The inventory file
        file: PathBuf,
        /// csv, ansible, file_sd or list; detected by default
        #[arg(long)]
        format: Option<Format>,
        /// utf-8, utf-16le, utf-16be, windows-1251 or kz-1048; by default the byte order mark decides, or else UTF-8
        #[arg(long)]
        encoding: Option<Encoding>,
        /// Use only the hosts of this group of an Ansible inventory
        #[arg(long)]
        group: Option<String>,
        /// Port of nodes without one
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..))]
        default_port: Option<u16>,
        /// Print the list as JSON
        #[arg(long)]
        json: bool,
    },
    /// Confirm that the inventory is correct although many nodes have left it
    Confirm {
        /// The inventory file
        file: PathBuf,
    },
}

/// Timeout of connecting, writing and reading. Proxies answer within a second unless the host is overloaded.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Sends an operator call and prints the answer.
fn send_call(call: &str, at: SocketAddr) -> ExitCode {
    let exchange = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, ANSWER_TIMEOUT)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(format!("{call}\n").as_bytes())?;
        let mut answer = String::new();
        stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
        Ok(answer)
    };
    match exchange() {
        Ok(answer) if answer.ends_with('\n') => {
            print!("{answer}");
            if answer.starts_with("NO") { ExitCode::FAILURE } else { ExitCode::SUCCESS }
        }
        Ok(answer) => {
            eprintln!("dewpier: {at}: expected a line, got '{}'", answer.escape_debug());
            ExitCode::from(BAD_INPUT)
        }
        Err(error) => {
            eprintln!("dewpier: {at}: {error}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

/// Runs the command on the command line.
pub fn run() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) => error.exit(),
    };
    match arguments.command {
        Command::Serve(ConfigArgument { config }) => run_proxy(&config, false),
        Command::Forwarder(ConfigArgument { config }) => run_proxy(&config, true),
        Command::Planner(ConfigArgument { config }) => run_planner(&config),
        Command::Check(ConfigArgument { config }) => check_config(&config),
        Command::Operate { call, node, seconds, at, json } => match (call.as_str(), node, seconds, json) {
            ("verdicts", None, None, true) => send_call("verdicts-json", at),
            (_, _, _, true) => report_bad_input(format!("{call}: --json is for verdicts")),
            ("avoid" | "trust", Some(node), Some(seconds), _) => {
                send_call(&format!("{call} {seconds} {node}"), at)
            }
            ("avoid" | "trust", ..) => report_bad_input(format!("{call}: expected a node and --for SECONDS")),
            ("as-seen", Some(node), None, _) => send_call(&format!("{call} {node}"), at),
            ("as-seen", ..) => report_bad_input(format!("{call}: expected a node, and no --for")),
            (_, None, None, _) => send_call(&call, at),
            _ => report_bad_input(format!("{call}: expected neither a node nor --for")),
        },
        Command::Plan(PlanCommand::Show { config, json }) => show_plan(&config, json),
        Command::Inventory(InventoryCommand::Check { file, format, encoding, group, default_port, json }) => {
            let options = Options { format, encoding, group, default_port, ..Options::default() };
            check_inventory(&file, &options, json)
        }
        Command::Mysql(MysqlCommand::Hash { native }) => print_password_hash(native),
        Command::Inventory(InventoryCommand::Confirm { file }) => {
            match confirm(&file, Options::default().max_bytes) {
                Ok(confirmation) => {
                    println!("confirmed in {}", confirmation.display());
                    ExitCode::SUCCESS
                }
                Err(error) => report_bad_input(format!("{}: cannot confirm it: {error}", file.display())),
            }
        }
    }
}

/// Prints an error about bad input and returns the exit code for it.
fn report_bad_input(message: impl std::fmt::Display) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(BAD_INPUT)
}

/// Runs a proxy, or a forwarder. A proxy's configuration must name an inventory, a forwarder's its planners.
fn run_proxy(path: &Path, is_forwarder: bool) -> ExitCode {
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => return report_bad_input(error),
    };
    if matches!(config.list_source, ListSourceConfig::Planners(_)) != is_forwarder {
        let (expected, found) = match is_forwarder {
            true => ("[planners]", "[inventory]: that is for 'dewpier serve'"),
            false => ("[inventory]", "[planners]: that is for 'dewpier forwarder'"),
        };
        return report_bad_input(format!("{}: expected {expected}, found {found}", path.display()));
    }
    run_to_end(run::run_until_sigterm(config))
}

/// Runs a planner.
fn run_planner(path: &Path) -> ExitCode {
    match PlannerConfig::read(path) {
        Ok(config) => run_to_end(planner::run_until_sigterm(config)),
        Err(error) => report_bad_input(error),
    }
}

/// Runs a future to its end on a runtime of its own and returns the exit code.
fn run_to_end(process: impl Future<Output = Result<(), ServeError>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.map_err(ServeError::from).and_then(|runtime| {
        let result = tokio::task::LocalSet::new().block_on(&runtime, process);
        // A pending host name lookup must not delay the exit.
        runtime.shutdown_background();
        result
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(ServeError::BadInput(error)) => report_bad_input(error),
        Err(error) => {
            eprintln!("dewpier: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the status of the forwarder with this configuration.
fn show_plan(path: &Path, json: bool) -> ExitCode {
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => return report_bad_input(error),
    };
    let socket = match config.list_source {
        ListSourceConfig::Planners(planners) => planners.status_socket,
        ListSourceConfig::Inventory(_) => None,
    };
    let Some(socket) = socket else {
        return report_bad_input(format!(
            "{}: expected planners.status, the forwarder's socket, found none",
            path.display()
        ));
    };
    let status = match status::read_status(&socket) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("{}: no forwarder answers: {error}", socket.display());
            return ExitCode::FAILURE;
        }
    };
    if json {
        return match serde_json::to_string_pretty(&status) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => report_bad_input(error),
        };
    }
    let version = status.version.as_deref().unwrap_or("none");
    let millis =
        |duration: Option<u64>, none: &str| duration.map_or(none.to_string(), |ms| format!("{ms} ms"));
    println!("{}: by {}, plan {version}", status.forwarder, status.source);
    println!("it came {} ago", millis(status.plan_age_ms, "never"));
    println!("it holds for {}", millis(status.lease_left_ms, "as long as nothing better is heard"));
    for (reason, count) in &status.rejections {
        println!("refused {count} times: {reason}");
    }
    for node in &status.nodes {
        let usual_rate =
            node.usual_rate.map_or(String::new(), |rate| format!("  cold, usually {rate:.1} a second"));
        let state = if node.draining { "draining" } else { "serving" };
        println!("  {}  {}  {state}{usual_rate}", node.id, node.address);
    }
    ExitCode::SUCCESS
}

/// Checks a configuration and the inventories that it names, and prints a summary.
fn check_config(path: &Path) -> ExitCode {
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => return report_bad_input(error),
    };
    let inventory = match &config.list_source {
        ListSourceConfig::Inventory(inventory) => inventory,
        ListSourceConfig::Planners(planners) => {
            println!("{}: good: {} planners", path.display(), planners.addresses.len());
            return ExitCode::SUCCESS;
        }
    };
    let mysql = config.mysql.as_ref();
    if let Some(Err(error)) = mysql.map(|mysql| mysql.read_secrets()) {
        return report_bad_input(error);
    }
    let mut lists = Vec::new();
    for inventory in [inventory].into_iter().chain(mysql.into_iter().flat_map(MySqlConfig::inventories)) {
        match read_file(&inventory.file, &inventory.options) {
            Ok(list) => lists.push((&inventory.file, list)),
            Err(error) => return report_bad_input(error),
        }
    }
    lists.iter().for_each(|(file, list)| print_notes(file, list));
    println!("{}: good", path.display());
    lists.iter().for_each(|(file, list)| print_summary(file, list));
    ExitCode::SUCCESS
}

/// Longest password that is accepted, in bytes.
const MAX_PASSWORD_BYTES: u64 = 1024;

/// Reads a password from standard input and prints its hash.
fn print_password_hash(native: bool) -> ExitCode {
    let mut password = String::new();
    match std::io::stdin().lock().take(MAX_PASSWORD_BYTES + 1).read_line(&mut password) {
        Ok(1..)
            if password.len() as u64 <= MAX_PASSWORD_BYTES
                && !password.trim_end_matches(['\r', '\n']).is_empty() =>
        {
            println!("{}", hash_password(password.trim_end_matches(['\r', '\n']), native));
            ExitCode::SUCCESS
        }
        Ok(_) => report_bad_input(format!(
            "standard input: expected a password of 1 to {MAX_PASSWORD_BYTES} bytes"
        )),
        Err(error) => report_bad_input(format!("standard input: {error}")),
    }
}

/// Checks an inventory and prints a summary or the list as JSON.
fn check_inventory(file: &Path, options: &Options, json: bool) -> ExitCode {
    match read_file(file, options) {
        Ok(list) => {
            print_notes(file, &list);
            if !json {
                print_summary(file, &list);
                return ExitCode::SUCCESS;
            }
            match format_json(&list) {
                Ok(text) => {
                    println!("{text}");
                    ExitCode::SUCCESS
                }
                Err(error) => report_bad_input(error),
            }
        }
        Err(error) => report_bad_input(error),
    }
}

/// Prints the number of backends in an inventory, its format and its encoding.
fn print_summary(file: &Path, list: &Inventory) {
    let (count, format, encoding) = (list.backends.len(), list.format, list.encoding);
    println!("{}: good: {count} backends ({format}, {encoding})", file.display());
}

/// Prints notes on a valid inventory: ignored parts, and an incomplete last line.
fn print_notes(file: &Path, list: &Inventory) {
    if !list.ignored_fields.is_empty() {
        eprintln!("{}: note: passed over: {}", file.display(), list.ignored_fields.join(", "));
    }
    if !list.has_complete_end {
        let note = "note: the last line is not complete: a proxy would take it as half written";
        eprintln!("{}:{}: {note} (unless complete_end = false)", file.display(), list.end);
    }
}

/// An inventory as printed in JSON; the manual documents the order of its fields.
#[derive(Serialize)]
struct PrintedInventory<'a> {
    format: &'a str,
    encoding: &'a str,
    backends: Vec<PrintedBackend<'a>>,
}

/// A backend as printed in JSON.
#[derive(Serialize)]
struct PrintedBackend<'a> {
    id: &'a str,
    address: String,
    zone: &'a str,
    cell: u32,
    weight: f64,
    state: &'a str,
}

impl<'a> From<&'a dewpier_inventory::Backend> for PrintedBackend<'a> {
    fn from(backend: &'a dewpier_inventory::Backend) -> Self {
        Self {
            id: &backend.id,
            address: backend.address.to_string(),
            zone: &backend.zone,
            cell: backend.cell,
            weight: backend.weight,
            state: backend.state.name(),
        }
    }
}

/// Formats an inventory as JSON.
fn format_json(list: &Inventory) -> serde_json::Result<String> {
    serde_json::to_string(&PrintedInventory {
        format: list.format.name(),
        encoding: list.encoding.name(),
        backends: list.backends.iter().map(PrintedBackend::from).collect(),
    })
}
