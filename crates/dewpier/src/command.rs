//! The command line. Without arguments the program is the platform's proxy, as ever.

use clap::{Args, Parser, Subcommand};
use dewpier::config::{Config, ListFrom, MySqlConfig, PlannerConfig, hash_password};
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

/// A file that can't be used.
const BAD_INPUT: u8 = 2;

/// A balancer for services that call services.
///
/// Without a command it is told everything by the platform, through RELAY_CONFIG, RELAY_LISTEN and
/// RELAY_DISCOVERY.
#[derive(Parser)]
#[command(name = "dewpier", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve plain HTTP clients, with the backends of an inventory
    Serve(WithConfig),
    /// Watch an inventory, and tell forwarders of it
    Planner(WithConfig),
    /// Serve plain HTTP clients, with the backends that planners tell of
    Forwarder(WithConfig),
    /// Check a configuration and the inventory that it names
    Check(WithConfig),
    /// Ask a running proxy, or have it emptied: exit 0 where it says yes, 1 where it says no, 2 where nothing comes
    Operate {
        /// What to ask
        #[arg(value_parser = ["check", "vars", "drain-on", "drain-off", "verdicts", "avoid", "trust", "as-seen"])]
        call: String,
        /// Of which node, by its name in the list: for avoid, trust, as-seen
        node: Option<String>,
        /// For how many seconds: for avoid and trust
        #[arg(long = "for", value_name = "SECONDS")]
        seconds: Option<u64>,
        /// Where it is asked: `operator` in its configuration
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// Verdicts as JSON
        #[arg(long)]
        json: bool,
    },
    /// Look at what forwarders go by
    #[command(subcommand)]
    Plan(OfPlan),
    /// Look at inventories
    #[command(subcommand)]
    Inventory(OfInventory),
    /// For the front for MySQL clients
    #[command(subcommand)]
    Mysql(OfMysql),
}

#[derive(Subcommand)]
enum OfMysql {
    /// Read a password from standard input and print what a file of users holds of it
    Hash {
        /// For clients that know mysql_native_password alone
        #[arg(long)]
        native: bool,
    },
}

#[derive(Args)]
struct WithConfig {
    /// The configuration, in TOML
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

#[derive(Subcommand)]
enum OfPlan {
    /// Show the plan that a forwarder on this machine goes by, how old it is and for how long it holds
    Show {
        /// The forwarder's configuration, which names its socket in planners.status
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Print it as JSON
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum OfInventory {
    /// Check an inventory: exit 0 where it is good, 2 with FILE:LINE:COLUMN and the reason where not
    Check {
        /// The inventory
        file: PathBuf,
        /// csv, ansible, file_sd or list; found out if not said
        #[arg(long)]
        format: Option<Format>,
        /// utf-8, utf-16le, utf-16be, windows-1251 or kz-1048; by byte order mark, or else UTF-8, if
        /// not said
        #[arg(long)]
        encoding: Option<Encoding>,
        /// Of an Ansible inventory, the hosts of this group alone
        #[arg(long)]
        group: Option<String>,
        /// The port of nodes that state none
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..))]
        default_port: Option<u16>,
        /// Print the list as JSON
        #[arg(long)]
        json: bool,
    },
    /// Confirm that the inventory is meant as it is now, though many nodes have left it
    Confirm {
        /// The inventory
        file: PathBuf,
    },
}

/// An answer is due within 1 s; a machine that is very busy is given more.
const ANSWERED_WITHIN: Duration = Duration::from_secs(5);
/// The longest answer that is read, in bytes.
const MOST_TOLD: u64 = 1 << 20;

/// Makes an operator's call.
fn operate(call: &str, at: SocketAddr) -> ExitCode {
    let asked = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, ANSWERED_WITHIN)?;
        stream.set_read_timeout(Some(ANSWERED_WITHIN))?;
        stream.set_write_timeout(Some(ANSWERED_WITHIN))?;
        stream.write_all(format!("{call}\n").as_bytes())?;
        let mut told = String::new();
        stream.take(MOST_TOLD).read_to_string(&mut told)?;
        Ok(told)
    };
    match asked() {
        Ok(told) if told.ends_with('\n') => {
            print!("{told}");
            if told.starts_with("NO") { ExitCode::FAILURE } else { ExitCode::SUCCESS }
        }
        Ok(told) => {
            eprintln!("dewpier: {at}: expected a line, got '{}'", told.escape_debug());
            ExitCode::from(BAD_INPUT)
        }
        Err(error) => {
            eprintln!("dewpier: {at}: {error}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

/// Does what the command line says.
pub fn run() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) => error.exit(),
    };
    match arguments.command {
        Command::Serve(WithConfig { config }) => serve(&config, false),
        Command::Forwarder(WithConfig { config }) => serve(&config, true),
        Command::Planner(WithConfig { config }) => plan(&config),
        Command::Check(WithConfig { config }) => check(&config),
        Command::Operate { call, node, seconds, at, json } => match (call.as_str(), node, seconds, json) {
            ("verdicts", None, None, true) => operate("verdicts-json", at),
            (_, _, _, true) => bad(format!("{call}: --json is for verdicts")),
            ("avoid" | "trust", Some(node), Some(seconds), _) => {
                operate(&format!("{call} {seconds} {node}"), at)
            }
            ("avoid" | "trust", ..) => bad(format!("{call}: expected a node and --for SECONDS")),
            ("as-seen", Some(node), None, _) => operate(&format!("{call} {node}"), at),
            ("as-seen", ..) => bad(format!("{call}: expected a node, and no --for")),
            (_, None, None, _) => operate(&call, at),
            _ => bad(format!("{call}: expected neither a node nor --for")),
        },
        Command::Plan(OfPlan::Show { config, json }) => show(&config, json),
        Command::Inventory(OfInventory::Check { file, format, encoding, group, default_port, json }) => {
            let options = Options { format, encoding, group, default_port, ..Options::default() };
            check_inventory(&file, &options, json)
        }
        Command::Mysql(OfMysql::Hash { native }) => print_password_hash(native),
        Command::Inventory(OfInventory::Confirm { file }) => {
            match confirm(&file, Options::default().max_bytes) {
                Ok(beside) => {
                    println!("confirmed in {}", beside.display());
                    ExitCode::SUCCESS
                }
                Err(error) => bad(format!("{}: cannot confirm it: {error}", file.display())),
            }
        }
    }
}

fn bad(message: impl std::fmt::Display) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(BAD_INPUT)
}

/// A proxy's list is a file's, a forwarder's is its planners'.
fn serve(path: &Path, forwarder: bool) -> ExitCode {
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => return bad(error),
    };
    if matches!(config.source, ListFrom::Planners(_)) != forwarder {
        let (expected, found) = match forwarder {
            true => ("[planners]", "[inventory]: that is for 'dewpier serve'"),
            false => ("[inventory]", "[planners]: that is for 'dewpier forwarder'"),
        };
        return bad(format!("{}: expected {expected}, found {found}", path.display()));
    }
    ended(run::until_signals(config))
}

fn plan(path: &Path) -> ExitCode {
    match PlannerConfig::read(path) {
        Ok(config) => ended(planner::until_signals(config)),
        Err(error) => bad(error),
    }
}

/// Runs a program to its end.
fn ended(program: impl Future<Output = Result<(), ServeError>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ran = runtime.map_err(ServeError::from).and_then(|runtime| {
        let ran = tokio::task::LocalSet::new().block_on(&runtime, program);
        // A look-up that the system does not answer must not hold up the exit.
        runtime.shutdown_background();
        ran
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(ServeError::Inventory(error)) => bad(error),
        Err(error) => {
            eprintln!("dewpier: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Asks the forwarder of that configuration what it goes by.
fn show(path: &Path, json: bool) -> ExitCode {
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => return bad(error),
    };
    let socket = match config.source {
        ListFrom::Planners(planners) => planners.status,
        ListFrom::Inventory(_) => None,
    };
    let Some(socket) = socket else {
        return bad(format!(
            "{}: expected planners.status, the forwarder's socket, found none",
            path.display()
        ));
    };
    let shown = match status::ask(&socket) {
        Ok(shown) => shown,
        Err(error) => {
            eprintln!("{}: no forwarder answers: {error}", socket.display());
            return ExitCode::FAILURE;
        }
    };
    if json {
        return match serde_json::to_string_pretty(&shown) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => bad(error),
        };
    }
    let version = shown.version.as_deref().unwrap_or("none");
    let millis = |time: Option<u64>, none: &str| time.map_or(none.to_string(), |ms| format!("{ms} ms"));
    println!("{}: by {}, plan {version}", shown.forwarder, shown.by);
    println!("it came {} ago", millis(shown.plan_age_ms, "never"));
    println!("it holds for {}", millis(shown.lease_left_ms, "as long as nothing better is heard"));
    for (why, count) in &shown.refused {
        println!("refused {count} times: {why}");
    }
    for node in &shown.nodes {
        let usual = node.usual.map_or(String::new(), |rate| format!("  cold, usually {rate:.1} a second"));
        let state = if node.draining { "draining" } else { "serving" };
        println!("  {}  {}  {state}{usual}", node.id, node.address);
    }
    ExitCode::SUCCESS
}

fn check(path: &Path) -> ExitCode {
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => return bad(error),
    };
    let inventory = match &config.source {
        ListFrom::Inventory(inventory) => inventory,
        ListFrom::Planners(planners) => {
            println!("{}: good: {} planners", path.display(), planners.addresses.len());
            return ExitCode::SUCCESS;
        }
    };
    let mysql = config.mysql.as_ref();
    if let Some(Err(error)) = mysql.map(|mysql| mysql.secrets()) {
        return bad(error);
    }
    let mut lists = Vec::new();
    for inventory in [inventory].into_iter().chain(mysql.into_iter().flat_map(MySqlConfig::inventories)) {
        match read_file(&inventory.file, &inventory.options) {
            Ok(list) => lists.push((&inventory.file, list)),
            Err(error) => return bad(error),
        }
    }
    lists.iter().for_each(|(file, list)| notes(file, list));
    println!("{}: good", path.display());
    lists.iter().for_each(|(file, list)| summary(file, list));
    ExitCode::SUCCESS
}

/// The longest password that is read, in bytes.
const MOST_PASSWORD: u64 = 1024;

fn print_password_hash(native: bool) -> ExitCode {
    let mut password = String::new();
    match std::io::stdin().lock().take(MOST_PASSWORD + 1).read_line(&mut password) {
        Ok(1..)
            if password.len() as u64 <= MOST_PASSWORD
                && !password.trim_end_matches(['\r', '\n']).is_empty() =>
        {
            println!("{}", hash_password(password.trim_end_matches(['\r', '\n']), native));
            ExitCode::SUCCESS
        }
        Ok(_) => bad(format!("standard input: expected a password of 1 to {MOST_PASSWORD} bytes")),
        Err(error) => bad(format!("standard input: {error}")),
    }
}

fn check_inventory(file: &Path, options: &Options, json: bool) -> ExitCode {
    match read_file(file, options) {
        Ok(list) => {
            notes(file, &list);
            if !json {
                summary(file, &list);
                return ExitCode::SUCCESS;
            }
            match as_json(&list) {
                Ok(text) => {
                    println!("{text}");
                    ExitCode::SUCCESS
                }
                Err(error) => bad(error),
            }
        }
        Err(error) => bad(error),
    }
}

fn summary(file: &Path, list: &Inventory) {
    let (count, format, encoding) = (list.backends.len(), list.format, list.encoding);
    println!("{}: good: {count} backends ({format}, {encoding})", file.display());
}

/// What is no fault, but may surprise.
fn notes(file: &Path, list: &Inventory) {
    if !list.aside.is_empty() {
        eprintln!("{}: note: passed over: {}", file.display(), list.aside.join(", "));
    }
    if !list.ended {
        let end = "note: the last line is not complete: a proxy would take it as half written";
        eprintln!("{}:{}: {end} (unless complete_end = false)", file.display(), list.end);
    }
}

/// The list as it is printed: the order of the fields is that of the manual.
#[derive(Serialize)]
struct Printed<'a> {
    format: &'a str,
    encoding: &'a str,
    backends: Vec<PrintedBackend<'a>>,
}

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
    fn from(b: &'a dewpier_inventory::Backend) -> Self {
        Self {
            id: &b.id,
            address: b.address.to_string(),
            zone: &b.zone,
            cell: b.cell,
            weight: b.weight,
            state: b.state.name(),
        }
    }
}

fn as_json(list: &Inventory) -> serde_json::Result<String> {
    serde_json::to_string(&Printed {
        format: list.format.name(),
        encoding: list.encoding.name(),
        backends: list.backends.iter().map(PrintedBackend::from).collect(),
    })
}
