//! TCP server for operators: reads one call per connection and writes its answer.

use crate::calls::{Call, MAX_LINE_BYTES};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Maximum number of callers served at once; part of the descriptors reserved for the process itself. One more
/// caller replaces the one that connected first.
pub const MAX_CALLERS: usize = 8;
/// Time in which a caller must send its line.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which a caller must read its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves operators until it is dropped. Runs on a [`tokio::task::LocalSet`]; `answer` is called between the turns of
/// the other tasks there.
pub async fn serve(listener: TcpListener, answer: Rc<dyn Fn(Call) -> String>) {
    let mut callers: Vec<JoinHandle<()>> = Vec::new();
    let mut failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                failing = false;
                callers.retain(|caller| !caller.is_finished());
                if callers.len() >= MAX_CALLERS {
                    callers.remove(0).abort();
                }
                callers.push(tokio::task::spawn_local(serve_caller(stream, answer.clone())));
            }
            Err(error) => {
                // Logged once per series of failures: callers could fill the log otherwise.
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "accepting an operator connection failed, retrying");
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers one caller.
async fn serve_caller(mut stream: TcpStream, answer: Rc<dyn Fn(Call) -> String>) {
    // A caller that sends no complete line in time is disconnected without an answer.
    let Ok(Ok(line)) = tokio::time::timeout(READ_TIMEOUT, read_line(&mut stream)).await else { return };
    let text = match Call::parse(&line) {
        Ok(call) => answer(call),
        Err(error) => error,
    };
    let sent = async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await
    };
    let _ = tokio::time::timeout(WRITE_TIMEOUT, sent).await; // a caller that doesn't read is disconnected
}

/// Reads a line and removes its end. Returns more than [`MAX_LINE_BYTES`] bytes for a line that is too long.
async fn read_line(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let (mut line, mut buffer) = (Vec::new(), [0; MAX_LINE_BYTES]);
    loop {
        let read = stream.read(&mut buffer).await?;
        line.extend_from_slice(&buffer[..read]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Ok(line);
        }
        if read == 0 || line.len() > MAX_LINE_BYTES {
            return Ok(line);
        }
    }
}
