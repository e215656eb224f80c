//! The protocol between planners, and a client connection that sends one request at a time.
//!
//! Messages are encoded as CBOR behind a length of four bytes.

use crate::fleet::Command;
use crate::raft::{Applied, Types};
use dewpier_plan::AnnouncementVersion;
use dewpier_plan::io::{Role, Security, Stream, frame};
use openraft::error::{InstallSnapshotError, RaftError};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum length of a message between planners, in bytes: 16 views of 20,000 nodes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// A Raft message for one member of one group.
#[derive(Debug, Serialize, Deserialize)]
pub struct RaftRequest {
    /// Id of the group.
    pub group: u64,
    /// Id of the member.
    pub member: u64,
    /// The message.
    pub message: RaftMessage,
}

/// A Raft request.
#[derive(Debug, Serialize, Deserialize)]
#[allow(missing_docs)] // named as in openraft
pub enum RaftMessage {
    Append(AppendEntriesRequest<Types>),
    Vote(VoteRequest<u64>),
    Snapshot(InstallSnapshotRequest<Types>),
}

/// The reply to a Raft request.
#[derive(Debug, Serialize, Deserialize)]
#[allow(missing_docs)] // named as in openraft
pub enum RaftReply {
    Append(Result<AppendEntriesResponse<u64>, RaftError<u64>>),
    Vote(Result<VoteResponse<u64>, RaftError<u64>>),
    Snapshot(Result<InstallSnapshotResponse<u64>, RaftError<u64, InstallSnapshotError>>),
}

/// A request from one planner to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum PlannerRequest {
    /// Asks for the planner's status and the drains that it announced after `acknowledged`.
    Status {
        /// Number of the requesting planner.
        from: u32,
        /// The latest announcement that the requesting planner knows.
        #[serde(rename = "heard")]
        acknowledged: AnnouncementVersion,
    },
    /// A Raft request.
    Member(Box<RaftRequest>),
    /// Asks the leader to propose a command.
    Propose(Command),
}

/// A reply to a [`PlannerRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum PlannerReply {
    /// Reply to [`PlannerRequest::Status`].
    Status(PlannerStatus),
    /// Reply to [`PlannerRequest::Member`].
    Member(Box<RaftReply>),
    /// Reply to [`PlannerRequest::Propose`]: the result of the command.
    Proposed(Applied),
    /// The request was rejected, with the reason.
    #[serde(rename = "Refused")]
    Rejected(String),
}

/// Status of a planner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlannerStatus {
    /// Number of the planner.
    pub number: u32,
    /// Raft member id of the planner.
    pub id: u64,
    /// Group of the planner.
    pub group: Option<u64>,
    /// Whether the group has a leader.
    #[serde(rename = "led")]
    pub has_leader: bool,
    /// Whether the planner has read membership since it started, and `drains` contains all its announcements
    /// after the acknowledged one.
    pub complete: bool,
    /// Version of the planner's latest announcement.
    #[serde(rename = "mark")]
    pub announcement_version: AnnouncementVersion,
    /// The drains announced after the acknowledged announcement.
    #[serde(rename = "news")]
    pub drains: Vec<(AnnouncementVersion, String)>,
    /// The highest term of a plan that the planner has seen with a follower.
    #[serde(rename = "term")]
    pub highest_term: u64,
}

/// Encodes a message with its length prefix. Fails if the message is too long.
pub fn write<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; 4];
    ciborium::into_writer(message, &mut bytes).map_err(|error| io::Error::other(error.to_string()))?;
    let length = bytes.len() - 4;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::other(format!(
            "expected a message of at most {MAX_MESSAGE_BYTES} bytes, found {length}"
        )));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(bytes)
}

/// Decodes a message without its length prefix.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    ciborium::from_reader(bytes)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
}

/// A connection to another planner, opened on demand.
pub struct PlannerConnection {
    address: SocketAddr,
    security: Security,
    stream: Option<Stream>,
}

impl PlannerConnection {
    /// Creates a connection to the planner at `address`.
    pub fn new(address: SocketAddr, security: Security) -> Self {
        Self { address, security, stream: None }
    }

    /// Sends a request and waits for the reply, both within `timeout`. On an error, or if the future is
    /// dropped, the connection is closed, so that a late reply is not taken for the next one.
    pub async fn request(&mut self, request: &PlannerRequest, timeout: Duration) -> io::Result<PlannerReply> {
        let open_stream = self.stream.take();
        let exchange = async {
            let mut stream = match open_stream {
                Some(stream) => stream,
                None => {
                    let stream = TcpStream::connect(self.address).await?;
                    self.security.connect(stream, Role::Planner).await?
                }
            };
            frame::write(&mut stream, &write(request)?).await?;
            let reply = read(&frame::read(&mut stream, MAX_MESSAGE_BYTES, timeout).await?)?;
            Ok::<_, io::Error>((stream, reply))
        };
        let (stream, reply) = tokio::time::timeout(timeout, exchange).await??;
        self.stream = Some(stream);
        Ok(reply)
    }
}
