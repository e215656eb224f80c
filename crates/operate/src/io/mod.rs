//! The operators' server: a thin shell that hands lines to whoever answers them.

use crate::calls::{Call, MAX_LINE_BYTES};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Callers that are served at once: their descriptors are out of those kept for the process's own use. For one more
/// the one goes that has been here longest, which has said nothing for so long.
pub const MAX_CALLERS: usize = 8;
/// A caller must have sent its line by then,
const SAID_WITHIN: Duration = Duration::from_millis(800);
/// and taken its answer so long after that.
const TAKEN_WITHIN: Duration = Duration::from_secs(2);
/// After an accept that failed.
const PAUSE: Duration = Duration::from_millis(10);

/// Serves operators until it is dropped. Runs on a [`tokio::task::LocalSet`]; `answer` is asked between two turns of
/// all else there.
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
                callers.push(tokio::task::spawn_local(one(stream, answer.clone())));
            }
            Err(error) => {
                // One event for as long as it lasts: callers could fill the log with them.
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "operators' calls can't be taken");
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn one(mut stream: TcpStream, answer: Rc<dyn Fn(Call) -> String>) {
    // Who says nothing, or stops half way, is let go without a word: no call has come.
    let Ok(Ok(line)) = tokio::time::timeout(SAID_WITHIN, line(&mut stream)).await else { return };
    let text = match Call::parse(&line) {
        Ok(call) => answer(call),
        Err(no) => no,
    };
    let told = async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await
    };
    let _ = tokio::time::timeout(TAKEN_WITHIN, told).await; // one that takes nothing is let go
}

/// A line, its end left off; more than a call can have where it is too long.
async fn line(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let (mut line, mut part) = (Vec::new(), [0; MAX_LINE_BYTES]);
    loop {
        let read = stream.read(&mut part).await?;
        line.extend_from_slice(&part[..read]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Ok(line);
        }
        if read == 0 || line.len() > MAX_LINE_BYTES {
            return Ok(line);
        }
    }
}
