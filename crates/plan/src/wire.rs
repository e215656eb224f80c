//! Encoding of the messages between planners and forwarders.
//!
//! Each message is a little-endian length of four bytes followed by that many bytes of a protobuf message
//! (encoding as published at protobuf.dev, by the `prost` crate). Readers skip unknown fields, so that
//! different releases understand each other. A message that exceeds a limit, lacks a required field or holds
//! an invalid value is rejected as a whole.

use crate::{
    AnnouncementVersion, Delta, Digest, ForwarderMessage, MAX_DIGEST_NODES, MAX_MESSAGES_PER_RELAY,
    MAX_NAME_BYTES, MAX_NODES, MAX_PLANNERS, MAX_RELAYED_MESSAGE_BYTES, Node, NodeCounts, Plan,
    PlannerMessage, RelayedMessage, Version,
};
use prost::Message;
use std::net::SocketAddr;
use thiserror::Error;

/// Version of the protocol, sent with each message. Readers accept every version; a change that older readers
/// must not skip gets a new kind of message.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum length of a message from a planner, in bytes.
pub const MAX_PLANNER_MESSAGE_BYTES: usize = 8 << 20;
/// The longest lease of planners whose heartbeat replies do not state one, in milliseconds.
const UNSTATED_MAX_LEASE_MS: u64 = 400;
/// Maximum length of a message from a forwarder, in bytes.
pub const MAX_FORWARDER_MESSAGE_BYTES: usize = 32 << 10;

/// Why a message is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The message is longer than the limit.
    #[error("expected a message of at most {max} bytes, found {found}")]
    TooLong {
        /// The limit in bytes.
        max: usize,
        /// Length of the message in bytes.
        found: usize,
    },
    /// The bytes are not a valid protobuf message.
    #[error("expected a valid protobuf message, found: {0}")]
    Malformed(String),
    /// A field has an invalid value.
    #[error("{field}: expected {expected}, found {found}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Description of the valid values.
        expected: &'static str,
        /// The value that was found.
        found: String,
    },
    /// The message is of a kind that this release does not know. Callers skip it.
    #[error("expected a known kind of message, found none")]
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
struct RawAnnouncementVersion {
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
    /// The version that a delta changes; none in a complete plan.
    #[prost(message, optional, tag = "2")]
    from: Option<RawVersion>,
    #[prost(message, repeated, tag = "3")]
    nodes: Vec<RawNode>,
    #[prost(string, repeated, tag = "4")]
    gone: Vec<String>,
    #[prost(message, repeated, tag = "5")]
    heard: Vec<RawAnnouncementVersion>,
}

#[derive(Clone, PartialEq, Message)]
struct RawDrain {
    #[prost(message, optional, tag = "1")]
    mark: Option<RawAnnouncementVersion>,
    #[prost(string, tag = "2")]
    id: String,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct RawHeartbeatReply {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(message, optional, tag = "2")]
    version: Option<RawVersion>,
    #[prost(uint64, tag = "3")]
    lease_ms: u64,
    /// 0 from planners of an older release.
    #[prost(uint64, tag = "4")]
    full_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RawPlannerMessage {
    #[prost(uint32, tag = "1")]
    protocol: u32,
    #[prost(message, optional, tag = "2")]
    plan: Option<RawPlan>,
    #[prost(message, optional, tag = "3")]
    drain: Option<RawDrain>,
    #[prost(message, optional, tag = "4")]
    beat: Option<RawHeartbeatReply>,
    #[prost(message, optional, tag = "5")]
    budgets: Option<RawBudgets>,
    #[prost(message, optional, tag = "6")]
    letters: Option<RawRelay>,
}

#[derive(Clone, PartialEq, Message)]
struct RawRelay {
    /// 0 in messages from a planner, which does not know the sender.
    #[prost(fixed64, tag = "1")]
    from: u64,
    #[prost(message, repeated, tag = "2")]
    letters: Vec<RawRelayedMessage>,
}

#[derive(Clone, PartialEq, Message)]
struct RawRelayedMessage {
    /// 0 in messages from a planner.
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
    /// Size of the slice; 0 for the whole plan.
    #[prost(uint32, tag = "3")]
    nodes: u32,
}

#[derive(Clone, PartialEq, Message)]
struct RawForwarderMessage {
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
    letters: Option<RawRelay>,
}

fn invalid_value(field: &'static str, expected: &'static str, found: impl ToString) -> WireError {
    let found: String = found.to_string().chars().take(60).collect();
    WireError::Value { field, expected, found }
}

fn check_name(field: &'static str, text: String, min_bytes: usize) -> Result<String, WireError> {
    match (min_bytes..=MAX_NAME_BYTES).contains(&text.len()) && !text.chars().any(char::is_control) {
        true => Ok(text),
        false => Err(invalid_value(field, "at most 253 bytes without control characters", text.len())),
    }
}

fn decode_version(raw: Option<RawVersion>) -> Result<Version, WireError> {
    let raw = raw.ok_or_else(|| invalid_value("version", "a version", "none"))?;
    Ok(Version { term: raw.term, generation: raw.generation })
}

fn decode_acknowledged(
    raw: Vec<RawAnnouncementVersion>,
) -> Result<Vec<(u32, AnnouncementVersion)>, WireError> {
    if raw.len() > MAX_PLANNERS {
        return Err(invalid_value("heard", "at most 16 planners", raw.len()));
    }
    Ok(raw
        .into_iter()
        .map(|m| (m.planner, AnnouncementVersion { epoch: m.epoch, sequence: m.sequence }))
        .collect())
}

fn decode_node(raw: RawNode) -> Result<Node, WireError> {
    let address = raw.address.parse::<SocketAddr>().ok().filter(|a| a.port() > 0);
    let weight = raw.weight.unwrap_or(1.0);
    if !weight.is_finite() || weight <= 0.0 {
        return Err(invalid_value("weight", "a finite number above 0", weight));
    }
    Ok(Node {
        id: check_name("id", raw.id, 1)?,
        address: address.ok_or_else(|| invalid_value("address", "address:port", raw.address))?,
        zone: check_name("zone", raw.zone, 0)?,
        cell: raw.cell,
        weight,
        draining: raw.draining,
        age_ms: raw.age_ms,
    })
}

fn decode_plan(raw: RawPlan) -> Result<PlannerMessage, WireError> {
    if raw.nodes.len() > MAX_NODES || raw.gone.len() > MAX_NODES {
        return Err(invalid_value("nodes", "at most 20000", raw.nodes.len().max(raw.gone.len())));
    }
    let (to, acknowledged) = (decode_version(raw.version)?, decode_acknowledged(raw.heard)?);
    let mut nodes = raw.nodes.into_iter().map(decode_node).collect::<Result<Vec<_>, _>>()?;
    nodes.sort_by(|a, b| a.id.cmp(&b.id));
    if let Some(duplicates) = nodes.windows(2).find(|pair| pair[0].id == pair[1].id) {
        return Err(invalid_value("id", "unique node ids", &duplicates[0].id));
    }
    let Some(from) = raw.from else {
        return Ok(PlannerMessage::Full(Plan { version: to, nodes, acknowledged }));
    };
    let from = decode_version(Some(from))?;
    if from >= to {
        return Err(invalid_value(
            "version",
            "a version after the one that the delta changes",
            to.generation,
        ));
    }
    let gone = raw.gone.into_iter().map(|id| check_name("gone", id, 1)).collect::<Result<_, _>>()?;
    Ok(PlannerMessage::Delta(Delta { from, to, set: nodes, gone, acknowledged }))
}

/// Decodes a message of a planner, without the length prefix.
pub fn read_planner_message(bytes: &[u8]) -> Result<PlannerMessage, WireError> {
    if bytes.len() > MAX_PLANNER_MESSAGE_BYTES {
        return Err(WireError::TooLong { max: MAX_PLANNER_MESSAGE_BYTES, found: bytes.len() });
    }
    let raw = RawPlannerMessage::decode(bytes).map_err(|error| WireError::Malformed(error.to_string()))?;
    match (raw.plan, raw.drain, raw.beat, raw.budgets, raw.letters) {
        (Some(raw), None, None, None, None) => decode_plan(raw),
        (None, Some(raw), None, None, None) => {
            let mark = raw.mark.ok_or_else(|| invalid_value("mark", "an announcement version", "none"))?;
            let (planner, announcement_version) =
                (mark.planner, AnnouncementVersion { epoch: mark.epoch, sequence: mark.sequence });
            Ok(PlannerMessage::Drain { planner, announcement_version, id: check_name("id", raw.id, 1)? })
        }
        (None, None, None, Some(raw), None) => decode_budgets(raw),
        (None, None, None, None, Some(raw)) => {
            Ok(PlannerMessage::Relayed(decode_relay(raw)?.into_iter().map(|message| message.bytes).collect()))
        }
        (None, None, Some(raw), None, None) => {
            let max_lease_ms = if raw.full_ms == 0 { UNSTATED_MAX_LEASE_MS } else { raw.full_ms };
            let RawHeartbeatReply { number, lease_ms, .. } = raw;
            Ok(PlannerMessage::HeartbeatReply {
                number,
                version: decode_version(raw.version)?,
                lease_ms,
                max_lease_ms,
            })
        }
        (None, None, None, None, None) => Err(WireError::Unknown),
        _ => Err(invalid_value("message", "one kind of content", "several")),
    }
}

fn decode_relay(raw: RawRelay) -> Result<Vec<RelayedMessage>, WireError> {
    if raw.letters.len() > MAX_MESSAGES_PER_RELAY {
        return Err(invalid_value("letters", "at most 64", raw.letters.len()));
    }
    let decode_message =
        |raw: RawRelayedMessage| match (1..=MAX_RELAYED_MESSAGE_BYTES).contains(&raw.bytes.len()) {
            true => Ok(RelayedMessage { to: raw.to, bytes: raw.bytes }),
            false => Err(invalid_value("letter", "1 to 256 bytes", raw.bytes.len())),
        };
    raw.letters.into_iter().map(decode_message).collect()
}

fn decode_budgets(raw: RawBudgets) -> Result<PlannerMessage, WireError> {
    if raw.nodes.len() > MAX_DIGEST_NODES {
        return Err(invalid_value("budgets", "at most 64 nodes", raw.nodes.len()));
    }
    let decode_budget = |raw: RawBudget| match raw.usual.is_finite() && raw.usual >= 0.0 {
        true => Ok((check_name("id", raw.id, 1)?, raw.usual)),
        false => Err(invalid_value("usual", "a finite number from 0", raw.usual)),
    };
    Ok(PlannerMessage::Budgets(raw.nodes.into_iter().map(decode_budget).collect::<Result<_, _>>()?))
}

fn decode_digest(raw: RawDigest) -> Result<Digest, WireError> {
    if raw.nodes.len() > MAX_DIGEST_NODES || raw.span_ms == 0 {
        return Err(invalid_value("digest", "at most 64 nodes and an interval from 1 ms", raw.nodes.len()));
    }
    let decode_counts = |raw: RawCounts| {
        let RawCounts { id, in_flight, sent, served, failed, took_ms } = raw;
        Ok(NodeCounts { id: check_name("id", id, 1)?, in_flight, sent, served, failed, served_ms: took_ms })
    };
    let nodes = raw.nodes.into_iter().map(decode_counts).collect::<Result<_, _>>()?;
    Ok(Digest { interval_ms: raw.span_ms, nodes, other_served: raw.rest })
}

/// Decodes a message of a forwarder, without the length prefix.
pub fn read_forwarder_message(bytes: &[u8]) -> Result<ForwarderMessage, WireError> {
    if bytes.len() > MAX_FORWARDER_MESSAGE_BYTES {
        return Err(WireError::TooLong { max: MAX_FORWARDER_MESSAGE_BYTES, found: bytes.len() });
    }
    let raw = RawForwarderMessage::decode(bytes).map_err(|error| WireError::Malformed(error.to_string()))?;
    match (raw.hello, raw.beat, raw.resend, raw.digest, raw.letters) {
        (Some(hello), None, false, None, None) => {
            let plan_version = hello.has.map(|has| decode_version(Some(has))).transpose()?;
            let slice_size = (hello.nodes > 0).then_some(hello.nodes);
            Ok(ForwarderMessage::Hello { name: check_name("name", hello.name, 1)?, plan_version, slice_size })
        }
        (None, Some(number), false, None, None) => Ok(ForwarderMessage::Heartbeat { number }),
        (None, None, true, None, None) => Ok(ForwarderMessage::Resend),
        (None, None, false, Some(raw), None) => decode_digest(raw).map(ForwarderMessage::Digest),
        (None, None, false, None, Some(raw)) => {
            Ok(ForwarderMessage::Relay { sender: raw.from, messages: decode_relay(raw)? })
        }
        (None, None, false, None, None) => Err(WireError::Unknown),
        _ => Err(invalid_value("message", "one kind of content", "several")),
    }
}

fn encode_frame(message: &impl Message) -> Vec<u8> {
    let body = message.encode_to_vec();
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX); // the message limits are far below
    [&length.to_le_bytes(), body.as_slice()].concat()
}

fn encode_version(version: Version) -> RawVersion {
    RawVersion { term: version.term, generation: version.generation }
}

fn encode_announcement_version(planner: u32, version: AnnouncementVersion) -> RawAnnouncementVersion {
    RawAnnouncementVersion { planner, epoch: version.epoch, sequence: version.sequence }
}

fn encode_node(node: &Node) -> RawNode {
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

/// Encodes a message of a planner, with the length prefix.
pub fn write_planner_message(message: &PlannerMessage) -> Vec<u8> {
    let mut raw = RawPlannerMessage { protocol: PROTOCOL_VERSION, ..RawPlannerMessage::default() };
    let encode_acknowledged = |acknowledged: &[(u32, AnnouncementVersion)]| {
        acknowledged.iter().map(|(p, m)| encode_announcement_version(*p, *m)).collect()
    };
    match message {
        PlannerMessage::Full(plan) => {
            raw.plan = Some(RawPlan {
                version: Some(encode_version(plan.version)),
                from: None,
                nodes: plan.nodes.iter().map(encode_node).collect(),
                gone: Vec::new(),
                heard: encode_acknowledged(&plan.acknowledged),
            });
        }
        PlannerMessage::Delta(delta) => {
            raw.plan = Some(RawPlan {
                version: Some(encode_version(delta.to)),
                from: Some(encode_version(delta.from)),
                nodes: delta.set.iter().map(encode_node).collect(),
                gone: delta.gone.clone(),
                heard: encode_acknowledged(&delta.acknowledged),
            });
        }
        PlannerMessage::Drain { planner, announcement_version, id } => {
            raw.drain = Some(RawDrain {
                mark: Some(encode_announcement_version(*planner, *announcement_version)),
                id: id.clone(),
            });
        }
        PlannerMessage::HeartbeatReply { number, version, lease_ms, max_lease_ms } => {
            let version = Some(encode_version(*version));
            let (number, lease_ms, full_ms) = (*number, *lease_ms, *max_lease_ms);
            raw.beat = Some(RawHeartbeatReply { number, version, lease_ms, full_ms });
        }
        PlannerMessage::Budgets(budgets) => {
            let nodes =
                budgets.iter().map(|(id, usual_rate)| RawBudget { id: id.clone(), usual: *usual_rate });
            raw.budgets = Some(RawBudgets { nodes: nodes.collect() });
        }
        PlannerMessage::Relayed(messages) => {
            let letters = messages.iter().map(|bytes| RawRelayedMessage { to: 0, bytes: bytes.clone() });
            raw.letters = Some(RawRelay { from: 0, letters: letters.collect() });
        }
    }
    encode_frame(&raw)
}

/// Encodes a message of a forwarder, with the length prefix.
pub fn write_forwarder_message(message: &ForwarderMessage) -> Vec<u8> {
    let mut raw = RawForwarderMessage { protocol: PROTOCOL_VERSION, ..RawForwarderMessage::default() };
    match message {
        ForwarderMessage::Hello { name, plan_version, slice_size } => {
            let (name, has) = (name.clone(), plan_version.map(encode_version));
            raw.hello = Some(RawHello { name, has, nodes: slice_size.unwrap_or(0) });
        }
        ForwarderMessage::Heartbeat { number } => raw.beat = Some(*number),
        ForwarderMessage::Resend => raw.resend = true,
        ForwarderMessage::Digest(digest) => {
            let encode_counts = |c: &NodeCounts| RawCounts {
                id: c.id.clone(),
                in_flight: c.in_flight,
                sent: c.sent,
                served: c.served,
                failed: c.failed,
                took_ms: c.served_ms,
            };
            let nodes = digest.nodes.iter().map(encode_counts).collect();
            raw.digest = Some(RawDigest { span_ms: digest.interval_ms, nodes, rest: digest.other_served });
        }
        ForwarderMessage::Relay { sender, messages } => {
            let encode_message = |m: &RelayedMessage| RawRelayedMessage { to: m.to, bytes: m.bytes.clone() };
            raw.letters =
                Some(RawRelay { from: *sender, letters: messages.iter().map(encode_message).collect() });
        }
    }
    encode_frame(&raw)
}
