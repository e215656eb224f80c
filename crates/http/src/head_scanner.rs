//! Detects a Content-Length header in the raw head of a request.
//!
//! The HTTP library drops Content-Length from the parsed headers if Transfer-Encoding precedes it, but a
//! request with both headers is ambiguous and must be rejected. No I/O.

/// The name and separator of the header, in lower case.
const CONTENT_LENGTH_PREFIX: &[u8; 15] = b"content-length:";

/// Scans one request head byte by byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadScanner {
    /// The start of the current line in lower case.
    line: [u8; CONTENT_LENGTH_PREFIX.len()],
    line_length: usize,
    started: bool,
    complete: bool,
    found: bool,
    skipped: bool,
}

impl HeadScanner {
    /// Scans the next bytes of the head.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if self.complete => return,
                // Empty lines may precede a head (RFC 9112, section 2.2).
                b'\n' if self.line_length == 0 && self.started => self.complete = true,
                b'\n' => self.line_length = 0,
                b'\r' => {}
                byte => {
                    self.started = true;
                    if let Some(slot) = self.line.get_mut(self.line_length) {
                        *slot = byte.to_ascii_lowercase();
                    }
                    self.line_length += 1;
                    self.found |= self.line_length == CONTENT_LENGTH_PREFIX.len()
                        && self.line == *CONTENT_LENGTH_PREFIX;
                }
            }
        }
    }

    /// Records that some bytes of the head were not scanned.
    pub fn mark_skipped(&mut self) {
        self.skipped = true;
    }

    /// Returns whether the head has a Content-Length header, or `None` if some of it was not scanned.
    pub fn has_content_length(&self) -> Option<bool> {
        (!self.skipped).then_some(self.found)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn scan(parts: &[&[u8]]) -> HeadScanner {
        let mut scan = HeadScanner::default();
        parts.iter().for_each(|part| scan.feed(part));
        scan
    }

    #[test]
    fn finds_content_length_only_among_headers() {
        let with =
            b"\r\nPOST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\ncOnTent-Length: 5\r\n\r\n";
        assert_eq!(scan(&[with]).has_content_length(), Some(true));
        let without = b"POST /content-length:5 HTTP/1.1\nX-Content-Length: 5\nA: content-length: 5\n\ncontent-length: 5\n";
        assert_eq!(scan(&[without]).has_content_length(), Some(false));
        let mut incomplete = scan(&[with]);
        incomplete.mark_skipped();
        assert_eq!(incomplete.has_content_length(), None);
    }

    proptest! {
        #[test]
        fn result_does_not_depend_on_how_the_head_is_split(text in "(A: b\r\n|content-length: 4\r\n|\r\n|x\n|:|c){0,20}", cut in any::<prop::sample::Index>()) {
            let at = cut.index(text.len() + 1);
            let (one, two) = text.as_bytes().split_at(at);
            prop_assert_eq!(scan(&[one, two]).has_content_length(), scan(&[text.as_bytes()]).has_content_length());
        }
    }
}
