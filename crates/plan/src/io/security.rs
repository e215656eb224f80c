//! Secures connections between planners and forwarders: TLS 1.3 by rustls with certificates on both sides, or
//! plain connections on loopback.
//!
//! One authority signs the certificates of an installation. The DNS name in a certificate states the role of
//! its owner, so that a forwarder cannot act as a planner.

use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use std::fmt::Debug;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::rustls::client::verify_server_name;
use tokio_rustls::rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use tokio_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig, crypto::ring, version::TLS13};
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// Time limit for the TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The role of a process, as stated in its certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `planner.dewpier.internal`
    Planner,
    /// `forwarder.dewpier.internal`
    Forwarder,
}

impl Role {
    /// The DNS name that the certificate must contain.
    pub fn name(self) -> &'static str {
        match self {
            Self::Planner => "planner.dewpier.internal",
            Self::Forwarder => "forwarder.dewpier.internal",
        }
    }

    fn server_name(self) -> io::Result<ServerName<'static>> {
        ServerName::try_from(self.name()).map_err(io::Error::other)
    }
}

/// Paths of the PEM files for TLS.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateFiles {
    /// Certificate of the authority.
    pub authority: PathBuf,
    /// Certificate of this process, followed by intermediate certificates.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
}

/// Why the certificate files cannot be used.
#[derive(Debug, Error)]
pub enum SecurityError {
    /// A file cannot be read or lacks the expected content.
    #[error("{path}: expected {expected} in PEM form: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// Description of the expected content.
        expected: &'static str,
        /// Description of the error.
        reason: String,
    },
    /// The files do not match each other.
    #[error("{path}: cannot be used: {reason}")]
    Mismatched {
        /// Path of the certificate.
        path: String,
        /// Description of the error.
        reason: String,
    },
}

/// A connection, encrypted or plain.
pub type Stream = Box<dyn ByteStream>;

/// The operations of a connection.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin + Send + Sync {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send + Sync> ByteStream for T {}

#[derive(Clone)]
struct TlsConfig {
    acceptor: TlsAcceptor,
    connector: TlsConnector,
}

struct Tls {
    files: CertificateFiles,
    config: RwLock<TlsConfig>,
}

/// How connections are secured. Clones share the certificates.
#[derive(Clone, Default)]
pub struct Security(Option<Arc<Tls>>);

impl Debug for Security {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Security::Tls" } else { "Security::Plain" })
    }
}

impl Security {
    /// Plain connections, for loopback only.
    pub fn plain() -> Self {
        Self(None)
    }

    /// TLS with the certificates in `files`. Fails if a file cannot be read or the files do not match.
    pub fn read(files: CertificateFiles) -> Result<Self, SecurityError> {
        let config = RwLock::new(load_config(&files)?);
        Ok(Self(Some(Arc::new(Tls { files, config }))))
    }

    /// Reads the files again for new connections. On an error the current certificates stay in use.
    pub fn reload(&self) -> Result<(), SecurityError> {
        if let Some(tls) = &self.0 {
            let new_config = load_config(&tls.files)?;
            *tls.config.write().unwrap_or_else(PoisonError::into_inner) = new_config;
        }
        Ok(())
    }

    fn config(&self) -> Option<TlsConfig> {
        let tls = self.0.as_ref()?;
        Some(tls.config.read().unwrap_or_else(PoisonError::into_inner).clone())
    }

    /// Performs the server side of the handshake. Fails unless the peer has a certificate for `role`.
    pub async fn accept(&self, stream: TcpStream, role: Role) -> io::Result<Stream> {
        stream.set_nodelay(true)?;
        let Some(config) = self.config() else { return Ok(Box::new(stream)) };
        let stream = tokio::time::timeout(HANDSHAKE_TIMEOUT, config.acceptor.accept(stream)).await??;
        // The verifier has checked that the authority signed the certificate, but not the role.
        let certificate = stream.get_ref().1.peer_certificates().and_then(|chain| chain.first());
        let certificate = certificate.and_then(|certificate| ParsedCertificate::try_from(certificate).ok());
        let name = role.server_name()?;
        if certificate.is_none_or(|certificate| verify_server_name(&certificate, &name).is_err()) {
            let message = format!("expected a certificate for {}, found another", role.name());
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(Box::new(stream))
    }

    /// Performs the client side of the handshake. Fails unless the peer has a certificate for `role`.
    pub async fn connect(&self, stream: TcpStream, role: Role) -> io::Result<Stream> {
        stream.set_nodelay(true)?;
        let Some(config) = self.config() else { return Ok(Box::new(stream)) };
        let connecting = config.connector.connect(role.server_name()?, stream);
        Ok(Box::new(tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting).await??))
    }
}

fn load_config(files: &CertificateFiles) -> Result<TlsConfig, SecurityError> {
    let file_error = |path: &PathBuf, expected: &'static str, reason: String| SecurityError::File {
        path: path.display().to_string(),
        expected,
        reason,
    };
    let read_certificates = |path: &PathBuf| {
        let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
        let read = read.map_err(|error| file_error(path, "certificates", error.to_string()))?;
        if read.is_empty() { Err(file_error(path, "certificates", "found none".into())) } else { Ok(read) }
    };
    let mismatch =
        |reason: String| SecurityError::Mismatched { path: files.certificate.display().to_string(), reason };
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(&files.authority)? {
        roots
            .add(certificate)
            .map_err(|error| file_error(&files.authority, "an authority", error.to_string()))?;
    }
    let roots = Arc::new(roots);
    let chain = read_certificates(&files.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|error| file_error(&files.key, "a private key", error.to_string()))?;
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|error| mismatch(error.to_string()))?;
    let server = ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&TLS13])
        .map_err(|error| mismatch(error.to_string()))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(|error| mismatch(error.to_string()))?;
    let client = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(|error| mismatch(error.to_string()))?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(|error| mismatch(error.to_string()))?;
    Ok(TlsConfig {
        acceptor: TlsAcceptor::from(Arc::new(server)),
        connector: TlsConnector::from(Arc::new(client)),
    })
}
