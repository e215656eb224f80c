//! Sends Raft messages over connections to the other planners.

use super::Types;
use crate::join::planner_number;
use crate::link::{PlannerConnection, PlannerReply, PlannerRequest, RaftMessage, RaftReply, RaftRequest};
use dewpier_plan::io::Security;
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{AnyError, EmptyNode};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// Creates connections for one member of a group.
#[derive(Clone, Debug)]
pub struct Network {
    /// Id of the group.
    pub group: u64,
    /// Addresses of the planners, by number.
    pub addresses: BTreeMap<u32, SocketAddr>,
    /// How the connections are secured.
    pub security: Security,
}

/// A connection to one member.
pub struct Connection {
    group: u64,
    member: u64,
    connection: Option<PlannerConnection>,
}

impl RaftNetworkFactory<Types> for Network {
    type Network = Connection;

    async fn new_client(&mut self, member: u64, _: &EmptyNode) -> Connection {
        let connection = self
            .addresses
            .get(&planner_number(member))
            .map(|address| PlannerConnection::new(*address, self.security.clone()));
        Connection { group: self.group, member, connection }
    }
}

type Failure<E> = RPCError<u64, EmptyNode, E>;

impl Connection {
    async fn request<E: std::error::Error>(
        &mut self,
        message: RaftMessage,
        option: RPCOption,
    ) -> Result<RaftReply, Failure<E>> {
        let Some(connection) = &mut self.connection else {
            let error = io::Error::other("no planner has the number of this member");
            return Err(RPCError::Unreachable(Unreachable::new(&error)));
        };
        let message = RaftRequest { group: self.group, member: self.member, message };
        match connection.request(&PlannerRequest::Member(Box::new(message)), option.hard_ttl()).await {
            Ok(PlannerReply::Member(reply)) => Ok(*reply),
            // The planner is in another group or was restarted: retries can wait.
            Ok(PlannerReply::Rejected(reason)) => {
                Err(RPCError::Unreachable(Unreachable::new(&AnyError::error(reason))))
            }
            Ok(other) => {
                let error = AnyError::error(format!("expected a Raft reply, found {other:?}"));
                Err(RPCError::Network(NetworkError::new(&error)))
            }
            // `Unreachable` makes openraft wait before it retries.
            Err(error) => Err(RPCError::Unreachable(Unreachable::new(&error))),
        }
    }

    #[allow(clippy::result_large_err)] // openraft's own error type is large
    fn remote_result<T, E: std::error::Error>(&self, response: Result<T, E>) -> Result<T, Failure<E>> {
        response.map_err(|error| RPCError::RemoteError(RemoteError::new(self.member, error)))
    }
}

fn unexpected_reply<E: std::error::Error>() -> Failure<E> {
    let error = AnyError::error("expected a reply of the kind that was requested, found another kind");
    RPCError::Network(NetworkError::new(&error))
}

impl RaftNetwork<Types> for Connection {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, Failure<RaftError<u64>>> {
        match self.request(RaftMessage::Append(rpc), option).await? {
            RaftReply::Append(response) => self.remote_result(response),
            _ => Err(unexpected_reply()),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Failure<RaftError<u64, InstallSnapshotError>>> {
        match self.request(RaftMessage::Snapshot(rpc), option).await? {
            RaftReply::Snapshot(response) => self.remote_result(response),
            _ => Err(unexpected_reply()),
        }
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, Failure<RaftError<u64>>> {
        match self.request(RaftMessage::Vote(rpc), option).await? {
            RaftReply::Vote(response) => self.remote_result(response),
            _ => Err(unexpected_reply()),
        }
    }
}
