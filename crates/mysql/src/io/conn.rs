//! A connection to a server: how it is opened, made what a command needs, and what is sent on it.

use super::ways::Ways;
use super::wire::{Wire, WireError};
use crate::capability::DEPRECATE_EOF;
use crate::error::Error;
use crate::login::{Entry, MOST_PACKET, Shape, Step};
use crate::prepared::{self, Needed};
use crate::reply::{Answers, Ended, HEAD, Reply};
use crate::session::{INIT_DB, RESET_CONNECTION};
use bytes::BytesMut;
use gannetproxy::engine::Permit;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What a command needs of its connection.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// What its answer must look like.
    pub shape: Shape,
    /// The session's number, which no other session has.
    pub session: u64,
    /// The database that it is to run in.
    pub database: Option<String>,
    /// The prepared statement that it is about, which is prepared where it is not yet.
    pub needs: Option<Needed>,
}

impl Wanted {
    /// Rows are to end with an OK.
    pub(super) fn deprecate_eof(&self) -> bool {
        self.shape.capabilities & DEPRECATE_EOF != 0
    }
}

/// A connection to a server, logged in.
pub(super) struct Conn {
    pub(super) wire: Wire,
    _permit: Permit,
    pub(super) shape: Shape,
    /// The database it is in.
    pub(super) database: Option<String>,
    /// Whose it was last.
    pub(super) session: u64,
    /// That session's prepared statements, by its numbers and the server's.
    pub(super) prepared: HashMap<u32, u32>,
}

/// Statements that are prepared on one connection at once; the one of the lowest number goes for a further one.
const MOST_PREPARED: usize = 64;

impl Ways {
    /// A new connection, logged in.
    pub(super) async fn connect(&self, address: SocketAddr, shape: Shape, session: u64) -> Option<Conn> {
        let permit = self.connection_budget.try_acquire(1)?;
        let connected = async {
            let mut wire = Wire::new(TcpStream::connect(address).await.ok()?, MOST_PACKET);
            let mut entry = Entry::new(shape);
            loop {
                let said = wire.next().await.ok()?;
                match entry.packet(&said, &self.credentials) {
                    Ok(Step::Say(packet)) => wire.send(&packet).await.ok()?,
                    Ok(Step::Wait) => {}
                    Ok(Step::Done) => break,
                    Err(unfit) => {
                        eprintln!("dewpier: {address}: {unfit}");
                        return None;
                    }
                }
            }
            wire.bound(self.max_packet_bytes);
            Some(Conn { wire, _permit: permit, shape, database: None, session, prepared: HashMap::new() })
        };
        timeout(self.connect_timeout, connected).await.ok().flatten()
    }
}

impl Conn {
    /// A command of our own, which is answered by an OK or an error.
    pub(super) async fn asked(&mut self, command: &[u8]) -> Result<Ended, WireError> {
        self.wire.expect(0);
        self.wire.send(command).await?;
        let packet = self.wire.next().await?;
        let head = packet.get(..HEAD).unwrap_or(&packet);
        let ended = Reply::new(Answers::Ok, false).packet(head, packet.len());
        match ended {
            Ok(Some(ended)) => Ok(ended),
            _ => Err(std::io::Error::from(std::io::ErrorKind::InvalidData).into()),
        }
    }

    /// Makes it what a command needs: nothing of another session is left on it, and it is in the right database.
    /// None where it is spoilt; the server's error where it has no such database, or can't prepare the statement.
    pub(super) async fn made_fit(&mut self, wanted: &Wanted) -> Option<Result<(), Error>> {
        if self.session != wanted.session {
            match self.asked(&[RESET_CONNECTION]).await {
                // Statements that were prepared on it are gone with it.
                Ok(Ended::Whole { .. }) => (self.session, self.prepared) = (wanted.session, HashMap::new()),
                _ => return None,
            }
        }
        match &wanted.database {
            Some(name) if self.database.as_ref() != Some(name) => {
                let command = [&[INIT_DB], name.as_bytes()].concat();
                match self.asked(&command).await {
                    Ok(Ended::Whole { .. }) => self.database = Some(name.clone()),
                    Ok(Ended::Error(number)) => {
                        let text = format!("dewpier: the server has no database '{name}' for this user");
                        return Some(Err(Error::new(number, b"42000", text)));
                    }
                    Err(_) => return None,
                }
            }
            _ => {}
        }
        match &wanted.needs {
            Some(needed) if !self.prepared.contains_key(&needed.number) => {
                let command = [&[prepared::PREPARE], &needed.text[..]].concat();
                match self.prepare(&command, wanted).await {
                    Ok(Ok(id)) => self.keep(needed.number, id).await.ok()?,
                    Ok(Err(error)) => return Some(Err(error)),
                    Err(_) => return None,
                }
            }
            _ => {}
        }
        Some(Ok(()))
    }

    /// Has a statement prepared: the server's number for it, or its error.
    async fn prepare(&mut self, command: &[u8], wanted: &Wanted) -> Result<Result<u32, Error>, WireError> {
        let broken = || WireError::from(std::io::Error::from(std::io::ErrorKind::InvalidData));
        self.wire.expect(0);
        self.wire.send(command).await?;
        let mut reply = Reply::new(Answers::Prepared, wanted.deprecate_eof());
        loop {
            let packet = self.wire.next().await?;
            let head = packet.get(..HEAD).unwrap_or(&packet);
            match reply.packet(head, packet.len()) {
                Ok(None) => {}
                Ok(Some(Ended::Whole { prepared: Some(prepared), .. })) => return Ok(Ok(prepared.id)),
                Ok(Some(Ended::Error(_))) => return Ok(Err(Error::read(&packet).map_err(|_| broken())?)),
                _ => return Err(broken()),
            }
        }
    }

    /// Remembers a statement that is prepared on it.
    pub(super) async fn keep(&mut self, number: u32, id: u32) -> std::io::Result<()> {
        self.prepared.insert(number, id);
        if self.prepared.len() > MOST_PREPARED
            && let Some(lowest) = self.prepared.keys().filter(|known| **known != number).min().copied()
            && let Some(closed) = self.prepared.remove(&lowest)
        {
            self.wire.expect(0);
            self.wire.send(&[&[prepared::CLOSE][..], &closed.to_le_bytes()].concat()).await?; // not answered
        }
        Ok(())
    }

    /// Sends a command, and what goes ahead of it.
    pub(super) async fn send(&mut self, command: &[u8], wanted: &Wanted) -> std::io::Result<()> {
        let ahead = wanted.needs.iter().flat_map(|needed| &needed.ahead).map(|ahead| &ahead[..]);
        for command in ahead.chain([command]) {
            self.wire.expect(0);
            let Some(needed) = &wanted.needs else {
                self.wire.send(command).await?;
                continue;
            };
            // Its number is the session's: the server has another.
            let id = self.prepared.get(&needed.number).ok_or(std::io::ErrorKind::InvalidInput)?;
            let mut command = BytesMut::from(command);
            command.get_mut(1..5).into_iter().for_each(|bytes| bytes.copy_from_slice(&id.to_le_bytes()));
            self.wire.send(&command).await?;
        }
        Ok(())
    }
}
