//! The lists of an inventory's file, read and looked up on a thread of their own.

use super::resolve::{Resolved, resolve};
use crate::config::Inventory;
use crate::error::ServeError;
use dewpier_inventory::io::{Source, Update};
use std::io;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Lists that may wait to be taken in. The thread that reads them waits when there are more.
const WAITING: usize = 2;
/// The first list must have come by then.
const FIRST_WITHIN: Duration = Duration::from_secs(30);

/// What the thread that reads a file says, in this order.
enum Word {
    List(Result<Resolved, String>),
    Looked(Instant),
}

/// A file's lists, one after another.
pub struct Watched {
    heard: mpsc::Receiver<Word>,
    source: Source,
    looked: Option<Instant>,
    from: String,
}

impl Watched {
    /// Begins to read.
    pub fn start(inventory: Inventory) -> io::Result<Self> {
        let (updates, heard) = mpsc::channel(WAITING);
        let Inventory { file, options, rules, poll, names } = inventory;
        // Names are looked up on the thread that reads the file, which nothing else waits for.
        let resolver = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let source = Source::start(&file, options, rules, poll, move |update| {
            let news = match update {
                Update::Accepted(list) => {
                    let resolved = resolver.block_on(resolve(&list.backends, names));
                    Word::List(Ok(resolved.map_err(|error| error.to_string())?))
                }
                Update::Rejected(why) => Word::List(Err(why)),
                Update::Looked(began) => Word::Looked(began),
                Update::Notice(text) => {
                    eprintln!("dewpier: {text}");
                    return Ok(());
                }
            };
            let _ = updates.blocking_send(news); // the program is ending
            Ok(())
        })?;
        Ok(Self { heard, source, looked: None, from: file.display().to_string() })
    }

    /// The file's name.
    pub fn from(&self) -> &str {
        &self.from
    }

    /// Has the file read at once.
    pub fn reload(&self) {
        self.source.reload();
    }

    /// Has the file looked at.
    pub fn look(&self) {
        self.source.look();
    }

    /// When the last look began that found nothing but what [`Watched::next`] has given. As of when that
    /// was last waited for.
    pub fn looked(&self) -> Option<Instant> {
        self.looked
    }

    /// The next list, or why there is none. Nothing is lost if it is dropped before.
    pub async fn next(&mut self) -> Result<Resolved, String> {
        loop {
            match self.heard.recv().await {
                Some(Word::List(news)) => return news,
                Some(Word::Looked(began)) => self.looked = Some(began),
                None => std::future::pending().await, // its thread is gone: the last list holds
            }
        }
    }

    /// The first list, without which there is nothing to do.
    pub async fn first(&mut self) -> Result<Resolved, ServeError> {
        let from = self.from.clone();
        in_time(&from, self.next()).await
    }
}

/// A first list, if it comes in time.
pub(super) async fn in_time(
    from: &str,
    first: impl Future<Output = Result<Resolved, String>>,
) -> Result<Resolved, ServeError> {
    match tokio::time::timeout(FIRST_WITHIN, first).await {
        Ok(list) => list.map_err(ServeError::Inventory),
        Err(_) => Err(ServeError::Inventory(format!("{from}: no list in time"))),
    }
}
