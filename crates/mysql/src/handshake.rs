//! Encodes and parses the packets of a login ("Connection Phase Packets" in MySQL's internals manual): the server's
//! handshake, the client's response, and the server's request to switch the authentication plugin. Those of
//! `mysql_common` set the nonce length to 13, where MySQL's own clients expect 21 (docs/design/mysql.md).

use crate::auth::NONCE_BYTES;
use crate::capability::{CONNECT_WITH_DB, PLUGIN_AUTH, PLUGIN_AUTH_LENENC, SECURE_CONNECTION};
use crate::fields::{FieldReader, MalformedPacket, put_lenenc_string, put_null_terminated};
use bytes::{BufMut, Bytes, BytesMut};

/// The server's first packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandshakeV10 {
    /// Server version.
    pub version: String,
    /// Id of the connection at the server.
    pub connection_id: u32,
    /// Nonce for the authentication response.
    pub nonce: [u8; NONCE_BYTES],
    /// Capabilities of the server.
    pub capabilities: u32,
    /// Default collation of the server.
    pub collation: u8,
    /// Status flags.
    pub status_flags: u16,
    /// Default authentication plugin of the server.
    pub auth_plugin: String,
}

fn decode_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Joins the parts of a nonce. A shorter nonce is padded with zeros, as clients do it.
fn join_nonce(parts: &[&[u8]]) -> [u8; NONCE_BYTES] {
    let mut bytes = parts.iter().flat_map(|part| part.iter().copied());
    std::array::from_fn(|_| bytes.next().unwrap_or(0))
}

impl HandshakeV10 {
    /// Encodes the packet.
    pub fn encode(&self) -> Bytes {
        let mut out = BytesMut::new();
        out.put_u8(10);
        put_null_terminated(&mut out, self.version.as_bytes());
        out.put_u32_le(self.connection_id);
        out.put_slice(&self.nonce[..8]);
        out.put_u8(0);
        out.put_u16_le(self.capabilities as u16);
        out.put_u8(self.collation);
        out.put_u16_le(self.status_flags);
        out.put_u16_le((self.capabilities >> 16) as u16);
        out.put_u8(NONCE_BYTES as u8 + 1);
        out.put_slice(&[0; 10]);
        out.put_slice(&self.nonce[8..]);
        out.put_u8(0);
        put_null_terminated(&mut out, self.auth_plugin.as_bytes());
        out.freeze()
    }

    /// Parses a packet, whose protocol version must be 10.
    pub fn parse(packet: &[u8]) -> Result<Self, MalformedPacket> {
        let mut fields = FieldReader::new("a greeting", packet);
        if fields.read_u8("a version of the protocol")? != 10 {
            return Err(MalformedPacket {
                packet: "a greeting",
                expected: "version 10 of the protocol",
                remaining_bytes: 0,
            });
        }
        let version = decode_text(fields.read_null_terminated("a version")?);
        let connection_id = fields.read_fixed_int(4, "a number of the connection")? as u32;
        let nonce_start = fields.read_bytes(8, "a nonce")?;
        fields.read_u8("a zero")?;
        let low_capabilities = fields.read_fixed_int(2, "capabilities")? as u32;
        let collation = fields.read_u8("a collation")?;
        let status_flags = fields.read_fixed_int(2, "status flags")? as u16;
        let capabilities = low_capabilities | (fields.read_fixed_int(2, "capabilities")? as u32) << 16;
        let nonce_length = usize::from(fields.read_u8("the length of the nonce")?);
        fields.read_bytes(10, "ten zeros")?;
        let nonce_rest = fields.read_bytes(nonce_length.saturating_sub(8).max(13), "a nonce")?;
        let auth_plugin = match capabilities & PLUGIN_AUTH {
            0 => String::new(),
            // Some servers omit the terminator.
            _ => decode_text(fields.remaining().split(|byte| *byte == 0).next().unwrap_or_default()),
        };
        let nonce = join_nonce(&[nonce_start, nonce_rest.strip_suffix(&[0]).unwrap_or(nonce_rest)]);
        Ok(Self { version, connection_id, nonce, capabilities, collation, status_flags, auth_plugin })
    }
}

/// A client's answer to the handshake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandshakeResponse {
    /// Capabilities that the client requests.
    pub capabilities: u32,
    /// Longest packet that the client accepts.
    pub max_packet_bytes: u32,
    /// Collation and with it the character set of the client.
    pub collation: u8,
    /// User name.
    pub user: String,
    /// Authentication response of the plugin that the client names.
    pub auth_response: Vec<u8>,
    /// Database to select.
    pub database: Option<String>,
    /// Authentication plugin of the response.
    pub auth_plugin: String,
}

impl HandshakeResponse {
    /// Encodes the packet, with the parts that its capabilities announce.
    pub fn encode(&self) -> Bytes {
        let mut out = BytesMut::new();
        out.put_u32_le(self.capabilities);
        out.put_u32_le(self.max_packet_bytes);
        out.put_u8(self.collation);
        out.put_slice(&[0; 23]);
        put_null_terminated(&mut out, self.user.as_bytes());
        // Up to 250 bytes, which no response exceeds, this equals the form with a length of one byte.
        put_lenenc_string(&mut out, &self.auth_response);
        if self.capabilities & CONNECT_WITH_DB != 0 {
            put_null_terminated(&mut out, self.database.as_deref().unwrap_or_default().as_bytes());
        }
        if self.capabilities & PLUGIN_AUTH != 0 {
            put_null_terminated(&mut out, self.auth_plugin.as_bytes());
        }
        out.freeze()
    }

    /// Parses a packet, without the attributes of the client.
    pub fn parse(packet: &[u8]) -> Result<Self, MalformedPacket> {
        let mut fields = FieldReader::new("a login", packet);
        let capabilities = fields.read_fixed_int(4, "capabilities")? as u32;
        let max_packet_bytes = fields.read_fixed_int(4, "a length")? as u32;
        let collation = fields.read_u8("a collation")?;
        fields.read_bytes(23, "23 zeros")?;
        let user = decode_text(fields.read_null_terminated("a user")?);
        let auth_response = if capabilities & PLUGIN_AUTH_LENENC != 0 {
            fields.read_lenenc_string("a proof")?
        } else if capabilities & SECURE_CONNECTION != 0 {
            let length = fields.read_u8("a proof")?;
            fields.read_bytes(usize::from(length), "a proof")?
        } else {
            fields.read_null_terminated("a proof")?
        };
        // Some clients announce a database or a plugin, but omit it.
        let mut read_name = |flag: u32| match capabilities & flag != 0 && !fields.remaining().is_empty() {
            true => fields.read_null_terminated("a name").map(|name| Some(decode_text(name))),
            false => Ok(None),
        };
        let database = read_name(CONNECT_WITH_DB)?.filter(|name| !name.is_empty());
        let auth_plugin = read_name(PLUGIN_AUTH)?.unwrap_or_default();
        Ok(Self {
            capabilities,
            max_packet_bytes,
            collation,
            user,
            auth_response: auth_response.to_vec(),
            database,
            auth_plugin,
        })
    }
}

/// A server's request for a response of another authentication plugin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthSwitchRequest {
    /// The requested authentication plugin.
    pub auth_plugin: String,
    /// Nonce for the authentication response.
    pub nonce: [u8; NONCE_BYTES],
}

impl AuthSwitchRequest {
    /// First byte of the packet.
    pub const STATUS_TAG: u8 = 0xfe;

    /// Encodes the packet.
    pub fn encode(&self) -> Bytes {
        let mut out = BytesMut::new();
        out.put_u8(Self::STATUS_TAG);
        put_null_terminated(&mut out, self.auth_plugin.as_bytes());
        out.put_slice(&self.nonce);
        out.put_u8(0);
        out.freeze()
    }

    /// Parses a packet that begins with [`Self::STATUS_TAG`].
    pub fn parse(packet: &[u8]) -> Result<Self, MalformedPacket> {
        let mut fields = FieldReader::new("a switch", packet);
        fields.read_u8("its mark")?;
        let auth_plugin = decode_text(fields.read_null_terminated("a method")?);
        let nonce_bytes = fields.remaining();
        Ok(Self { auth_plugin, nonce: join_nonce(&[nonce_bytes.strip_suffix(&[0]).unwrap_or(nonce_bytes)]) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::capability::OFFERED_CAPABILITIES;
    use dewpier_standins::rng::Rng;

    #[test]
    fn packets_round_trip_and_truncated_or_random_bytes_do_not_panic() {
        let nonce: [u8; NONCE_BYTES] = std::array::from_fn(|i| i as u8 + 33);
        let handshake = HandshakeV10 {
            version: "8.0.40".into(),
            connection_id: 70_000,
            nonce,
            capabilities: OFFERED_CAPABILITIES,
            collation: 45,
            status_flags: 2,
            auth_plugin: "mysql_native_password".into(),
        };
        let response = HandshakeResponse {
            capabilities: OFFERED_CAPABILITIES,
            max_packet_bytes: 1 << 24,
            collation: 255,
            user: "planner".into(),
            auth_response: vec![7; 20],
            database: Some("plans".into()),
            auth_plugin: "caching_sha2_password".into(),
        };
        let switch = AuthSwitchRequest { auth_plugin: "mysql_native_password".into(), nonce };
        assert_eq!(HandshakeV10::parse(&handshake.encode()), Ok(handshake.clone()));
        assert_eq!(HandshakeResponse::parse(&response.encode()), Ok(response.clone()));
        let minimal = HandshakeResponse {
            capabilities: SECURE_CONNECTION,
            database: None,
            auth_plugin: String::new(),
            ..response.clone()
        };
        assert_eq!(HandshakeResponse::parse(&minimal.encode()), Ok(minimal));
        assert_eq!(AuthSwitchRequest::parse(&switch.encode()), Ok(switch.clone()));
        let mut rng = Rng::from_env("HANDSHAKE_SEED", 31);
        for packet in [handshake.encode(), response.encode(), switch.encode()] {
            for _ in 0..3000 {
                let mut bytes = packet[..rng.below(packet.len() + 1)].to_vec();
                for _ in 0..rng.below(4) {
                    let index = rng.below(bytes.len().max(1));
                    bytes.get_mut(index).into_iter().for_each(|byte| *byte = rng.next_u64() as u8);
                }
                let _ = (
                    HandshakeV10::parse(&bytes),
                    HandshakeResponse::parse(&bytes),
                    AuthSwitchRequest::parse(&bytes),
                );
            }
        }
        assert!(HandshakeV10::parse(&handshake.encode()[..40]).is_err());
        assert!(HandshakeResponse::parse(&response.encode()[..34]).is_err());
    }
}
