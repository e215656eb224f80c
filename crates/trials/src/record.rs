//! What was seen of a play, on one clock: since its beginning.

use std::time::Duration;

/// A request that reached a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Which node.
    pub node: usize,
    /// When its first byte was there.
    pub at: Duration,
    /// By which proxy.
    pub proxy: usize,
    /// Its name, one for each request of a client.
    pub order: String,
    /// It must not run twice.
    pub once: bool,
    /// It did not go well, by the node's fault or that of the way.
    pub bad: bool,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Of which proxy.
    pub proxy: usize,
    /// Its name.
    pub order: String,
    /// When it was written.
    pub at: Duration,
    /// When its answer was there, or the connection had ended, or the client had waited for as long as it does.
    pub ended: Duration,
    /// The status of its answer; None where none came.
    pub status: Option<u16>,
}

/// A verdict that a proxy held.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// On which node.
    pub node: usize,
    /// What holds, as the proxy says it.
    pub kind: String,
    /// The node is kept out.
    pub out: bool,
    /// Age of the oldest word that it rests on, as the proxy says it.
    pub oldest: Duration,
}

/// A look at what a proxy holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Look {
    /// Which proxy.
    pub proxy: usize,
    /// When it was asked, and when it had answered.
    pub at: Duration,
    /// When it had answered.
    pub answered: Duration,
    /// What it holds.
    pub held: Vec<Held>,
}

/// A drain that a proxy was told of.
#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    /// Which node.
    pub node: usize,
    /// Which proxy.
    pub proxy: usize,
    /// When that proxy had read it.
    pub told: Duration,
    /// When the list said otherwise again.
    pub until: Duration,
}

/// A span in which a process did not run, or not as it should.
#[derive(Clone, Debug, PartialEq)]
pub struct Disturbed {
    /// Which.
    pub proxy: usize,
    /// From,
    pub from: Duration,
    /// until it served again.
    pub until: Duration,
    /// What it had taken before it still answers: it was ended, not killed.
    pub answers: bool,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// At nodes, by the time at which they were there.
    pub arrivals: Vec<Arrival>,
    /// By clients.
    pub asked: Vec<Asked>,
    /// At operators' calls.
    pub looks: Vec<Look>,
    /// Drains as they were told.
    pub drains: Vec<Drain>,
    /// Processes that did not run.
    pub disturbed: Vec<Disturbed>,
    /// What planners went by where they did not agree in time after all was well again.
    pub apart: Option<String>,
    /// How long the machine stood still at worst.
    pub stall: Duration,
}

impl Record {
    /// Whether a request that was sent to a process then has to have an answer, that came then or not.
    pub fn owed(&self, proxy: usize, at: Duration, ended: Duration) -> bool {
        let mut of = self.disturbed.iter().filter(|d| d.proxy == proxy);
        !of.any(|d| at < d.until && d.from < if d.answers { at } else { ended })
    }

    /// Whether a process ran all the time from then to then.
    pub fn ran(&self, proxy: usize, from: Duration, until: Duration) -> bool {
        !self.disturbed.iter().any(|d| d.proxy == proxy && d.from < until && from < d.until)
    }
}
