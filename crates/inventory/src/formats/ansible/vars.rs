//! Stores the variables of an Ansible inventory that describe a node. All other variables are ignored.

use crate::error::{Fault, FaultKind};
use crate::yaml::{Key, Node};

/// The names of these variables. A `dewpier_*` variable takes precedence over the general one, which may have
/// another purpose: `ansible_port` is the port of Ansible's SSH connection.
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

/// The values of the variables, in the order of [`NAMES`].
#[derive(Clone, Default)]
pub(super) struct Vars<'a>([Option<&'a Node>; 12]);

impl<'a> Vars<'a> {
    /// Sets a variable if it is one of [`NAMES`]. The last value wins, as in Ansible.
    pub fn set(&mut self, name: &Key, node: &'a Node) -> Result<(), Fault> {
        if let Some(index) = NAMES.iter().position(|known| *known == name.scalar.text) {
            self.0[index] = Some(node);
        }
        Ok(())
    }

    /// Sets a variable of a host. Fails if another occurrence of the host set a different value.
    pub fn set_consistent(&mut self, host: &str, name: &Key, node: &'a Node) -> Result<(), Fault> {
        let Some(index) = NAMES.iter().position(|known| *known == name.scalar.text) else {
            return Ok(());
        };
        if let Some(known) = self.0[index]
            && known.describe() != node.describe()
        {
            let subject = format!("{} of {host}", NAMES[index]);
            let (expected, first, found) = (known.describe(), known.at, node.describe());
            return Err(Fault { at: node.at, kind: FaultKind::Conflict { subject, expected, first, found } });
        }
        self.0[index] = Some(node);
        Ok(())
    }

    /// Overrides the values with those that are set in `other`.
    pub fn override_with(&mut self, other: &Self) {
        for (value, other) in self.0.iter_mut().zip(other.0) {
            *value = other.or(*value);
        }
    }

    /// The value of `preferred`, or that of `fallback` if `preferred` is unset or null.
    pub fn get_either(&self, preferred: &str, fallback: &str) -> Option<&'a Node> {
        let get = |name: &str| NAMES.iter().position(|known| *known == name).and_then(|index| self.0[index]);
        get(preferred).filter(|node| !node.is_null()).or_else(|| get(fallback))
    }
}
