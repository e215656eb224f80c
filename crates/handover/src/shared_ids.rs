//! Request IDs that the processes of an upgrade claim from each other, as files in a shared folder.
//!
//! Creating a file is atomic, needs no answer of the other process, and holds when that process is suspended or killed.

use std::fs::{self, File};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

/// Time after which a claim ends: no attempt of a request lasts as long.
pub const CLAIM_LIFETIME: Duration = Duration::from_secs(60);
/// Number of claims after which those that have ended are removed.
const CLAIMS_PER_CLEANUP: usize = 256;

/// The claims of all processes that serve one address.
#[derive(Debug)]
pub struct SharedRequestIds {
    folder: PathBuf,
    claims_until_cleanup: usize,
}

impl SharedRequestIds {
    /// Opens the claims in `folder`, which is created if needed.
    pub fn open(folder: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        let mut claims = Self { folder, claims_until_cleanup: CLAIMS_PER_CLEANUP };
        claims.remove_ended()?;
        Ok(claims)
    }

    /// Claims an ID. Returns false if it is claimed already.
    pub fn claim(&mut self, id: u64) -> io::Result<bool> {
        match self.claims_until_cleanup.checked_sub(1) {
            Some(left) => self.claims_until_cleanup = left,
            None => self.remove_ended()?,
        }
        match File::create_new(self.folder.join(format!("{id:016x}"))) {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Removes the claims that have ended.
    fn remove_ended(&mut self) -> io::Result<()> {
        self.claims_until_cleanup = CLAIMS_PER_CLEANUP;
        let ended_before = SystemTime::now().checked_sub(CLAIM_LIFETIME);
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            // A file that another process has removed meanwhile is no error.
            let Ok(modified) = entry.metadata().and_then(|metadata| metadata.modified()) else { continue };
            if ended_before.is_some_and(|ended_before| modified < ended_before) {
                let _ = fs::remove_file(entry.path());
            }
        }
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
        for id in 0..2 * CLAIMS_PER_CLEANUP as u64 {
            assert!(old.claim(id).unwrap());
            assert!(!new.claim(id).unwrap() && !old.claim(id).unwrap());
        }
        old.remove_all();
        assert!(new.claim(1).is_err(), "the folder is gone");
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
