//! What operators ask, read from a line, and what they are told. No I/O.

use crate::metrics::{BackendCounts, Metrics};
use std::fmt::Write;

/// What each figure's name begins with.
const PREFIX: &str = "edge_relay";
/// The longest line that is a call, in bytes, its end not counted: one that names a node.
pub const MAX_LINE_BYTES: usize = 160;
/// As much of an unknown call is shown again.
const SHOWN: usize = 32;

/// What an operator says of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeOverride {
    /// Keep it out for so many seconds.
    Avoid(u64),
    /// Have no verdict keep it out for so many seconds.
    Trust(u64),
    /// Go by what is seen again.
    AsSeen,
}

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Does this process take clients?
    Check,
    /// The figures.
    Vars,
    /// Empty the proxy.
    DrainOn,
    /// Take clients again.
    DrainOff,
    /// What the fleet holds of nodes.
    Verdicts,
    /// The same as JSON.
    VerdictsJson,
    /// What is to hold of a node in the whole fleet.
    Override {
        /// Its name in the list.
        node: String,
        /// What.
        action: NodeOverride,
    },
}

/// Calls about a node, as their lines are written.
const RULES: &str = "avoid SECONDS NODE, trust SECONDS NODE, as-seen NODE";

/// The calls by their names.
const CALLS: [(&str, Call); 6] = [
    ("check", Call::Check),
    ("vars", Call::Vars),
    ("drain-on", Call::DrainOn),
    ("drain-off", Call::DrainOff),
    ("verdicts", Call::Verdicts),
    ("verdicts-json", Call::VerdictsJson),
];

impl Call {
    /// Reads a line, its end left off. What is no call is answered with what is given here.
    pub fn parse(line: &[u8]) -> Result<Self, String> {
        let names = || format!("{}, {RULES}", CALLS.map(|(name, _)| name).join(", "));
        if line.len() > MAX_LINE_BYTES {
            return Err(format!(
                "NO line too long: expected {}, got more than {MAX_LINE_BYTES} bytes\n",
                names()
            ));
        }
        let text = line.trim_ascii();
        let found = CALLS.iter().find(|(name, _)| name.as_bytes() == text);
        found.map(|(_, call)| call.clone()).or_else(|| rule(text)).ok_or_else(|| {
            let got = text[..text.len().min(SHOWN)].escape_ascii();
            format!("NO unknown call: expected {}, got '{got}'\n", names())
        })
    }
}

/// A call about a node. The node's name comes last, as it may have spaces in it.
fn rule(text: &[u8]) -> Option<Call> {
    let text = std::str::from_utf8(text).ok()?;
    let (name, rest) = text.split_once(' ')?;
    let timed = || {
        let (seconds, node) = rest.trim_start().split_once(' ')?;
        Some((seconds.parse().ok()?, node))
    };
    let (action, node) = match name {
        "avoid" => timed().map(|(seconds, node)| (NodeOverride::Avoid(seconds), node))?,
        "trust" => timed().map(|(seconds, node)| (NodeOverride::Trust(seconds), node))?,
        "as-seen" => (NodeOverride::AsSeen, rest),
        _ => return None,
    };
    let node = node.trim().to_string();
    (!node.is_empty()).then_some(Call::Override { node, action })
}

/// The figures as text, a line each, and a line that ends them.
pub fn format_metrics(figures: &Metrics, members: BackendCounts) -> String {
    let mut text = String::new();
    let mut line = |name: std::fmt::Arguments<'_>, value: u64| {
        let _ = writeln!(text, "{PREFIX}.{name}={value}"); // writing to a string does not fail
    };
    for (class, tally) in figures.counters_by_class() {
        line(format_args!("downstream_requests.{class}.completed"), tally.completed);
        line(format_args!("downstream_requests.{class}.rejected"), tally.rejected);
        line(format_args!("downstream_requests.{class}.failed"), tally.failed);
    }
    line(format_args!("upstream_requests"), figures.attempts());
    line(format_args!("pending"), figures.pending());
    line(format_args!("members"), members.listed as u64);
    line(format_args!("members_unavailable"), members.avoided as u64);
    text.push_str("END\n");
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_and_all_else_is_told_what_was_expected() {
        for (name, call) in CALLS {
            assert_eq!(Call::parse(name.as_bytes()), Ok(call.clone()));
            assert_eq!(Call::parse(format!("{name} \r").as_bytes()), Ok(call));
        }
        for line in [&b""[..], b"drain", b"CHECK", b"vars vars", b"\xff\x00\n", &[b'a'; 161]] {
            let no = Call::parse(line).unwrap_err();
            assert!(no.starts_with("NO ") && no.contains("check, vars, drain-on, drain-off"), "{no}");
            assert!(no.is_ascii() && no.len() < 300 && no.matches('\n').count() == 1, "{no}");
        }
    }

    #[test]
    fn what_is_said_of_a_node_is_read() {
        let rule = |node: &str, action| Ok(Call::Override { node: node.into(), action });
        assert_eq!(Call::parse(b"avoid 600 pricing-02"), rule("pricing-02", NodeOverride::Avoid(600)));
        assert_eq!(Call::parse("trust 5 түйін бір \r".as_bytes()), rule("түйін бір", NodeOverride::Trust(5)));
        assert_eq!(Call::parse(b"as-seen 7"), rule("7", NodeOverride::AsSeen));
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
    fn figures_are_lines_and_end() {
        let figures = Metrics::new(vec!["look".into(), "save".into()]);
        let (one, _two) = (figures.begin_request(0), figures.begin_request(1));
        one.end(crate::metrics::RequestOutcome::Completed);
        figures.count_attempt();
        let text = format_metrics(&figures, BackendCounts { listed: 5, avoided: 2 });
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
        ] {
            assert!(lines.contains(&line), "{line} in {text}");
        }
        assert_eq!(lines.last(), Some(&"END"));
    }
}
