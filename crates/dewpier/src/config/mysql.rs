//! The table `[mysql]`: a front for MySQL clients, and the servers behind it.

use super::check::{ConfigError, HOUR, Wrong, address, beside, millis, parse, text, whole, wrong};
use super::inventory::{Inventory, RawInventory, inventory};
use dewpier_mysql::auth::Kept;
use dewpier_mysql::io::FrontSettings;
use dewpier_mysql::login::Credentials;
use gannetproxy::{Class, Effect, Settings};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Everything that a front for MySQL clients is told, but for secrets.
#[derive(Clone, Debug)]
pub struct MySqlConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The zone it is in.
    pub zone: String,
    /// Where the list of servers is.
    pub inventory: Inventory,
    /// Where the list of those is that only read, if there are any.
    pub replicas: Option<Inventory>,
    /// What the module is told: reads are of class 0, all else of class 1.
    pub settings: Settings,
    /// What holds for clients.
    pub front: FrontSettings,
    /// Nothing new to a server this long after the news that it drains.
    pub drain_grace: Duration,
    /// A connection not logged in by then never is.
    pub connect_timeout: Duration,
    /// Servers close idle connections after this.
    pub idle_close: Duration,
    /// Connections to all servers together.
    pub most_connections: usize,
    /// So much of an answer is held before any of it is passed on, in bytes.
    pub held: usize,
    /// Bytes of all answers that are held at once.
    pub most_held: usize,
    /// The longest packet of an answer, in bytes.
    pub most_packet: usize,
    users: PathBuf,
    server_user: String,
    server_password: PathBuf,
}

/// What is kept apart from the configuration.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// Clients, and what is kept of their passwords.
    pub users: HashMap<String, Kept>,
    /// Who the proxy is to servers.
    pub own: Credentials,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawMySql {
    listen: Spanned<String>,
    #[serde(default)]
    plaintext: bool,
    users: Spanned<PathBuf>,
    server_user: Spanned<String>,
    server_password_file: Spanned<PathBuf>,
    version: Option<Spanned<String>>,
    read_aim_ms: Option<Spanned<i64>>,
    read_deadline_ms: Option<Spanned<i64>>,
    write_deadline_ms: Option<Spanned<i64>>,
    max_attempts: Option<Spanned<i64>>,
    max_sessions: Option<Spanned<i64>>,
    idle_ms: Option<Spanned<i64>>,
    max_command_mb: Option<Spanned<i64>>,
    max_row_mb: Option<Spanned<i64>>,
    hold_kb: Option<Spanned<i64>>,
    max_held_mb: Option<Spanned<i64>>,
    max_connections: Option<Spanned<i64>>,
    connect_timeout_ms: Option<Spanned<i64>>,
    idle_close_ms: Option<Spanned<i64>>,
    drain_grace_ms: Option<Spanned<i64>>,
    read_own_writes_ms: Option<Spanned<i64>>,
    inventory: RawInventory,
    replicas: Option<RawInventory>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawUsers {
    users: Spanned<BTreeMap<String, Spanned<String>>>,
}

/// Users that a file may name.
const MOST_USERS: usize = 10_000;

pub(super) fn mysql(raw: &RawMySql, zone: &str, path: &Path) -> Result<MySqlConfig, Wrong> {
    let listen = address(&raw.listen, "listen")?;
    if !listen.ip().is_loopback() && !raw.plaintext {
        let expected = "a loopback address, as connections are plain, or plaintext = true";
        return wrong(raw.listen.span(), "listen", expected, listen);
    }
    if raw.server_user.get_ref().is_empty() {
        return wrong(raw.server_user.span(), "server_user", "a name", "''");
    }
    let version = raw.version.as_ref().map_or("8.0.40-dewpier", |version| version.get_ref().as_str());
    let digits = version.split(['.', '-']).take(3).filter(|part| part.parse::<u16>().is_ok()).count();
    if digits < 3 || version.len() > 60 || !version.is_ascii() || version.contains('\0') {
        let span = raw.version.as_ref().map_or(0..0, |version| version.span());
        return wrong(span, "version", "three numbers with dots, and up to 60 signs", format!("'{version}'"));
    }
    const DAY: i64 = 24 * HOUR;
    let read = millis(&raw.read_deadline_ms, "read_deadline_ms", [10, DAY], 30_000)?;
    let write = millis(&raw.write_deadline_ms, "write_deadline_ms", [10, DAY], 30_000)?;
    let most = read.as_millis() as i64;
    let aim = millis(&raw.read_aim_ms, "read_aim_ms", [1, most], (most / 3).max(1))?;
    let class = |aim: Duration, deadline: Duration, effect| Class {
        aim: aim.as_secs_f64(),
        deadline: deadline.as_secs_f64(),
        late_worth: 0.5,
        worth: 1.0,
        effect,
        in_order: false,
    };
    let megabytes = |value: &Option<Spanned<i64>>, what, default| {
        whole(value, what, [1, 4096], default).map(|mb| (mb as usize) << 20)
    };
    let most_held = megabytes(&raw.max_held_mb, "max_held_mb", 128)?;
    let most_kb = (most_held >> 10) as i64;
    let held = (whole(&raw.hold_kb, "hold_kb", [0, most_kb], most_kb.min(1024))? as usize) << 10;
    Ok(MySqlConfig {
        listen,
        zone: zone.to_string(),
        inventory: inventory(&raw.inventory, path)?,
        replicas: raw.replicas.as_ref().map(|raw| inventory(raw, path)).transpose()?,
        settings: Settings {
            classes: vec![class(aim, read, Effect::Safe), class(write, write, Effect::Unsafe)],
            max_attempts: whole(&raw.max_attempts, "max_attempts", [1, 16], 4)? as usize,
            max_retry_after: 1.0,
            ..Settings::default()
        },
        front: FrontSettings {
            version: version.to_string(),
            most_sessions: whole(&raw.max_sessions, "max_sessions", [1, 100_000], 1000)? as usize,
            idle: millis(&raw.idle_ms, "idle_ms", [1000, 7 * DAY], 8 * HOUR)?,
            most_command: megabytes(&raw.max_command_mb, "max_command_mb", 64)?,
            own_writes: millis(&raw.read_own_writes_ms, "read_own_writes_ms", [0, HOUR], 1000)?,
            deadlines: [read.as_secs_f64(), write.as_secs_f64()],
        },
        drain_grace: millis(&raw.drain_grace_ms, "drain_grace_ms", [10, 60_000], 500)?,
        connect_timeout: millis(&raw.connect_timeout_ms, "connect_timeout_ms", [1, 60_000], 1000)?,
        idle_close: millis(&raw.idle_close_ms, "idle_close_ms", [1, 7 * DAY], 8 * HOUR)?,
        most_connections: whole(&raw.max_connections, "max_connections", [1, 100_000], 200)? as usize,
        held,
        most_held,
        most_packet: megabytes(&raw.max_row_mb, "max_row_mb", 64)?,
        users: beside(path, raw.users.get_ref()),
        server_user: raw.server_user.get_ref().clone(),
        server_password: beside(path, raw.server_password_file.get_ref()),
    })
}

impl MySqlConfig {
    /// The lists of servers.
    pub fn inventories(&self) -> impl Iterator<Item = &Inventory> {
        [&self.inventory].into_iter().chain(&self.replicas)
    }

    /// Reads the users and the password that it names.
    pub fn secrets(&self) -> Result<Secrets, ConfigError> {
        let users = parse(&text(&self.users)?, &self.users, users)?;
        let password = text(&self.server_password)?;
        let password = password.strip_suffix('\n').unwrap_or(&password);
        let password = password.strip_suffix('\r').unwrap_or(password).to_string();
        Ok(Secrets { users, own: Credentials { user: self.server_user.clone(), password } })
    }
}

fn users(file: RawUsers, _: &Path) -> Result<HashMap<String, Kept>, Wrong> {
    let named = file.users.get_ref();
    if named.is_empty() || named.len() > MOST_USERS {
        return wrong(file.users.span(), "users", &format!("1 to {MOST_USERS}"), named.len());
    }
    let hash = |(name, hash): (&String, &Spanned<String>)| match kept(hash.get_ref()) {
        Some(kept) => Ok((name.clone(), kept)),
        // What was found may be a password.
        None => wrong(hash.span(), "a user's hash", "* and 40 digits, or sha2: and 64", "something else"),
    };
    named.iter().map(hash).collect()
}

fn kept(text: &str) -> Option<Kept> {
    match text.strip_prefix("sha2:") {
        Some(digits) => bytes(digits).map(Kept::Sha2),
        None => bytes(text.strip_prefix('*')?).map(Kept::Native),
    }
}

/// Bytes of digits, two each.
fn bytes<const N: usize>(digits: &str) -> Option<[u8; N]> {
    let hex = |byte: u8| char::from(byte).to_digit(16);
    let pairs: Option<Vec<u8>> = digits
        .as_bytes()
        .chunks(2)
        .map(|pair| Some((hex(pair[0])? << 4 | hex(*pair.get(1)?)?) as u8))
        .collect();
    pairs?.try_into().ok()
}

/// What is to stand in a file of users for such a password, for `caching_sha2_password`, or for
/// `mysql_native_password` where clients know no other.
pub fn hash_password(password: &str, native: bool) -> String {
    let (mark, bytes) = match if native { Kept::native(password) } else { Kept::sha2(password) } {
        Kept::Native(bytes) => ("*", bytes.to_vec()),
        Kept::Sha2(bytes) => ("sha2:", bytes.to_vec()),
    };
    let digits: String = bytes.iter().map(|byte| format!("{byte:02X}")).collect();
    format!("{mark}{digits}")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn users_are_read_by_their_hashes_and_what_is_none_is_told_with_its_place() {
        let read = |text: &str| parse(text, Path::new("/u.toml"), users).map_err(|error| error.to_string());
        for (native, kept) in [(true, Kept::native("oak")), (false, Kept::sha2("oak"))] {
            let good = format!("[users]\nplanner = \"{}\"\n", hash_password("oak", native));
            assert_eq!(read(&good).unwrap(), [("planner".to_string(), kept)].into());
        }
        let good = format!("[users]\nplanner = \"{}\"\n", hash_password("oak", true));
        for (text, place) in [
            ("[users]\nplanner = \"oak\"\n".to_string(), "2:11"),
            (good.replace('*', ""), "2:11"),
            (good.replace('*', "sha2:"), "2:11"),
            (good.replace('*', "*+"), "2:11"),
            ("[users]\n".into(), "1:1"),
            ("[user]\n".into(), "1:2"),
        ] {
            let told = read(&text).unwrap_err();
            assert!(told.starts_with(&format!("/u.toml:{place}: ")) && !told.contains("oak"), "{told}");
        }
    }
}
