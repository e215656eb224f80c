//! What a proxy keeps for itself, sealed with the fleet's key: who comes after it at the same place knows that it is
//! whole, and whose it is.

use crate::{Key, ProxyId};

/// Bytes of a seal.
pub const TAG_BYTES: usize = 16;
/// Told apart from datagrams, so that none of them passes for what was kept.
const CONTEXT: &str = "dewpier-peers kept state 1";

impl Key {
    fn kept(&self, of: ProxyId, bytes: &[u8]) -> blake3::Hash {
        let key = blake3::derive_key(CONTEXT, self.bytes());
        let mut hasher = blake3::Hasher::new_keyed(&key);
        hasher.update(&of.0.to_be_bytes()).update(bytes);
        hasher.finalize()
    }

    /// The seal of a proxy on bytes.
    pub fn compute_tag(&self, of: ProxyId, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut seal = [0; TAG_BYTES];
        seal.copy_from_slice(&self.kept(of, bytes).as_bytes()[..TAG_BYTES]);
        seal
    }

    /// Whether that proxy sealed these bytes with this key.
    pub fn is_valid_tag(&self, of: ProxyId, bytes: &[u8], seal: &[u8]) -> bool {
        let Ok(seal) = <[u8; TAG_BYTES]>::try_from(seal) else { return false };
        let expected = self.kept(of, bytes);
        let mut told = *expected.as_bytes();
        told[..TAG_BYTES].copy_from_slice(&seal);
        expected == blake3::Hash::from(told)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seal_is_of_one_proxy_one_key_and_all_bytes() {
        let (key, other) = (Key::from_secret(b"a secret of a fleet"), Key::from_secret(b"another one's"));
        let (me, you) = (ProxyId::from_name("me"), ProxyId::from_name("you"));
        let seal = key.compute_tag(me, b"what is kept");
        assert!(key.is_valid_tag(me, b"what is kept", &seal));
        assert!(
            !key.is_valid_tag(you, b"what is kept", &seal) && !other.is_valid_tag(me, b"what is kept", &seal)
        );
        assert!(
            !key.is_valid_tag(me, b"what is kepT", &seal)
                && !key.is_valid_tag(me, b"what is kept", &seal[1..])
        );
        for bit in 0..8 * TAG_BYTES {
            let mut spoilt = seal;
            spoilt[bit / 8] ^= 1 << (bit % 8);
            assert!(!key.is_valid_tag(me, b"what is kept", &spoilt), "bit {bit}");
        }
    }
}
