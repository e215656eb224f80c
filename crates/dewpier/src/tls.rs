//! Loads the TLS files that secure connections between forwarders and planners.

use crate::error::ServeError;
use dewpier_plan::io::{CertificateFiles, Security};

/// Loads the security of connections from these files, or plain connections if there are none.
pub fn load_security(tls: Option<CertificateFiles>) -> Result<Security, ServeError> {
    match tls {
        Some(files) => Security::read(files).map_err(|error| ServeError::BadInput(error.to_string())),
        None => Ok(Security::plain()),
    }
}

/// Reads the files again. Files that cannot be used leave the loaded ones in place.
pub fn reload_security(security: &Security) {
    if let Err(error) = security.reload() {
        eprintln!("dewpier: reloading the TLS files failed, the previous ones stay in use: {error}");
    }
}
