//! Decodes the bytes of a file to text, in the encoding given by a byte order mark or by the options.

use crate::error::{InventoryError, Position, Problem};
use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

/// A supported encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// UTF-8, with or without a byte order mark.
    Utf8,
    /// UTF-16, little-endian.
    Utf16Le,
    /// UTF-16, big-endian.
    Utf16Be,
    /// Windows-1251: Cyrillic without Kazakh letters.
    Windows1251,
    /// KZ-1048 (STRK1048-2002): Windows-1251 with the Kazakh letters.
    Kz1048,
}

impl Encoding {
    const ALL: [Self; 5] = [Self::Utf8, Self::Utf16Le, Self::Utf16Be, Self::Windows1251, Self::Kz1048];

    /// The name registered with IANA, in lower case.
    pub fn name(self) -> &'static str {
        match self {
            Self::Utf8 => "utf-8",
            Self::Utf16Le => "utf-16le",
            Self::Utf16Be => "utf-16be",
            Self::Windows1251 => "windows-1251",
            Self::Kz1048 => "kz-1048",
        }
    }
}

impl fmt::Display for Encoding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Encoding {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let normalized: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        let normalized = normalized.to_ascii_lowercase();
        let known = match normalized.as_str() {
            "cp1251" => Some(Self::Windows1251),
            "strk10482002" | "rk1048" => Some(Self::Kz1048),
            _ => Self::ALL.into_iter().find(|e| e.name().replace('-', "") == normalized),
        };
        known.ok_or_else(|| {
            format!("expected utf-8, utf-16le, utf-16be, windows-1251 or kz-1048, found '{name}'")
        })
    }
}

/// Bytes that KZ-1048 decodes differently from Windows-1251, per its IANA registration and its Unicode
/// mapping table.
const KZ1048_DIFFERENCES: [(u8, char); 18] = [
    (0x8d, 'Қ'),
    (0x8e, 'Һ'),
    (0x9d, 'қ'),
    (0x9e, 'һ'),
    (0xa1, 'Ұ'),
    (0xa2, 'ұ'),
    (0xa3, 'Ә'),
    (0xa5, 'Ө'),
    (0xaa, 'Ғ'),
    (0xaf, 'Ү'),
    (0xb2, 'І'),
    (0xb3, 'і'),
    (0xb4, 'ө'),
    (0xba, 'ғ'),
    (0xbc, 'ә'),
    (0xbd, 'Ң'),
    (0xbe, 'ң'),
    (0xbf, 'ү'),
];
/// The byte without a character in Windows-1251 and KZ-1048.
const UNASSIGNED_BYTE: u8 = 0x98;
/// Appended to the error for invalid UTF-8 if no encoding was given.
const ENCODING_HINT: &str = "; if the file is in a single-byte encoding, name it: windows-1251 or kz-1048 (encoding in the configuration, \
     --encoding on the command line)";

/// Returns the encoding of a byte order mark and the length of the mark in bytes.
fn byte_order_mark(bytes: &[u8]) -> Option<(Encoding, usize)> {
    match bytes {
        [0xef, 0xbb, 0xbf, ..] => Some((Encoding::Utf8, 3)),
        [0xff, 0xfe, ..] => Some((Encoding::Utf16Le, 2)),
        [0xfe, 0xff, ..] => Some((Encoding::Utf16Be, 2)),
        _ => None,
    }
}

/// Decodes the bytes and returns the text without a byte order mark, and its encoding. `named` is the encoding in
/// the options. Text with a NUL character is rejected.
pub(crate) fn decode(
    bytes: &[u8],
    named: Option<Encoding>,
) -> Result<(Cow<'_, str>, Encoding), InventoryError> {
    let error = |before: &str, offset, expected, found: String, hint| InventoryError {
        at: Position::of_offset(before, before.len()),
        problem: Problem::Encoding { offset, expected, found, hint },
    };
    if let [0xff, 0xfe, 0, 0, ..] | [0, 0, 0xfe, 0xff, ..] = bytes {
        return Err(error("", 0, "UTF-8 or UTF-16", "the byte order mark of UTF-32".into(), ""));
    }
    let marked = byte_order_mark(bytes);
    let encoding = match (named, marked) {
        (Some(named), Some((marked, _))) if named != marked => {
            let found = format!("the byte order mark of {marked}");
            return Err(error("", 0, "the encoding that was named", found, ""));
        }
        (Some(named), _) => named,
        (None, Some((marked, _))) => marked,
        (None, None) => Encoding::Utf8,
    };
    let skipped = marked.map_or(0, |(_, length)| length);
    let rest = &bytes[skipped..];
    let text = match encoding {
        Encoding::Utf8 => match std::str::from_utf8(rest) {
            Ok(text) => Cow::Borrowed(text),
            Err(utf8_error) => {
                let valid = std::str::from_utf8(&rest[..utf8_error.valid_up_to()]).unwrap_or_default();
                let found = match rest.get(utf8_error.valid_up_to()) {
                    Some(byte) if utf8_error.error_len().is_some() => format!("byte 0x{byte:02X}"),
                    _ => "the end of the file within a character".to_string(),
                };
                let hint = if named.is_none() { ENCODING_HINT } else { "" };
                return Err(error(valid, skipped + utf8_error.valid_up_to(), "UTF-8", found, hint));
            }
        },
        Encoding::Utf16Le | Encoding::Utf16Be => {
            let code_unit = |pair: &[u8]| match encoding {
                Encoding::Utf16Le => u16::from_le_bytes([pair[0], pair[1]]),
                _ => u16::from_be_bytes([pair[0], pair[1]]),
            };
            let mut text = String::with_capacity(rest.len());
            let mut offset = skipped;
            for decoded in char::decode_utf16(rest.chunks_exact(2).map(code_unit)) {
                match decoded {
                    Ok(char) => {
                        text.push(char);
                        offset += 2 * char.len_utf16();
                    }
                    Err(utf16_error) => {
                        let found =
                            format!("an unpaired surrogate, 0x{:04X}", utf16_error.unpaired_surrogate());
                        return Err(error(&text, offset, "UTF-16", found, ""));
                    }
                }
            }
            if !rest.len().is_multiple_of(2) {
                return Err(error(&text, bytes.len() - 1, "UTF-16", "half a character".into(), ""));
            }
            Cow::Owned(text)
        }
        Encoding::Windows1251 | Encoding::Kz1048 => {
            let mut high_half = ['\0'; 128];
            for (byte, char) in (0x80..=0xff_u8).zip(&mut high_half) {
                let byte = [byte];
                let (decoded, _) = encoding_rs::WINDOWS_1251.decode_without_bom_handling(&byte);
                *char = decoded.chars().next().unwrap_or_default();
            }
            if encoding == Encoding::Kz1048 {
                KZ1048_DIFFERENCES
                    .iter()
                    .for_each(|(byte, char)| high_half[usize::from(byte - 0x80)] = *char);
            }
            let mut text = String::with_capacity(rest.len() + rest.len() / 2);
            for (offset, &byte) in rest.iter().enumerate() {
                if byte == UNASSIGNED_BYTE {
                    let found = format!("byte 0x{byte:02X}");
                    return Err(error(&text, skipped + offset, encoding.name(), found, ""));
                }
                text.push(if byte < 0x80 { char::from(byte) } else { high_half[usize::from(byte - 0x80)] });
            }
            Cow::Owned(text)
        }
    };
    if let Some(nul) = memchr::memchr(0, text.as_bytes()) {
        // Converts the offset in the UTF-8 text to the offset in the file.
        let offset = match encoding {
            Encoding::Utf8 => skipped + nul,
            Encoding::Utf16Le | Encoding::Utf16Be => skipped + 2 * text[..nul].encode_utf16().count(),
            Encoding::Windows1251 | Encoding::Kz1048 => skipped + text[..nul].chars().count(),
        };
        return Err(error(&text[..nul], offset, "text", "a NUL byte".into(), ""));
    }
    Ok((text, encoding))
}
