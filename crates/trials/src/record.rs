//! What was seen of a play, on one clock: since its beginning.

use std::time::Duration;

/// A request that reached a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Which node.
    pub node: usize,
    /// When its first byte was there.
    pub arrived_at: Duration,
    /// By which proxy.
    pub proxy: usize,
    /// Its name, one for each request of a client.
    pub request_id: String,
    /// It must not run twice.
    pub must_run_once: bool,
    /// It did not go well, by the node's fault or that of the way.
    pub is_faulty: bool,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Of which proxy.
    pub proxy: usize,
    /// Its name.
    pub request_id: String,
    /// When it was written.
    pub sent_at: Duration,
    /// When its answer was there, or the connection had ended, or the client had waited for as long as it does.
    pub ended_at: Duration,
    /// The status of its answer; None where none came.
    pub status: Option<u16>,
}

/// A verdict that a proxy held.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldVerdict {
    /// On which node.
    pub node: usize,
    /// What holds, as the proxy says it.
    pub kind: String,
    /// The node is kept out.
    pub is_ejected: bool,
    /// Age of the oldest word that it rests on, as the proxy says it.
    pub oldest_report_age: Duration,
}

/// A look at what a proxy holds.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictReading {
    /// Which proxy.
    pub proxy: usize,
    /// When it was asked, and when it had answered.
    pub requested_at: Duration,
    /// When it had answered.
    pub answered_at: Duration,
    /// What it holds.
    pub verdicts: Vec<HeldVerdict>,
}

/// A drain that a proxy was told of.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedDrain {
    /// Which node.
    pub node: usize,
    /// Which proxy.
    pub proxy: usize,
    /// When that proxy had read it.
    pub notified_at: Duration,
    /// When the list said otherwise again.
    pub ended_at: Duration,
}

/// A span in which a process did not run, or not as it should.
#[derive(Clone, Debug, PartialEq)]
pub struct Outage {
    /// Which.
    pub proxy: usize,
    /// From,
    pub started_at: Duration,
    /// until it served again.
    pub ended_at: Duration,
    /// What it had taken before it still answers: it was ended, not killed.
    pub answers_pending: bool,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// At nodes, by the time at which they were there.
    pub arrivals: Vec<Arrival>,
    /// By clients.
    pub requests: Vec<ClientRequest>,
    /// At operators' calls.
    pub verdict_readings: Vec<VerdictReading>,
    /// Drains as they were told.
    pub drains: Vec<ObservedDrain>,
    /// Processes that did not run.
    pub outages: Vec<Outage>,
    /// What planners went by where they did not agree in time after all was well again.
    pub planner_disagreement: Option<String>,
    /// How long the machine stood still at worst.
    pub longest_stall: Duration,
}

impl Record {
    /// Whether a request that was sent to a process then has to have an answer, that came then or not.
    pub fn must_be_answered(&self, proxy: usize, at: Duration, ended: Duration) -> bool {
        let mut of = self.outages.iter().filter(|d| d.proxy == proxy);
        !of.any(|d| at < d.ended_at && d.started_at < if d.answers_pending { at } else { ended })
    }

    /// Whether a process ran all the time from then to then.
    pub fn was_running(&self, proxy: usize, from: Duration, until: Duration) -> bool {
        !self.outages.iter().any(|d| d.proxy == proxy && d.started_at < until && from < d.ended_at)
    }
}
