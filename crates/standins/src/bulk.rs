//! Bodies of any size whose every byte is known, in every framing of HTTP/1.1, and a backend that reads and gives
//! them as a request's query says.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};

/// The pattern's length: no power of two, so that a piece that is lost, doubled or moved shows.
const PATTERN: usize = 65_521;
/// A piece as it is written.
const PIECE: usize = 48 << 10;

fn pattern() -> &'static [u8] {
    static PATTERN_BYTES: OnceLock<Vec<u8>> = OnceLock::new();
    PATTERN_BYTES.get_or_init(|| {
        let mut rng = crate::rng::Rng::new(0xb01d);
        (0..PATTERN).map(|_| rng.next_u64() as u8).collect()
    })
}

/// Bytes of the body from `at` on, `most` of them at most.
pub fn pattern_bytes(at: usize, most: usize) -> &'static [u8] {
    let from = at % PATTERN;
    &pattern()[from..PATTERN.min(from + most)]
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// In chunks.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// Writes a body of `size` bytes behind a head that lacks its framing and its end, and stops after `cut` of them.
pub fn write_body(
    to: &mut impl Write,
    head: &str,
    framing: Framing,
    size: usize,
    cut: Option<usize>,
) -> io::Result<()> {
    let framed = match framing {
        Framing::Length => format!("Content-Length: {size}\r\n"),
        Framing::Chunked => "Transfer-Encoding: chunked\r\n".into(),
        Framing::Close => "Connection: close\r\n".into(),
    };
    to.write_all(format!("{head}{framed}\r\n").as_bytes())?;
    let end = cut.unwrap_or(size).min(size);
    let mut at = 0;
    while at < end {
        let piece = pattern_bytes(at, PIECE.min(end - at));
        at += piece.len();
        if framing == Framing::Chunked {
            let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
            chunk.extend_from_slice(piece);
            chunk.extend_from_slice(b"\r\n");
            to.write_all(&chunk)?;
        } else {
            to.write_all(piece)?;
        }
    }
    if framing == Framing::Chunked && cut.is_none() {
        to.write_all(b"0\r\nX-Trailer: there\r\n\r\n")?;
    }
    to.flush()
}

/// How a body came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedBody {
    /// So many bytes.
    pub size: usize,
    /// Each of them what it should be.
    pub is_correct: bool,
    /// It came to its end, as its framing tells.
    pub is_complete: bool,
}

/// Reads a body of a message with these headers, in pieces that `wait` is called between.
pub fn read_body(
    from: &mut impl BufRead,
    headers: &[(String, String)],
    wait: impl FnMut(usize),
) -> ReceivedBody {
    let named = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
    let mut reader =
        Reader { from, came: ReceivedBody { size: 0, is_correct: true, is_complete: false }, wait };
    reader.came.is_complete = match (named("transfer-encoding"), named("content-length")) {
        (Some(_), _) => reader.chunks(),
        (None, Some(length)) => length.parse().is_ok_and(|length| reader.exactly(length) == Some(())),
        (None, None) => {
            reader.exactly(usize::MAX);
            true
        }
    };
    reader.came
}

struct Reader<'a, R, W> {
    from: &'a mut R,
    came: ReceivedBody,
    wait: W,
}

impl<R: BufRead, W: FnMut(usize)> Reader<'_, R, W> {
    fn exactly(&mut self, mut left: usize) -> Option<()> {
        let mut space = vec![0; PIECE];
        while left > 0 {
            let most = space.len().min(left);
            let read = self.from.read(&mut space[..most]).ok().filter(|read| *read > 0)?;
            let mut at = 0;
            while at < read {
                let expected = pattern_bytes(self.came.size, read - at);
                self.came.is_correct &= expected == &space[at..at + expected.len()];
                at += expected.len();
                self.came.size += expected.len();
            }
            left -= read;
            (self.wait)(read);
        }
        Some(())
    }

    fn chunks(&mut self) -> bool {
        loop {
            let mut line = String::new();
            let read = self.from.read_line(&mut line).is_ok_and(|read| read > 0);
            let Some(size) = usize::from_str_radix(line.trim(), 16).ok().filter(|_| read) else {
                return false;
            };
            if size == 0 {
                while line != "\r\n" {
                    line.clear();
                    if !self.from.read_line(&mut line).is_ok_and(|read| read > 0) {
                        return false;
                    }
                }
                return true;
            }
            let mut end = [0; 2];
            if self.exactly(size).is_none() || self.from.read_exact(&mut end).is_err() {
                return false;
            }
        }
    }
}

/// A backend that reads bodies and gives answers as the query of a request says: `size`, `framing` and `cut` of the
/// answer; with `early` it answers before it has read the body, and turns the request away.
pub struct BulkServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Bodies that came whole and right, and all others.
    pub body_counts: Arc<[AtomicUsize; 2]>,
}

impl BulkServer {
    /// Starts one.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let bulk = Self { address: listener.local_addr().expect("an address"), body_counts: Arc::default() };
        let bodies = bulk.body_counts.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let bodies = bodies.clone();
                std::thread::spawn(move || serve(BufReader::new(stream), &bodies));
            }
        });
        bulk
    }
}

fn serve(mut stream: BufReader<TcpStream>, bodies: &[AtomicUsize; 2]) -> Option<()> {
    loop {
        let head = crate::message::read_head(&mut stream)?;
        let query = head.start_line.split([' ', '?']).nth(2).unwrap_or_default().to_string();
        let asked = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).map(str::to_string)
        };
        if asked("early").is_some() {
            let away =
                "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            stream.get_mut().write_all(away.as_bytes()).ok()?;
            stream.get_mut().shutdown(Shutdown::Write).ok()?;
            // What still comes is read, lest its system throw the answer away.
            io::copy(&mut stream, &mut io::sink()).ok()?;
            return None;
        }
        let framed = head.header("content-length").or(head.header("transfer-encoding")).is_some();
        if framed {
            let came = read_body(&mut stream, &head.headers, |_| {});
            let good = usize::from(!(came.is_complete && came.is_correct));
            bodies[good].fetch_add(1, Ordering::SeqCst);
            if !came.is_complete {
                return None;
            }
        }
        let number = |name: &str| asked(name).and_then(|text| text.parse().ok());
        let framing = match asked("framing").as_deref() {
            Some("chunked") => Framing::Chunked,
            Some("close") => Framing::Close,
            _ => Framing::Length,
        };
        let (size, cut) = (number("size").unwrap_or(2), number("cut"));
        write_body(stream.get_mut(), "HTTP/1.1 200 OK\r\n", framing, size, cut).ok()?;
        if framing == Framing::Close || cut.is_some() {
            return stream.get_mut().shutdown(Shutdown::Both).ok();
        }
    }
}
