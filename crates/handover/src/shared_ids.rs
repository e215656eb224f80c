//! Request IDs that the processes of an upgrade claim from each other, as files in a shared folder.
//!
//! Creating a file is atomic, needs no answer of the other process, and holds when that process is suspended or killed.

use std::fs::{self, File};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};

/// Time after which a claim ends: no attempt of a request lasts as long.
pub const CLAIM_LIFETIME: Duration = Duration::from_secs(60);
/// Largest number of claims of one process between two cleanups. Beyond it a process knows its own IDs only, so that
/// clients can't fill the folder.
const MAX_CLAIMS: usize = 1 << 14;
/// Time between two removals of the claims that have ended.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(20);

/// The claims of all processes that serve one address.
#[derive(Debug)]
pub struct SharedRequestIds {
    folder: PathBuf,
    claims_left: usize,
    cleaned_at: Instant,
}

impl SharedRequestIds {
    /// Opens the claims in `folder`, which is created if needed.
    pub fn open(folder: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        let mut claims = Self { folder, claims_left: MAX_CLAIMS, cleaned_at: Instant::now() };
        claims.remove_ended()?;
        Ok(claims)
    }

    /// Claims an ID. Returns false if it is claimed already. Fails if the folder can't be used or too many are claimed.
    pub fn claim(&mut self, id: u64) -> io::Result<bool> {
        if self.cleaned_at.elapsed() >= CLEANUP_INTERVAL {
            self.remove_ended()?;
        }
        self.claims_left = self.claims_left.checked_sub(1).ok_or(io::ErrorKind::QuotaExceeded)?;
        match File::create_new(self.folder.join(format!("{id:016x}"))) {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Removes the claims that have ended.
    fn remove_ended(&mut self) -> io::Result<()> {
        self.cleaned_at = Instant::now();
        let mut live = 0;
        let ended_before = SystemTime::now().checked_sub(CLAIM_LIFETIME);
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            // A file that another process has removed meanwhile is no error.
            let Ok(modified) = entry.metadata().and_then(|metadata| metadata.modified()) else { continue };
            if ended_before.is_some_and(|ended_before| modified < ended_before) {
                let _ = fs::remove_file(entry.path());
            } else {
                live += 1;
            }
        }
        self.claims_left = MAX_CLAIMS.saturating_sub(live);
        Ok(())
    }

    /// Removes all claims, as no other process serves the address.
    pub fn remove_all(self) {
        let _ = fs::remove_dir_all(self.folder); // what is left ends by its age
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        std::env::temp_dir().join(format!("dewpier-claims-{name}-{}", std::process::id()))
    }

    #[test]
    fn an_id_is_claimed_by_one_of_two_processes() {
        let path = folder("two");
        let mut old = SharedRequestIds::open(path.clone()).unwrap();
        let mut new = SharedRequestIds::open(path).unwrap();
        for id in 0..500 {
            assert!(old.claim(id).unwrap());
            assert!(!new.claim(id).unwrap() && !old.claim(id).unwrap());
        }
        old.remove_all();
        assert!(new.claim(1).is_err(), "the folder is gone");
    }

    #[test]
    fn number_of_claims_is_bounded() {
        let mut claims = SharedRequestIds::open(folder("bound")).unwrap();
        assert!((0..MAX_CLAIMS as u64).all(|id| claims.claim(id).is_ok()));
        assert!(claims.claim(u64::MAX).is_err());
        claims.remove_all();
    }

    #[test]
    fn claims_end_by_their_age() {
        let path = folder("age");
        let mut claims = SharedRequestIds::open(path.clone()).unwrap();
        assert!(claims.claim(1).unwrap() && claims.claim(2).unwrap());
        let file = File::options().write(true).open(path.join(format!("{:016x}", 1))).unwrap();
        file.set_modified(SystemTime::now() - 2 * CLAIM_LIFETIME).unwrap();
        let mut claims = SharedRequestIds::open(path).unwrap();
        assert!(claims.claim(1).unwrap() && !claims.claim(2).unwrap());
        claims.remove_all();
    }
}
