//! Proofs of a password that don't tell it, by the two methods that clients have.

use sha1::Sha1;
use sha2::{Digest, Sha256};

/// The method that all servers and clients know: `SHA1(p) ^ SHA1(nonce + SHA1(SHA1(p)))`
/// ("Secure Password Authentication" in MySQL's internals manual).
pub const NATIVE: &str = "mysql_native_password";
/// The method of MySQL 8: `SHA256(p) ^ SHA256(SHA256(SHA256(p)) + nonce)` ("Caching SHA-2 Pluggable Authentication"
/// in its reference manual). A server that keeps the double hash needs no more than that, ever.
pub const SHA2: &str = "caching_sha2_password";
/// Bytes of a nonce.
pub const NONCE: usize = 20;

/// What is kept of a password: who has it can check a proof, and can't make one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PasswordHash {
    /// For [`NATIVE`]: `SHA1(SHA1(p))`.
    Native([u8; 20]),
    /// For [`SHA2`]: `SHA256(SHA256(p))`.
    Sha2([u8; 32]),
}

fn hash<D: Digest, const N: usize>(parts: &[&[u8]]) -> [u8; N] {
    let mut hash = D::new();
    parts.iter().for_each(|part| hash.update(part));
    let whole = hash.finalize();
    std::array::from_fn(|i| whole.get(i).copied().unwrap_or_default())
}

fn sha1(parts: &[&[u8]]) -> [u8; 20] {
    hash::<Sha1, 20>(parts)
}

fn sha256(parts: &[&[u8]]) -> [u8; 32] {
    hash::<Sha256, 32>(parts)
}

impl PasswordHash {
    /// What is kept of a password for [`NATIVE`].
    pub fn native(password: &str) -> Self {
        Self::Native(sha1(&[&sha1(&[password.as_bytes()])]))
    }

    /// What is kept of a password for [`SHA2`].
    pub fn sha2(password: &str) -> Self {
        Self::Sha2(sha256(&[&sha256(&[password.as_bytes()])]))
    }

    /// The method that it is for.
    pub fn plugin(&self) -> &'static str {
        match self {
            Self::Native(_) => NATIVE,
            Self::Sha2(_) => SHA2,
        }
    }

    /// A proof is one of the password of which this was kept.
    pub fn verify_response(&self, nonce: &[u8; NONCE], proof: &[u8]) -> bool {
        match self {
            Self::Native(kept) => {
                let Ok(proof) = <[u8; 20]>::try_from(proof) else { return false };
                same(&sha1(&[&xor(&proof, &sha1(&[nonce, kept]))]), kept)
            }
            Self::Sha2(kept) => {
                let Ok(proof) = <[u8; 32]>::try_from(proof) else { return false };
                same(&sha256(&[&xor(&proof, &sha256(&[kept, nonce]))]), kept)
            }
        }
    }
}

fn xor<const N: usize>(a: &[u8; N], b: &[u8; N]) -> [u8; N] {
    std::array::from_fn(|i| a[i] ^ b[i])
}

/// All of it is looked at, so that the time does not tell where it is wrong.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}

/// The proof of a password by that method to who gave that nonce: none where the method is not known. An empty
/// password is proved by nothing.
pub fn proof(method: &str, password: &str, nonce: &[u8; NONCE]) -> Option<Vec<u8>> {
    let password = password.as_bytes();
    match method {
        NATIVE | SHA2 if password.is_empty() => Some(Vec::new()),
        NATIVE => {
            let once = sha1(&[password]);
            Some(xor(&once, &sha1(&[nonce, &sha1(&[&once])])).to_vec())
        }
        SHA2 => {
            let once = sha256(&[password]);
            Some(xor(&once, &sha256(&[&sha256(&[&once]), nonce])).to_vec())
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_proof_holds_for_its_password_and_its_nonce_alone() {
        let nonce: [u8; NONCE] = std::array::from_fn(|i| i as u8 + 1);
        for (kept, other) in [
            (PasswordHash::native("shop"), PasswordHash::native("Shop")),
            (PasswordHash::sha2("shop"), PasswordHash::sha2("Shop")),
        ] {
            let proof = proof(kept.plugin(), "shop", &nonce).unwrap();
            assert!(kept.verify_response(&nonce, &proof));
            assert!(!other.verify_response(&nonce, &proof));
            assert!(!kept.verify_response(&[9; NONCE], &proof));
            for wrong in [&proof[1..], &[], &[0; 20], &[0; 32]] {
                assert!(!kept.verify_response(&nonce, wrong));
            }
        }
        assert_eq!(proof("dialog", "shop", &nonce), None);
        // As the manual's PASSWORD('mypass') has it.
        let PasswordHash::Native(kept) = PasswordHash::native("mypass") else { panic!("another method") };
        let hex: String = kept.iter().map(|b| format!("{b:02X}")).collect();
        assert_eq!(hex, "6C8989366EAF75BB670AD8EA7A7FC1176A95CEF4");
    }
}
