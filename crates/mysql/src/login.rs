//! State machines of the logins: of a client to the proxy, and of the proxy to a server. No I/O.

use crate::auth::{self, CACHING_SHA2_PASSWORD, MYSQL_NATIVE_PASSWORD, NONCE_BYTES, PasswordHash};
use crate::capability::{
    CONNECT_ATTRS, CONNECT_WITH_DB, OFFERED_CAPABILITIES, REQUIRED_CAPABILITIES, RESPONSE_CAPABILITIES,
};
use crate::error::{ER_ACCESS_DENIED_ERROR, ER_NOT_SUPPORTED_YET, ER_UNKNOWN_ERROR, ErrPacket};
use crate::fields::MalformedPacket;
use crate::handshake::{AuthSwitchRequest, HandshakeResponse, HandshakeV10};
use bytes::Bytes;
use std::collections::HashMap;
use thiserror::Error;

/// Longest accepted packet of a login. The attributes of a client are its longest part.
pub const MAX_LOGIN_PACKET_BYTES: usize = 64 << 10;

/// First byte of a packet with further data of the authentication.
const AUTH_MORE_DATA: u8 = 0x01;
/// State of [`CACHING_SHA2_PASSWORD`]: the response is valid.
const FAST_AUTH_SUCCESS: u8 = 0x03;
/// State of [`CACHING_SHA2_PASSWORD`]: the server has not cached the hash of the password, and requires the password.
const FULL_AUTHENTICATION: u8 = 0x04;

/// The properties that a client's session and its connections to servers have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionProfile {
    /// Those of [`RESPONSE_CAPABILITIES`] that both sides have.
    pub capabilities: u32,
    /// Collation, and with it the character set of statements and responses.
    pub collation: u8,
}

/// A client that has logged in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthenticatedClient {
    /// User name.
    pub user: String,
    /// Database to select.
    pub database: Option<String>,
    /// Capabilities and collation of the client.
    pub profile: ConnectionProfile,
}

/// The next step of a client's login.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientLoginStep {
    /// Send this packet, and handle the client's next one.
    Send(Bytes),
    /// The client is logged in: send the packet, if there is one, and an OK.
    Accepted(AuthenticatedClient, Option<Bytes>),
    /// The login failed: send the error and close the connection.
    Rejected(ErrPacket),
}

/// A client's login to the proxy.
#[derive(Debug)]
pub struct ClientLogin {
    nonce: [u8; NONCE_BYTES],
    /// The client's first packet, while the response of another plugin is awaited.
    pending_response: Option<HandshakeResponse>,
}

impl ClientLogin {
    /// Starts a login with this nonce. Returns it with the first packet to send.
    pub fn new(nonce: [u8; NONCE_BYTES], connection_id: u32, version: &str) -> (Self, Bytes) {
        let handshake = HandshakeV10 {
            version: version.into(),
            connection_id,
            nonce,
            capabilities: OFFERED_CAPABILITIES,
            collation: 45, // utf8mb4_general_ci
            status_flags: 2,
            auth_plugin: MYSQL_NATIVE_PASSWORD.into(),
        };
        (Self { nonce, pending_response: None }, handshake.encode())
    }

    /// Handles a packet of the client.
    pub fn handle_packet(&mut self, packet: &[u8], users: &HashMap<String, PasswordHash>) -> ClientLoginStep {
        let (login, response) = match self.pending_response.take() {
            Some(login) => (login, packet.to_vec()),
            None => match HandshakeResponse::parse(packet) {
                Ok(login) => {
                    let response = login.auth_response.clone();
                    (login, response)
                }
                Err(malformed) => {
                    return ClientLoginStep::Rejected(ErrPacket::new(
                        ER_UNKNOWN_ERROR,
                        b"08S01",
                        malformed.to_string(),
                    ));
                }
            },
        };
        if login.capabilities & REQUIRED_CAPABILITIES != REQUIRED_CAPABILITIES {
            let text = "expected a client of protocol 4.1 with secure logins (TLS is not offered)";
            return ClientLoginStep::Rejected(ErrPacket::new(ER_NOT_SUPPORTED_YET, b"08004", text));
        }
        // An unknown user takes the same steps as a user with a wrong password.
        let stored = users.get(&login.user);
        let plugin = stored.map_or(MYSQL_NATIVE_PASSWORD, PasswordHash::plugin);
        let named_plugin =
            if login.auth_plugin.is_empty() { MYSQL_NATIVE_PASSWORD } else { login.auth_plugin.as_str() };
        if named_plugin != plugin {
            let switch = AuthSwitchRequest { auth_plugin: plugin.into(), nonce: self.nonce };
            self.pending_response = Some(HandshakeResponse { auth_plugin: plugin.into(), ..login });
            return ClientLoginStep::Send(switch.encode());
        }
        if !stored.is_some_and(|hash| hash.verify_response(&self.nonce, &response)) {
            let text = format!("Access denied for user '{}'", login.user);
            return ClientLoginStep::Rejected(ErrPacket::new(ER_ACCESS_DENIED_ERROR, b"28000", text));
        }
        let first_packet = (plugin == CACHING_SHA2_PASSWORD)
            .then(|| Bytes::from_static(&[AUTH_MORE_DATA, FAST_AUTH_SUCCESS]));
        let profile = ConnectionProfile {
            capabilities: login.capabilities & OFFERED_CAPABILITIES & RESPONSE_CAPABILITIES,
            collation: login.collation,
        };
        ClientLoginStep::Accepted(
            AuthenticatedClient { user: login.user, database: login.database, profile },
            first_packet,
        )
    }
}

/// Why a login to a server failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ServerLoginError {
    /// A packet of the server is malformed.
    #[error("{0}")]
    MalformedPacket(#[from] MalformedPacket),
    /// The server rejected the login.
    #[error("error {}: {}", .0.code, .0.message)]
    Rejected(ErrPacket),
    /// The server lacks capabilities that the client was offered.
    #[error("the server lacks capabilities {0:#x}")]
    MissingCapabilities(u32),
    /// The server requires an unsupported authentication plugin.
    #[error("the server requires authentication plugin {0:?}, which is not supported")]
    UnsupportedPlugin(String),
    /// The server sent a packet that is not part of a login.
    #[error("a login: expected OK or an error, found a packet that begins with {0:#04x}")]
    UnexpectedPacket(u8),
}

/// The next step of a login to a server.
#[derive(Debug, PartialEq, Eq)]
pub enum ServerLoginStep {
    /// Send this packet, and handle the server's next one.
    Send(Bytes),
    /// Handle the server's next packet.
    Receive,
    /// The connection is logged in.
    Done,
}

/// The user of the proxy at the servers.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// User name.
    pub user: String,
    /// Password.
    pub password: String,
}

/// The proxy's login to a server.
#[derive(Debug)]
pub struct ServerLogin {
    profile: ConnectionProfile,
    handshake_received: bool,
    /// Id of the connection at the server; 0 until the server's handshake.
    pub connection_id: u32,
}

impl ServerLogin {
    /// Starts a login with this profile. It names no database: the database is selected before a statement.
    pub fn new(profile: ConnectionProfile) -> Self {
        Self { profile, handshake_received: false, connection_id: 0 }
    }

    /// Handles a packet of the server.
    pub fn handle_packet(
        &mut self,
        packet: &[u8],
        credentials: &Credentials,
    ) -> Result<ServerLoginStep, ServerLoginError> {
        let create_response =
            |plugin: &str, nonce| auth::create_auth_response(plugin, &credentials.password, nonce);
        match packet.first() {
            Some(0xff) => Err(ServerLoginError::Rejected(ErrPacket::parse(packet)?)),
            _ if !self.handshake_received => {
                let handshake = HandshakeV10::parse(packet)?;
                let required = self.profile.capabilities | REQUIRED_CAPABILITIES;
                let missing = required & !handshake.capabilities;
                if missing != 0 {
                    return Err(ServerLoginError::MissingCapabilities(missing));
                }
                (self.handshake_received, self.connection_id) = (true, handshake.connection_id);
                let own_capabilities =
                    OFFERED_CAPABILITIES & !(RESPONSE_CAPABILITIES | CONNECT_WITH_DB | CONNECT_ATTRS);
                // If the server's default plugin is not supported, it will request a switch.
                let named_plugin = if handshake.auth_plugin.is_empty() {
                    MYSQL_NATIVE_PASSWORD
                } else {
                    handshake.auth_plugin.as_str()
                };
                let (plugin, auth_response) = match create_response(named_plugin, &handshake.nonce) {
                    Some(auth_response) => (named_plugin, auth_response),
                    None => (MYSQL_NATIVE_PASSWORD, Vec::new()),
                };
                let login = HandshakeResponse {
                    capabilities: (self.profile.capabilities | own_capabilities) & handshake.capabilities,
                    max_packet_bytes: 1 << 30,
                    collation: self.profile.collation,
                    user: credentials.user.clone(),
                    auth_response,
                    database: None,
                    auth_plugin: plugin.into(),
                };
                Ok(ServerLoginStep::Send(login.encode()))
            }
            Some(0x00) => Ok(ServerLoginStep::Done),
            Some(&AuthSwitchRequest::STATUS_TAG) => {
                let switch = AuthSwitchRequest::parse(packet)?;
                match create_response(&switch.auth_plugin, &switch.nonce) {
                    Some(auth_response) => Ok(ServerLoginStep::Send(auth_response.into())),
                    None => Err(ServerLoginError::UnsupportedPlugin(switch.auth_plugin)),
                }
            }
            Some(&AUTH_MORE_DATA) => match packet.get(1) {
                Some(&FAST_AUTH_SUCCESS) => Ok(ServerLoginStep::Receive),
                Some(&FULL_AUTHENTICATION) => Err(ServerLoginError::UnsupportedPlugin(format!(
                    "{CACHING_SHA2_PASSWORD} with full authentication"
                ))),
                other => Err(ServerLoginError::UnexpectedPacket(other.copied().unwrap_or_default())),
            },
            first => Err(ServerLoginError::UnexpectedPacket(first.copied().unwrap_or_default())),
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

    fn handshake_response(user: &str, password: &str, nonce: &[u8; NONCE_BYTES]) -> HandshakeResponse {
        HandshakeResponse {
            capabilities: OFFERED_CAPABILITIES & !CONNECT_ATTRS,
            max_packet_bytes: 1 << 24,
            collation: 45,
            user: user.into(),
            auth_response: auth::create_auth_response(MYSQL_NATIVE_PASSWORD, password, nonce).unwrap(),
            database: Some("plans".into()),
            auth_plugin: MYSQL_NATIVE_PASSWORD.into(),
        }
    }

    #[test]
    fn only_valid_password_response_logs_client_in() {
        let nonce = [5; NONCE_BYTES];
        let log_in = |response: HandshakeResponse| {
            ClientLogin::new(nonce, 1, "8.0").0.handle_packet(&response.encode(), &users())
        };
        let profile = ConnectionProfile { capabilities: RESPONSE_CAPABILITIES, collation: 45 };
        let client = AuthenticatedClient { user: "planner".into(), database: Some("plans".into()), profile };
        assert_eq!(
            log_in(handshake_response("planner", "oak", &nonce)),
            ClientLoginStep::Accepted(client.clone(), None)
        );
        let without_protocol_41 = HandshakeResponse {
            capabilities: OFFERED_CAPABILITIES & !PROTOCOL_41,
            ..handshake_response("planner", "oak", &nonce)
        };
        for invalid in [
            handshake_response("planner", "elm", &nonce),
            handshake_response("other", "oak", &nonce),
            handshake_response("planner", "", &nonce),
            without_protocol_41,
        ] {
            assert!(matches!(log_in(invalid.clone()), ClientLoginStep::Rejected(_)), "{invalid:?}");
        }
        // A client that names another plugin is asked to switch.
        let (mut login, _) = ClientLogin::new(nonce, 1, "8.0");
        let other = HandshakeResponse {
            auth_plugin: "caching_sha2_password".into(),
            auth_response: vec![1; 32],
            ..handshake_response("planner", "", &nonce)
        };
        let ClientLoginStep::Send(switch) = login.handle_packet(&other.encode(), &users()) else {
            panic!("no plugin switch")
        };
        let auth_response = auth::create_auth_response(
            MYSQL_NATIVE_PASSWORD,
            "oak",
            &AuthSwitchRequest::parse(&switch).unwrap().nonce,
        )
        .unwrap();
        assert_eq!(
            login.handle_packet(&auth_response, &users()),
            ClientLoginStep::Accepted(client.clone(), None)
        );
        // A user with a stored SHA-256 hash is asked to switch to caching_sha2_password.
        let (mut login, _) = ClientLogin::new(nonce, 1, "8.0");
        let ClientLoginStep::Send(switch) =
            login.handle_packet(&handshake_response("maker", "ash", &nonce).encode(), &users())
        else {
            panic!("no plugin switch")
        };
        let switch = AuthSwitchRequest::parse(&switch).unwrap();
        let auth_response = auth::create_auth_response(&switch.auth_plugin, "ash", &switch.nonce).unwrap();
        let first_packet = Some(Bytes::from_static(&[AUTH_MORE_DATA, FAST_AUTH_SUCCESS]));
        assert_eq!(
            login.handle_packet(&auth_response, &users()),
            ClientLoginStep::Accepted(AuthenticatedClient { user: "maker".into(), ..client }, first_packet)
        );
    }

    #[test]
    fn server_login_uses_nonce_of_handshake_or_plugin_switch() {
        let credentials = Credentials { user: "dewpier".into(), password: "elm".into() };
        let profile = ConnectionProfile { capabilities: DEPRECATE_EOF, collation: 45 };
        let handshake = |capabilities, plugin: &str| HandshakeV10 {
            version: "8".into(),
            connection_id: 7,
            nonce: [3; NONCE_BYTES],
            capabilities,
            collation: 45,
            status_flags: 2,
            auth_plugin: plugin.into(),
        };
        let mut login = ServerLogin::new(profile);
        let response = login.handle_packet(&handshake(OFFERED_CAPABILITIES, "dialog").encode(), &credentials);
        let Ok(ServerLoginStep::Send(response)) = response else { panic!("{response:?}") };
        let response = HandshakeResponse::parse(&response).unwrap();
        assert_eq!(
            (
                response.auth_response.len(),
                response.capabilities & RESPONSE_CAPABILITIES,
                login.connection_id
            ),
            (0, DEPRECATE_EOF, 7)
        );
        let switch = AuthSwitchRequest { auth_plugin: MYSQL_NATIVE_PASSWORD.into(), nonce: [4; NONCE_BYTES] };
        let auth_response =
            auth::create_auth_response(MYSQL_NATIVE_PASSWORD, "elm", &[4; NONCE_BYTES]).unwrap();
        assert_eq!(
            login.handle_packet(&switch.encode(), &credentials),
            Ok(ServerLoginStep::Send(auth_response.into()))
        );
        assert_eq!(login.handle_packet(&[0, 0, 0, 2, 0, 0, 0], &credentials), Ok(ServerLoginStep::Done));
        let mut sha2_login = ServerLogin::new(profile);
        let Ok(ServerLoginStep::Send(response)) = sha2_login
            .handle_packet(&handshake(OFFERED_CAPABILITIES, CACHING_SHA2_PASSWORD).encode(), &credentials)
        else {
            panic!("no response to the handshake")
        };
        assert_eq!(
            HandshakeResponse::parse(&response).unwrap().auth_response,
            auth::create_auth_response(CACHING_SHA2_PASSWORD, "elm", &[3; NONCE_BYTES]).unwrap()
        );
        assert_eq!(
            sha2_login.handle_packet(&[AUTH_MORE_DATA, FAST_AUTH_SUCCESS], &credentials),
            Ok(ServerLoginStep::Receive)
        );
        assert_eq!(sha2_login.handle_packet(&[0, 0, 0, 2, 0, 0, 0], &credentials), Ok(ServerLoginStep::Done));
        assert!(matches!(
            sha2_login.handle_packet(&[AUTH_MORE_DATA, FULL_AUTHENTICATION], &credentials),
            Err(ServerLoginError::UnsupportedPlugin(_))
        ));
        let result = ServerLogin::new(profile).handle_packet(
            &handshake(OFFERED_CAPABILITIES & !DEPRECATE_EOF, MYSQL_NATIVE_PASSWORD).encode(),
            &credentials,
        );
        assert_eq!(result, Err(ServerLoginError::MissingCapabilities(DEPRECATE_EOF)));
        let switch = AuthSwitchRequest { auth_plugin: "dialog".into(), nonce: [4; NONCE_BYTES] };
        assert_eq!(
            login.handle_packet(&switch.encode(), &credentials),
            Err(ServerLoginError::UnsupportedPlugin("dialog".into()))
        );
        let too_many = ErrPacket::new(crate::error::ER_CON_COUNT_ERROR, b"08004", "Too many connections");
        assert_eq!(
            ServerLogin::new(profile).handle_packet(&too_many.encode(), &credentials),
            Err(ServerLoginError::Rejected(too_many))
        );
    }
}
