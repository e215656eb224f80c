//! Who may talk to whom: TLS 1.3 by rustls, with certificates on both sides, or plain on loopback.
//!
//! One authority signs the certificates of an installation. The part that the owner of one plays is in its
//! DNS name: a forwarder can't pass for a planner, and a stranger is neither.

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

/// Both sides must have shown who they are within this.
const SHAKEN_WITHIN: Duration = Duration::from_secs(2);

/// The part that one plays, as its certificate must say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `planner.dewpier.internal`
    Planner,
    /// `forwarder.dewpier.internal`
    Forwarder,
}

impl Role {
    /// The DNS name that the certificate must be for.
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

/// Files in PEM form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateFiles {
    /// The certificate of the authority.
    pub authority: PathBuf,
    /// Our certificate, and those between it and the authority's.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
}

/// Why files can't be used.
#[derive(Debug, Error)]
pub enum SecurityError {
    /// One can't be read, or has none of what it should have.
    #[error("{path}: expected {expected} in PEM form: {why}")]
    File {
        /// The file.
        path: String,
        /// What should be in it.
        expected: &'static str,
        /// What is wrong.
        why: String,
    },
    /// They don't fit together.
    #[error("{path}: cannot be used: {why}")]
    Mismatched {
        /// The certificate.
        path: String,
        /// What is wrong.
        why: String,
    },
}

/// A connection, encrypted or not.
pub type Stream = Box<dyn Io>;

/// What a connection can do.
pub trait Io: AsyncRead + AsyncWrite + Unpin + Send + Sync {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send + Sync> Io for T {}

#[derive(Clone)]
struct Live {
    acceptor: TlsAcceptor,
    connector: TlsConnector,
}

struct Tls {
    files: CertificateFiles,
    live: RwLock<Live>,
}

/// How connections are secured.
#[derive(Clone, Default)]
pub struct Security(Option<Arc<Tls>>);

impl Debug for Security {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Security::Tls" } else { "Security::Plain" })
    }
}

impl Security {
    /// Not at all: for loopback alone.
    pub fn plain() -> Self {
        Self(None)
    }

    /// By these files.
    pub fn read(files: CertificateFiles) -> Result<Self, SecurityError> {
        let live = RwLock::new(live(&files)?);
        Ok(Self(Some(Arc::new(Tls { files, live }))))
    }

    /// Reads the files again, for connections to come. Where they can't be used all stays as it is.
    pub fn reload(&self) -> Result<(), SecurityError> {
        if let Some(tls) = &self.0 {
            let new = live(&tls.files)?;
            *tls.live.write().unwrap_or_else(PoisonError::into_inner) = new;
        }
        Ok(())
    }

    fn live(&self) -> Option<Live> {
        let tls = self.0.as_ref()?;
        Some(tls.live.read().unwrap_or_else(PoisonError::into_inner).clone())
    }

    /// Lets in one who must play that part.
    pub async fn accept(&self, stream: TcpStream, part: Role) -> io::Result<Stream> {
        stream.set_nodelay(true)?;
        let Some(live) = self.live() else { return Ok(Box::new(stream)) };
        let stream = tokio::time::timeout(SHAKEN_WITHIN, live.acceptor.accept(stream)).await??;
        // That it is of our authority the verifier has seen; not which part it may play.
        let shown = stream.get_ref().1.peer_certificates().and_then(|chain| chain.first());
        let shown = shown.and_then(|certificate| ParsedCertificate::try_from(certificate).ok());
        let name = part.server_name()?;
        if shown.is_none_or(|certificate| verify_server_name(&certificate, &name).is_err()) {
            let expected = format!("expected a certificate for {}, found another", part.name());
            return Err(io::Error::new(io::ErrorKind::InvalidData, expected));
        }
        Ok(Box::new(stream))
    }

    /// Goes to one who must play that part.
    pub async fn connect(&self, stream: TcpStream, part: Role) -> io::Result<Stream> {
        stream.set_nodelay(true)?;
        let Some(live) = self.live() else { return Ok(Box::new(stream)) };
        let connecting = live.connector.connect(part.server_name()?, stream);
        Ok(Box::new(tokio::time::timeout(SHAKEN_WITHIN, connecting).await??))
    }
}

fn live(files: &CertificateFiles) -> Result<Live, SecurityError> {
    let bad = |path: &PathBuf, expected: &'static str, why: String| SecurityError::File {
        path: path.display().to_string(),
        expected,
        why,
    };
    let certificates = |path: &PathBuf| {
        let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
        let read = read.map_err(|error| bad(path, "certificates", error.to_string()))?;
        if read.is_empty() { Err(bad(path, "certificates", "found none".into())) } else { Ok(read) }
    };
    let unfit =
        |why: String| SecurityError::Mismatched { path: files.certificate.display().to_string(), why };
    let mut roots = RootCertStore::empty();
    for certificate in certificates(&files.authority)? {
        roots.add(certificate).map_err(|error| bad(&files.authority, "an authority", error.to_string()))?;
    }
    let roots = Arc::new(roots);
    let chain = certificates(&files.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|error| bad(&files.key, "a private key", error.to_string()))?;
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|error| unfit(error.to_string()))?;
    let server = ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&TLS13])
        .map_err(|error| unfit(error.to_string()))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(|error| unfit(error.to_string()))?;
    let client = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(|error| unfit(error.to_string()))?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(|error| unfit(error.to_string()))?;
    Ok(Live {
        acceptor: TlsAcceptor::from(Arc::new(server)),
        connector: TlsConnector::from(Arc::new(client)),
    })
}
