//! The files by which connections between forwarders and planners are secured.

use crate::error::ServeError;
use dewpier_plan::io::{CertificateFiles, Security};

/// How connections are secured, by these files if there are any.
pub fn security(tls: Option<CertificateFiles>) -> Result<Security, ServeError> {
    match tls {
        Some(files) => Security::read(files).map_err(|error| ServeError::Inventory(error.to_string())),
        None => Ok(Security::plain()),
    }
}

/// Reads the files again.
pub fn reload(security: &Security) {
    if let Err(error) = security.reload() {
        eprintln!("dewpier: the certificates stay as they are: {error}");
    }
}
