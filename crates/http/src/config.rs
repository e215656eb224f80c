//! What a proxy is told at its start: environment and JSON, turned into the module's settings.

use crate::listing::{self, RawList};
use gannetproxy::engine::Bounds;
use gannetproxy::{Class, DedupGroup, Effect, Settings, Time};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why the configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// An environment variable that is absent or not text.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// A file that can't be read.
    #[error("cannot read {path}: {error}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// JSON that is malformed or lacks a value.
    #[error("{path}: {error}")]
    Json {
        /// The file.
        path: String,
        /// What is wrong, and where.
        error: serde_json::Error,
    },
    /// A value that makes no sense.
    #[error("{name}: expected {expected}, got '{got}'")]
    Value {
        /// Its name.
        name: String,
        /// What it should have been.
        expected: &'static str,
        /// What it was.
        got: String,
    },
}

/// Everything that a proxy is told.
#[derive(Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub operator: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For the module's random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that the process may use.
    pub memory: usize,
    /// The list of backends as last had.
    pub known: RawList,
    /// What the module is told.
    pub settings: Settings,
    /// What only the proxy needs of the settings.
    pub wire: WireSettings,
}

/// The part of the settings that sockets need and decisions don't.
#[derive(Clone, Debug, Default)]
pub struct WireSettings {
    /// Class names, in the order of the settings.
    pub classes: Vec<String>,
    /// Tenant names, in the order of the settings.
    pub tenants: Vec<String>,
    /// Zone names; an entry's zone is the place of its name here.
    pub zones: Vec<String>,
    /// A connection not up by then never comes up.
    pub connect_timeout: Duration,
    /// Backends close idle connections after this.
    pub idle_close: Duration,
    /// What a new connection costs, as a part of the worth of an average request, beyond what it
    /// always does.
    pub handshake_price: f64,
    /// Nothing new to a backend this long after the news that it drains or is gone.
    pub drain_grace: Duration,
    /// Requests that may be open at once.
    pub max_open: usize,
}

impl WireSettings {
    /// What bounds the engine.
    pub fn bounds(&self) -> Bounds {
        Bounds { drain_grace: self.drain_grace, max_open: self.max_open }
    }
}

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    operator: Option<String>,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: RawList,
    settings: RawSettings,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default = "most_memory_mb")]
    memory_mb: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawSettings {
    caps: Caps,
    classes: Vec<RawClass>,
    #[serde(default)]
    costs: Costs,
    me: usize,
    n_instances: usize,
    over_share_worth: Option<f64>,
    #[serde(default)]
    projects: Vec<Project>,
    quantum: f64,
    registry_mode: RegistryMode,
    rules: Rules,
    #[serde(default)]
    stats: Stats,
    #[serde(default)]
    tier: usize,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Caps {
    cancel: bool,
    connect_timeout: f64,
    idle_close: f64,
    max_attempts: usize,
    max_open: Option<usize>,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawClass {
    name: String,
    on_time: f64,
    hard_limit: f64,
    late_worth: Option<f64>,
    worth: Option<f64>,
    effect: RawEffect,
    group: Option<RawGroup>,
    window: Option<f64>,
    #[serde(default)]
    fifo_by_key: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawEffect {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum RawGroup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Costs {
    connection: f64,
    cross_zone: f64,
    handshake: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Project {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    ask_within: f64,
    cold: f64,
    cold_share: f64,
    drain_grace: f64,
    fall_multiple: f64,
    tip_after: f64,
    settle_after_doubt: Option<f64>,
    release_within: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Stats {
    how: String,
}

/// What is planned with where no limit is told.
fn most_memory_mb() -> f64 {
    192.0
}

fn bad(name: &str, expected: &'static str, got: impl ToString) -> ConfigError {
    ConfigError::Value { name: name.to_string(), expected, got: got.to_string() }
}

/// A span of time that fits a `Duration`.
fn span(name: &str, seconds: f64) -> Result<Duration, ConfigError> {
    Duration::try_from_secs_f64(seconds).map_err(|_| bad(name, "seconds, not below 0", seconds))
}

/// Refuses what contradicts itself or can't be meant, so that nothing behind this has to expect it.
fn checked(raw: &RawSettings) -> Result<(), ConfigError> {
    let RawSettings { caps, classes, rules, projects, quantum, me, n_instances, .. } = raw;
    if classes.is_empty() {
        return Err(bad("classes", "one class at least", "none"));
    }
    for (i, class) in classes.iter().enumerate() {
        if classes[..i].iter().any(|before| before.name == class.name) {
            return Err(bad("classes", "names that differ", &class.name));
        }
        let worths = [("worth", class.worth), ("late-worth", class.late_worth)];
        for (name, worth) in worths {
            if worth.is_some_and(|worth| !worth.is_finite()) {
                return Err(bad(
                    &format!("{name} of class {}", class.name),
                    "a number",
                    worth.unwrap_or(0.0),
                ));
            }
        }
    }
    for (i, project) in projects.iter().enumerate() {
        if projects[..i].iter().any(|before| before.name == project.name) {
            return Err(bad("projects", "names that differ", &project.name));
        }
    }
    if me >= n_instances {
        return Err(bad("me", "a number below n-instances", me));
    }
    if caps.max_attempts == 0 {
        return Err(bad("caps.max-attempts", "one at least", 0));
    }
    if !(0.0..=1.0).contains(&rules.cold_share) {
        return Err(bad("rules.cold-share", "a part from 0 to 1", rules.cold_share));
    }
    let figures = [
        ("quantum", *quantum),
        ("rules.ask-within", rules.ask_within),
        ("rules.cold", rules.cold),
        ("rules.fall-multiple", rules.fall_multiple),
        ("rules.tip-after", rules.tip_after),
    ];
    for (name, value) in figures {
        if !(value.is_finite() && value >= 0.0) {
            return Err(bad(name, "a number not below 0", value));
        }
    }
    Ok(())
}

/// Which word on where discovery is holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wins {
    /// The environment's, as at the start.
    Environment,
    /// The file's: it may have been replaced since, and the environment cannot.
    File,
}

impl Config {
    /// Reads the environment and the file that it names.
    pub fn from_env(wins: Wins) -> Result<Self, ConfigError> {
        let var = |name: &'static str| std::env::var(name).map_err(|_| ConfigError::Unset(name));
        let path = var("RELAY_CONFIG")?;
        let text = std::fs::read_to_string(&path)
            .map_err(|error| ConfigError::Read { path: path.clone(), error })?;
        let file: File = serde_json::from_str(&text).map_err(|error| ConfigError::Json { path, error })?;
        let address = |name: &'static str, in_file: &Option<String>| {
            let text = var(name).or_else(|unset| in_file.clone().ok_or(unset))?;
            text.parse::<SocketAddr>().map_err(|_| bad(name, "address:port", text))
        };
        let listen = address("RELAY_LISTEN", &file.listen)?;
        let discovery = match (wins, &file.discovery) {
            (Wins::File, Some(text)) => {
                text.parse().map_err(|_| bad("discovery", "address:port", text.as_str()))?
            }
            _ => address("RELAY_DISCOVERY", &file.discovery)?,
        };
        let operator = match std::env::var("RELAY_OPERATOR").is_ok() || file.operator.is_some() {
            true => Some(address("RELAY_OPERATOR", &file.operator)?),
            false => None,
        };
        Self::from_file(file, listen, discovery, operator)
    }

    fn from_file(
        file: File,
        listen: SocketAddr,
        discovery: SocketAddr,
        operator: Option<SocketAddr>,
    ) -> Result<Self, ConfigError> {
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| bad("seed", "hex digits", &file.seed))?;
        let raw = file.settings;
        checked(&raw)?;
        let mut zones = raw.zones;
        let zone = listing::zone_index(&mut zones, &raw.zone);
        let wire = WireSettings {
            classes: raw.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: raw.projects.iter().map(|p| p.name.clone()).collect(),
            zones,
            connect_timeout: span("caps.connect-timeout", raw.caps.connect_timeout)?,
            idle_close: span("caps.idle-close", raw.caps.idle_close)?,
            handshake_price: raw.costs.handshake,
            drain_grace: span("rules.drain-grace", raw.rules.drain_grace)?,
            max_open: raw.caps.max_open.unwrap_or(usize::MAX),
        };
        let settings = Settings {
            classes: raw.classes.into_iter().map(class).collect::<Result<_, _>>()?,
            quotas: raw.projects.iter().map(|p| p.quota_per_s).collect(),
            over_share_worth: raw.over_share_worth.unwrap_or(1.0),
            instance_count: raw.n_instances,
            instance_index: raw.me,
            tier: raw.tier,
            zone,
            cross_zone_cost: raw.costs.cross_zone,
            costly_connections: raw.costs.connection + raw.costs.handshake > 0.0,
            probe_for_reports: raw.stats.how == "on_probe" && raw.caps.probing,
            can_cancel: raw.caps.cancel,
            allow_concurrent_attempts: raw.caps.second_copies,
            max_attempts: raw.caps.max_attempts,
            max_retry_after: if raw.caps.retry_after { raw.caps.max_retry_after } else { 0.0 },
            must_watch: raw.registry_mode == RegistryMode::Subscribe,
            list_request_deadline: raw.rules.ask_within,
            cold_capacity_fraction: raw.rules.cold_share,
            cold_duration: raw.rules.cold,
            overload_multiple: raw.rules.fall_multiple,
            overload_duration: raw.rules.tip_after,
            key_settle_time: raw.rules.settle_after_doubt.unwrap_or(0.0),
            connection_release_deadline: raw.rules.release_within,
            quantum: raw.quantum,
        };
        let (sockets, memory) = (file.limits.sockets, (file.limits.memory_mb * f64::from(1 << 20)) as usize);
        Ok(Self { listen, operator, discovery, seed, sockets, memory, known: file.known, settings, wire })
    }
}

fn class(raw: RawClass) -> Result<Class, ConfigError> {
    let positive = |name: &str, value: Time| match value.is_finite() && value >= 0.0 {
        true => Ok(value),
        false => Err(bad(&format!("{} of class {}", name, raw.name), "a number not below 0", value)),
    };
    let absent = |name: &str| bad(&format!("{} of class {}", name, raw.name), "a value", "none");
    Ok(Class {
        aim: positive("on-time", raw.on_time)?,
        deadline: positive("hard-limit", raw.hard_limit)?,
        late_worth: raw.late_worth.unwrap_or(0.0),
        worth: raw.worth.unwrap_or(1.0),
        effect: match raw.effect {
            RawEffect::Free => Effect::Safe,
            RawEffect::SingleShot => Effect::Unsafe,
            RawEffect::Guarded => Effect::Keyed {
                group: match raw.group.ok_or_else(|| absent("group"))? {
                    RawGroup::All => DedupGroup::All,
                    RawGroup::Zone => DedupGroup::Zone,
                    RawGroup::Cell => DedupGroup::Cell,
                },
                window: positive("window", raw.window.ok_or_else(|| absent("window"))?)?,
            },
        },
        in_order: raw.fifo_by_key,
    })
}
