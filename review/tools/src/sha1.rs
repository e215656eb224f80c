//! SHA-1 (FIPS 180-4), for logins by `mysql_native_password`.

pub fn sha1(data: &[u8]) -> [u8; 20] {
    let mut h: [u32; 5] = [0x67452301, 0xEFCDAB89, 0x98BADCFE, 0x10325476, 0xC3D2E1F0];
    let mut text = data.to_vec();
    text.push(0x80);
    while text.len() % 64 != 56 {
        text.push(0);
    }
    text.extend_from_slice(&(data.len() as u64 * 8).to_be_bytes());
    for block in text.chunks(64) {
        let mut w = [0u32; 80];
        for (i, word) in block.chunks(4).enumerate() {
            w[i] = u32::from_be_bytes([word[0], word[1], word[2], word[3]]);
        }
        for i in 16..80 {
            w[i] = (w[i - 3] ^ w[i - 8] ^ w[i - 14] ^ w[i - 16]).rotate_left(1);
        }
        let [mut a, mut b, mut c, mut d, mut e] = h;
        for (i, word) in w.iter().enumerate() {
            let (f, k) = match i {
                0..20 => ((b & c) | (!b & d), 0x5A827999),
                20..40 => (b ^ c ^ d, 0x6ED9EBA1),
                40..60 => ((b & c) | (b & d) | (c & d), 0x8F1BBCDC),
                _ => (b ^ c ^ d, 0xCA62C1D6u32),
            };
            let next = a.rotate_left(5).wrapping_add(f).wrapping_add(e).wrapping_add(k).wrapping_add(*word);
            (e, d, c, b, a) = (d, c, b.rotate_left(30), a, next);
        }
        for (sum, part) in h.iter_mut().zip([a, b, c, d, e]) {
            *sum = sum.wrapping_add(part);
        }
    }
    let mut out = [0; 20];
    for (bytes, word) in out.chunks_mut(4).zip(h) {
        bytes.copy_from_slice(&word.to_be_bytes());
    }
    out
}

/// `SHA1(p) ^ SHA1(nonce + SHA1(SHA1(p)))`.
pub fn native_proof(password: &str, nonce: &[u8]) -> Vec<u8> {
    let once = sha1(password.as_bytes());
    let mask = sha1(&[nonce, &sha1(&once)].concat());
    once.iter().zip(mask).map(|(a, b)| a ^ b).collect()
}

/// What `[users]` holds: `*` and the hex digits of `SHA1(SHA1(p))`.
pub fn native_hash(password: &str) -> String {
    let digits: String = sha1(&sha1(password.as_bytes())).iter().map(|b| format!("{b:02X}")).collect();
    format!("*{digits}")
}
