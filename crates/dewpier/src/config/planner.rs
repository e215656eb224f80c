//! The configuration of a planner.

use super::check::{ConfigError, HOUR, Wrong, millis, parse, text, whole, wrong};
use super::inventory::{Inventory, RawInventory, inventory};
use super::secured::{RawTls, drain_bound, fitting, reached, secured};
use dewpier_plan::MAX_PLANNERS;
use dewpier_plan::io::CertificateFiles;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use toml::Spanned;

/// Everything that a planner is told.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// Where forwarders connect.
    pub listen: SocketAddr,
    /// Its number among the planners.
    pub number: u32,
    /// For how long a forwarder may go by its word; within its bound on drains.
    pub lease: Duration,
    /// Forwarders that are let in.
    pub most: usize,
    /// Where the list of backends is.
    pub inventory: Inventory,
    /// Where the planners talk with each other, by their numbers; none where there is but one.
    pub planners: Vec<SocketAddr>,
    /// The view of a planner that was silent for so long no longer counts.
    pub expel_after: Duration,
    /// As for forwarders.
    pub tls: Option<CertificateFiles>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannerFile {
    listen: Spanned<String>,
    number: Option<Spanned<i64>>,
    drain_ms: Option<Spanned<i64>>,
    lease_ms: Option<Spanned<i64>>,
    max_forwarders: Option<Spanned<i64>>,
    inventory: RawInventory,
    cluster: Option<RawCluster>,
    #[serde(default)]
    plaintext: bool,
    tls: Option<RawTls>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCluster {
    planners: Spanned<Vec<Spanned<String>>>,
    expel_after_ms: Option<Spanned<i64>>,
}

impl PlannerConfig {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        Self::parse(&text(path)?, path)
    }

    /// Checks a text. Files that it names are beside `path`.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ConfigError> {
        parse(text, path, Self::check)
    }

    fn check(file: PlannerFile, path: &Path) -> Result<Self, Wrong> {
        let tls = secured(&file.tls, file.plaintext, file.listen.span(), path)?;
        let listed = file.cluster.as_ref().map_or(&[][..], |c| c.planners.get_ref());
        let planners: Vec<SocketAddr> =
            listed.iter().map(|a| reached(a, "planners", &tls)).collect::<Result<_, _>>()?;
        if let Some(cluster) = &file.cluster {
            let span = cluster.planners.span();
            if planners.is_empty() || planners.len() >= MAX_PLANNERS {
                let expected = format!("1 to {}", MAX_PLANNERS - 1);
                return wrong(span, "planners", &expected, planners.len());
            }
            if let Some(twice) = planners.iter().enumerate().find(|(i, p)| planners[..*i].contains(p)) {
                return wrong(span, "planners", "each address once", format!("{} twice", twice.1));
            }
        }
        let most = planners.len().max(1) as i64 - 1;
        let drains = drain_bound(&file.drain_ms)?;
        let expel_after = file.cluster.as_ref().and_then(|c| c.expel_after_ms.clone());
        Ok(Self {
            listen: reached(&file.listen, "listen", &tls)?,
            number: whole(&file.number, "number", [0, most], 0)? as u32,
            lease: fitting(&file.lease_ms, "lease_ms", drains, drains.lease_range(), drains.max_lease())?,
            most: whole(&file.max_forwarders, "max_forwarders", [1, 100_000], 1000)? as usize,
            inventory: inventory(&file.inventory, path)?,
            planners,
            expel_after: millis(&expel_after, "expel_after_ms", [1000, HOUR], 10_000)?,
            tls,
        })
    }
}
