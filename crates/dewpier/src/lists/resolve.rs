//! The addresses of the nodes of an inventory. Names are looked up only where the configuration
//! asks for it, and when a list is taken: a name that moves is noticed with the next change.

use dewpier_inventory::{Backend, Host, Place};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinSet;

/// Host names that are looked up at once,
const LOOK_UPS: usize = 32;
/// how long one may take,
const WITHIN: Duration = Duration::from_secs(5);
/// and all of a list together.
const ALL_WITHIN: Duration = Duration::from_secs(30);

/// Why a list that was read is not taken.
#[derive(Debug, Error)]
pub enum Unresolved {
    /// A host name where none may be.
    #[error(
        "{at}: expected an IP address for '{id}', found the host name {name} \
         (names = \"look-up\" has names looked up whenever the list changes)"
    )]
    Name {
        /// The node's place.
        at: Place,
        /// Its id.
        id: String,
        /// The name.
        name: String,
    },
    /// A name that gives no address.
    #[error("{at}: expected a host name that can be looked up, found {name}: {why}")]
    NotFound {
        /// The node's place.
        at: Place,
        /// The name.
        name: String,
        /// What the system said.
        why: String,
    },
    /// Two nodes that turn out to be at one address.
    #[error("{at}: expected one node an address, found '{id}' and '{other}' ({other_at}) both at {address}")]
    Shared {
        /// The node's place.
        at: Place,
        /// Its id.
        id: String,
        /// The other's id,
        other: String,
        /// and place.
        other_at: Place,
        /// Where both are.
        address: SocketAddr,
    },
}

/// Nodes and where they are.
pub type Resolved = Vec<(Backend, SocketAddr)>;

/// The addresses of all nodes. One that has none refuses the whole list.
pub async fn resolve(list: &[Backend], names: bool) -> Result<Resolved, Unresolved> {
    let found = look_up_all(list, names).await?;
    let mut resolved = Vec::with_capacity(list.len());
    let mut taken: HashMap<SocketAddr, &Backend> = HashMap::with_capacity(list.len());
    for backend in list {
        let ip = match &backend.address.host {
            Host::Ip(ip) => *ip,
            Host::Name(name) => match found.get(name) {
                Some(Ok(ip)) => *ip,
                failed => {
                    let why = failed.and_then(|f| f.clone().err()).unwrap_or("no answer in time".into());
                    return Err(Unresolved::NotFound { at: backend.at, name: name.clone(), why });
                }
            },
        };
        let address = SocketAddr::new(ip, backend.address.port);
        if let Some(other) = taken.insert(address, backend) {
            let (at, id, other, other_at) = (backend.at, backend.id.clone(), other.id.clone(), other.at);
            return Err(Unresolved::Shared { at, id, other, other_at, address });
        }
        resolved.push((backend.clone(), address));
    }
    Ok(resolved)
}

type Found = HashMap<String, Result<IpAddr, String>>;

async fn look_up_all(list: &[Backend], names: bool) -> Result<Found, Unresolved> {
    let mut wanted: Vec<&str> = Vec::new();
    for backend in list {
        match &backend.address.host {
            Host::Name(name) if names => wanted.push(name),
            Host::Name(name) => {
                let (at, id, name) = (backend.at, backend.id.clone(), name.clone());
                return Err(Unresolved::Name { at, id, name });
            }
            Host::Ip(_) => {}
        }
    }
    wanted.sort_unstable();
    wanted.dedup();
    let mut found = Found::with_capacity(wanted.len());
    let all = async {
        let mut running = JoinSet::new();
        for name in wanted {
            while running.len() >= LOOK_UPS {
                found.extend(running.join_next().await.and_then(Result::ok));
            }
            running.spawn(look_up(name.to_string()));
        }
        while let Some(one) = running.join_next().await {
            found.extend(one.ok());
        }
    };
    // What is not found by then is told as such.
    let _ = tokio::time::timeout(ALL_WITHIN, all).await;
    Ok(found)
}

async fn look_up(name: String) -> (String, Result<IpAddr, String>) {
    let answer = tokio::time::timeout(WITHIN, tokio::net::lookup_host((name.clone(), 0))).await;
    let ip = match answer {
        Ok(Ok(mut addresses)) => addresses.next().map(|a| a.ip()).ok_or("it has no address".into()),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("no answer in time".into()),
    };
    (name, ip)
}
