//! The configuration file of a planner.

use super::check::{
    ConfigError, HOUR_MILLIS, InvalidValue, check_integer, check_millis, invalid, parse, read_text,
};
use super::inventory::{Inventory, RawInventory, check_inventory};
use super::secured::{RawTls, check_drain_bound, check_secure_address, check_tls, check_within_drain_bound};
use dewpier_plan::MAX_PLANNERS;
use dewpier_plan::io::CertificateFiles;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use toml::Spanned;

/// The configuration of a planner.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// The address on which forwarders connect.
    pub listen: SocketAddr,
    /// The planner's index in `planner_addresses`.
    pub number: u32,
    /// Duration of the leases it grants to forwarders, within the limit that `drain_ms` sets.
    pub lease: Duration,
    /// Maximum number of connected forwarders.
    pub max_forwarders: usize,
    /// The file that lists the backends.
    pub inventory: Inventory,
    /// The addresses on which planners connect to each other, by planner number; empty for a single planner.
    pub planner_addresses: Vec<SocketAddr>,
    /// How long a planner may be silent before its view no longer counts.
    pub expel_after: Duration,
    /// The files of TLS; none where connections are plain.
    pub tls: Option<CertificateFiles>,
}

/// The configuration file as written.
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

/// The table `[cluster]` as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCluster {
    planners: Spanned<Vec<Spanned<String>>>,
    expel_after_ms: Option<Spanned<i64>>,
}

impl PlannerConfig {
    /// Reads and checks a configuration file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        Self::parse(&read_text(path)?, path)
    }

    /// Parses and checks the text of a configuration file. Files that it names are relative to the folder of `path`.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ConfigError> {
        parse(text, path, Self::check)
    }

    fn check(file: PlannerFile, path: &Path) -> Result<Self, InvalidValue> {
        let tls = check_tls(&file.tls, file.plaintext, file.listen.span(), path)?;
        let listed = file.cluster.as_ref().map_or(&[][..], |c| c.planners.get_ref());
        let planner_addresses: Vec<SocketAddr> = listed
            .iter()
            .map(|address| check_secure_address(address, "planners", &tls))
            .collect::<Result<_, _>>()?;
        if let Some(cluster) = &file.cluster {
            let span = cluster.planners.span();
            if planner_addresses.is_empty() || planner_addresses.len() >= MAX_PLANNERS {
                let expected = format!("1 to {}", MAX_PLANNERS - 1);
                return invalid(span, "planners", &expected, planner_addresses.len());
            }
            if let Some(duplicate) =
                planner_addresses.iter().enumerate().find(|(i, p)| planner_addresses[..*i].contains(p))
            {
                return invalid(span, "planners", "each address once", format!("{} twice", duplicate.1));
            }
        }
        let max_number = planner_addresses.len().max(1) as i64 - 1;
        let drain_bound = check_drain_bound(&file.drain_ms)?;
        let expel_after = file.cluster.as_ref().and_then(|c| c.expel_after_ms.clone());
        Ok(Self {
            listen: check_secure_address(&file.listen, "listen", &tls)?,
            number: check_integer(&file.number, "number", [0, max_number], 0)? as u32,
            lease: check_within_drain_bound(
                &file.lease_ms,
                "lease_ms",
                drain_bound,
                drain_bound.lease_range(),
                drain_bound.max_lease(),
            )?,
            max_forwarders: check_integer(&file.max_forwarders, "max_forwarders", [1, 100_000], 1000)?
                as usize,
            inventory: check_inventory(&file.inventory, path)?,
            planner_addresses,
            expel_after: check_millis(&expel_after, "expel_after_ms", [1000, HOUR_MILLIS], 10_000)?,
            tls,
        })
    }
}
