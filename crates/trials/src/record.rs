//! Observations made outside the processes during a run. Times count from the start of the run.

use std::time::Duration;

/// A request that reached a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Number of the node.
    pub node: usize,
    /// When its first byte arrived.
    pub arrived_at: Duration,
    /// Number of the proxy that sent it.
    pub proxy: usize,
    /// Identifier of the client's request; attempts of one request share it.
    pub request_id: String,
    /// Whether the request has an effect that must happen at most once.
    pub must_run_once: bool,
    /// Whether the attempt did not go well, because of a fault of the node or of the path to it.
    pub is_faulty: bool,
}

/// A request sent by a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Number of the proxy that received it.
    pub proxy: usize,
    /// Identifier of the request.
    pub request_id: String,
    /// When it was sent.
    pub sent_at: Duration,
    /// When the response arrived, the connection ended or the client stopped waiting.
    pub ended_at: Duration,
    /// Status of the response, or None if there was no response.
    pub status: Option<u16>,
}

/// A verdict as reported by a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldVerdict {
    /// Number of the node.
    pub node: usize,
    /// Kind of the verdict.
    pub kind: String,
    /// Whether the proxy ejects the node.
    pub is_ejected: bool,
    /// Age of the oldest report on which the verdict is based.
    pub oldest_report_age: Duration,
}

/// The verdicts of a proxy at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictReading {
    /// Number of the proxy.
    pub proxy: usize,
    /// When the verdicts were requested.
    pub requested_at: Duration,
    /// When the response was complete.
    pub answered_at: Duration,
    /// The verdicts held at that time.
    pub verdicts: Vec<HeldVerdict>,
}

/// The drain of a node as seen by one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedDrain {
    /// Number of the node.
    pub node: usize,
    /// Number of the proxy.
    pub proxy: usize,
    /// When the proxy, or a planner, had read the list with the drain.
    pub notified_at: Duration,
    /// When the drain was removed from the list.
    pub ended_at: Duration,
}

/// An interval in which a proxy did not run, or was shutting down.
#[derive(Clone, Debug, PartialEq)]
pub struct Outage {
    /// Number of the proxy.
    pub proxy: usize,
    /// When it began.
    pub started_at: Duration,
    /// When the proxy served requests again.
    pub ended_at: Duration,
    /// Whether the proxy still answers requests received earlier, because it was terminated and not killed.
    pub answers_pending: bool,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests at nodes, in the order of their arrival.
    pub arrivals: Vec<Arrival>,
    /// Requests by clients.
    pub requests: Vec<ClientRequest>,
    /// Verdicts read by operator calls.
    pub verdict_readings: Vec<VerdictReading>,
    /// Drains, one entry per proxy.
    pub drains: Vec<ObservedDrain>,
    /// Intervals in which proxies did not run.
    pub outages: Vec<Outage>,
    /// The plans in use if planners did not agree in time after the last fault.
    pub planner_disagreement: Option<String>,
    /// Longest stall of the host.
    pub longest_stall: Duration,
}

impl Record {
    /// Returns whether a request must be answered that a client sent at `sent_at` and that ended, with or without a
    /// response, at `ended_at`.
    pub fn must_be_answered(&self, proxy: usize, sent_at: Duration, ended_at: Duration) -> bool {
        let mut outages = self.outages.iter().filter(|d| d.proxy == proxy);
        !outages.any(|o| {
            sent_at < o.ended_at && o.started_at < if o.answers_pending { sent_at } else { ended_at }
        })
    }

    /// Returns whether a proxy ran during the whole interval.
    pub fn was_running(&self, proxy: usize, from: Duration, until: Duration) -> bool {
        !self.outages.iter().any(|d| d.proxy == proxy && d.started_at < until && from < d.ended_at)
    }
}
