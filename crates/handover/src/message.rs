//! What the two processes say to each other: lines of text. No I/O.

use std::fmt;

/// The format's version.
pub const PROTOCOL_VERSION: u32 = 1;
/// The longest line, in bytes, its end included.
pub const MAX_LINE_BYTES: usize = 64;

/// A line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// A new process is here, and speaks this version.
    Hello(u32),
    /// The socket comes along with this.
    Listener,
    /// It does not come: another handover is on.
    Busy,
    /// It does not come: the version is unknown here.
    Version(u32),
    /// The new process accepts connections.
    Taking,
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Hello(version) => writeln!(f, "hello {version}"),
            Self::Listener => writeln!(f, "listener"),
            Self::Busy => writeln!(f, "no busy"),
            Self::Version(version) => writeln!(f, "no version {version}"),
            Self::Taking => writeln!(f, "taking"),
        }
    }
}

impl Message {
    /// Reads a line; none where it makes no sense.
    pub fn parse(line: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(line).ok()?.strip_suffix('\n')?;
        let number = |text: &str| text.parse().ok();
        match text.split(' ').collect::<Vec<_>>()[..] {
            ["hello", version] => Some(Self::Hello(number(version)?)),
            ["listener"] => Some(Self::Listener),
            ["no", "busy"] => Some(Self::Busy),
            ["no", "version", version] => Some(Self::Version(number(version)?)),
            ["taking"] => Some(Self::Taking),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn what_is_said_is_what_is_read() {
        let all = [
            Message::Hello(PROTOCOL_VERSION),
            Message::Listener,
            Message::Busy,
            Message::Version(u32::MAX),
            Message::Taking,
        ];
        for message in all {
            let line = message.to_string();
            assert!(line.len() <= MAX_LINE_BYTES);
            assert_eq!(Message::parse(line.as_bytes()), Some(message));
        }
        for line in ["", "\n", "hello\n", "hello -1\n", "hello 1 2\n", "taking", "no\n", "hello 4294967296\n"]
        {
            assert_eq!(Message::parse(line.as_bytes()), None, "{line:?}");
        }
    }

    proptest! {
        #[test]
        fn any_bytes_are_read_or_refused(line in prop::collection::vec(any::<u8>(), 0..80)) {
            if let Some(message) = Message::parse(&line) {
                prop_assert_eq!(Message::parse(message.to_string().as_bytes()), Some(message));
            }
        }
    }
}
