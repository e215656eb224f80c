//! Tracks the processes of the fleet, accepts or rejects their datagrams, and writes the datagrams to partners.

use crate::wire::{self, Header, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES};
use crate::{MonotonicTime, Process, ProxyId, Settings, TopicHandler, select_partners};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;
use thiserror::Error;

/// The number of processes of one proxy that are known at once: two during an upgrade.
const MAX_PROCESSES_PER_PROXY: usize = 2;
/// The number of sequence numbers, down from the highest received, in which duplicates are recognised. Datagrams with
/// lower ones count as duplicates.
const SEQUENCE_WINDOW: u32 = 64;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum DatagramRejection {
    /// The limit on datagrams authenticated in a second is reached.
    #[error("too many datagrams in this second")]
    TooMany,
    /// The magic number or a length is invalid, or a handler could not read its payload.
    #[error("malformed datagram")]
    Unreadable,
    /// The authentication tag was not made with this fleet's key for this proxy.
    #[error("the authentication tag does not match the key of the fleet")]
    Forged,
    /// The version is no longer supported.
    #[error("unsupported version")]
    Version,
    /// The sender is not a proxy of the fleet, or is this process itself.
    #[error("unknown sender")]
    Stranger,
    /// The sequence number was received before, or lies behind the window of known ones.
    #[error("duplicate or outdated sequence number")]
    Doubled,
    /// The datagram echoes no timestamp of this process, or one that is too old. Expected after a start or a network
    /// partition.
    #[error("no recent timestamp of this process is echoed")]
    Unasked,
}

/// Counters of sent, accepted and rejected datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams written.
    pub sent: u64,
    /// Bytes of the datagrams written.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Datagrams rejected, in the order of the variants of [`DatagramRejection`].
    pub rejected: [u64; 7],
}

/// A reason for rejections and the number of datagrams rejected for it.
pub type RejectionCount = (DatagramRejection, u64);

impl DatagramCounts {
    /// Rejected datagrams by reason.
    pub fn rejected_by_reason(&self) -> [RejectionCount; 7] {
        use DatagramRejection::*;
        let reasons = [TooMany, Unreadable, Forged, Version, Stranger, Doubled, Unasked];
        std::array::from_fn(|i| (reasons[i], self.rejected[i]))
    }
}

/// The state kept for another process.
#[derive(Debug)]
struct ProcessState {
    /// Its latest timestamp, echoed by the next datagram to it.
    timestamp_ms: u32,
    /// The highest sequence number received.
    highest_sequence: u32,
    /// Bit `n` is set if the sequence number `n` below the highest one was received.
    received_sequences: u64,
    /// When this process sent the latest timestamp that the other one has echoed.
    echoed_timestamp_sent_at: Option<MonotonicTime>,
    last_received_at: MonotonicTime,
}

impl ProcessState {
    /// Records a sequence number. Returns false if it was received before, or lies behind the window.
    fn record_sequence(&mut self, sequence: u32) -> bool {
        let ahead = sequence.wrapping_sub(self.highest_sequence);
        if ahead == 0 || ahead > u32::MAX / 2 {
            let behind = self.highest_sequence.wrapping_sub(sequence);
            let bit = 1u64.checked_shl(behind).unwrap_or(0);
            if behind >= SEQUENCE_WINDOW || self.received_sequences & bit != 0 {
                return false;
            }
            self.received_sequences |= bit;
            return true;
        }
        self.received_sequences = self.received_sequences.checked_shl(ahead).unwrap_or(0) | 1;
        self.highest_sequence = sequence;
        true
    }
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The receiver.
    pub to: ProxyId,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// The datagram exchange of one process. Its memory is bounded by the number of proxies in the fleet.
pub struct Peers {
    settings: Settings,
    partners: Vec<ProxyId>,
    processes: BTreeMap<Process, ProcessState>,
    fleet: HashSet<ProxyId>,
    sequence: u32,
    /// Token bucket of the datagrams that may be authenticated.
    receive_tokens: f64,
    tokens_refilled_at: MonotonicTime,
    /// Counters since the start.
    pub counts: DatagramCounts,
}

impl Peers {
    /// Creates the exchange of a process that has received nothing yet.
    pub fn new(settings: Settings, now: MonotonicTime) -> Self {
        let partners = select_partners(settings.own_process.proxy, &settings.fleet);
        let fleet = settings.fleet.iter().copied().chain([settings.own_process.proxy]).collect();
        let receive_tokens = f64::from(settings.max_datagrams_per_second);
        Self {
            settings,
            partners,
            processes: BTreeMap::new(),
            fleet,
            sequence: 0,
            receive_tokens,
            tokens_refilled_at: now,
            counts: DatagramCounts::default(),
        }
    }

    /// The proxies that datagrams are sent to.
    pub fn partners(&self) -> &[ProxyId] {
        &self.partners
    }

    /// Counts the partners that have echoed a timestamp not older than [`Settings::max_echo_age`].
    pub fn count_answering_partners(&self, now: MonotonicTime) -> usize {
        let is_answering = |state: &ProcessState| {
            state
                .echoed_timestamp_sent_at
                .is_some_and(|at| now.saturating_sub(at) <= self.settings.max_echo_age)
        };
        let answering: HashSet<ProxyId> = self
            .processes
            .iter()
            .filter(|(_, state)| is_answering(state))
            .map(|(process, _)| process.proxy)
            .collect();
        answering.len()
    }

    /// Writes a datagram to every partner. To be called every [`Settings::send_interval`].
    pub fn write_round(
        &mut self,
        now: MonotonicTime,
        handlers: &mut [&mut dyn TopicHandler],
    ) -> Vec<OutgoingDatagram> {
        self.processes
            .retain(|_, state| now.saturating_sub(state.last_received_at) <= 2 * self.settings.max_echo_age);
        let mut datagrams = Vec::with_capacity(self.partners.len());
        for &to in &self.partners {
            let mut capacity = MAX_PAYLOAD_BYTES;
            let mut payloads = Vec::new();
            for handler in handlers.iter_mut() {
                let payload =
                    handler.write_payload(to, capacity.saturating_sub(2).min(usize::from(u8::MAX)), now);
                if !payload.is_empty() && payload.len() + 2 <= capacity {
                    capacity -= payload.len() + 2;
                    payloads.push((handler.topic(), payload));
                }
            }
            // During an upgrade two processes of a proxy may listen at one address: their timestamps are echoed in turn.
            let processes: Vec<_> =
                self.processes.iter().filter(|(process, _)| process.proxy == to).collect();
            let turn = self.sequence as usize % processes.len().max(1);
            let echo = processes.get(turn).map(|(process, state)| (process.incarnation, state.timestamp_ms));
            self.sequence = self.sequence.wrapping_add(1);
            let header = Header {
                sender: self.settings.own_process,
                sequence: self.sequence,
                timestamp_ms: wrapping_millis(now),
                echo,
            };
            let bytes = wire::encode(&self.settings.key, to, header, &payloads);
            debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            datagrams.push(OutgoingDatagram { to, bytes });
        }
        datagrams
    }

    /// Handles a received datagram: passes its payloads to their handlers and returns its sender.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        now: MonotonicTime,
        handlers: &mut [&mut dyn TopicHandler],
    ) -> Result<Process, DatagramRejection> {
        let result = self.accept(bytes, now, handlers);
        match result {
            Ok(_) => self.counts.accepted += 1,
            Err(rejection) => self.counts.rejected[rejection as usize] += 1,
        }
        result
    }

    fn accept(
        &mut self,
        bytes: &[u8],
        now: MonotonicTime,
        handlers: &mut [&mut dyn TopicHandler],
    ) -> Result<Process, DatagramRejection> {
        let max_tokens = f64::from(self.settings.max_datagrams_per_second);
        self.receive_tokens = (self.receive_tokens
            + max_tokens * now.saturating_sub(self.tokens_refilled_at).as_secs_f64())
        .min(max_tokens);
        self.tokens_refilled_at = now;
        if self.receive_tokens < 1.0 {
            return Err(DatagramRejection::TooMany);
        }
        self.receive_tokens -= 1.0;
        let own_process = self.settings.own_process;
        let (header, payloads) = wire::decode(&self.settings.key, own_process.proxy, bytes)?;
        if header.sender == own_process || !self.fleet.contains(&header.sender.proxy) {
            return Err(DatagramRejection::Stranger);
        }
        // The age of the sender's own timestamp is unknown, so the timestamp is only stored to be echoed.
        let echo_age = header
            .echo
            .filter(|(incarnation, _)| *incarnation == own_process.incarnation)
            .map(|(_, timestamp_ms)| elapsed_since_timestamp(now, timestamp_ms));
        let accepted_age = echo_age.filter(|age| *age <= self.settings.max_echo_age);
        let state = match self.processes.get_mut(&header.sender) {
            Some(state) => state,
            None => {
                self.evict_oldest_process(header.sender.proxy);
                let new = ProcessState {
                    timestamp_ms: header.timestamp_ms,
                    highest_sequence: header.sequence,
                    received_sequences: 0,
                    echoed_timestamp_sent_at: None,
                    last_received_at: now,
                };
                self.processes.entry(header.sender).or_insert(new)
            }
        };
        if !state.record_sequence(header.sequence) {
            return Err(DatagramRejection::Doubled);
        }
        state.last_received_at = now;
        if header.sequence == state.highest_sequence {
            state.timestamp_ms = header.timestamp_ms;
        }
        let Some(age) = accepted_age else { return Err(DatagramRejection::Unasked) };
        state.echoed_timestamp_sent_at = state.echoed_timestamp_sent_at.max(Some(now.saturating_sub(age)));
        for (topic, payload) in payloads {
            for handler in handlers.iter_mut().filter(|handler| handler.topic() == topic) {
                if !handler.receive(header.sender, age, payload, now) {
                    return Err(DatagramRejection::Unreadable);
                }
            }
        }
        Ok(header.sender)
    }

    /// Removes the process of a proxy that has been silent for longest, if [`MAX_PROCESSES_PER_PROXY`] are known.
    fn evict_oldest_process(&mut self, proxy: ProxyId) {
        let processes: Vec<(MonotonicTime, Process)> = self
            .processes
            .iter()
            .filter(|(process, _)| process.proxy == proxy)
            .map(|(process, state)| (state.last_received_at, *process))
            .collect();
        if processes.len() >= MAX_PROCESSES_PER_PROXY
            && let Some((_, oldest)) = processes.into_iter().min()
        {
            self.processes.remove(&oldest);
        }
    }
}

/// Milliseconds since the start of the process, rounded down; they wrap around after 49 days.
fn wrapping_millis(now: MonotonicTime) -> u32 {
    now.as_millis() as u32
}

/// The time since a timestamp of this process, rounded up. A timestamp of the future, which cannot be a genuine echo,
/// comes out as very old.
fn elapsed_since_timestamp(now: MonotonicTime, timestamp_ms: u32) -> Duration {
    Duration::from_millis(u64::from(wrapping_millis(now).wrapping_sub(timestamp_ms)) + 1)
}
