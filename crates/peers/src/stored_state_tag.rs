//! Authentication tags on state that a proxy stores for its next process: they show that the bytes are unchanged and
//! which proxy stored them.

use crate::{Key, ProxyId};

/// The length of an authentication tag on stored state.
pub const STORED_STATE_TAG_BYTES: usize = 16;
/// Key derivation context; differs from that of datagrams, so that no datagram passes for stored state.
const CONTEXT: &str = "dewpier-peers kept state 1";

impl Key {
    fn stored_state_hash(&self, proxy: ProxyId, bytes: &[u8]) -> blake3::Hash {
        let key = blake3::derive_key(CONTEXT, self.bytes());
        let mut hasher = blake3::Hasher::new_keyed(&key);
        hasher.update(&proxy.0.to_be_bytes()).update(bytes);
        hasher.finalize()
    }

    /// Computes the authentication tag of state that a proxy stores.
    pub fn compute_tag(&self, proxy: ProxyId, bytes: &[u8]) -> [u8; STORED_STATE_TAG_BYTES] {
        let mut tag = [0; STORED_STATE_TAG_BYTES];
        tag.copy_from_slice(&self.stored_state_hash(proxy, bytes).as_bytes()[..STORED_STATE_TAG_BYTES]);
        tag
    }

    /// Whether the tag was computed by that proxy, on these bytes, with this key. Compares in constant time.
    pub fn is_valid_tag(&self, proxy: ProxyId, bytes: &[u8], tag: &[u8]) -> bool {
        let Ok(tag) = <[u8; STORED_STATE_TAG_BYTES]>::try_from(tag) else { return false };
        let expected = self.stored_state_hash(proxy, bytes);
        let mut padded = *expected.as_bytes();
        padded[..STORED_STATE_TAG_BYTES].copy_from_slice(&tag);
        expected == blake3::Hash::from(padded)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tag_is_valid_only_for_its_proxy_key_and_bytes() {
        let (key, other_key) =
            (Key::from_secret(b"a secret of a fleet"), Key::from_secret(b"another secret"));
        let (proxy, other_proxy) = (ProxyId::from_name("proxy-1"), ProxyId::from_name("proxy-2"));
        let tag = key.compute_tag(proxy, b"stored state");
        assert!(key.is_valid_tag(proxy, b"stored state", &tag));
        assert!(
            !key.is_valid_tag(other_proxy, b"stored state", &tag)
                && !other_key.is_valid_tag(proxy, b"stored state", &tag)
        );
        assert!(
            !key.is_valid_tag(proxy, b"stored statE", &tag)
                && !key.is_valid_tag(proxy, b"stored state", &tag[1..])
        );
        for bit in 0..8 * STORED_STATE_TAG_BYTES {
            let mut corrupted = tag;
            corrupted[bit / 8] ^= 1 << (bit % 8);
            assert!(!key.is_valid_tag(proxy, b"stored state", &corrupted), "bit {bit}");
        }
    }
}
