//! The configuration file of our own: TOML, checked whole. No I/O but the reading of the file.

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
pub use fleet::{Carrier, Fleet};
pub use inventory::Inventory;
pub use mysql::{MySqlConfig, Secrets, hash_password};
pub use planner::PlannerConfig;
pub use planners::Planners;

use check::{HOUR, Wrong, address, millis, number, parse, text, whole, wrong};
use classes::{Classes, RawClass, classes};
use dewpier_http::config::WireSettings;
use dewpier_http::routes::Routes;
use fleet::{RawFleet, fleet};
use gannetproxy::Settings;
use inventory::{RawInventory, inventory};
use mysql::{RawMySql, mysql};
use planners::{RawPlanners, planners};
use secured::fitting;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use toml::Spanned;

/// Everything that a proxy of our own is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere: on this machine alone, as whoever can connect may empty the proxy.
    pub operator: Option<SocketAddr>,
    /// File descriptors that the process may hold.
    pub descriptors: usize,
    /// Bytes of memory that it plans with.
    pub memory: usize,
    /// Where the list of backends comes from.
    pub source: ListFrom,
    /// What the module is told.
    pub settings: Settings,
    /// What only the proxy needs of it.
    pub wire: WireSettings,
    /// Which requests belong to which class.
    pub routes: Routes,
    /// A front for MySQL clients beside it, if there is to be one.
    pub mysql: Option<MySqlConfig>,
    /// The zone that the proxy is in.
    pub zone: String,
    /// The fleet that it belongs to, if it tells others what it sees.
    pub fleet: Option<Fleet>,
}

/// Where a list of backends comes from.
#[derive(Clone, Debug)]
pub enum ListFrom {
    /// A file.
    Inventory(Inventory),
    /// Planners, who tell what they have of one.
    Planners(Box<Planners>),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
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

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    descriptors: Option<Spanned<i64>>,
    memory_mb: Option<Spanned<i64>>,
    max_open: Option<Spanned<i64>>,
    max_attempts: Option<Spanned<i64>>,
    max_retry_after_ms: Option<Spanned<i64>>,
}

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

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawInstances {
    number: Option<Spanned<i64>>,
    me: Option<Spanned<i64>>,
}

impl Config {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        Self::parse(&text(path)?, path)
    }

    /// Checks a text. Files that it names are beside `path`.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ConfigError> {
        parse(text, path, Self::check)
    }

    fn check(file: File, path: &Path) -> Result<Self, Wrong> {
        let listen = address(&file.listen, "listen")?;
        let operator = file.operator.as_ref().map(|raw| address(raw, "operator")).transpose()?;
        if let (Some(address), Some(raw)) = (operator.filter(|a| !a.ip().is_loopback()), &file.operator) {
            return wrong(raw.span(), "operator", "an address on the loopback interface", address);
        }
        let (limits, backends) = (&file.limits, &file.backends);
        let Classes { classes, names, routes } = classes(&file.class)?;
        let source = match (&file.inventory, &file.planners) {
            (Some(raw), None) => ListFrom::Inventory(inventory(raw, path)?),
            (own, Some(raw)) => {
                let own = own.as_ref().map(|raw| inventory(raw, path)).transpose()?;
                ListFrom::Planners(Box::new(planners(raw, own, path)?))
            }
            (None, None) => return wrong(0..0, "configuration", "[inventory] or [planners]", "neither"),
        };
        // A forwarder hears after planners have, and its grace is what their leases leave of the bound.
        let grace = &backends.drain_grace_ms;
        let drain_grace = match &source {
            ListFrom::Planners(planners) => {
                let drains = planners.drains;
                fitting(grace, "drain_grace_ms", drains, drains.graces(), drains.grace())?
            }
            ListFrom::Inventory(_) => millis(grace, "drain_grace_ms", [10, 60_000], 500)?,
        };
        let instances = whole(&file.instances.number, "number", [1, 100_000], 1)?;
        let me = whole(&file.instances.me, "me", [0, instances - 1], 0)?;
        let seconds = |value: Duration| value.as_secs_f64();
        let wire = WireSettings {
            classes: names,
            tenants: Vec::new(),
            zones: vec![file.zone.clone()],
            connect_timeout: millis(&backends.connect_timeout_ms, "connect_timeout_ms", [1, 60_000], 1000)?,
            idle_close: millis(&backends.idle_close_ms, "idle_close_ms", [1, HOUR], 30_000)?,
            handshake_price: number(&backends.handshake_price, "handshake_price", [0.0, 1.0], 0.0)?,
            drain_grace,
            max_open: whole(&limits.max_open, "max_open", [1, 1_000_000], 10_000)? as usize,
        };
        let most_wait = millis(&limits.max_retry_after_ms, "max_retry_after_ms", [0, HOUR], 1000)?;
        let settings = Settings {
            classes,
            instances: instances as usize,
            me: me as usize,
            max_attempts: whole(&limits.max_attempts, "max_attempts", [1, 16], 4)? as usize,
            max_retry_after: seconds(most_wait),
            cold_share: number(&backends.cold_share, "cold_share", [0.01, 1.0], 0.2)?,
            cold: seconds(millis(&backends.cold_ms, "cold_ms", [0, HOUR], 10_000)?),
            fall_multiple: number(&backends.fall_multiple, "fall_multiple", [1.0, 100.0], 3.0)?,
            tip_after: seconds(millis(&backends.tip_after_ms, "tip_after_ms", [1, HOUR], 1000)?),
            ..Settings::default()
        };
        let memory = whole(&limits.memory_mb, "memory_mb", [16, 1 << 20], 192)? as usize;
        Ok(Self {
            listen,
            operator,
            descriptors: whole(&limits.descriptors, "descriptors", [64, 1 << 20], 1024)? as usize,
            memory: memory << 20,
            source,
            settings,
            wire,
            routes: Routes::new(routes),
            mysql: file.mysql.as_ref().map(|raw| mysql(raw, &file.zone, path)).transpose()?,
            fleet: file.fleet.as_ref().map(|raw| fleet(raw, file.planners.is_some(), path)).transpose()?,
            zone: file.zone,
        })
    }
}
