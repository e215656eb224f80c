//! Resolves the host names of an inventory to addresses. Names are looked up only if the configuration allows host
//! names, and only when a list is read: a changed DNS entry takes effect with the next change of the inventory.

use dewpier_inventory::{Backend, Host, Position};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinSet;

/// Maximum number of concurrent host name lookups.
const MAX_CONCURRENT_LOOKUPS: usize = 32;
/// Timeout of one lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of all lookups of a list together.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a list is rejected.
#[derive(Debug, Error)]
pub enum ResolveError {
    /// A host name, although the configuration does not allow host names.
    #[error(
        "{at}: expected an IP address for '{id}', found the host name {name} \
         (names = \"look-up\" has names looked up whenever the list changes)"
    )]
    HostNameNotAllowed {
        /// The node's position in the file.
        at: Position,
        /// The node's id.
        id: String,
        /// The host name.
        name: String,
    },
    /// A host name without an address.
    #[error("{at}: expected a host name that can be looked up, found {name}: {reason}")]
    NotFound {
        /// The node's position in the file.
        at: Position,
        /// The host name.
        name: String,
        /// The error of the lookup.
        reason: String,
    },
    /// Two nodes with the same address.
    #[error("{at}: expected one node an address, found '{id}' and '{other}' ({other_at}) both at {address}")]
    DuplicateAddress {
        /// The node's position in the file.
        at: Position,
        /// The node's id.
        id: String,
        /// The other node's id.
        other: String,
        /// The other node's position in the file.
        other_at: Position,
        /// The address of both.
        address: SocketAddr,
    },
}

/// Backends with their resolved addresses.
pub type ResolvedBackends = Vec<(Backend, SocketAddr)>;

/// Resolves the addresses of all backends. One backend without an address rejects the whole list. `allow_names` says
/// whether host names are looked up or rejected.
pub async fn resolve_backends(list: &[Backend], allow_names: bool) -> Result<ResolvedBackends, ResolveError> {
    let found = look_up_names(list, allow_names).await?;
    let mut resolved = Vec::with_capacity(list.len());
    let mut backend_by_address: HashMap<SocketAddr, &Backend> = HashMap::with_capacity(list.len());
    for backend in list {
        let ip = match &backend.address.host {
            Host::Ip(ip) => *ip,
            Host::Name(name) => match found.get(name) {
                Some(Ok(ip)) => *ip,
                failed => {
                    let reason =
                        failed.and_then(|result| result.clone().err()).unwrap_or("no answer in time".into());
                    return Err(ResolveError::NotFound { at: backend.at, name: name.clone(), reason });
                }
            },
        };
        let address = SocketAddr::new(ip, backend.address.port);
        if let Some(other) = backend_by_address.insert(address, backend) {
            let (at, id, other, other_at) = (backend.at, backend.id.clone(), other.id.clone(), other.at);
            return Err(ResolveError::DuplicateAddress { at, id, other, other_at, address });
        }
        resolved.push((backend.clone(), address));
    }
    Ok(resolved)
}

/// The results of lookups by host name.
type LookupResults = HashMap<String, Result<IpAddr, String>>;

/// Looks up the distinct host names of a list.
async fn look_up_names(list: &[Backend], allow_names: bool) -> Result<LookupResults, ResolveError> {
    let mut names: Vec<&str> = Vec::new();
    for backend in list {
        match &backend.address.host {
            Host::Name(name) if allow_names => names.push(name),
            Host::Name(name) => {
                let (at, id, name) = (backend.at, backend.id.clone(), name.clone());
                return Err(ResolveError::HostNameNotAllowed { at, id, name });
            }
            Host::Ip(_) => {}
        }
    }
    names.sort_unstable();
    names.dedup();
    let mut found = LookupResults::with_capacity(names.len());
    let all = async {
        let mut lookups = JoinSet::new();
        for name in names {
            while lookups.len() >= MAX_CONCURRENT_LOOKUPS {
                found.extend(lookups.join_next().await.and_then(Result::ok));
            }
            lookups.spawn(look_up(name.to_string()));
        }
        while let Some(result) = lookups.join_next().await {
            found.extend(result.ok());
        }
    };
    // Names that are not resolved in time count as not found.
    let _ = tokio::time::timeout(LIST_TIMEOUT, all).await;
    Ok(found)
}

/// Looks up a host name and returns its first address.
async fn look_up(name: String) -> (String, Result<IpAddr, String>) {
    let answer = tokio::time::timeout(LOOKUP_TIMEOUT, tokio::net::lookup_host((name.clone(), 0))).await;
    let ip = match answer {
        Ok(Ok(mut addresses)) => {
            addresses.next().map(|address| address.ip()).ok_or("it has no address".into())
        }
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("no answer in time".into()),
    };
    (name, ip)
}
