//! Reads the configuration from the environment and a JSON file.

use crate::listing::{self, RawList};
use gannetproxy::engine::EngineLimits;
use gannetproxy::{Class, DedupGroup, Effect, Settings, Time};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why the configuration is invalid.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required environment variable is missing or not valid text.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// The file can't be read.
    #[error("cannot read {path}: {error}")]
    Read {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file is not valid JSON, or a value is missing.
    #[error("{path}: {error}")]
    Json {
        /// The path of the file.
        path: String,
        /// The error and its position.
        error: serde_json::Error,
    },
    /// A value is out of range or contradicts another one.
    #[error("{name}: expected {expected}, got '{found}'")]
    Value {
        /// The name of the setting.
        name: String,
        /// The expected value.
        expected: &'static str,
        /// The value found.
        found: String,
    },
}

/// The configuration of a proxy.
#[derive(Debug)]
pub struct Config {
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address for operators, if any.
    pub operator: Option<SocketAddr>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed for the random numbers of the decision module.
    pub seed: u64,
    /// Largest number of file descriptors that the process may use.
    pub sockets: usize,
    /// Memory in bytes that the process may use.
    pub memory: usize,
    /// The last known backend list.
    pub known: RawList,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The settings that only the proxy uses.
    pub wire: WireSettings,
}

/// The settings that the proxy needs for its connections and that decisions don't use.
#[derive(Clone, Debug, Default)]
pub struct WireSettings {
    /// Class names in the order of the class indexes.
    pub classes: Vec<String>,
    /// Tenant names in the order of the tenant indexes.
    pub tenants: Vec<String>,
    /// Zone names in the order of the zone indexes.
    pub zones: Vec<String>,
    /// Time after which a connect fails.
    pub connect_timeout: Duration,
    /// Time after which backends close idle connections.
    pub idle_close: Duration,
    /// Price of a new connection beyond its basic cost, as a fraction of the worth of an average request.
    pub handshake_price: f64,
    /// Time after which nothing new is sent to a backend that drains or is gone.
    pub drain_grace: Duration,
    /// Largest number of open requests.
    pub max_open_requests: usize,
}

impl WireSettings {
    /// Returns the limits for the engine.
    pub fn engine_limits(&self) -> EngineLimits {
        EngineLimits { drain_grace: self.drain_grace, max_open_requests: self.max_open_requests }
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

/// Memory limit in megabytes if none is configured.
fn most_memory_mb() -> f64 {
    192.0
}

fn invalid_value(name: &str, expected: &'static str, found: impl ToString) -> ConfigError {
    ConfigError::Value { name: name.to_string(), expected, found: found.to_string() }
}

/// Converts seconds to a `Duration`.
fn parse_duration(name: &str, seconds: f64) -> Result<Duration, ConfigError> {
    Duration::try_from_secs_f64(seconds).map_err(|_| invalid_value(name, "seconds, not below 0", seconds))
}

/// Rejects contradictory or out-of-range settings, so that later code can rely on them.
fn validate(raw: &RawSettings) -> Result<(), ConfigError> {
    let RawSettings { caps, classes, rules, projects, quantum, me, n_instances, .. } = raw;
    if classes.is_empty() {
        return Err(invalid_value("classes", "one class at least", "none"));
    }
    for (i, class) in classes.iter().enumerate() {
        if classes[..i].iter().any(|earlier| earlier.name == class.name) {
            return Err(invalid_value("classes", "names that differ", &class.name));
        }
        let worths = [("worth", class.worth), ("late-worth", class.late_worth)];
        for (name, worth) in worths {
            if worth.is_some_and(|worth| !worth.is_finite()) {
                return Err(invalid_value(
                    &format!("{name} of class {}", class.name),
                    "a number",
                    worth.unwrap_or(0.0),
                ));
            }
        }
    }
    for (i, project) in projects.iter().enumerate() {
        if projects[..i].iter().any(|earlier| earlier.name == project.name) {
            return Err(invalid_value("projects", "names that differ", &project.name));
        }
    }
    if me >= n_instances {
        return Err(invalid_value("me", "a number below n-instances", me));
    }
    if caps.max_attempts == 0 {
        return Err(invalid_value("caps.max-attempts", "one at least", 0));
    }
    if !(0.0..=1.0).contains(&rules.cold_share) {
        return Err(invalid_value("rules.cold-share", "a part from 0 to 1", rules.cold_share));
    }
    let non_negative_values = [
        ("quantum", *quantum),
        ("rules.ask-within", rules.ask_within),
        ("rules.cold", rules.cold),
        ("rules.fall-multiple", rules.fall_multiple),
        ("rules.tip-after", rules.tip_after),
    ];
    for (name, value) in non_negative_values {
        if !(value.is_finite() && value >= 0.0) {
            return Err(invalid_value(name, "a number not below 0", value));
        }
    }
    Ok(())
}

/// Which source of the discovery address takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryPrecedence {
    /// The environment, at the start of the process.
    Environment,
    /// The file, on a reload: the file may have changed, and the environment can't.
    File,
}

impl Config {
    /// Reads the environment and the file that `RELAY_CONFIG` names.
    pub fn from_env(precedence: DiscoveryPrecedence) -> Result<Self, ConfigError> {
        let read_var = |name: &'static str| std::env::var(name).map_err(|_| ConfigError::Unset(name));
        let path = read_var("RELAY_CONFIG")?;
        let text = std::fs::read_to_string(&path)
            .map_err(|error| ConfigError::Read { path: path.clone(), error })?;
        let file: File = serde_json::from_str(&text).map_err(|error| ConfigError::Json { path, error })?;
        let address = |name: &'static str, in_file: &Option<String>| {
            let text = read_var(name).or_else(|unset| in_file.clone().ok_or(unset))?;
            text.parse::<SocketAddr>().map_err(|_| invalid_value(name, "address:port", text))
        };
        let listen = address("RELAY_LISTEN", &file.listen)?;
        let discovery = match (precedence, &file.discovery) {
            (DiscoveryPrecedence::File, Some(text)) => {
                text.parse().map_err(|_| invalid_value("discovery", "address:port", text.as_str()))?
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
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| invalid_value("seed", "hex digits", &file.seed))?;
        let raw = file.settings;
        validate(&raw)?;
        let mut zones = raw.zones;
        let zone = listing::zone_index(&mut zones, &raw.zone);
        let wire = WireSettings {
            classes: raw.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: raw.projects.iter().map(|project| project.name.clone()).collect(),
            zones,
            connect_timeout: parse_duration("caps.connect-timeout", raw.caps.connect_timeout)?,
            idle_close: parse_duration("caps.idle-close", raw.caps.idle_close)?,
            handshake_price: raw.costs.handshake,
            drain_grace: parse_duration("rules.drain-grace", raw.rules.drain_grace)?,
            max_open_requests: raw.caps.max_open.unwrap_or(usize::MAX),
        };
        let settings = Settings {
            classes: raw.classes.into_iter().map(convert_class).collect::<Result<_, _>>()?,
            quotas: raw.projects.iter().map(|project| project.quota_per_s).collect(),
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

fn convert_class(raw: RawClass) -> Result<Class, ConfigError> {
    let non_negative = |name: &str, value: Time| match value.is_finite() && value >= 0.0 {
        true => Ok(value),
        false => {
            Err(invalid_value(&format!("{} of class {}", name, raw.name), "a number not below 0", value))
        }
    };
    let missing = |name: &str| invalid_value(&format!("{} of class {}", name, raw.name), "a value", "none");
    Ok(Class {
        aim: non_negative("on-time", raw.on_time)?,
        deadline: non_negative("hard-limit", raw.hard_limit)?,
        late_worth: raw.late_worth.unwrap_or(0.0),
        worth: raw.worth.unwrap_or(1.0),
        effect: match raw.effect {
            RawEffect::Free => Effect::Safe,
            RawEffect::SingleShot => Effect::Unsafe,
            RawEffect::Guarded => Effect::Keyed {
                group: match raw.group.ok_or_else(|| missing("group"))? {
                    RawGroup::All => DedupGroup::All,
                    RawGroup::Zone => DedupGroup::Zone,
                    RawGroup::Cell => DedupGroup::Cell,
                },
                window: non_negative("window", raw.window.ok_or_else(|| missing("window"))?)?,
            },
        },
        in_order: raw.fifo_by_key,
    })
}
