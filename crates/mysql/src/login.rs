//! Logins as state machines, on both sides: a client's to the proxy, and the proxy's to a server. No I/O.

use crate::auth::{self, NATIVE, NONCE, PasswordHash, SHA2};
use crate::capability::{CONNECT_ATTRS, CONNECT_WITH_DB, NEEDED, OFFERED, SHAPING};
use crate::error::{ACCESS_DENIED, Error, NOT_SUPPORTED, UNKNOWN};
use crate::fields::Short;
use crate::handshake::{Greeting, Login, Switch};
use bytes::Bytes;
use std::collections::HashMap;
use thiserror::Error;

/// The longest packet of a login that is read, in bytes: attributes of clients are the longest part.
pub const MOST_PACKET: usize = 64 << 10;

/// What a packet about a login that goes on begins with.
const MORE: u8 = 0x01;
/// Of [`SHA2`]: the proof holds.
const FAST: u8 = 0x03;
/// Of [`SHA2`]: the server does not keep what a proof is checked with, and wants the password itself.
const FULL: u8 = 0x04;

/// What holds for a client's whole session, and for a connection to a server that may serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Shape {
    /// Those of [`SHAPING`] that both sides have.
    pub capabilities: u32,
    /// The collation, and with it the charset of statements and answers.
    pub collation: u8,
}

/// A client that is let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Guest {
    /// Its name.
    pub user: String,
    /// The database that it wants.
    pub database: Option<String>,
    /// What its answers look like.
    pub shape: Shape,
}

/// What comes next in a client's login.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// Send this, and hand in what comes.
    Ask(Bytes),
    /// It is let in: it is told by an OK, behind this packet if there is one.
    In(Guest, Option<Bytes>),
    /// It is not: this is its last packet.
    Out(Error),
}

/// A client's login to the proxy.
#[derive(Debug)]
pub struct Door {
    nonce: [u8; NONCE],
    /// The client, while a proof by another method is waited for.
    asked: Option<Login>,
}

impl Door {
    /// A login that is to be proved with this nonce, and the greeting to begin with.
    pub fn new(nonce: [u8; NONCE], connection: u32, version: &str) -> (Self, Bytes) {
        let greeting = Greeting {
            version: version.into(),
            connection,
            nonce,
            capabilities: OFFERED,
            collation: 45, // utf8mb4_general_ci
            status: 2,
            method: NATIVE.into(),
        };
        (Self { nonce, asked: None }, greeting.packet())
    }

    /// A packet of the client.
    pub fn packet(&mut self, packet: &[u8], users: &HashMap<String, PasswordHash>) -> Next {
        let (login, proof) = match self.asked.take() {
            Some(login) => (login, packet.to_vec()),
            None => match Login::read(packet) {
                Ok(login) => {
                    let proof = login.proof.clone();
                    (login, proof)
                }
                Err(short) => return Next::Out(Error::new(UNKNOWN, b"08S01", short.to_string())),
            },
        };
        if login.capabilities & NEEDED != NEEDED {
            let text = "expected a client of protocol 4.1 with secure logins (TLS is not offered)";
            return Next::Out(Error::new(NOT_SUPPORTED, b"08004", text));
        }
        // One who is not known takes the same way as one with a wrong password.
        let kept = users.get(&login.user);
        let method = kept.map_or(NATIVE, PasswordHash::plugin);
        let named = if login.method.is_empty() { NATIVE } else { login.method.as_str() };
        if named != method {
            let switch = Switch { method: method.into(), nonce: self.nonce };
            self.asked = Some(Login { method: method.into(), ..login });
            return Next::Ask(switch.packet());
        }
        if !kept.is_some_and(|kept| kept.verify_response(&self.nonce, &proof)) {
            let text = format!("Access denied for user '{}'", login.user);
            return Next::Out(Error::new(ACCESS_DENIED, b"28000", text));
        }
        let first = (method == SHA2).then(|| Bytes::from_static(&[MORE, FAST]));
        let shape =
            Shape { capabilities: login.capabilities & OFFERED & SHAPING, collation: login.collation };
        Next::In(Guest { user: login.user, database: login.database, shape }, first)
    }
}

/// Why a server can't be logged in to.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unfit {
    /// It says something that is none of a login.
    #[error("{0}")]
    Packet(#[from] Short),
    /// It says no.
    #[error("error {}: {}", .0.number, .0.text)]
    Refused(Error),
    /// It lacks what the client was promised.
    #[error("the server lacks capabilities {0:#x}")]
    Lacks(u32),
    /// It wants a proof that is not carried.
    #[error("the server wants a login by {0:?}")]
    Method(String),
    /// Something else.
    #[error("a login: expected OK or an error, found a packet that begins with {0:#04x}")]
    Unexpected(u8),
}

/// What comes next in a login to a server.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this, and hand in what comes.
    Say(Bytes),
    /// Hand in what comes.
    Wait,
    /// It is done.
    Done,
}

/// Who the proxy is to servers.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Its name.
    pub user: String,
    /// Its password.
    pub password: String,
}

/// The proxy's login to a server.
#[derive(Debug)]
pub struct Entry {
    shape: Shape,
    greeted: bool,
    /// The connection's number at the server, once it has said it.
    pub connection: u32,
}

impl Entry {
    /// A login for clients of that shape. No database is named: it is chosen before each statement that wants
    /// another.
    pub fn new(shape: Shape) -> Self {
        Self { shape, greeted: false, connection: 0 }
    }

    /// A packet of the server.
    pub fn packet(&mut self, packet: &[u8], own: &Credentials) -> Result<Step, Unfit> {
        let proof = |method: &str, nonce| auth::proof(method, &own.password, nonce);
        match packet.first() {
            Some(0xff) => Err(Unfit::Refused(Error::read(packet)?)),
            _ if !self.greeted => {
                let greeting = Greeting::read(packet)?;
                let wanted = self.shape.capabilities | NEEDED;
                let lacking = wanted & !greeting.capabilities;
                if lacking != 0 {
                    return Err(Unfit::Lacks(lacking));
                }
                (self.greeted, self.connection) = (true, greeting.connection);
                let own_flags = OFFERED & !(SHAPING | CONNECT_WITH_DB | CONNECT_ATTRS);
                // A proof by a method that is not known here is not made: the server will ask for another.
                let named = if greeting.method.is_empty() { NATIVE } else { greeting.method.as_str() };
                let (method, proof) = match proof(named, &greeting.nonce) {
                    Some(proof) => (named, proof),
                    None => (NATIVE, Vec::new()),
                };
                let login = Login {
                    capabilities: (self.shape.capabilities | own_flags) & greeting.capabilities,
                    most: 1 << 30,
                    collation: self.shape.collation,
                    user: own.user.clone(),
                    proof,
                    database: None,
                    method: method.into(),
                };
                Ok(Step::Say(login.packet()))
            }
            Some(0x00) => Ok(Step::Done),
            Some(&Switch::MARK) => {
                let switch = Switch::read(packet)?;
                match proof(&switch.method, &switch.nonce) {
                    Some(proof) => Ok(Step::Say(proof.into())),
                    None => Err(Unfit::Method(switch.method)),
                }
            }
            Some(&MORE) => match packet.get(1) {
                Some(&FAST) => Ok(Step::Wait),
                Some(&FULL) => Err(Unfit::Method(format!("{SHA2}, in full"))),
                other => Err(Unfit::Unexpected(other.copied().unwrap_or_default())),
            },
            first => Err(Unfit::Unexpected(first.copied().unwrap_or_default())),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::capability::{DEPRECATE_EOF, PROTOCOL_41};

    fn users() -> HashMap<String, PasswordHash> {
        [
            ("planner".to_string(), PasswordHash::native("oak")),
            ("maker".to_string(), PasswordHash::sha2("ash")),
        ]
        .into()
    }

    fn login(user: &str, password: &str, nonce: &[u8; NONCE]) -> Login {
        Login {
            capabilities: OFFERED & !CONNECT_ATTRS,
            most: 1 << 24,
            collation: 45,
            user: user.into(),
            proof: auth::proof(NATIVE, password, nonce).unwrap(),
            database: Some("plans".into()),
            method: NATIVE.into(),
        }
    }

    #[test]
    fn who_proves_the_password_is_let_in_and_nobody_else() {
        let nonce = [5; NONCE];
        let enter = |login: Login| Door::new(nonce, 1, "8.0").0.packet(&login.packet(), &users());
        let shape = Shape { capabilities: SHAPING, collation: 45 };
        let guest = Guest { user: "planner".into(), database: Some("plans".into()), shape };
        assert_eq!(enter(login("planner", "oak", &nonce)), Next::In(guest.clone(), None));
        let old = Login { capabilities: OFFERED & !PROTOCOL_41, ..login("planner", "oak", &nonce) };
        for wrong in [
            login("planner", "elm", &nonce),
            login("other", "oak", &nonce),
            login("planner", "", &nonce),
            old,
        ] {
            assert!(matches!(enter(wrong.clone()), Next::Out(_)), "{wrong:?}");
        }
        // One with another method is asked for the proof that is known here.
        let (mut door, _) = Door::new(nonce, 1, "8.0");
        let other = Login {
            method: "caching_sha2_password".into(),
            proof: vec![1; 32],
            ..login("planner", "", &nonce)
        };
        let Next::Ask(asked) = door.packet(&other.packet(), &users()) else { panic!("it is let in") };
        let proof = auth::proof(NATIVE, "oak", &Switch::read(&asked).unwrap().nonce).unwrap();
        assert_eq!(door.packet(&proof, &users()), Next::In(guest.clone(), None));
        // One of whom the newer hash is kept, by that.
        let (mut door, _) = Door::new(nonce, 1, "8.0");
        let Next::Ask(asked) = door.packet(&login("maker", "ash", &nonce).packet(), &users()) else {
            panic!("it is let in")
        };
        let asked = Switch::read(&asked).unwrap();
        let proof = auth::proof(&asked.method, "ash", &asked.nonce).unwrap();
        let first = Some(Bytes::from_static(&[MORE, FAST]));
        assert_eq!(door.packet(&proof, &users()), Next::In(Guest { user: "maker".into(), ..guest }, first));
    }

    #[test]
    fn a_server_is_logged_in_to_by_its_own_nonce_or_another_that_it_gives() {
        let own = Credentials { user: "dewpier".into(), password: "elm".into() };
        let shape = Shape { capabilities: DEPRECATE_EOF, collation: 45 };
        let greeting = |capabilities, method: &str| Greeting {
            version: "8".into(),
            connection: 7,
            nonce: [3; NONCE],
            capabilities,
            collation: 45,
            status: 2,
            method: method.into(),
        };
        let mut entry = Entry::new(shape);
        let said = entry.packet(&greeting(OFFERED, "dialog").packet(), &own);
        let Ok(Step::Say(said)) = said else { panic!("{said:?}") };
        let said = Login::read(&said).unwrap();
        assert_eq!((said.proof.len(), said.capabilities & SHAPING, entry.connection), (0, DEPRECATE_EOF, 7));
        let switch = Switch { method: NATIVE.into(), nonce: [4; NONCE] };
        let proof = auth::proof(NATIVE, "elm", &[4; NONCE]).unwrap();
        assert_eq!(entry.packet(&switch.packet(), &own), Ok(Step::Say(proof.into())));
        assert_eq!(entry.packet(&[0, 0, 0, 2, 0, 0, 0], &own), Ok(Step::Done));
        let mut newer = Entry::new(shape);
        let Ok(Step::Say(said)) = newer.packet(&greeting(OFFERED, SHA2).packet(), &own) else {
            panic!("nothing")
        };
        assert_eq!(Login::read(&said).unwrap().proof, auth::proof(SHA2, "elm", &[3; NONCE]).unwrap());
        assert_eq!(newer.packet(&[MORE, FAST], &own), Ok(Step::Wait));
        assert_eq!(newer.packet(&[0, 0, 0, 2, 0, 0, 0], &own), Ok(Step::Done));
        assert!(matches!(newer.packet(&[MORE, FULL], &own), Err(Unfit::Method(_))));
        let lacking = Entry::new(shape).packet(&greeting(OFFERED & !DEPRECATE_EOF, NATIVE).packet(), &own);
        assert_eq!(lacking, Err(Unfit::Lacks(DEPRECATE_EOF)));
        let switch = Switch { method: "dialog".into(), nonce: [4; NONCE] };
        assert_eq!(entry.packet(&switch.packet(), &own), Err(Unfit::Method("dialog".into())));
        let full = Error::new(crate::error::CON_COUNT, b"08004", "Too many connections");
        assert_eq!(Entry::new(shape).packet(&full.packet(), &own), Err(Unfit::Refused(full)));
    }
}
