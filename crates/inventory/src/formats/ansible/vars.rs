//! The variables of an inventory that say something of a node. All others are passed over, as
//! they may hold anything.

use crate::error::{Fault, FaultKind};
use crate::yaml::{Key, Node};

/// Their names. Those of dewpier's own come before the general ones, which may be meant for
/// something else: `ansible_port` is where Ansible logs in.
pub(super) const NAMES: [&str; 12] = [
    "dewpier_host",
    "ansible_host",
    "dewpier_port",
    "ansible_port",
    "dewpier_zone",
    "zone",
    "dewpier_cell",
    "cell",
    "dewpier_weight",
    "weight",
    "dewpier_state",
    "state",
];

/// Values by the places of their names in [`NAMES`].
#[derive(Clone, Default)]
pub(super) struct Vars<'a>([Option<&'a Node>; 12]);

impl<'a> Vars<'a> {
    /// Sets a variable, if it is one of these. The last word holds, as in Ansible.
    pub fn set(&mut self, name: &Key, node: &'a Node) -> Result<(), Fault> {
        if let Some(place) = NAMES.iter().position(|known| *known == name.scalar.text) {
            self.0[place] = Some(node);
        }
        Ok(())
    }

    /// Sets a variable of a host that other places may have set: they must say the same.
    pub fn agree(&mut self, host: &str, name: &Key, node: &'a Node) -> Result<(), Fault> {
        let Some(place) = NAMES.iter().position(|known| *known == name.scalar.text) else {
            return Ok(());
        };
        if let Some(known) = self.0[place]
            && known.described() != node.described()
        {
            let what = format!("{} of {host}", NAMES[place]);
            let (expected, first, found) = (known.described(), known.at, node.described());
            return Err(Fault { at: node.at, what: FaultKind::Conflict { what, expected, first, found } });
        }
        self.0[place] = Some(node);
        Ok(())
    }

    /// What `other` says holds.
    pub fn overlay(&mut self, other: &Self) {
        for (mine, other) in self.0.iter_mut().zip(other.0) {
            *mine = other.or(*mine);
        }
    }

    /// The value of one of two names, the first if it is there.
    pub fn either(&self, first: &str, second: &str) -> Option<&'a Node> {
        let get = |name: &str| NAMES.iter().position(|known| *known == name).and_then(|place| self.0[place]);
        get(first).filter(|node| !node.is_null()).or_else(|| get(second))
    }
}
