//! Configuration files of proxies and forwarders, and of planners, in TOML. Each file is parsed and checked as a
//! whole; the only I/O is reading it and the files that it names.

mod check;
mod classes;
mod fleet;
mod inventory;
mod mysql;
mod planner;
mod planners;
mod secured;
#[cfg(test)]
mod tests;

pub use check::ConfigError;
pub use fleet::{FleetConfig, TransportConfig};
pub use inventory::Inventory;
pub use mysql::{MySqlConfig, Secrets, hash_password};
pub use planner::PlannerConfig;
pub use planners::Planners;

use check::{
    HOUR_MILLIS, InvalidValue, check_integer, check_millis, check_number, invalid, parse, parse_address,
    read_text,
};
use classes::{Classes, RawClass, check_classes};
use dewpier_http::config::WireSettings;
use dewpier_http::routes::Routes;
use fleet::{RawFleet, check_fleet};
use gannetproxy::Settings;
use inventory::{RawInventory, check_inventory};
use mysql::{RawMySql, check_mysql};
use planners::{RawPlanners, check_planners};
use secured::check_within_drain_bound;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use toml::Spanned;

/// The configuration of a proxy or a forwarder.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The loopback address for operator calls, if any. It is local because anyone who can connect may drain the
    /// proxy.
    pub operator: Option<SocketAddr>,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// Memory that limits are derived from, in bytes.
    pub memory_bytes: usize,
    /// The source of the backend list.
    pub list_source: ListSourceConfig,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Settings of the HTTP side, which the decision module does not need.
    pub wire: WireSettings,
    /// Rules that assign requests to classes.
    pub routes: Routes,
    /// The front for MySQL clients, if any.
    pub mysql: Option<MySqlConfig>,
    /// The zone that the proxy is in.
    pub zone: String,
    /// The fleet that the proxy belongs to, if any.
    pub fleet: Option<FleetConfig>,
}

/// The source of a backend list.
#[derive(Clone, Debug)]
pub enum ListSourceConfig {
    /// An inventory file.
    Inventory(Inventory),
    /// Planners, which send the list to this forwarder.
    Planners(Box<Planners>),
}

/// The configuration file as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigFile {
    listen: Spanned<String>,
    operator: Option<Spanned<String>>,
    #[serde(default)]
    zone: String,
    inventory: Option<RawInventory>,
    planners: Option<RawPlanners>,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    backends: RawBackends,
    #[serde(default)]
    instances: RawInstances,
    #[serde(default)]
    class: Vec<RawClass>,
    mysql: Option<RawMySql>,
    fleet: Option<RawFleet>,
}

/// The table `[limits]` as written.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    descriptors: Option<Spanned<i64>>,
    memory_mb: Option<Spanned<i64>>,
    max_open: Option<Spanned<i64>>,
    max_attempts: Option<Spanned<i64>>,
    max_retry_after_ms: Option<Spanned<i64>>,
}

/// The table `[backends]` as written.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawBackends {
    connect_timeout_ms: Option<Spanned<i64>>,
    idle_close_ms: Option<Spanned<i64>>,
    handshake_price: Option<Spanned<f64>>,
    drain_grace_ms: Option<Spanned<i64>>,
    cold_ms: Option<Spanned<i64>>,
    cold_share: Option<Spanned<f64>>,
    fall_multiple: Option<Spanned<f64>>,
    tip_after_ms: Option<Spanned<i64>>,
}

/// The table `[instances]` as written.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawInstances {
    number: Option<Spanned<i64>>,
    me: Option<Spanned<i64>>,
}

impl Config {
    /// Reads and checks a configuration file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        Self::parse(&read_text(path)?, path)
    }

    /// Parses and checks the text of a configuration file. Files that it names are relative to the folder of `path`.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ConfigError> {
        parse(text, path, Self::check)
    }

    fn check(file: ConfigFile, path: &Path) -> Result<Self, InvalidValue> {
        let listen = parse_address(&file.listen, "listen")?;
        let operator = file.operator.as_ref().map(|raw| parse_address(raw, "operator")).transpose()?;
        if let (Some(address), Some(raw)) = (operator.filter(|a| !a.ip().is_loopback()), &file.operator) {
            return invalid(raw.span(), "operator", "an address on the loopback interface", address);
        }
        let (limits, backends) = (&file.limits, &file.backends);
        let Classes { classes, names, routes } = check_classes(&file.class)?;
        let list_source = match (&file.inventory, &file.planners) {
            (Some(raw), None) => ListSourceConfig::Inventory(check_inventory(raw, path)?),
            (own_inventory, Some(raw)) => {
                let own_inventory =
                    own_inventory.as_ref().map(|raw| check_inventory(raw, path)).transpose()?;
                ListSourceConfig::Planners(Box::new(check_planners(raw, own_inventory, path)?))
            }
            (None, None) => return invalid(0..0, "configuration", "[inventory] or [planners]", "neither"),
        };
        // A forwarder learns of drains after its planners, so its grace is what their leases leave of the drain
        // bound.
        let raw_grace = &backends.drain_grace_ms;
        let drain_grace = match &list_source {
            ListSourceConfig::Planners(planners) => {
                let drain_bound = planners.drain_bound;
                check_within_drain_bound(
                    raw_grace,
                    "drain_grace_ms",
                    drain_bound,
                    drain_bound.grace_range(),
                    drain_bound.max_grace(),
                )?
            }
            ListSourceConfig::Inventory(_) => check_millis(raw_grace, "drain_grace_ms", [10, 60_000], 500)?,
        };
        let instances = check_integer(&file.instances.number, "number", [1, 100_000], 1)?;
        let instance_index = check_integer(&file.instances.me, "me", [0, instances - 1], 0)?;
        let seconds = |value: Duration| value.as_secs_f64();
        let wire = WireSettings {
            classes: names,
            tenants: Vec::new(),
            zones: vec![file.zone.clone()],
            connect_timeout: check_millis(
                &backends.connect_timeout_ms,
                "connect_timeout_ms",
                [1, 60_000],
                1000,
            )?,
            idle_close: check_millis(&backends.idle_close_ms, "idle_close_ms", [1, HOUR_MILLIS], 30_000)?,
            handshake_price: check_number(&backends.handshake_price, "handshake_price", [0.0, 1.0], 0.0)?,
            drain_grace,
            max_open_requests: check_integer(&limits.max_open, "max_open", [1, 1_000_000], 10_000)? as usize,
        };
        let max_retry_after =
            check_millis(&limits.max_retry_after_ms, "max_retry_after_ms", [0, HOUR_MILLIS], 1000)?;
        let settings = Settings {
            classes,
            instance_count: instances as usize,
            instance_index: instance_index as usize,
            max_attempts: check_integer(&limits.max_attempts, "max_attempts", [1, 16], 4)? as usize,
            max_retry_after: seconds(max_retry_after),
            cold_capacity_fraction: check_number(&backends.cold_share, "cold_share", [0.01, 1.0], 0.2)?,
            cold_duration: seconds(check_millis(&backends.cold_ms, "cold_ms", [0, HOUR_MILLIS], 10_000)?),
            overload_multiple: check_number(&backends.fall_multiple, "fall_multiple", [1.0, 100.0], 3.0)?,
            overload_duration: seconds(check_millis(
                &backends.tip_after_ms,
                "tip_after_ms",
                [1, HOUR_MILLIS],
                1000,
            )?),
            ..Settings::default()
        };
        let memory_mb = check_integer(&limits.memory_mb, "memory_mb", [16, 1 << 20], 192)? as usize;
        Ok(Self {
            listen,
            operator,
            max_descriptors: check_integer(&limits.descriptors, "descriptors", [64, 1 << 20], 1024)? as usize,
            memory_bytes: memory_mb << 20,
            list_source,
            settings,
            wire,
            routes: Routes::new(routes),
            mysql: file.mysql.as_ref().map(|raw| check_mysql(raw, &file.zone, path)).transpose()?,
            fleet: file
                .fleet
                .as_ref()
                .map(|raw| check_fleet(raw, file.planners.is_some(), path))
                .transpose()?,
            zone: file.zone,
        })
    }
}
