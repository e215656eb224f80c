//! In-memory storage of a Raft member: its log and the agreed state. A restarted process is a new member (see
//! `join.rs`), so nothing needs to be persisted.

use super::{Applied, Types};
use crate::fleet::AgreedState;
use openraft::storage::{LogFlushed, LogState, RaftLogStorage, RaftStateMachine, Snapshot};
use openraft::{
    Entry, EntryPayload, ErrorSubject, ErrorVerb, LogId, OptionalSend, RaftLogReader, RaftSnapshotBuilder,
    SnapshotMeta, StorageError, StorageIOError, StoredMembership, Vote,
};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::io::Cursor;
use std::ops::RangeBounds;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

type Failure = StorageError<u64>;

#[derive(Debug, Default)]
struct LogContents {
    vote: Option<Vote<u64>>,
    purged: Option<LogId<u64>>,
    entries: BTreeMap<u64, Entry<Types>>,
}

/// The Raft log, bounded by openraft's snapshots.
#[derive(Clone, Debug, Default)]
pub struct LogStore(Arc<Mutex<LogContents>>);

impl LogStore {
    fn contents(&self) -> MutexGuard<'_, LogContents> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RaftLogReader<Types> for LogStore {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: R,
    ) -> Result<Vec<Entry<Types>>, Failure> {
        Ok(self.contents().entries.range(range).map(|(_, entry)| entry.clone()).collect())
    }
}

impl RaftLogStorage<Types> for LogStore {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, Failure> {
        let contents = self.contents();
        let last = contents.entries.last_key_value().map(|(_, entry)| entry.log_id).or(contents.purged);
        Ok(LogState { last_purged_log_id: contents.purged, last_log_id: last })
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), Failure> {
        self.contents().vote = Some(*vote);
        Ok(())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, Failure> {
        Ok(self.contents().vote)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), Failure>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        self.contents().entries.extend(entries.into_iter().map(|entry| (entry.log_id.index, entry)));
        callback.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, from: LogId<u64>) -> Result<(), Failure> {
        self.contents().entries.split_off(&from.index);
        Ok(())
    }

    async fn purge(&mut self, upto: LogId<u64>) -> Result<(), Failure> {
        let mut contents = self.contents();
        contents.entries = contents.entries.split_off(&(upto.index + 1));
        contents.purged = Some(upto);
        Ok(())
    }
}

#[derive(Debug, Default)]
struct AppliedState {
    fleet: Arc<AgreedState>,
    last_applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, openraft::EmptyNode>,
    snapshot: Option<(SnapshotMeta<u64, openraft::EmptyNode>, Vec<u8>)>,
    snapshot_count: u64,
}

/// The Raft state machine around an [`AgreedState`]. Publishes each new state to the watchers.
#[derive(Clone, Debug)]
pub struct AgreedStateMachine {
    state: Arc<Mutex<AppliedState>>,
    state_updates: watch::Sender<Arc<AgreedState>>,
}

impl AgreedStateMachine {
    /// Creates a state machine that publishes to `state_updates`.
    pub fn new(state_updates: watch::Sender<Arc<AgreedState>>) -> Self {
        Self { state: Arc::default(), state_updates }
    }

    fn state(&self) -> MutexGuard<'_, AppliedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RaftSnapshotBuilder<Types> for AgreedStateMachine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, Failure> {
        let mut state = self.state();
        let mut bytes = Vec::new();
        ciborium::into_writer(&*state.fleet, &mut bytes).map_err(|error| {
            StorageIOError::write_snapshot(None, &std::io::Error::other(error.to_string()))
        })?;
        state.snapshot_count += 1;
        let meta = SnapshotMeta {
            last_log_id: state.last_applied,
            last_membership: state.membership.clone(),
            snapshot_id: format!("{:?}-{}", state.last_applied.map(|id| id.index), state.snapshot_count),
        };
        state.snapshot = Some((meta.clone(), bytes.clone()));
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) })
    }
}

impl RaftStateMachine<Types> for AgreedStateMachine {
    type SnapshotBuilder = Self;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, openraft::EmptyNode>), Failure> {
        let state = self.state();
        Ok((state.last_applied, state.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Applied>, Failure>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut state = self.state();
        let mut fleet = AgreedState::clone(&state.fleet);
        let (mut applied, mut changed) = (Vec::new(), false);
        for entry in entries {
            state.last_applied = Some(entry.log_id);
            let mut outcome = Applied(Ok(false));
            match entry.payload {
                EntryPayload::Blank => {}
                EntryPayload::Normal(command) => {
                    outcome = Applied(fleet.apply(entry.log_id.leader_id.term, entry.log_id.index, command));
                    changed |= outcome == Applied(Ok(true));
                }
                EntryPayload::Membership(membership) => {
                    state.membership = StoredMembership::new(Some(entry.log_id), membership);
                }
            }
            applied.push(outcome);
        }
        if changed {
            state.fleet = Arc::new(fleet);
            self.state_updates.send_replace(state.fleet.clone());
        }
        Ok(applied)
    }

    async fn get_snapshot_builder(&mut self) -> Self {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, Failure> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<u64, openraft::EmptyNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), Failure> {
        let bytes = snapshot.into_inner();
        let fleet: AgreedState = ciborium::from_reader(bytes.as_slice()).map_err(|error| {
            let error = std::io::Error::other(error.to_string());
            StorageIOError::new(ErrorSubject::Snapshot(Some(meta.signature())), ErrorVerb::Read, &error)
        })?;
        let mut state = self.state();
        state.fleet = Arc::new(fleet);
        state.last_applied = meta.last_log_id;
        state.membership = meta.last_membership.clone();
        state.snapshot = Some((meta.clone(), bytes));
        self.state_updates.send_replace(state.fleet.clone());
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, Failure> {
        let state = self.state();
        Ok(state.snapshot.as_ref().map(|(meta, bytes)| Snapshot {
            meta: meta.clone(),
            snapshot: Box::new(Cursor::new(bytes.clone())),
        }))
    }
}
