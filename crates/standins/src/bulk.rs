//! Message bodies of any size with known content in every framing of HTTP/1.1, and a mock server that reads and sends
//! them as the query of a request asks.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Length of the repeated pattern; not a power of two, so that lost, duplicated or moved chunks are detected.
const PATTERN_LENGTH: usize = 65_521;
/// Size of a written chunk.
const CHUNK_BYTES: usize = 48 << 10;

fn pattern() -> &'static [u8] {
    static PATTERN: OnceLock<Vec<u8>> = OnceLock::new();
    PATTERN.get_or_init(|| {
        let mut rng = crate::rng::Rng::new(0xb01d);
        (0..PATTERN_LENGTH).map(|_| rng.next_u64() as u8).collect()
    })
}

/// Returns the bytes of the body from offset `at` on, at most `max` of them.
pub fn pattern_bytes(at: usize, max: usize) -> &'static [u8] {
    let from = at % PATTERN_LENGTH;
    &pattern()[from..PATTERN_LENGTH.min(from + max)]
}

/// Framing of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`.
    Length,
    /// By chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// Writes a body of `size` bytes after a head without framing headers and final line, and stops after `cut` bytes.
pub fn write_body(
    to: &mut impl Write,
    head: &str,
    framing: Framing,
    size: usize,
    cut: Option<usize>,
) -> io::Result<()> {
    let framing_header = match framing {
        Framing::Length => format!("Content-Length: {size}\r\n"),
        Framing::Chunked => "Transfer-Encoding: chunked\r\n".into(),
        Framing::Close => "Connection: close\r\n".into(),
    };
    to.write_all(format!("{head}{framing_header}\r\n").as_bytes())?;
    let end = cut.unwrap_or(size).min(size);
    let mut at = 0;
    while at < end {
        let chunk_data = pattern_bytes(at, CHUNK_BYTES.min(end - at));
        at += chunk_data.len();
        if framing == Framing::Chunked {
            let mut chunk = format!("{:x}\r\n", chunk_data.len()).into_bytes();
            chunk.extend_from_slice(chunk_data);
            chunk.extend_from_slice(b"\r\n");
            to.write_all(&chunk)?;
        } else {
            to.write_all(chunk_data)?;
        }
    }
    if framing == Framing::Chunked && cut.is_none() {
        to.write_all(b"0\r\nX-Trailer: there\r\n\r\n")?;
    }
    to.flush()
}

/// Result of reading a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedBody {
    /// Number of bytes received.
    pub size: usize,
    /// Whether all bytes are as expected.
    pub is_correct: bool,
    /// Whether the body was complete according to its framing.
    pub is_complete: bool,
}

/// Reads the body of a message with these headers, and calls `wait` after each chunk.
pub fn read_body(
    from: &mut impl BufRead,
    headers: &[(String, String)],
    wait: impl FnMut(usize),
) -> ReceivedBody {
    let header = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
    let mut reader =
        Reader { from, body: ReceivedBody { size: 0, is_correct: true, is_complete: false }, wait };
    reader.body.is_complete = match (header("transfer-encoding"), header("content-length")) {
        (Some(_), _) => reader.read_chunks(),
        (None, Some(length)) => length.parse().is_ok_and(|length| reader.read_exactly(length) == Some(())),
        (None, None) => {
            reader.read_exactly(usize::MAX);
            true
        }
    };
    reader.body
}

struct Reader<'a, R, W> {
    from: &'a mut R,
    body: ReceivedBody,
    wait: W,
}

impl<R: BufRead, W: FnMut(usize)> Reader<'_, R, W> {
    fn read_exactly(&mut self, mut remaining: usize) -> Option<()> {
        let mut buffer = vec![0; CHUNK_BYTES];
        while remaining > 0 {
            let max = buffer.len().min(remaining);
            let read = self.from.read(&mut buffer[..max]).ok().filter(|read| *read > 0)?;
            let mut at = 0;
            while at < read {
                let expected = pattern_bytes(self.body.size, read - at);
                self.body.is_correct &= expected == &buffer[at..at + expected.len()];
                at += expected.len();
                self.body.size += expected.len();
            }
            remaining -= read;
            (self.wait)(read);
        }
        Some(())
    }

    fn read_chunks(&mut self) -> bool {
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
            if self.read_exactly(size).is_none() || self.from.read_exact(&mut end).is_err() {
                return false;
            }
        }
    }
}

/// A writer that pauses after its first write, the head of a message, and then after each lump of the body.
struct PacedWriter<'a, W> {
    to: &'a mut W,
    lump_bytes: usize,
    /// Bytes left of the current lump, or `None` before the head.
    lump_left: Option<usize>,
    pause: Duration,
}

impl<W: Write> Write for PacedWriter<'_, W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.to.write(&bytes[..bytes.len().min(self.lump_left.unwrap_or(bytes.len()))])?;
        let left = self.lump_left.map_or(0, |left| left - written);
        if left == 0 {
            self.to.flush()?;
            std::thread::sleep(self.pause);
        }
        self.lump_left = Some(if left == 0 { self.lump_bytes } else { left });
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.to.flush()
    }
}

/// A reader that takes `bytes_per_second`, or nothing where that is 0.
struct PacedReader<'a> {
    from: &'a mut BufReader<TcpStream>,
    bytes_per_second: usize,
    started: Instant,
    taken: usize,
}

impl<'a> PacedReader<'a> {
    const STEP: Duration = Duration::from_millis(10);

    fn new(from: &'a mut BufReader<TcpStream>, bytes_per_second: usize) -> Self {
        Self { from, bytes_per_second, started: Instant::now(), taken: 0 }
    }
}

impl io::Read for PacedReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            let due = self.bytes_per_second as f64 * self.started.elapsed().as_secs_f64();
            let max = (due as usize).saturating_sub(self.taken).min(buffer.len());
            if max > 0 {
                let read = self.from.read(&mut buffer[..max])?;
                self.taken += read;
                return Ok(read);
            }
            std::thread::sleep(Self::STEP);
        }
    }
}

/// Receive buffer of a server that reads slowly, so that the pace of its reads is felt by the sender.
const SLOW_RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Largest segment that a sender may use towards a server with small segments. The system sizes the send buffer by it.
const SMALL_SEGMENT_BYTES: u32 = 536;

/// A mock server that reads bodies and responds as the query of a request asks: `size`, `framing` and `cut` of the
/// response, and `lumps` in which its body is written, with `pause_ms` before each. With `early` it rejects the
/// request before it has read the body, and `read_rate` is the pace in bytes per second at which it reads it.
pub struct BulkServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Number of complete and correct bodies, and of all others.
    pub body_counts: Arc<[AtomicUsize; 2]>,
}

impl BulkServer {
    /// Starts a server.
    pub fn start() -> Self {
        Self::on_listener(TcpListener::bind("127.0.0.1:0").expect("a free port"))
    }

    /// Starts a server whose receive buffers are small.
    pub fn start_with_small_buffers() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let socket = socket2::SockRef::from(&listener);
        socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES).expect("a small buffer");
        Self::on_listener(listener)
    }

    /// Starts a server whose receive buffers and segments are small, so that the system of the sender takes little ahead of
    /// it.
    pub fn start_with_small_segments() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let socket = socket2::SockRef::from(&listener);
        socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES).expect("a small buffer");
        socket.set_tcp_mss(SMALL_SEGMENT_BYTES).expect("small segments");
        Self::on_listener(listener)
    }

    fn on_listener(listener: TcpListener) -> Self {
        let server = Self {
            address: listener.local_addr().expect("the address of a bound socket"),
            body_counts: Arc::default(),
        };
        let body_counts = server.body_counts.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let body_counts = body_counts.clone();
                std::thread::spawn(move || serve(BufReader::new(stream), &body_counts));
            }
        });
        server
    }
}

fn serve(mut stream: BufReader<TcpStream>, body_counts: &[AtomicUsize; 2]) -> Option<()> {
    loop {
        let head = crate::message::read_head(&mut stream)?;
        let query = head.start_line.split([' ', '?']).nth(2).unwrap_or_default().to_string();
        let parameter = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).map(str::to_string)
        };
        if parameter("early").is_some() {
            let rejection =
                "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            stream.get_mut().write_all(rejection.as_bytes()).ok()?;
            stream.get_mut().shutdown(Shutdown::Write).ok()?;
            // Reads the rest, because closing with unread data would reset the connection and discard the response.
            io::copy(&mut stream, &mut io::sink()).ok()?;
            return None;
        }
        let has_body = head.header("content-length").or(head.header("transfer-encoding")).is_some();
        let number = |name: &str| parameter(name).and_then(|text| text.parse().ok());
        if has_body {
            let body = match number("read_rate") {
                Some(bytes_per_second) => {
                    let paced = PacedReader::new(&mut stream, bytes_per_second);
                    read_body(&mut BufReader::new(paced), &head.headers, |_| {})
                }
                None => read_body(&mut stream, &head.headers, |_| {}),
            };
            let index = usize::from(!(body.is_complete && body.is_correct));
            body_counts[index].fetch_add(1, Ordering::SeqCst);
            if !body.is_complete {
                return None;
            }
        }
        let framing = match parameter("framing").as_deref() {
            Some("chunked") => Framing::Chunked,
            Some("close") => Framing::Close,
            _ => Framing::Length,
        };
        let (size, cut) = (number("size").unwrap_or(2), number("cut"));
        let answer = "HTTP/1.1 200 OK\r\n";
        match number("lumps") {
            Some(lumps) => {
                let pause = Duration::from_millis(number("pause_ms").unwrap_or(0) as u64);
                let (to, lump_bytes) = (stream.get_mut(), size / lumps.max(1) + 1);
                let mut paced = PacedWriter { to, lump_bytes, lump_left: None, pause };
                write_body(&mut paced, answer, framing, size, cut).ok()?;
            }
            None => write_body(stream.get_mut(), answer, framing, size, cut).ok()?,
        }
        if framing == Framing::Close || cut.is_some() {
            return stream.get_mut().shutdown(Shutdown::Both).ok();
        }
    }
}
