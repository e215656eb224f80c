//! Bodies in both directions: whole up to 64 KiB, beyond that passed on in pieces as they come. Nothing piles up: a
//! piece is taken where there is room for it on the other side.

use crate::clients::Client;
use crate::limits::Permit;
use bytes::Bytes;
use dewpier_operate::metrics::{OpenRequest, RequestOutcome};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Pieces of an answer that wait for its client.
const PIECES: usize = 2;

/// A client's body that has begun to come and is passed on from here.
#[derive(Debug)]
pub struct Begun {
    /// What has come.
    pub first: Bytes,
    /// What is to come.
    pub rest: Incoming,
    /// How much that is, if that is known.
    pub left: Option<u64>,
    /// The room that it takes.
    pub room: Permit,
}

/// How far a body that is passed on has come; its reader and its writer both see it.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<Mutex<Option<Instant>>>);

impl Progress {
    /// When its last piece was handed on, if it was.
    pub fn ended(&self) -> Option<Instant> {
        self.0.lock().ok().and_then(|ended| *ended)
    }

    fn end(&self) {
        if let Ok(mut ended) = self.0.lock() {
            ended.get_or_insert_with(Instant::now);
        }
    }
}

/// A body on its way to a backend.
#[derive(Debug)]
pub enum Outgoing {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// It is passed on.
    Passed(Begun, Progress),
}

impl Default for Outgoing {
    fn default() -> Self {
        Self::Whole(Full::default())
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Self::Whole(whole) => {
                Pin::new(whole).poll_frame(cx).map(|f| f.map(|f| f.map_err(|never| match never {})))
            }
            Self::Passed(begun, progress) => {
                if !begun.first.is_empty() {
                    return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut begun.first)))));
                }
                loop {
                    let frame = match ready!(Pin::new(&mut begun.rest).poll_frame(cx)) {
                        Some(Ok(frame)) => frame,
                        Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                        None => {
                            progress.end();
                            return Poll::Ready(None);
                        }
                    };
                    // Trailers are the connection's own: nobody here has use for them.
                    let Ok(data) = frame.into_data() else { continue };
                    if let Some(left) = &mut begun.left {
                        *left = left.saturating_sub(data.len() as u64);
                        if *left == 0 {
                            progress.end();
                        }
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Passed(begun, _) => begun.first.is_empty() && begun.left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Passed(begun, _) => match begun.left {
                Some(left) => SizeHint::with_exact(begun.first.len() as u64 + left),
                None => SizeHint::default(),
            },
        }
    }
}

/// A piece of an answer that is passed on. One that breaks off ends without [`Piece::End`].
enum Piece {
    Data(Bytes),
    End,
}

/// An answer's body, as a backend gives it.
#[derive(Debug)]
pub enum Given {
    /// All of it.
    Whole(Bytes),
    /// It goes on.
    Passed(Passed),
}

/// The rest of an answer, on its client's side.
pub struct Passed {
    first: Bytes,
    rest: mpsc::Receiver<Piece>,
    left: Option<u64>,
}

impl std::fmt::Debug for Passed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Passed").field("left", &self.left).finish_non_exhaustive()
    }
}

/// The same on its backend's side.
pub struct Passing(mpsc::Sender<Piece>);

impl Passing {
    /// An answer that has begun with this, and is to have so much more if that is known.
    pub fn begin(first: Bytes, left: Option<u64>) -> (Self, Passed) {
        let (sender, rest) = mpsc::channel(PIECES);
        (Self(sender), Passed { first, rest, left })
    }

    /// Hands on a piece once there is room for it. False where the client is gone.
    pub async fn piece(&self, data: Bytes) -> bool {
        self.0.send(Piece::Data(data)).await.is_ok()
    }

    /// That was all.
    pub async fn end(self) {
        let _ = self.0.send(Piece::End).await; // where the client is gone, nobody waits for it
    }

    /// The client is gone.
    pub async fn gone(&self) {
        self.0.closed().await;
    }
}

/// An answer on its way to a client.
pub enum Answering {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// It is passed on. The request ends with it.
    Passed(Box<Ends>),
}

/// An answer that is passed on, and what ends with it.
pub struct Ends {
    passed: Passed,
    taken: Option<OpenRequest>,
    client: Rc<Client>,
}

impl Answering {
    /// An answer of a request of that client.
    pub fn passed(passed: Passed, taken: OpenRequest, client: Rc<Client>) -> Self {
        client.passes(true);
        Self::Passed(Box::new(Ends { passed, taken: Some(taken), client }))
    }
}

impl Ends {
    fn completed(&mut self) {
        self.taken.take().into_iter().for_each(|taken| taken.end(RequestOutcome::Completed));
    }
}

impl Drop for Ends {
    fn drop(&mut self) {
        // What has not come to its end has failed; its token says so by itself.
        self.client.passes(false);
        self.client.answered();
    }
}

impl Body for Answering {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let ends = match &mut *self {
            Self::Whole(whole) => {
                let frame = ready!(Pin::new(whole).poll_frame(cx));
                return Poll::Ready(frame.map(|f| f.map_err(|never| match never {})));
            }
            Self::Passed(ends) => ends,
        };
        if !ends.passed.first.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut ends.passed.first)))));
        }
        match ready!(ends.passed.rest.poll_recv(cx)) {
            Some(Piece::Data(data)) => {
                if let Some(left) = &mut ends.passed.left {
                    *left = left.saturating_sub(data.len() as u64);
                    if *left == 0 {
                        ends.completed();
                    }
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Piece::End) => {
                ends.completed();
                Poll::Ready(None)
            }
            // The connection ends with it, so that the client can tell.
            None => Poll::Ready(Some(Err(io::Error::other("the answer broke off")))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Passed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Passed(ends) => match ends.passed.left {
                Some(left) => SizeHint::with_exact(ends.passed.first.len() as u64 + left),
                None => SizeHint::default(),
            },
        }
    }
}
