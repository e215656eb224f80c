//! Creates and verifies authentication responses of the plugins `mysql_native_password` and `caching_sha2_password`, which
//! prove the knowledge of a password without sending it.

use sha1::Sha1;
use sha2::{Digest, Sha256};

/// The plugin that all servers and clients support: `SHA1(p) ^ SHA1(nonce + SHA1(SHA1(p)))`
/// ("Secure Password Authentication" in MySQL's internals manual).
pub const MYSQL_NATIVE_PASSWORD: &str = "mysql_native_password";
/// The default plugin of MySQL 8: `SHA256(p) ^ SHA256(SHA256(SHA256(p)) + nonce)` ("Caching SHA-2 Pluggable Authentication"
/// in its reference manual).
pub const CACHING_SHA2_PASSWORD: &str = "caching_sha2_password";
/// Length of a nonce.
pub const NONCE_BYTES: usize = 20;

/// The stored hash of a password. It suffices to verify a response, but not to create one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PasswordHash {
    /// For [`MYSQL_NATIVE_PASSWORD`]: `SHA1(SHA1(p))`.
    Native([u8; 20]),
    /// For [`CACHING_SHA2_PASSWORD`]: `SHA256(SHA256(p))`.
    Sha2([u8; 32]),
}

fn compute_hash<D: Digest, const N: usize>(parts: &[&[u8]]) -> [u8; N] {
    let mut hasher = D::new();
    parts.iter().for_each(|part| hasher.update(part));
    let digest = hasher.finalize();
    std::array::from_fn(|i| digest.get(i).copied().unwrap_or_default())
}

fn sha1(parts: &[&[u8]]) -> [u8; 20] {
    compute_hash::<Sha1, 20>(parts)
}

fn sha256(parts: &[&[u8]]) -> [u8; 32] {
    compute_hash::<Sha256, 32>(parts)
}

impl PasswordHash {
    /// Hashes a password for [`MYSQL_NATIVE_PASSWORD`].
    pub fn native(password: &str) -> Self {
        Self::Native(sha1(&[&sha1(&[password.as_bytes()])]))
    }

    /// Hashes a password for [`CACHING_SHA2_PASSWORD`].
    pub fn sha2(password: &str) -> Self {
        Self::Sha2(sha256(&[&sha256(&[password.as_bytes()])]))
    }

    /// The name of the plugin that the hash is for.
    pub fn plugin(&self) -> &'static str {
        match self {
            Self::Native(_) => MYSQL_NATIVE_PASSWORD,
            Self::Sha2(_) => CACHING_SHA2_PASSWORD,
        }
    }

    /// Whether a response to this nonce was created with the password.
    pub fn verify_response(&self, nonce: &[u8; NONCE_BYTES], response: &[u8]) -> bool {
        match self {
            Self::Native(stored) => {
                let Ok(response) = <[u8; 20]>::try_from(response) else { return false };
                is_equal_constant_time(&sha1(&[&xor(&response, &sha1(&[nonce, stored]))]), stored)
            }
            Self::Sha2(stored) => {
                let Ok(response) = <[u8; 32]>::try_from(response) else { return false };
                is_equal_constant_time(&sha256(&[&xor(&response, &sha256(&[stored, nonce]))]), stored)
            }
        }
    }
}

fn xor<const N: usize>(a: &[u8; N], b: &[u8; N]) -> [u8; N] {
    std::array::from_fn(|i| a[i] ^ b[i])
}

/// Compares all bytes, so that the time taken does not depend on the first difference.
fn is_equal_constant_time(a: &[u8], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}

/// Creates the response of a plugin to a nonce; an empty password has an empty response. None if the plugin is not
/// supported.
pub fn create_auth_response(plugin: &str, password: &str, nonce: &[u8; NONCE_BYTES]) -> Option<Vec<u8>> {
    let password = password.as_bytes();
    match plugin {
        MYSQL_NATIVE_PASSWORD | CACHING_SHA2_PASSWORD if password.is_empty() => Some(Vec::new()),
        MYSQL_NATIVE_PASSWORD => {
            let password_hash = sha1(&[password]);
            Some(xor(&password_hash, &sha1(&[nonce, &sha1(&[&password_hash])])).to_vec())
        }
        CACHING_SHA2_PASSWORD => {
            let password_hash = sha256(&[password]);
            Some(xor(&password_hash, &sha256(&[&sha256(&[&password_hash]), nonce])).to_vec())
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn response_is_valid_only_for_its_password_and_nonce() {
        let nonce: [u8; NONCE_BYTES] = std::array::from_fn(|i| i as u8 + 1);
        for (stored, other) in [
            (PasswordHash::native("shop"), PasswordHash::native("Shop")),
            (PasswordHash::sha2("shop"), PasswordHash::sha2("Shop")),
        ] {
            let response = create_auth_response(stored.plugin(), "shop", &nonce).unwrap();
            assert!(stored.verify_response(&nonce, &response));
            assert!(!other.verify_response(&nonce, &response));
            assert!(!stored.verify_response(&[9; NONCE_BYTES], &response));
            for invalid in [&response[1..], &[], &[0; 20], &[0; 32]] {
                assert!(!stored.verify_response(&nonce, invalid));
            }
        }
        assert_eq!(create_auth_response("dialog", "shop", &nonce), None);
        // The value of PASSWORD('mypass') in the MySQL manual.
        let PasswordHash::Native(stored) = PasswordHash::native("mypass") else { panic!("another plugin") };
        let hex: String = stored.iter().map(|b| format!("{b:02X}")).collect();
        assert_eq!(hex, "6C8989366EAF75BB670AD8EA7A7FC1176A95CEF4");
    }
}
