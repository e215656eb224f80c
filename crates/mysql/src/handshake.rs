//! The packets of a login ("Connection Phase Packets" in MySQL's internals manual): a server's greeting, a
//! client's answer, and a server's wish for another method. Those of `mysql_common` were weighed, and leave the
//! length of the nonce at 13 where clients of MySQL's own want 21 (docs/design/mysql.md).

use crate::auth::NONCE;
use crate::capability::{CONNECT_WITH_DB, PLUGIN_AUTH, PLUGIN_AUTH_LENENC, SECURE_CONNECTION};
use crate::fields::{Fields, Short, put_counted, put_ended};
use bytes::{BufMut, Bytes, BytesMut};

/// What a server says first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Greeting {
    /// Its version.
    pub version: String,
    /// The connection's number there.
    pub connection: u32,
    /// What the proof of a password is made with.
    pub nonce: [u8; NONCE],
    /// What it can do.
    pub capabilities: u32,
    /// Its usual collation.
    pub collation: u8,
    /// Its status flags.
    pub status: u16,
    /// The method that it would have used.
    pub method: String,
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A nonce of these parts; shorter ones end with zeros, as clients have it.
fn nonce(parts: &[&[u8]]) -> [u8; NONCE] {
    let mut whole = parts.iter().flat_map(|part| part.iter().copied());
    std::array::from_fn(|_| whole.next().unwrap_or(0))
}

impl Greeting {
    /// As a packet.
    pub fn packet(&self) -> Bytes {
        let mut out = BytesMut::new();
        out.put_u8(10);
        put_ended(&mut out, self.version.as_bytes());
        out.put_u32_le(self.connection);
        out.put_slice(&self.nonce[..8]);
        out.put_u8(0);
        out.put_u16_le(self.capabilities as u16);
        out.put_u8(self.collation);
        out.put_u16_le(self.status);
        out.put_u16_le((self.capabilities >> 16) as u16);
        out.put_u8(NONCE as u8 + 1);
        out.put_slice(&[0; 10]);
        out.put_slice(&self.nonce[8..]);
        out.put_u8(0);
        put_ended(&mut out, self.method.as_bytes());
        out.freeze()
    }

    /// Of a packet that begins with the version of the protocol, which must be 10.
    pub fn read(packet: &[u8]) -> Result<Self, Short> {
        let mut fields = Fields::of("a greeting", packet);
        if fields.one("a version of the protocol")? != 10 {
            return Err(Short { packet: "a greeting", expected: "version 10 of the protocol", left: 0 });
        }
        let version = text(fields.ended("a version")?);
        let connection = fields.fixed(4, "a number of the connection")? as u32;
        let first = fields.bytes(8, "a nonce")?;
        fields.one("a zero")?;
        let low = fields.fixed(2, "capabilities")? as u32;
        let collation = fields.one("a collation")?;
        let status = fields.fixed(2, "status flags")? as u16;
        let capabilities = low | (fields.fixed(2, "capabilities")? as u32) << 16;
        let length = usize::from(fields.one("the length of the nonce")?);
        fields.bytes(10, "ten zeros")?;
        let second = fields.bytes(length.saturating_sub(8).max(13), "a nonce")?;
        let method = match capabilities & PLUGIN_AUTH {
            0 => String::new(),
            // Some servers leave out the zero behind it.
            _ => text(fields.rest().split(|byte| *byte == 0).next().unwrap_or_default()),
        };
        let nonce = nonce(&[first, second.strip_suffix(&[0]).unwrap_or(second)]);
        Ok(Self { version, connection, nonce, capabilities, collation, status, method })
    }
}

/// What a client answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Login {
    /// What it wants of what the server can do.
    pub capabilities: u32,
    /// The longest packet that it takes.
    pub most: u32,
    /// Its collation, and with it its charset.
    pub collation: u8,
    /// Its name.
    pub user: String,
    /// Its proof, by the method that it names.
    pub proof: Vec<u8>,
    /// The database that it wants.
    pub database: Option<String>,
    /// The method of the proof.
    pub method: String,
}

impl Login {
    /// As a packet. Its capabilities say what is in it.
    pub fn packet(&self) -> Bytes {
        let mut out = BytesMut::new();
        out.put_u32_le(self.capabilities);
        out.put_u32_le(self.most);
        out.put_u8(self.collation);
        out.put_slice(&[0; 23]);
        put_ended(&mut out, self.user.as_bytes());
        // The shorter form is the same up to 250 bytes, which no proof exceeds.
        put_counted(&mut out, &self.proof);
        if self.capabilities & CONNECT_WITH_DB != 0 {
            put_ended(&mut out, self.database.as_deref().unwrap_or_default().as_bytes());
        }
        if self.capabilities & PLUGIN_AUTH != 0 {
            put_ended(&mut out, self.method.as_bytes());
        }
        out.freeze()
    }

    /// Of a packet of a client. Its attributes are not looked at.
    pub fn read(packet: &[u8]) -> Result<Self, Short> {
        let mut fields = Fields::of("a login", packet);
        let capabilities = fields.fixed(4, "capabilities")? as u32;
        let most = fields.fixed(4, "a length")? as u32;
        let collation = fields.one("a collation")?;
        fields.bytes(23, "23 zeros")?;
        let user = text(fields.ended("a user")?);
        let proof = if capabilities & PLUGIN_AUTH_LENENC != 0 {
            fields.counted("a proof")?
        } else if capabilities & SECURE_CONNECTION != 0 {
            let length = fields.one("a proof")?;
            fields.bytes(usize::from(length), "a proof")?
        } else {
            fields.ended("a proof")?
        };
        // Clients are seen that promise a database or a method and end without.
        let mut named = |flag: u32| match capabilities & flag != 0 && !fields.rest().is_empty() {
            true => fields.ended("a name").map(|name| Some(text(name))),
            false => Ok(None),
        };
        let database = named(CONNECT_WITH_DB)?.filter(|name| !name.is_empty());
        let method = named(PLUGIN_AUTH)?.unwrap_or_default();
        Ok(Self { capabilities, most, collation, user, proof: proof.to_vec(), database, method })
    }
}

/// A server's wish for a proof by another method.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Switch {
    /// The method.
    pub method: String,
    /// What the proof is made with.
    pub nonce: [u8; NONCE],
}

impl Switch {
    /// What such a packet begins with.
    pub const MARK: u8 = 0xfe;

    /// As a packet.
    pub fn packet(&self) -> Bytes {
        let mut out = BytesMut::new();
        out.put_u8(Self::MARK);
        put_ended(&mut out, self.method.as_bytes());
        out.put_slice(&self.nonce);
        out.put_u8(0);
        out.freeze()
    }

    /// Of a packet that begins so.
    pub fn read(packet: &[u8]) -> Result<Self, Short> {
        let mut fields = Fields::of("a switch", packet);
        fields.one("its mark")?;
        let method = text(fields.ended("a method")?);
        let rest = fields.rest();
        Ok(Self { method, nonce: nonce(&[rest.strip_suffix(&[0]).unwrap_or(rest)]) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::capability::OFFERED;
    use dewpier_standins::rng::Rng;

    #[test]
    fn each_comes_back_as_it_was_and_cut_or_random_ones_never_panic() {
        let nonce: [u8; NONCE] = std::array::from_fn(|i| i as u8 + 33);
        let greeting = Greeting {
            version: "8.0.40".into(),
            connection: 70_000,
            nonce,
            capabilities: OFFERED,
            collation: 45,
            status: 2,
            method: "mysql_native_password".into(),
        };
        let login = Login {
            capabilities: OFFERED,
            most: 1 << 24,
            collation: 255,
            user: "planner".into(),
            proof: vec![7; 20],
            database: Some("plans".into()),
            method: "caching_sha2_password".into(),
        };
        let switch = Switch { method: "mysql_native_password".into(), nonce };
        assert_eq!(Greeting::read(&greeting.packet()), Ok(greeting.clone()));
        assert_eq!(Login::read(&login.packet()), Ok(login.clone()));
        let short =
            Login { capabilities: SECURE_CONNECTION, database: None, method: String::new(), ..login.clone() };
        assert_eq!(Login::read(&short.packet()), Ok(short));
        assert_eq!(Switch::read(&switch.packet()), Ok(switch.clone()));
        let mut rng = Rng::from_env("HANDSHAKE_SEED", 31);
        for packet in [greeting.packet(), login.packet(), switch.packet()] {
            for _ in 0..3000 {
                let mut bytes = packet[..rng.below(packet.len() + 1)].to_vec();
                for _ in 0..rng.below(4) {
                    let at = rng.below(bytes.len().max(1));
                    bytes.get_mut(at).into_iter().for_each(|byte| *byte = rng.next_u64() as u8);
                }
                let _ = (Greeting::read(&bytes), Login::read(&bytes), Switch::read(&bytes));
            }
        }
        assert!(Greeting::read(&greeting.packet()[..40]).is_err());
        assert!(Login::read(&login.packet()[..34]).is_err());
    }
}
