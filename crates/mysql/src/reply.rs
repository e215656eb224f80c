//! Finds the end of a server's response to one command, packet by packet, without keeping any of it
//! ("Text Resultset", "Binary Protocol Resultset", "COM_STMT_PREPARE Response", "OK_Packet" and "EOF_Packet"
//! in MySQL's internals manual).

use crate::fields::decode_lenenc_int;
use crate::packet::MAX_FRAME_PAYLOAD_BYTES;
use thiserror::Error;

/// Bytes at the beginning of a packet that are examined, if the packet has as many.
pub const MAX_HEAD_BYTES: usize = 32;
/// Status flag: another result of the same statement follows.
pub const SERVER_MORE_RESULTS_EXISTS: u16 = 0x0008;
/// Status flag: no rows follow, as they are to be fetched from a cursor.
pub const SERVER_STATUS_CURSOR_EXISTS: u16 = 0x0040;

/// The form of the response to a command, if it is not an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// Any number of result sets or OK packets: COM_QUERY, COM_STMT_EXECUTE.
    ResultSets,
    /// One OK, or the older EOF: COM_PING, COM_INIT_DB, COM_SET_OPTION, COM_STMT_RESET ...
    Ok,
    /// One packet of text: COM_STATISTICS.
    Text,
    /// Column definitions: COM_FIELD_LIST.
    ColumnDefinitions,
    /// Rows: COM_STMT_FETCH.
    Rows,
    /// A statement id with the definitions of parameters and columns: COM_STMT_PREPARE.
    PrepareOk,
}

/// A statement that a server has prepared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrepareResult {
    /// The id of the statement on the connection.
    pub statement_id: u32,
    /// Number of columns of the statement's result.
    pub column_count: u16,
    /// Number of parameters of the statement.
    pub parameter_count: u16,
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response is complete.
    Complete {
        /// The last status flags; 0 if the response carries none.
        status_flags: u16,
        /// The prepared statement, after a COM_STMT_PREPARE.
        prepared: Option<PrepareResult>,
    },
    /// The response ended with an error of this code, possibly after other packets.
    Error(u16),
}

/// Why a packet can't belong to the response. The connection can't be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// A packet is shorter than its kind requires.
    #[error("{packet}: expected at least {min_bytes} bytes, found {found}")]
    Truncated {
        /// The kind of packet.
        packet: &'static str,
        /// Fewest bytes of such a packet.
        min_bytes: usize,
        /// Bytes found.
        found: usize,
    },
    /// The server requests a file of the client, which is not supported.
    #[error("the server requests a local file of the client")]
    LocalInfile,
    /// A packet that is not allowed at its position.
    #[error("{position}: expected {expected}, found a packet that begins with {found:#04x}")]
    Unexpected {
        /// The position in the response.
        position: &'static str,
        /// The packets allowed there.
        expected: &'static str,
        /// First byte of the packet found.
        found: u8,
    },
    /// A packet after the end of the response.
    #[error("expected nothing after the end of a response")]
    AfterEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Before the first packet of the response, or of another result.
    FirstPacket,
    /// Before this many column definitions of a result set.
    Columns(u64),
    /// Before the EOF packet behind the column definitions.
    ColumnsEnd,
    /// Before a row or the end of the rows.
    Rows,
    /// Before a column definition of a COM_FIELD_LIST or the end of them.
    FieldList,
    /// Before the definitions of a prepared statement: those remaining of the current group (parameters, then columns),
    /// and those of the next group.
    Definitions { remaining: u16, following: u16 },
    /// Before the EOF packet behind a group of definitions.
    DefinitionsEnd { following: u16 },
    /// After the last packet.
    Finished,
}

/// Finds the end of one response.
#[derive(Debug)]
pub struct ResponseTracker {
    kind: ResponseKind,
    /// Both sides have agreed on CLIENT_DEPRECATE_EOF: OK packets replace EOF packets.
    deprecate_eof: bool,
    state: State,
    prepared: Option<PrepareResult>,
    row_count: u64,
    /// The connection has a generated id or warnings, which the client may ask for.
    has_insert_id_or_warnings: bool,
}

fn truncated(packet: &'static str, min_bytes: usize, found: usize) -> ResponseError {
    ResponseError::Truncated { packet, min_bytes, found }
}

fn read_u16(bytes: &[u8], offset: usize) -> Option<u16> {
    Some(u16::from_le_bytes(bytes.get(offset..offset + 2)?.try_into().ok()?))
}

/// Reads the status flags of an OK packet, which follow two length-encoded integers, and whether it reports a generated id
/// or warnings.
fn parse_ok_status(head: &[u8]) -> Result<(u16, bool), ResponseError> {
    let parse = || {
        let (rows_width, _) = decode_lenenc_int(head.get(1..)?)?;
        let (id_width, insert_id) = decode_lenenc_int(head.get(1 + rows_width..)?)?;
        let offset = 1 + rows_width + id_width;
        Some((read_u16(head, offset)?, insert_id > 0 || read_u16(head, offset + 2).unwrap_or(0) > 0))
    };
    parse().ok_or(truncated("an OK", 7, head.len()))
}

impl ResponseTracker {
    /// A tracker at the beginning of a response.
    pub fn new(kind: ResponseKind, deprecate_eof: bool) -> Self {
        let state = match kind {
            ResponseKind::Rows => State::Rows,
            ResponseKind::ColumnDefinitions => State::FieldList,
            _ => State::FirstPacket,
        };
        Self { kind, deprecate_eof, state, prepared: None, row_count: 0, has_insert_id_or_warnings: false }
    }

    /// Number of rows received so far.
    pub fn row_count(&self) -> u64 {
        self.row_count
    }

    /// Whether the connection has a generated id or warnings, which the client may ask for.
    pub fn has_insert_id_or_warnings(&self) -> bool {
        self.has_insert_id_or_warnings
    }

    /// Whether the response has ended.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Handles the next packet, given its length in bytes and its first [`MAX_HEAD_BYTES`] (all, if it is shorter). Returns
    /// how the response ended if this was its last packet.
    pub fn track_packet(&mut self, head: &[u8], length: usize) -> Result<Option<ResponseEnd>, ResponseError> {
        let end = self.advance(head, length);
        if !matches!(end, Ok(None)) {
            self.state = State::Finished;
        }
        end
    }

    fn advance(&mut self, head: &[u8], length: usize) -> Result<Option<ResponseEnd>, ResponseError> {
        if self.is_finished() {
            return Err(ResponseError::AfterEnd);
        }
        let first = match head.first() {
            Some(first) => *first,
            // Only a text may be empty: a row has at least one column.
            None if self.kind == ResponseKind::Text => return Ok(self.complete(0)),
            None => return Err(truncated("a packet", 1, 0)),
        };
        if first == 0xff {
            return read_u16(head, 1).map(|code| Some(ResponseEnd::Error(code))).ok_or(truncated(
                "an error",
                3,
                head.len(),
            ));
        }
        match self.state {
            State::FirstPacket => self.handle_first_packet(first, head, length),
            // The catalog of every column is "def"; anything else means that the column count was wrong.
            State::Columns(_) if !head.starts_with(b"\x03def") => Err(ResponseError::Unexpected {
                position: "a column",
                expected: "its definition",
                found: first,
            }),
            State::Columns(remaining) => {
                self.state = match remaining.saturating_sub(1) {
                    0 if self.deprecate_eof => State::Rows,
                    0 => State::ColumnsEnd,
                    remaining => State::Columns(remaining),
                };
                Ok(None)
            }
            State::ColumnsEnd => {
                let status_flags = self.parse_eof("the end of columns", first, head, length)?;
                if status_flags & SERVER_STATUS_CURSOR_EXISTS != 0 {
                    return Ok(self.finish_result(status_flags));
                }
                self.state = State::Rows;
                Ok(None)
            }
            State::Rows | State::FieldList => match self.is_end_of_rows(first, length) {
                false => {
                    self.row_count += u64::from(self.state == State::Rows);
                    Ok(None)
                }
                true => {
                    let status_flags = self.parse_end_status(head)?;
                    Ok(self.finish_result(status_flags))
                }
            },
            State::Definitions { remaining, following } => {
                Ok(self.finish_definition(remaining - 1, following))
            }
            State::DefinitionsEnd { following } => {
                self.parse_eof("the end of definitions", first, head, length)?;
                Ok(self.finish_definition(0, following))
            }
            State::Finished => Err(ResponseError::AfterEnd),
        }
    }

    fn handle_first_packet(
        &mut self,
        first: u8,
        head: &[u8],
        length: usize,
    ) -> Result<Option<ResponseEnd>, ResponseError> {
        match (self.kind, first) {
            (ResponseKind::Text, _) => Ok(self.complete(0)),
            (ResponseKind::PrepareOk, 0x00) => {
                let bytes = head.get(..12).ok_or(truncated("a prepared statement", 12, head.len()))?;
                let statement_id = u32::from_le_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
                let [column_count, parameter_count] =
                    [5, 7].map(|offset| u16::from_le_bytes([bytes[offset], bytes[offset + 1]]));
                self.prepared = Some(PrepareResult { statement_id, column_count, parameter_count });
                Ok(match (parameter_count, column_count) {
                    (0, 0) => self.complete(0),
                    (0, columns) => self.expect_definitions(columns, 0),
                    (parameters, columns) => self.expect_definitions(parameters, columns),
                })
            }
            (ResponseKind::ResultSets | ResponseKind::Ok, 0x00) => {
                let status_flags = self.parse_ok(head)?;
                Ok(self.finish_result(status_flags))
            }
            (ResponseKind::Ok, 0xfe) if self.is_end_of_rows(first, length) => {
                let status_flags = self.parse_end_status(head)?;
                Ok(self.complete(status_flags))
            }
            (ResponseKind::ResultSets, 0xfb) => Err(ResponseError::LocalInfile),
            (ResponseKind::ResultSets, _) => match decode_lenenc_int(head) {
                Some((width, columns)) if columns > 0 && width == length => {
                    self.state = State::Columns(columns);
                    Ok(None)
                }
                _ => Err(ResponseError::Unexpected {
                    position: "a result",
                    expected: "a count of columns",
                    found: first,
                }),
            },
            _ => Err(ResponseError::Unexpected {
                position: "an answer",
                expected: "OK or an error",
                found: first,
            }),
        }
    }

    /// Whether a packet with this first byte and length ends the rows. A row may begin with the same byte, but is longer.
    fn is_end_of_rows(&self, first: u8, length: usize) -> bool {
        first == 0xfe && length < if self.deprecate_eof { MAX_FRAME_PAYLOAD_BYTES } else { 9 }
    }

    /// Reads the status flags of the packet that ends the rows. Some servers send an EOF even if OK was agreed on.
    fn parse_end_status(&mut self, head: &[u8]) -> Result<u16, ResponseError> {
        if self.deprecate_eof && head.len() >= 7 {
            return self.parse_ok(head);
        }
        self.has_insert_id_or_warnings |= read_u16(head, 1).unwrap_or(0) > 0;
        read_u16(head, 3).ok_or(truncated("an EOF", 5, head.len()))
    }

    fn parse_ok(&mut self, head: &[u8]) -> Result<u16, ResponseError> {
        let (status_flags, has_insert_id_or_warnings) = parse_ok_status(head)?;
        self.has_insert_id_or_warnings |= has_insert_id_or_warnings;
        Ok(status_flags)
    }

    fn parse_eof(
        &self,
        position: &'static str,
        first: u8,
        head: &[u8],
        length: usize,
    ) -> Result<u16, ResponseError> {
        if first != 0xfe || length >= 9 {
            return Err(ResponseError::Unexpected { position, expected: "an EOF", found: first });
        }
        read_u16(head, 3).ok_or(truncated("an EOF", 5, head.len()))
    }

    /// Ends a result, and with it the response unless another result follows.
    fn finish_result(&mut self, status_flags: u16) -> Option<ResponseEnd> {
        if status_flags & SERVER_MORE_RESULTS_EXISTS != 0 && self.kind == ResponseKind::ResultSets {
            self.state = State::FirstPacket;
            return None;
        }
        self.complete(status_flags)
    }

    fn expect_definitions(&mut self, remaining: u16, following: u16) -> Option<ResponseEnd> {
        self.state = State::Definitions { remaining, following };
        None
    }

    /// Moves on after a definition, or the EOF behind a group of them.
    fn finish_definition(&mut self, remaining: u16, following: u16) -> Option<ResponseEnd> {
        let is_after_eof = matches!(self.state, State::DefinitionsEnd { .. });
        match (remaining, following) {
            (0, following) if !self.deprecate_eof && !is_after_eof => {
                self.state = State::DefinitionsEnd { following }
            }
            (0, 0) => return self.complete(0),
            (0, following) => return self.expect_definitions(following, 0),
            (remaining, following) => return self.expect_definitions(remaining, following),
        }
        None
    }

    fn complete(&self, status_flags: u16) -> Option<ResponseEnd> {
        Some(ResponseEnd::Complete { status_flags, prepared: self.prepared })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dewpier_standins::rng::Rng;

    fn track_all(tracker: &mut ResponseTracker, packets: &[Vec<u8>]) -> ResponseEnd {
        let (last, preceding) = packets.split_last().unwrap();
        let head = |packet: &Vec<u8>| packet[..packet.len().min(MAX_HEAD_BYTES)].to_vec();
        for (i, packet) in preceding.iter().enumerate() {
            assert_eq!(
                tracker.track_packet(&head(packet), packet.len()),
                Ok(None),
                "packet {i} of {packets:x?}"
            );
        }
        let end = tracker
            .track_packet(&head(last), last.len())
            .unwrap()
            .expect("the last packet ends the response");
        assert!(tracker.is_finished());
        assert_eq!(tracker.track_packet(&[0, 0, 0, 2, 0, 0, 0], 7), Err(ResponseError::AfterEnd));
        end
    }

    fn eof(status_flags: u16) -> Vec<u8> {
        [&[0xfe, 0, 0][..], &status_flags.to_le_bytes()].concat()
    }

    fn ok(first: u8, status_flags: u16, info_bytes: usize) -> Vec<u8> {
        // 300 affected rows and a generated id of eight bytes.
        let head = [first, 0xfc, 0x2c, 0x01, 0xfe, 9, 0, 0, 0, 0, 0, 0, 1];
        [&head[..], &status_flags.to_le_bytes(), &[0, 0], &vec![b'i'; info_bytes]].concat()
    }

    /// A random response, its end, and its number of rows.
    fn random_response(rng: &mut Rng, deprecate_eof: bool) -> (Vec<Vec<u8>>, ResponseEnd, u64) {
        let (mut packets, mut row_count) = (Vec::new(), 0);
        let result_count = 1 + rng.below(3);
        for result in 0..result_count {
            let status = if result + 1 < result_count { 0x0002 | SERVER_MORE_RESULTS_EXISTS } else { 0x0003 };
            if rng.below(12) == 0 {
                packets.push([&[0xff, 0x7a, 0x04][..], b"#42S02no such table"].concat());
                return (packets, ResponseEnd::Error(1146), row_count);
            }
            if rng.below(3) == 0 {
                packets.push(ok(0, status, rng.below(60)));
                continue;
            }
            let column_count = 1 + rng.below(300);
            let count = column_count as u16;
            packets.push(if column_count < 251 {
                vec![column_count as u8]
            } else {
                [&[0xfc][..], &count.to_le_bytes()].concat()
            });
            packets.extend((0..column_count).map(|_| b"\x03def column".to_vec()));
            let cursor = rng.below(6) == 0;
            let status = status | if cursor { SERVER_STATUS_CURSOR_EXISTS } else { 0 };
            if !deprecate_eof {
                packets.push(eof(status));
            }
            let rows = if cursor { 0 } else { rng.below(20) };
            row_count += rows as u64;
            for _ in 0..rows {
                // An empty string, a NULL, a binary row, and a text so long that it can only be a row.
                let row = [vec![0], vec![0xfb], vec![0, 0, 7], [&[0xfe; 9][..], &[b'x'; 40]].concat()];
                let row = row[rng.below(if deprecate_eof { 3 } else { 4 })].clone();
                packets.push(row);
            }
            match (deprecate_eof, cursor) {
                (true, _) => packets.push(ok(0xfe, status, rng.below(40))),
                (false, false) => packets.push(eof(status)),
                (false, true) => {}
            }
            if result + 1 == result_count {
                return (packets, ResponseEnd::Complete { status_flags: status, prepared: None }, row_count);
            }
        }
        (packets, ResponseEnd::Complete { status_flags: 0x0003, prepared: None }, row_count)
    }

    #[test]
    fn result_sets_end_exactly_at_their_last_packet() {
        let mut rng = Rng::from_env("REPLY_SEED", 23);
        for _ in 0..3000 {
            let seed = rng.next_u64();
            let mut rng = Rng::new(seed);
            let deprecate_eof = rng.below(2) == 0;
            let (packets, end, row_count) = random_response(&mut rng, deprecate_eof);
            let mut tracker = ResponseTracker::new(ResponseKind::ResultSets, deprecate_eof);
            assert_eq!(
                (track_all(&mut tracker, &packets), tracker.row_count()),
                (end, row_count),
                "seed {seed}"
            );
        }
    }

    #[test]
    fn row_of_maximum_frame_length_does_not_end_rows() {
        let mut tracker = ResponseTracker::new(ResponseKind::Rows, true);
        assert_eq!(tracker.track_packet(&[0xfe; MAX_HEAD_BYTES], MAX_FRAME_PAYLOAD_BYTES), Ok(None));
        assert_eq!(tracker.row_count(), 1);
    }

    #[test]
    fn prepare_response_ends_after_last_definition() {
        for (parameters, columns) in [(0u16, 0u16), (2, 0), (0, 3), (2, 3)] {
            for deprecate_eof in [false, true] {
                let head =
                    [&[0, 7, 0, 0, 0][..], &columns.to_le_bytes(), &parameters.to_le_bytes(), &[0, 0, 0]];
                let mut packets = vec![head.concat()];
                for count in [parameters, columns] {
                    packets.extend((0..count).map(|_| b"\x03def".to_vec()));
                    packets.extend((count > 0 && !deprecate_eof).then(|| eof(2)));
                }
                let prepared = Some(PrepareResult {
                    statement_id: 7,
                    column_count: columns,
                    parameter_count: parameters,
                });
                let mut tracker = ResponseTracker::new(ResponseKind::PrepareOk, deprecate_eof);
                assert_eq!(
                    track_all(&mut tracker, &packets),
                    ResponseEnd::Complete { status_flags: 0, prepared }
                );
            }
        }
    }

    #[test]
    fn other_response_kinds_end_at_their_last_packet() {
        let complete = |status_flags| ResponseEnd::Complete { status_flags, prepared: None };
        for deprecate_eof in [false, true] {
            let track = |kind, packets: &[Vec<u8>]| {
                track_all(&mut ResponseTracker::new(kind, deprecate_eof), packets)
            };
            assert_eq!(track(ResponseKind::Ok, &[ok(0, 2, 9)]), complete(2));
            assert_eq!(track(ResponseKind::Ok, &[eof(2)]), complete(2));
            assert_eq!(track(ResponseKind::Text, &[b"Uptime: 7".to_vec()]), complete(0));
            assert_eq!(track(ResponseKind::Text, &[Vec::new()]), complete(0));
            let end = if deprecate_eof { ok(0xfe, 2, 0) } else { eof(2) };
            assert_eq!(
                track(ResponseKind::ColumnDefinitions, &[b"\x03def".to_vec(), end.clone()]),
                complete(2)
            );
            assert_eq!(track(ResponseKind::Rows, &[vec![0, 0, 1], end]), complete(2));
            assert_eq!(
                track(ResponseKind::Rows, &[vec![0, 0, 1], vec![0xff, 0x15, 0x04, b'#']]),
                ResponseEnd::Error(1045)
            );
        }
    }

    #[test]
    fn invalid_packets_are_rejected_and_random_bytes_do_not_panic() {
        let track_first =
            |kind, bytes: &[u8]| ResponseTracker::new(kind, false).track_packet(bytes, bytes.len());
        assert_eq!(track_first(ResponseKind::ResultSets, &[0xfb, b'a']), Err(ResponseError::LocalInfile));
        assert_eq!(track_first(ResponseKind::ResultSets, &[]), Err(truncated("a packet", 1, 0)));
        assert_eq!(track_first(ResponseKind::ResultSets, &[0, 0, 0, 2]), Err(truncated("an OK", 7, 4)));
        assert_eq!(track_first(ResponseKind::Ok, &[0xff, 1]), Err(truncated("an error", 3, 2)));
        assert!(
            matches!(track_first(ResponseKind::ResultSets, &[3, 3]), Err(ResponseError::Unexpected { .. })),
            "a column count with bytes behind it"
        );
        assert!(matches!(track_first(ResponseKind::Ok, &[7]), Err(ResponseError::Unexpected { .. })));
        let mut rng = Rng::from_env("REPLY_BYTES", 29);
        for _ in 0..20_000 {
            let kinds = [
                ResponseKind::ResultSets,
                ResponseKind::Ok,
                ResponseKind::Text,
                ResponseKind::ColumnDefinitions,
                ResponseKind::Rows,
                ResponseKind::PrepareOk,
            ];
            let mut tracker = ResponseTracker::new(kinds[rng.below(6)], rng.below(2) == 0);
            for _ in 0..12 {
                let length = rng.below(14);
                let bytes: Vec<u8> =
                    (0..length).map(|_| [0, 1, 2, 0xfb, 0xfe, 0xff, 0x40][rng.below(7)]).collect();
                if tracker.track_packet(&bytes, length).is_err() {
                    assert!(tracker.is_finished());
                    break;
                }
            }
        }
    }
}
