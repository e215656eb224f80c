//! Messages of the handover protocol, encoded as lines of text. No I/O.

use std::fmt;

/// The version of the protocol.
pub const PROTOCOL_VERSION: u32 = 1;
/// Longest line in bytes, including the line end.
pub const MAX_LINE_BYTES: usize = 64;

/// A message of the protocol, one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// The successor asks for the listening socket and names its protocol version.
    Hello(u32),
    /// The listening socket is attached to this message.
    Listener,
    /// Refusal: a handover to another process is in progress.
    Busy,
    /// Refusal: the sender supports only this version.
    Version(u32),
    /// The successor accepts connections.
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
    /// Parses a line with its line end; none if it is not a message.
    pub fn parse(line: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(line).ok()?.strip_suffix('\n')?;
        let parse_number = |text: &str| text.parse().ok();
        match text.split(' ').collect::<Vec<_>>()[..] {
            ["hello", version] => Some(Self::Hello(parse_number(version)?)),
            ["listener"] => Some(Self::Listener),
            ["no", "busy"] => Some(Self::Busy),
            ["no", "version", version] => Some(Self::Version(parse_number(version)?)),
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
    fn messages_survive_formatting_and_parsing() {
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
        fn parsed_lines_survive_formatting_and_parsing(line in prop::collection::vec(any::<u8>(), 0..80)) {
            if let Some(message) = Message::parse(&line) {
                prop_assert_eq!(Message::parse(message.to_string().as_bytes()), Some(message));
            }
        }
    }
}
