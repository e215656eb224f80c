//! Where an answer ends: follows what a server says to one command, packet by packet, keeping none of it.
//! ("Text Resultset", "Binary Protocol Resultset", "COM_STMT_PREPARE Response", "OK_Packet" and "EOF_Packet"
//! in MySQL's internals manual.)

use crate::fields::integer;
use crate::packet::FULL;
use thiserror::Error;

/// So much of a packet's beginning is looked at, if it is that long.
pub const HEAD: usize = 32;
/// A statement's results are not over: more of them follow.
pub const MORE_RESULTS: u16 = 0x0008;
/// The rows are to be fetched from a cursor, and don't follow.
pub const CURSOR_EXISTS: u16 = 0x0040;

/// What a command is answered with, besides an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// Any number of result sets, or none: COM_QUERY, COM_STMT_EXECUTE.
    Results,
    /// One OK, or the older EOF: COM_PING, COM_INIT_DB, COM_SET_OPTION, COM_STMT_RESET ...
    Ok,
    /// One packet of text: COM_STATISTICS.
    Text,
    /// Column definitions: COM_FIELD_LIST.
    Fields,
    /// Rows: COM_STMT_FETCH.
    Rows,
    /// A statement's number, its parameters and its columns: COM_STMT_PREPARE.
    Prepared,
}

/// A statement that a server has prepared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prepared {
    /// Its number on that connection.
    pub id: u32,
    /// How many columns its results have.
    pub columns: u16,
    /// How many parameters it takes.
    pub parameters: u16,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Whole.
    Whole {
        /// The server's last status flags; 0 where the answer carries none.
        status: u16,
        /// What was prepared, if anything.
        prepared: Option<Prepared>,
    },
    /// By an error of that number, at whatever place.
    Error(u16),
}

/// What came is no answer to that command. The connection can't be followed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Broken {
    /// A packet too short for what it is.
    #[error("{what}: expected at least {least} bytes, found {found}")]
    Short {
        /// What it is,
        what: &'static str,
        /// the bytes that it has at least,
        least: usize,
        /// and those that came.
        found: usize,
    },
    /// The server asks for a file of the client, which is not carried.
    #[error("the server asks for a file of the client")]
    LocalInfile,
    /// A packet that can't be at this place.
    #[error("{what}: expected {expected}, found a packet that begins with {found:#04x}")]
    Unexpected {
        /// Where,
        what: &'static str,
        /// what may come there,
        expected: &'static str,
        /// and how what came begins.
        found: u8,
    },
    /// More after the end.
    #[error("expected nothing after the end of an answer")]
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The first packet of the answer, or of a further result.
    First,
    /// So many column definitions of a result set are still to come.
    Columns(u64),
    /// They are followed by an EOF.
    ColumnsEnd,
    Rows,
    Fields,
    /// Of a prepared statement: definitions to come now, and those that come behind them.
    Definitions {
        left: u16,
        then: u16,
    },
    /// Those that came are followed by an EOF.
    DefinitionsEnd {
        then: u16,
    },
    Over,
}

/// Follows one answer.
#[derive(Debug)]
pub struct Reply {
    answers: Answers,
    /// Both sides have agreed on CLIENT_DEPRECATE_EOF: OK packets stand where EOF packets did.
    deprecate_eof: bool,
    state: State,
    prepared: Option<Prepared>,
    rows: u64,
    /// Something is left on the connection to be asked for.
    leaves: bool,
}

fn short(what: &'static str, least: usize, found: usize) -> Broken {
    Broken::Short { what, least, found }
}

fn two(bytes: &[u8], at: usize) -> Option<u16> {
    Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?))
}

/// The status flags of an OK packet, behind two integers of variable length; and whether it leaves something to
/// be asked for.
fn ok_status(head: &[u8]) -> Result<(u16, bool), Broken> {
    let status = || {
        let (rows, _) = integer(head.get(1..)?)?;
        let (bytes, id) = integer(head.get(1 + rows..)?)?;
        let at = 1 + rows + bytes;
        Some((two(head, at)?, id > 0 || two(head, at + 2).unwrap_or(0) > 0))
    };
    status().ok_or(short("an OK", 7, head.len()))
}

impl Reply {
    /// The answer to a command that is answered so.
    pub fn new(answers: Answers, deprecate_eof: bool) -> Self {
        let state = match answers {
            Answers::Rows => State::Rows,
            Answers::Fields => State::Fields,
            _ => State::First,
        };
        Self { answers, deprecate_eof, state, prepared: None, rows: 0, leaves: false }
    }

    /// Rows that came so far.
    pub fn rows(&self) -> u64 {
        self.rows
    }

    /// Something is left on the connection to be asked for: a generated id, or warnings.
    pub fn leaves(&self) -> bool {
        self.leaves
    }

    /// It is over: nothing more may come.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    /// The next packet, of so many bytes, which begins with these: [`HEAD`] of them, or all. Returns how the
    /// answer ended where this was the last.
    pub fn packet(&mut self, head: &[u8], length: usize) -> Result<Option<Ended>, Broken> {
        let ended = self.next(head, length);
        if !matches!(ended, Ok(None)) {
            self.state = State::Over;
        }
        ended
    }

    fn next(&mut self, head: &[u8], length: usize) -> Result<Option<Ended>, Broken> {
        if self.is_over() {
            return Err(Broken::Over);
        }
        let first = match head.first() {
            Some(first) => *first,
            // A row of no columns is none, and a text may be empty.
            None if self.answers == Answers::Text => return Ok(self.whole(0)),
            None => return Err(short("a packet", 1, 0)),
        };
        if first == 0xff {
            return two(head, 1).map(|code| Some(Ended::Error(code))).ok_or(short("an error", 3, head.len()));
        }
        match self.state {
            State::First => self.first(first, head, length),
            // All catalogs are called "def": what is none shows that the count was garbled.
            State::Columns(_) if !head.starts_with(b"\x03def") => {
                Err(Broken::Unexpected { what: "a column", expected: "its definition", found: first })
            }
            State::Columns(left) => {
                self.state = match left.saturating_sub(1) {
                    0 if self.deprecate_eof => State::Rows,
                    0 => State::ColumnsEnd,
                    left => State::Columns(left),
                };
                Ok(None)
            }
            State::ColumnsEnd => {
                let status = self.eof("the end of columns", first, head, length)?;
                if status & CURSOR_EXISTS != 0 {
                    return Ok(self.further(status));
                }
                self.state = State::Rows;
                Ok(None)
            }
            State::Rows | State::Fields => match self.ends(first, length) {
                false => {
                    self.rows += u64::from(self.state == State::Rows);
                    Ok(None)
                }
                true => {
                    let status = self.end_status(head)?;
                    Ok(self.further(status))
                }
            },
            State::Definitions { left, then } => Ok(self.defined(left - 1, then)),
            State::DefinitionsEnd { then } => {
                self.eof("the end of definitions", first, head, length)?;
                Ok(self.defined(0, then))
            }
            State::Over => Err(Broken::Over),
        }
    }

    fn first(&mut self, first: u8, head: &[u8], length: usize) -> Result<Option<Ended>, Broken> {
        match (self.answers, first) {
            (Answers::Text, _) => Ok(self.whole(0)),
            (Answers::Prepared, 0x00) => {
                let bytes = head.get(..12).ok_or(short("a prepared statement", 12, head.len()))?;
                let id = u32::from_le_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
                let [columns, parameters] = [5, 7].map(|at| u16::from_le_bytes([bytes[at], bytes[at + 1]]));
                self.prepared = Some(Prepared { id, columns, parameters });
                Ok(match (parameters, columns) {
                    (0, 0) => self.whole(0),
                    (0, columns) => self.definitions(columns, 0),
                    (parameters, columns) => self.definitions(parameters, columns),
                })
            }
            (Answers::Results | Answers::Ok, 0x00) => {
                let status = self.ok(head)?;
                Ok(self.further(status))
            }
            (Answers::Ok, 0xfe) if self.ends(first, length) => {
                let status = self.end_status(head)?;
                Ok(self.whole(status))
            }
            (Answers::Results, 0xfb) => Err(Broken::LocalInfile),
            (Answers::Results, _) => match integer(head) {
                Some((bytes, columns)) if columns > 0 && bytes == length => {
                    self.state = State::Columns(columns);
                    Ok(None)
                }
                _ => {
                    Err(Broken::Unexpected { what: "a result", expected: "a count of columns", found: first })
                }
            },
            _ => Err(Broken::Unexpected { what: "an answer", expected: "OK or an error", found: first }),
        }
    }

    /// A packet that begins so, and is so long, ends rows: one of a row may begin so too, and is longer.
    fn ends(&self, first: u8, length: usize) -> bool {
        first == 0xfe && length < if self.deprecate_eof { FULL } else { 9 }
    }

    /// The status of what ends rows. Servers send the short EOF in places where OK was agreed on, too.
    fn end_status(&mut self, head: &[u8]) -> Result<u16, Broken> {
        if self.deprecate_eof && head.len() >= 7 {
            return self.ok(head);
        }
        self.leaves |= two(head, 1).unwrap_or(0) > 0;
        two(head, 3).ok_or(short("an EOF", 5, head.len()))
    }

    fn ok(&mut self, head: &[u8]) -> Result<u16, Broken> {
        let (status, leaves) = ok_status(head)?;
        self.leaves |= leaves;
        Ok(status)
    }

    fn eof(&self, what: &'static str, first: u8, head: &[u8], length: usize) -> Result<u16, Broken> {
        if first != 0xfe || length >= 9 {
            return Err(Broken::Unexpected { what, expected: "an EOF", found: first });
        }
        two(head, 3).ok_or(short("an EOF", 5, head.len()))
    }

    /// A result is over; the answer is where no further one follows.
    fn further(&mut self, status: u16) -> Option<Ended> {
        if status & MORE_RESULTS != 0 && self.answers == Answers::Results {
            self.state = State::First;
            return None;
        }
        self.whole(status)
    }

    fn definitions(&mut self, left: u16, then: u16) -> Option<Ended> {
        self.state = State::Definitions { left, then };
        None
    }

    /// So many are left of those that came last.
    fn defined(&mut self, left: u16, then: u16) -> Option<Ended> {
        let ended = matches!(self.state, State::DefinitionsEnd { .. });
        match (left, then) {
            (0, then) if !self.deprecate_eof && !ended => self.state = State::DefinitionsEnd { then },
            (0, 0) => return self.whole(0),
            (0, then) => return self.definitions(then, 0),
            (left, then) => return self.definitions(left, then),
        }
        None
    }

    fn whole(&self, status: u16) -> Option<Ended> {
        Some(Ended::Whole { status, prepared: self.prepared })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dewpier_standins::rng::Rng;

    fn follow(reply: &mut Reply, packets: &[Vec<u8>]) -> Ended {
        let (last, before) = packets.split_last().unwrap();
        let head = |p: &Vec<u8>| p[..p.len().min(HEAD)].to_vec();
        for (i, packet) in before.iter().enumerate() {
            assert_eq!(reply.packet(&head(packet), packet.len()), Ok(None), "packet {i} of {packets:x?}");
        }
        let ended = reply.packet(&head(last), last.len()).unwrap().expect("the last one ends it");
        assert!(reply.is_over());
        assert_eq!(reply.packet(&[0, 0, 0, 2, 0, 0, 0], 7), Err(Broken::Over));
        ended
    }

    fn eof(status: u16) -> Vec<u8> {
        [&[0xfe, 0, 0][..], &status.to_le_bytes()].concat()
    }

    fn ok(first: u8, status: u16, more: usize) -> Vec<u8> {
        // 300 rows, and an id of eight bytes.
        let head = [first, 0xfc, 0x2c, 0x01, 0xfe, 9, 0, 0, 0, 0, 0, 0, 1];
        [&head[..], &status.to_le_bytes(), &[0, 0], &vec![b'i'; more]].concat()
    }

    /// A random answer, and how it ends.
    fn answer(rng: &mut Rng, deprecate_eof: bool) -> (Vec<Vec<u8>>, Ended, u64) {
        let (mut packets, mut all) = (Vec::new(), 0);
        let results = 1 + rng.below(3);
        for result in 0..results {
            let status = if result + 1 < results { 0x0002 | MORE_RESULTS } else { 0x0003 };
            if rng.below(12) == 0 {
                packets.push([&[0xff, 0x7a, 0x04][..], b"#42S02no such table"].concat());
                return (packets, Ended::Error(1146), all);
            }
            if rng.below(3) == 0 {
                packets.push(ok(0, status, rng.below(60)));
                continue;
            }
            let columns = 1 + rng.below(300);
            let count = columns as u16;
            packets.push(if columns < 251 {
                vec![columns as u8]
            } else {
                [&[0xfc][..], &count.to_le_bytes()].concat()
            });
            packets.extend((0..columns).map(|_| b"\x03def column".to_vec()));
            let cursor = rng.below(6) == 0;
            let status = status | if cursor { CURSOR_EXISTS } else { 0 };
            if !deprecate_eof {
                packets.push(eof(status));
            }
            let rows = if cursor { 0 } else { rng.below(20) };
            all += rows as u64;
            for _ in 0..rows {
                // An empty string, a null, a binary row, and a text as long as only a row can be.
                let row = [vec![0], vec![0xfb], vec![0, 0, 7], [&[0xfe; 9][..], &[b'x'; 40]].concat()];
                let row = row[rng.below(if deprecate_eof { 3 } else { 4 })].clone();
                packets.push(row);
            }
            match (deprecate_eof, cursor) {
                (true, _) => packets.push(ok(0xfe, status, rng.below(40))),
                (false, false) => packets.push(eof(status)),
                (false, true) => {}
            }
            if result + 1 == results {
                return (packets, Ended::Whole { status, prepared: None }, all);
            }
        }
        (packets, Ended::Whole { status: 0x0003, prepared: None }, all)
    }

    #[test]
    fn answers_of_all_forms_end_with_their_last_packet_and_not_before() {
        let mut rng = Rng::from_env("REPLY_SEED", 23);
        for _ in 0..3000 {
            let seed = rng.next_u64();
            let mut rng = Rng::new(seed);
            let deprecate_eof = rng.below(2) == 0;
            let (packets, ended, rows) = answer(&mut rng, deprecate_eof);
            let mut reply = Reply::new(Answers::Results, deprecate_eof);
            assert_eq!((follow(&mut reply, &packets), reply.rows()), (ended, rows), "seed {seed}");
        }
    }

    #[test]
    fn a_row_as_long_as_a_frame_is_no_end() {
        let mut reply = Reply::new(Answers::Rows, true);
        assert_eq!(reply.packet(&[0xfe; HEAD], FULL), Ok(None));
        assert_eq!(reply.rows(), 1);
    }

    #[test]
    fn prepared_statements_end_behind_their_last_definition() {
        for (parameters, columns) in [(0u16, 0u16), (2, 0), (0, 3), (2, 3)] {
            for deprecate_eof in [false, true] {
                let head =
                    [&[0, 7, 0, 0, 0][..], &columns.to_le_bytes(), &parameters.to_le_bytes(), &[0, 0, 0]];
                let mut packets = vec![head.concat()];
                for count in [parameters, columns] {
                    packets.extend((0..count).map(|_| b"\x03def".to_vec()));
                    packets.extend((count > 0 && !deprecate_eof).then(|| eof(2)));
                }
                let prepared = Some(Prepared { id: 7, columns, parameters });
                let mut reply = Reply::new(Answers::Prepared, deprecate_eof);
                assert_eq!(follow(&mut reply, &packets), Ended::Whole { status: 0, prepared });
            }
        }
    }

    #[test]
    fn the_other_answers_end_too() {
        let whole = |status| Ended::Whole { status, prepared: None };
        for deprecate_eof in [false, true] {
            let of = |answers, packets: &[Vec<u8>]| follow(&mut Reply::new(answers, deprecate_eof), packets);
            assert_eq!(of(Answers::Ok, &[ok(0, 2, 9)]), whole(2));
            assert_eq!(of(Answers::Ok, &[eof(2)]), whole(2));
            assert_eq!(of(Answers::Text, &[b"Uptime: 7".to_vec()]), whole(0));
            assert_eq!(of(Answers::Text, &[Vec::new()]), whole(0));
            let end = if deprecate_eof { ok(0xfe, 2, 0) } else { eof(2) };
            assert_eq!(of(Answers::Fields, &[b"\x03def".to_vec(), end.clone()]), whole(2));
            assert_eq!(of(Answers::Rows, &[vec![0, 0, 1], end]), whole(2));
            assert_eq!(of(Answers::Rows, &[vec![0, 0, 1], vec![0xff, 0x15, 0x04, b'#']]), Ended::Error(1045));
        }
    }

    #[test]
    fn what_makes_no_sense_is_told_and_whatever_comes_nothing_panics() {
        let first = |answers, bytes: &[u8]| Reply::new(answers, false).packet(bytes, bytes.len());
        assert_eq!(first(Answers::Results, &[0xfb, b'a']), Err(Broken::LocalInfile));
        assert_eq!(first(Answers::Results, &[]), Err(short("a packet", 1, 0)));
        assert_eq!(first(Answers::Results, &[0, 0, 0, 2]), Err(short("an OK", 7, 4)));
        assert_eq!(first(Answers::Ok, &[0xff, 1]), Err(short("an error", 3, 2)));
        assert!(
            matches!(first(Answers::Results, &[3, 3]), Err(Broken::Unexpected { .. })),
            "a count and more"
        );
        assert!(matches!(first(Answers::Ok, &[7]), Err(Broken::Unexpected { .. })));
        let mut rng = Rng::from_env("REPLY_BYTES", 29);
        for _ in 0..20_000 {
            let answers = [
                Answers::Results,
                Answers::Ok,
                Answers::Text,
                Answers::Fields,
                Answers::Rows,
                Answers::Prepared,
            ];
            let mut reply = Reply::new(answers[rng.below(6)], rng.below(2) == 0);
            for _ in 0..12 {
                let length = rng.below(14);
                let bytes: Vec<u8> =
                    (0..length).map(|_| [0, 1, 2, 0xfb, 0xfe, 0xff, 0x40][rng.below(7)]).collect();
                if reply.packet(&bytes, length).is_err() {
                    assert!(reply.is_over());
                    break;
                }
            }
        }
    }
}
