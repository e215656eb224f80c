//! What planners say to each other, and a connection to say it on: one question, one answer.

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

/// The longest message between planners, in bytes: sixteen views of 20,000 nodes.
pub const MOST_BYTES: usize = 64 << 20;

/// A message of agreement, for one member of one group.
#[derive(Debug, Serialize, Deserialize)]
pub struct ToMember {
    /// The group.
    pub group: u64,
    /// The member.
    pub member: u64,
    /// The message.
    pub message: Message,
}

/// A message of agreement.
#[derive(Debug, Serialize, Deserialize)]
#[allow(missing_docs)] // as openraft has them
pub enum Message {
    Append(AppendEntriesRequest<Types>),
    Vote(VoteRequest<u64>),
    Snapshot(InstallSnapshotRequest<Types>),
}

/// The answer to one.
#[derive(Debug, Serialize, Deserialize)]
#[allow(missing_docs)] // as openraft has them
pub enum Answered {
    Append(Result<AppendEntriesResponse<u64>, RaftError<u64>>),
    Vote(Result<VoteResponse<u64>, RaftError<u64>>),
    Snapshot(Result<InstallSnapshotResponse<u64>, RaftError<u64, InstallSnapshotError>>),
}

/// What one planner asks another.
#[derive(Debug, Serialize, Deserialize)]
pub enum Question {
    /// Where do you stand, and which drains were you told of after that mark?
    Status {
        /// Who asks: its number.
        from: u32,
        /// Up to where it has heard the other's news.
        heard: AnnouncementVersion,
    },
    /// Of agreement.
    Member(Box<ToMember>),
    /// Have that agreed, as the leader.
    Propose(Command),
}

/// The answers.
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Question::Status`].
    Status(Status),
    /// To [`Question::Member`].
    Member(Box<Answered>),
    /// To [`Question::Propose`]: what came of it.
    Proposed(Applied),
    /// Not done; why.
    Refused(String),
}

/// Where a planner stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Its number.
    pub number: u32,
    /// Its identity.
    pub id: u64,
    /// Its group.
    pub group: Option<u64>,
    /// Its group has a leader.
    pub led: bool,
    /// It has read membership since it started, and nothing of its news up to `mark` is missing in
    /// `news` for who has heard what was said.
    pub complete: bool,
    /// The mark of its last news.
    pub mark: AnnouncementVersion,
    /// Drains that it was told of.
    pub news: Vec<(AnnouncementVersion, String)>,
    /// The highest term of a plan that it has seen with a follower.
    pub term: u64,
}

/// Writes a message.
pub fn write<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; 4];
    ciborium::into_writer(message, &mut bytes).map_err(|error| io::Error::other(error.to_string()))?;
    let length = bytes.len() - 4;
    if length > MOST_BYTES {
        return Err(io::Error::other(format!("expected at most {MOST_BYTES} bytes, found {length}")));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(bytes)
}

/// Reads a message.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    ciborium::from_reader(bytes)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
}

/// A connection to another planner, made when it is needed.
pub struct Link {
    address: SocketAddr,
    security: Security,
    stream: Option<Stream>,
}

impl Link {
    /// To the planner at that address.
    pub fn new(address: SocketAddr, security: Security) -> Self {
        Self { address, security, stream: None }
    }

    /// Asks, and has the answer within that time. Where it fails or the future is dropped the connection
    /// goes with it: an answer that comes late must not be taken for the next one.
    pub async fn ask(&mut self, question: &Question, within: Duration) -> io::Result<Reply> {
        let kept = self.stream.take();
        let asked = async {
            let mut stream = match kept {
                Some(stream) => stream,
                None => {
                    let stream = TcpStream::connect(self.address).await?;
                    self.security.connect(stream, Role::Planner).await?
                }
            };
            frame::write(&mut stream, &write(question)?).await?;
            let reply = read(&frame::read(&mut stream, MOST_BYTES, within).await?)?;
            Ok::<_, io::Error>((stream, reply))
        };
        let (stream, reply) = tokio::time::timeout(within, asked).await??;
        self.stream = Some(stream);
        Ok(reply)
    }
}
