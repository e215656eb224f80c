//! What a process of a fleet knew, in a file for the one that comes after it: written by a thread beside, and read once.

use dewpier_verdicts::{BootTime, MAX_SNAPSHOT_BYTES};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::time::Duration;

/// Which start of the machine this is, as the kernel says: a number drawn then.
fn boot() -> io::Result<u128> {
    static BOOT: OnceLock<u128> = OnceLock::new();
    if let Some(boot) = BOOT.get() {
        return Ok(*boot);
    }
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id")?;
    let digits: String = text.trim().chars().filter(|c| *c != '-').collect();
    let boot = u128::from_str_radix(&digits, 16).map_err(io::Error::other)?;
    Ok(*BOOT.get_or_init(|| boot))
}

/// Now, on the machine's clock that goes on while it sleeps.
pub fn now() -> io::Result<BootTime> {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let at = Duration::try_from(time).map_err(io::Error::other)?;
    Ok(BootTime { boot_id: boot()?, since_boot: at })
}

/// What is in the file. None where there is none.
pub fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    // A pipe or a device would be waited for.
    match std::fs::metadata(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
        Ok(about) if !about.is_file() => return Err(io::Error::other("expected a file")),
        Ok(_) => {}
    }
    let mut bytes = Vec::new();
    // One more than there may be, so that one that is too long is seen to be.
    File::open(path)?.take(MAX_SNAPSHOT_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

/// Puts these bytes in its place, whole: who reads it finds the old or the new ones. It is not synced: after a loss of
/// power it is of an earlier start of the machine, and refused in any case.
pub fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    let mut file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&beside)?;
    file.write_all(bytes)?;
    drop(file);
    std::fs::rename(beside, path)
}
