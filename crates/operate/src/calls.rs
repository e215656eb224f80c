//! Parses operator calls, one per line, and formats the metrics that answer `vars`. No I/O.

use crate::metrics::{BackendCounts, Metrics};
use std::fmt::Write;

/// Prefix of every metric name.
const PREFIX: &str = "edge_relay";
/// Longest call in bytes, without the line end; leaves space for a node's name.
pub const MAX_LINE_BYTES: usize = 160;
/// How many bytes of an unknown call its error message quotes.
const MAX_QUOTED_BYTES: usize = 32;

/// An operator's override of the fleet's verdict on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeOverride {
    /// Avoids the node for this many seconds.
    Avoid(u64),
    /// Ignores verdicts on the node for this many seconds.
    Trust(u64),
    /// Removes an override: verdicts apply again.
    AsSeen,
}

/// An operator call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks whether the process takes clients.
    Check,
    /// Asks for the metrics.
    Vars,
    /// Starts to drain the proxy.
    DrainOn,
    /// Ends a drain: the proxy takes clients again.
    DrainOff,
    /// Asks for the fleet's verdicts on nodes, as text.
    Verdicts,
    /// Asks for the fleet's verdicts on nodes, as JSON.
    VerdictsJson,
    /// Overrides the verdict on a node in the whole fleet.
    Override {
        /// The node's name in the backend list.
        node: String,
        /// The override.
        action: NodeOverride,
    },
}

/// The syntax of the calls that name a node, for error messages.
const OVERRIDE_SYNTAX: &str = "avoid SECONDS NODE, trust SECONDS NODE, as-seen NODE";

/// The calls without arguments, by name.
const CALLS: [(&str, Call); 6] = [
    ("check", Call::Check),
    ("vars", Call::Vars),
    ("drain-on", Call::DrainOn),
    ("drain-off", Call::DrainOff),
    ("verdicts", Call::Verdicts),
    ("verdicts-json", Call::VerdictsJson),
];

impl Call {
    /// Parses a line without its line end. The error is the answer to send, a line that begins with `NO`.
    pub fn parse(line: &[u8]) -> Result<Self, String> {
        let names = || format!("{}, {OVERRIDE_SYNTAX}", CALLS.map(|(name, _)| name).join(", "));
        if line.len() > MAX_LINE_BYTES {
            return Err(format!(
                "NO line too long: expected {}, got more than {MAX_LINE_BYTES} bytes\n",
                names()
            ));
        }
        let text = line.trim_ascii();
        let found = CALLS.iter().find(|(name, _)| name.as_bytes() == text);
        found.map(|(_, call)| call.clone()).or_else(|| parse_override(text)).ok_or_else(|| {
            let got = text[..text.len().min(MAX_QUOTED_BYTES)].escape_ascii();
            format!("NO unknown call: expected {}, got '{got}'\n", names())
        })
    }
}

/// Parses a call that names a node. The node's name comes last, because it may contain spaces.
fn parse_override(text: &[u8]) -> Option<Call> {
    let text = std::str::from_utf8(text).ok()?;
    let (name, rest) = text.split_once(' ')?;
    let seconds_and_node = || {
        let (seconds, node) = rest.trim_start().split_once(' ')?;
        Some((seconds.parse().ok()?, node))
    };
    let (action, node) = match name {
        "avoid" => seconds_and_node().map(|(seconds, node)| (NodeOverride::Avoid(seconds), node))?,
        "trust" => seconds_and_node().map(|(seconds, node)| (NodeOverride::Trust(seconds), node))?,
        "as-seen" => (NodeOverride::AsSeen, rest),
        _ => return None,
    };
    let node = node.trim().to_string();
    (!node.is_empty()).then_some(Call::Override { node, action })
}

/// Formats the metrics as `name=value` lines, followed by the line `END`.
pub fn format_metrics(metrics: &Metrics, backends: BackendCounts) -> String {
    let mut text = String::new();
    let mut line = |name: std::fmt::Arguments<'_>, value: u64| {
        let _ = writeln!(text, "{PREFIX}.{name}={value}"); // writing to a string does not fail
    };
    for (class, counters) in metrics.counters_by_class() {
        line(format_args!("downstream_requests.{class}.completed"), counters.completed);
        line(format_args!("downstream_requests.{class}.rejected"), counters.rejected);
        line(format_args!("downstream_requests.{class}.failed"), counters.failed);
    }
    line(format_args!("upstream_requests"), metrics.attempts());
    line(format_args!("pending"), metrics.pending());
    line(format_args!("members"), backends.listed as u64);
    line(format_args!("members_unavailable"), backends.avoided as u64);
    line(format_args!("discovery_failures"), metrics.discovery_failures());
    line(format_args!("discovery_cancelled"), metrics.cancelled_discovery_calls());
    text.push_str("END\n");
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn known_calls_parse_and_other_lines_get_the_list_of_calls() {
        for (name, call) in CALLS {
            assert_eq!(Call::parse(name.as_bytes()), Ok(call.clone()));
            assert_eq!(Call::parse(format!("{name} \r").as_bytes()), Ok(call));
        }
        for line in [&b""[..], b"drain", b"CHECK", b"vars vars", b"\xff\x00\n", &[b'a'; 161]] {
            let error = Call::parse(line).unwrap_err();
            assert!(
                error.starts_with("NO ") && error.contains("check, vars, drain-on, drain-off"),
                "{error}"
            );
            assert!(error.is_ascii() && error.len() < 300 && error.matches('\n').count() == 1, "{error}");
        }
    }

    #[test]
    fn node_overrides_parse() {
        let parsed = |node: &str, action| Ok(Call::Override { node: node.into(), action });
        assert_eq!(Call::parse(b"avoid 600 pricing-02"), parsed("pricing-02", NodeOverride::Avoid(600)));
        assert_eq!(
            Call::parse("trust 5 түйін бір \r".as_bytes()),
            parsed("түйін бір", NodeOverride::Trust(5))
        );
        assert_eq!(Call::parse(b"as-seen 7"), parsed("7", NodeOverride::AsSeen));
        for line in [
            "avoid",
            "avoid 5",
            "avoid 5 ",
            "avoid x node",
            "trust -1 node",
            "as-seen ",
            "avoid 99999999999999999999 n",
        ] {
            assert!(Call::parse(line.as_bytes()).is_err(), "{line}");
        }
    }

    #[test]
    fn metrics_are_formatted_as_lines_that_end_with_end() {
        let metrics = Metrics::new(vec!["look".into(), "save".into()]);
        let (completed, _open) = (metrics.begin_request(0), metrics.begin_request(1));
        completed.end(crate::metrics::RequestOutcome::Completed);
        metrics.count_attempt();
        metrics.count_discovery_failure();
        let text = format_metrics(&metrics, BackendCounts { listed: 5, avoided: 2 });
        let lines: Vec<_> = text.lines().collect();
        for line in [
            "edge_relay.downstream_requests.look.completed=1",
            "edge_relay.downstream_requests.save.completed=0",
            "edge_relay.downstream_requests.save.rejected=0",
            "edge_relay.downstream_requests.look.failed=0",
            "edge_relay.upstream_requests=1",
            "edge_relay.pending=1",
            "edge_relay.members=5",
            "edge_relay.members_unavailable=2",
            "edge_relay.discovery_failures=1",
            "edge_relay.discovery_cancelled=0",
        ] {
            assert!(lines.contains(&line), "{line} in {text}");
        }
        assert_eq!(lines.last(), Some(&"END"));
    }
}
