//! The messages as bytes: a length of four bytes, low byte first, and so many bytes of a protobuf
//! message (encoding as published at protobuf.dev, by the `prost` crate). Fields that a reader does
//! not know are skipped, so that two releases understand each other; what is over a bound, lacks
//! what it needs or makes no sense is refused, and nothing of it is taken.

use crate::{
    AnnouncementVersion, Counts, Delta, Digest, ForwarderMessage, MAX_DIGEST_NODES, MAX_MESSAGES_PER_RELAY,
    MAX_NAME_BYTES, MAX_NODES, MAX_PLANNERS, MAX_RELAYED_MESSAGE_BYTES, Node, Plan, PlannerMessage,
    RelayedMessage, Version,
};
use prost::Message;
use std::net::SocketAddr;
use thiserror::Error;

/// The version of the protocol. A reader takes every version; a change that older readers must not
/// pass over gets a message of its own.
pub const PROTOCOL_VERSION: u32 = 1;
/// The longest message of a planner, in bytes.
pub const MAX_PLANNER_MESSAGE_BYTES: usize = 8 << 20;
/// The longest lease, in milliseconds, of planners that don't say theirs.
const UNSAID_LEASE: u64 = 400;
/// The longest message of a follower.
pub const MAX_FORWARDER_MESSAGE_BYTES: usize = 32 << 10;

/// Why a message is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// It is longer than its bound.
    #[error("expected at most {max} bytes, found {found}")]
    TooLong {
        /// The bound.
        max: usize,
        /// Its length.
        found: usize,
    },
    /// It is no protobuf message.
    #[error("expected a message, found {0}")]
    Malformed(String),
    /// A value makes no sense.
    #[error("{what}: expected {expected}, found {found}")]
    Value {
        /// Of what.
        what: &'static str,
        /// What it should have been.
        expected: &'static str,
        /// What it was.
        found: String,
    },
    /// It is of a kind that this release does not know: it is passed over.
    #[error("expected a kind of message that is known, found none")]
    Unknown,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct RawVersion {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, tag = "2")]
    generation: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct RawMark {
    #[prost(uint32, tag = "1")]
    planner: u32,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RawNode {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(string, tag = "3")]
    zone: String,
    #[prost(uint32, tag = "4")]
    cell: u32,
    #[prost(double, optional, tag = "5")]
    weight: Option<f64>,
    #[prost(bool, tag = "6")]
    draining: bool,
    #[prost(uint64, optional, tag = "7")]
    age_ms: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct RawPlan {
    #[prost(message, optional, tag = "1")]
    version: Option<RawVersion>,
    /// The version that this changes; none in a whole plan.
    #[prost(message, optional, tag = "2")]
    from: Option<RawVersion>,
    #[prost(message, repeated, tag = "3")]
    nodes: Vec<RawNode>,
    #[prost(string, repeated, tag = "4")]
    gone: Vec<String>,
    #[prost(message, repeated, tag = "5")]
    heard: Vec<RawMark>,
}

#[derive(Clone, PartialEq, Message)]
struct RawDrain {
    #[prost(message, optional, tag = "1")]
    mark: Option<RawMark>,
    #[prost(string, tag = "2")]
    id: String,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct RawBeat {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(message, optional, tag = "2")]
    version: Option<RawVersion>,
    #[prost(uint64, tag = "3")]
    lease_ms: u64,
    /// None from planners of an older release.
    #[prost(uint64, tag = "4")]
    full_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RawTold {
    #[prost(uint32, tag = "1")]
    protocol: u32,
    #[prost(message, optional, tag = "2")]
    plan: Option<RawPlan>,
    #[prost(message, optional, tag = "3")]
    drain: Option<RawDrain>,
    #[prost(message, optional, tag = "4")]
    beat: Option<RawBeat>,
    #[prost(message, optional, tag = "5")]
    budgets: Option<RawBudgets>,
    #[prost(message, optional, tag = "6")]
    letters: Option<RawLetters>,
}

#[derive(Clone, PartialEq, Message)]
struct RawLetters {
    /// None from a planner, which does not know who wrote.
    #[prost(fixed64, tag = "1")]
    from: u64,
    #[prost(message, repeated, tag = "2")]
    letters: Vec<RawLetter>,
}

#[derive(Clone, PartialEq, Message)]
struct RawLetter {
    /// None from a planner.
    #[prost(fixed64, tag = "1")]
    to: u64,
    #[prost(bytes = "vec", tag = "2")]
    bytes: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct RawBudgets {
    #[prost(message, repeated, tag = "1")]
    nodes: Vec<RawBudget>,
}

#[derive(Clone, PartialEq, Message)]
struct RawBudget {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(double, tag = "2")]
    usual: f64,
}

#[derive(Clone, PartialEq, Message)]
struct RawCounts {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint32, tag = "2")]
    in_flight: u32,
    #[prost(uint32, tag = "3")]
    sent: u32,
    #[prost(uint32, tag = "4")]
    served: u32,
    #[prost(uint32, tag = "5")]
    failed: u32,
    #[prost(uint64, tag = "6")]
    took_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RawDigest {
    #[prost(uint32, tag = "1")]
    span_ms: u32,
    #[prost(message, repeated, tag = "2")]
    nodes: Vec<RawCounts>,
    #[prost(uint32, tag = "3")]
    rest: u32,
}

#[derive(Clone, PartialEq, Message)]
struct RawHello {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(message, optional, tag = "2")]
    has: Option<RawVersion>,
    /// How many nodes it wants; 0 for the whole plan.
    #[prost(uint32, tag = "3")]
    nodes: u32,
}

#[derive(Clone, PartialEq, Message)]
struct RawAsked {
    #[prost(uint32, tag = "1")]
    protocol: u32,
    #[prost(message, optional, tag = "2")]
    hello: Option<RawHello>,
    #[prost(uint64, optional, tag = "3")]
    beat: Option<u64>,
    #[prost(bool, tag = "4")]
    resend: bool,
    #[prost(message, optional, tag = "5")]
    digest: Option<RawDigest>,
    #[prost(message, optional, tag = "6")]
    letters: Option<RawLetters>,
}

fn bad(what: &'static str, expected: &'static str, found: impl ToString) -> WireError {
    let found: String = found.to_string().chars().take(60).collect();
    WireError::Value { what, expected, found }
}

fn name(what: &'static str, text: String, least: usize) -> Result<String, WireError> {
    match (least..=MAX_NAME_BYTES).contains(&text.len()) && !text.chars().any(char::is_control) {
        true => Ok(text),
        false => Err(bad(what, "at most 253 bytes without control characters", text.len())),
    }
}

fn version(raw: Option<RawVersion>) -> Result<Version, WireError> {
    let raw = raw.ok_or_else(|| bad("version", "a version", "none"))?;
    Ok(Version { term: raw.term, generation: raw.generation })
}

fn marks(raw: Vec<RawMark>) -> Result<Vec<(u32, AnnouncementVersion)>, WireError> {
    if raw.len() > MAX_PLANNERS {
        return Err(bad("heard", "at most 16 planners", raw.len()));
    }
    Ok(raw
        .into_iter()
        .map(|m| (m.planner, AnnouncementVersion { epoch: m.epoch, sequence: m.sequence }))
        .collect())
}

fn node(raw: RawNode) -> Result<Node, WireError> {
    let address = raw.address.parse::<SocketAddr>().ok().filter(|a| a.port() > 0);
    let weight = raw.weight.unwrap_or(1.0);
    if !weight.is_finite() || weight <= 0.0 {
        return Err(bad("weight", "a finite number above 0", weight));
    }
    Ok(Node {
        id: name("id", raw.id, 1)?,
        address: address.ok_or_else(|| bad("address", "address:port", raw.address))?,
        zone: name("zone", raw.zone, 0)?,
        cell: raw.cell,
        weight,
        draining: raw.draining,
        age_ms: raw.age_ms,
    })
}

fn plan(raw: RawPlan) -> Result<PlannerMessage, WireError> {
    if raw.nodes.len() > MAX_NODES || raw.gone.len() > MAX_NODES {
        return Err(bad("nodes", "at most 20000", raw.nodes.len().max(raw.gone.len())));
    }
    let (to, acknowledged) = (version(raw.version)?, marks(raw.heard)?);
    let mut nodes = raw.nodes.into_iter().map(node).collect::<Result<Vec<_>, _>>()?;
    nodes.sort_by(|a, b| a.id.cmp(&b.id));
    if let Some(twice) = nodes.windows(2).find(|pair| pair[0].id == pair[1].id) {
        return Err(bad("id", "each node once", &twice[0].id));
    }
    let Some(from) = raw.from else {
        return Ok(PlannerMessage::Full(Plan { version: to, nodes, acknowledged }));
    };
    let from = version(Some(from))?;
    if from >= to {
        return Err(bad("version", "a later one than it changes", to.generation));
    }
    let gone = raw.gone.into_iter().map(|id| name("gone", id, 1)).collect::<Result<_, _>>()?;
    Ok(PlannerMessage::Delta(Delta { from, to, set: nodes, gone, acknowledged }))
}

/// Reads what a planner says, without its length.
pub fn read_planner_message(bytes: &[u8]) -> Result<PlannerMessage, WireError> {
    if bytes.len() > MAX_PLANNER_MESSAGE_BYTES {
        return Err(WireError::TooLong { max: MAX_PLANNER_MESSAGE_BYTES, found: bytes.len() });
    }
    let raw = RawTold::decode(bytes).map_err(|error| WireError::Malformed(error.to_string()))?;
    match (raw.plan, raw.drain, raw.beat, raw.budgets, raw.letters) {
        (Some(raw), None, None, None, None) => plan(raw),
        (None, Some(raw), None, None, None) => {
            let mark = raw.mark.ok_or_else(|| bad("mark", "a mark", "none"))?;
            let (planner, announcement_version) =
                (mark.planner, AnnouncementVersion { epoch: mark.epoch, sequence: mark.sequence });
            Ok(PlannerMessage::Drain { planner, announcement_version, id: name("id", raw.id, 1)? })
        }
        (None, None, None, Some(raw), None) => budgets(raw),
        (None, None, None, None, Some(raw)) => {
            Ok(PlannerMessage::Relayed(letters(raw)?.into_iter().map(|letter| letter.bytes).collect()))
        }
        (None, None, Some(raw), None, None) => {
            let max_lease_ms = if raw.full_ms == 0 { UNSAID_LEASE } else { raw.full_ms };
            let RawBeat { number, lease_ms, .. } = raw;
            Ok(PlannerMessage::HeartbeatReply {
                number,
                version: version(raw.version)?,
                lease_ms,
                max_lease_ms,
            })
        }
        (None, None, None, None, None) => Err(WireError::Unknown),
        _ => Err(bad("message", "one thing", "several")),
    }
}

fn letters(raw: RawLetters) -> Result<Vec<RelayedMessage>, WireError> {
    if raw.letters.len() > MAX_MESSAGES_PER_RELAY {
        return Err(bad("letters", "at most 64", raw.letters.len()));
    }
    let letter = |raw: RawLetter| match (1..=MAX_RELAYED_MESSAGE_BYTES).contains(&raw.bytes.len()) {
        true => Ok(RelayedMessage { to: raw.to, bytes: raw.bytes }),
        false => Err(bad("letter", "1 to 256 bytes", raw.bytes.len())),
    };
    raw.letters.into_iter().map(letter).collect()
}

fn budgets(raw: RawBudgets) -> Result<PlannerMessage, WireError> {
    if raw.nodes.len() > MAX_DIGEST_NODES {
        return Err(bad("budgets", "at most 64 nodes", raw.nodes.len()));
    }
    let budget = |raw: RawBudget| match raw.usual.is_finite() && raw.usual >= 0.0 {
        true => Ok((name("id", raw.id, 1)?, raw.usual)),
        false => Err(bad("usual", "a finite number from 0", raw.usual)),
    };
    Ok(PlannerMessage::Budgets(raw.nodes.into_iter().map(budget).collect::<Result<_, _>>()?))
}

fn digest(raw: RawDigest) -> Result<Digest, WireError> {
    if raw.nodes.len() > MAX_DIGEST_NODES || raw.span_ms == 0 {
        return Err(bad("digest", "at most 64 nodes and a span from 1 ms", raw.nodes.len()));
    }
    let counts = |raw: RawCounts| {
        let RawCounts { id, in_flight, sent, served, failed, took_ms } = raw;
        Ok(Counts { id: name("id", id, 1)?, in_flight, sent, served, failed, served_ms: took_ms })
    };
    let nodes = raw.nodes.into_iter().map(counts).collect::<Result<_, _>>()?;
    Ok(Digest { interval_ms: raw.span_ms, nodes, other_served: raw.rest })
}

/// Reads what a follower says, without its length.
pub fn read_forwarder_message(bytes: &[u8]) -> Result<ForwarderMessage, WireError> {
    if bytes.len() > MAX_FORWARDER_MESSAGE_BYTES {
        return Err(WireError::TooLong { max: MAX_FORWARDER_MESSAGE_BYTES, found: bytes.len() });
    }
    let raw = RawAsked::decode(bytes).map_err(|error| WireError::Malformed(error.to_string()))?;
    match (raw.hello, raw.beat, raw.resend, raw.digest, raw.letters) {
        (Some(hello), None, false, None, None) => {
            let plan_version = hello.has.map(|has| version(Some(has))).transpose()?;
            let slice_size = (hello.nodes > 0).then_some(hello.nodes);
            Ok(ForwarderMessage::Hello { name: name("name", hello.name, 1)?, plan_version, slice_size })
        }
        (None, Some(number), false, None, None) => Ok(ForwarderMessage::Heartbeat { number }),
        (None, None, true, None, None) => Ok(ForwarderMessage::Resend),
        (None, None, false, Some(raw), None) => digest(raw).map(ForwarderMessage::Digest),
        (None, None, false, None, Some(raw)) => {
            Ok(ForwarderMessage::Relay { sender: raw.from, messages: letters(raw)? })
        }
        (None, None, false, None, None) => Err(WireError::Unknown),
        _ => Err(bad("message", "one thing", "several")),
    }
}

fn framed(message: &impl Message) -> Vec<u8> {
    let body = message.encode_to_vec();
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX); // bounds keep it far below
    [&length.to_le_bytes(), body.as_slice()].concat()
}

fn raw_version(version: Version) -> RawVersion {
    RawVersion { term: version.term, generation: version.generation }
}

fn raw_mark(planner: u32, mark: AnnouncementVersion) -> RawMark {
    RawMark { planner, epoch: mark.epoch, sequence: mark.sequence }
}

fn raw_node(node: &Node) -> RawNode {
    RawNode {
        id: node.id.clone(),
        address: node.address.to_string(),
        zone: node.zone.clone(),
        cell: node.cell,
        weight: (node.weight != 1.0).then_some(node.weight),
        draining: node.draining,
        age_ms: node.age_ms,
    }
}

/// What a planner says, with its length.
pub fn write_planner_message(told: &PlannerMessage) -> Vec<u8> {
    let mut raw = RawTold { protocol: PROTOCOL_VERSION, ..RawTold::default() };
    let heard = |heard: &[(u32, AnnouncementVersion)]| heard.iter().map(|(p, m)| raw_mark(*p, *m)).collect();
    match told {
        PlannerMessage::Full(plan) => {
            raw.plan = Some(RawPlan {
                version: Some(raw_version(plan.version)),
                from: None,
                nodes: plan.nodes.iter().map(raw_node).collect(),
                gone: Vec::new(),
                heard: heard(&plan.acknowledged),
            });
        }
        PlannerMessage::Delta(delta) => {
            raw.plan = Some(RawPlan {
                version: Some(raw_version(delta.to)),
                from: Some(raw_version(delta.from)),
                nodes: delta.set.iter().map(raw_node).collect(),
                gone: delta.gone.clone(),
                heard: heard(&delta.acknowledged),
            });
        }
        PlannerMessage::Drain { planner, announcement_version: mark, id } => {
            raw.drain = Some(RawDrain { mark: Some(raw_mark(*planner, *mark)), id: id.clone() });
        }
        PlannerMessage::HeartbeatReply { number, version, lease_ms, max_lease_ms } => {
            let version = Some(raw_version(*version));
            let (number, lease_ms, full_ms) = (*number, *lease_ms, *max_lease_ms);
            raw.beat = Some(RawBeat { number, version, lease_ms, full_ms });
        }
        PlannerMessage::Budgets(budgets) => {
            let nodes = budgets.iter().map(|(id, usual)| RawBudget { id: id.clone(), usual: *usual });
            raw.budgets = Some(RawBudgets { nodes: nodes.collect() });
        }
        PlannerMessage::Relayed(letters) => {
            let letters = letters.iter().map(|bytes| RawLetter { to: 0, bytes: bytes.clone() });
            raw.letters = Some(RawLetters { from: 0, letters: letters.collect() });
        }
    }
    framed(&raw)
}

/// What a follower says, with its length.
pub fn write_forwarder_message(asked: &ForwarderMessage) -> Vec<u8> {
    let mut raw = RawAsked { protocol: PROTOCOL_VERSION, ..RawAsked::default() };
    match asked {
        ForwarderMessage::Hello { name, plan_version, slice_size } => {
            let (name, has) = (name.clone(), plan_version.map(raw_version));
            raw.hello = Some(RawHello { name, has, nodes: slice_size.unwrap_or(0) });
        }
        ForwarderMessage::Heartbeat { number } => raw.beat = Some(*number),
        ForwarderMessage::Resend => raw.resend = true,
        ForwarderMessage::Digest(digest) => {
            let counts = |c: &Counts| RawCounts {
                id: c.id.clone(),
                in_flight: c.in_flight,
                sent: c.sent,
                served: c.served,
                failed: c.failed,
                took_ms: c.served_ms,
            };
            let nodes = digest.nodes.iter().map(counts).collect();
            raw.digest = Some(RawDigest { span_ms: digest.interval_ms, nodes, rest: digest.other_served });
        }
        ForwarderMessage::Relay { sender, messages } => {
            let letter = |letter: &RelayedMessage| RawLetter { to: letter.to, bytes: letter.bytes.clone() };
            raw.letters = Some(RawLetters { from: *sender, letters: messages.iter().map(letter).collect() });
        }
    }
    framed(&raw)
}
