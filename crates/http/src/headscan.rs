//! Looks whether the raw head of a request names a length. The HTTP library leaves a length out of the headers that it
//! hands on where a coding came before it, and a request that has both might be read in two ways. No I/O.

const NAME: &[u8; 15] = b"content-length:";

/// Reads one head, byte by byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadScan {
    /// The start of the line that is being read, in lower case, and how long that line is.
    line: [u8; NAME.len()],
    len: usize,
    begun: bool,
    whole: bool,
    length: bool,
    missed: bool,
}

impl HeadScan {
    /// Some more of it.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if self.whole => return,
                // Empty lines may come before a head.
                b'\n' if self.len == 0 && self.begun => self.whole = true,
                b'\n' => self.len = 0,
                b'\r' => {}
                byte => {
                    self.begun = true;
                    if let Some(place) = self.line.get_mut(self.len) {
                        *place = byte.to_ascii_lowercase();
                    }
                    self.len += 1;
                    self.length |= self.len == NAME.len() && self.line == *NAME;
                }
            }
        }
    }

    /// Some of it came when it was not looked at.
    pub fn miss(&mut self) {
        self.missed = true;
    }

    /// It names a length; none where that is not known.
    pub fn names_length(&self) -> Option<bool> {
        (!self.missed).then_some(self.length)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn scan(parts: &[&[u8]]) -> HeadScan {
        let mut scan = HeadScan::default();
        parts.iter().for_each(|part| scan.feed(part));
        scan
    }

    #[test]
    fn lengths_are_found_in_heads_alone() {
        let with =
            b"\r\nPOST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\ncOnTent-Length: 5\r\n\r\n";
        assert_eq!(scan(&[with]).names_length(), Some(true));
        let without = b"POST /content-length:5 HTTP/1.1\nX-Content-Length: 5\nA: content-length: 5\n\ncontent-length: 5\n";
        assert_eq!(scan(&[without]).names_length(), Some(false));
        let mut missed = scan(&[with]);
        missed.miss();
        assert_eq!(missed.names_length(), None);
    }

    proptest! {
        #[test]
        fn pieces_make_no_difference(text in "(A: b\r\n|content-length: 4\r\n|\r\n|x\n|:|c){0,20}", cut in any::<prop::sample::Index>()) {
            let at = cut.index(text.len() + 1);
            let (one, two) = text.as_bytes().split_at(at);
            prop_assert_eq!(scan(&[one, two]).names_length(), scan(&[text.as_bytes()]).names_length());
        }
    }
}
