//! Reads and writes the snapshot file, in which a process persists the fleet's evidence for its successor.

use dewpier_verdicts::{BootTime, MAX_SNAPSHOT_BYTES};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::time::Duration;

/// The kernel's random number of the host's current boot.
fn boot_id() -> io::Result<u128> {
    static BOOT_ID: OnceLock<u128> = OnceLock::new();
    if let Some(boot_id) = BOOT_ID.get() {
        return Ok(*boot_id);
    }
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id")?;
    let digits: String = text.trim().chars().filter(|c| *c != '-').collect();
    let boot_id = u128::from_str_radix(&digits, 16).map_err(io::Error::other)?;
    Ok(*BOOT_ID.get_or_init(|| boot_id))
}

/// The current time since the host's boot, including time in suspend.
pub fn now() -> io::Result<BootTime> {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let since_boot = Duration::try_from(time).map_err(io::Error::other)?;
    Ok(BootTime { boot_id: boot_id()?, since_boot })
}

/// Reads the file; none if it does not exist. At most one byte more than a valid snapshot is read.
pub fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    // Reading a pipe or a device could block.
    match std::fs::metadata(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
        Ok(metadata) if !metadata.is_file() => return Err(io::Error::other("expected a regular file")),
        Ok(_) => {}
    }
    let mut bytes = Vec::new();
    // The extra byte shows that a file is too long.
    File::open(path)?.take(MAX_SNAPSHOT_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

/// Replaces the file atomically. It is not synced: after a power loss its boot number is outdated and it is rejected.
pub fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = PathBuf::from(temporary);
    let mut file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&temporary)?;
    file.write_all(bytes)?;
    drop(file);
    std::fs::rename(temporary, path)
}
