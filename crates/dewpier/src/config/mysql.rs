//! The table `[mysql]`: the front for MySQL clients, and the servers behind it.

use super::check::{
    ConfigError, HOUR_MILLIS, InvalidValue, check_integer, check_millis, invalid, parse, parse_address,
    read_text, resolve_path,
};
use super::inventory::{Inventory, RawInventory, check_inventory};
use dewpier_mysql::auth::PasswordHash;
use dewpier_mysql::io::{FrontSettings, StopLimits};
use dewpier_mysql::login::Credentials;
use dewpier_operate::stopping::StopTiming;
use gannetproxy::{Class, Effect, Settings};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// The configuration of the front for MySQL clients, without its secrets.
#[derive(Clone, Debug)]
pub struct MySqlConfig {
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The zone that the proxy is in.
    pub zone: String,
    /// The file that lists the primary servers.
    pub inventory: Inventory,
    /// The file that lists the read-only replicas, if any.
    pub replicas: Option<Inventory>,
    /// Settings of the decision module: class 0 holds the reads, class 1 everything else.
    pub settings: Settings,
    /// Settings of the client side.
    pub front: FrontSettings,
    /// Time after a drain notice from which nothing new is sent to the server.
    pub drain_grace: Duration,
    /// Time in which a connection to a server must be established and logged in.
    pub connect_timeout: Duration,
    /// Time after which servers close idle connections.
    pub idle_close: Duration,
    /// Maximum number of connections to all servers together.
    pub max_connections: usize,
    /// Bytes of an answer that are buffered before any of it is passed on.
    pub hold_bytes: usize,
    /// Maximum bytes buffered for all answers together.
    pub max_held_bytes: usize,
    /// Longest packet of an answer, in bytes.
    pub max_packet_bytes: usize,
    users_file: PathBuf,
    server_user: String,
    server_password_file: PathBuf,
}

/// The secrets, which are in files of their own.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// Password hashes of the clients, by user name.
    pub users: HashMap<String, PasswordHash>,
    /// The credentials with which the proxy logs in to servers.
    pub server_credentials: Credentials,
}

/// The table `[mysql]` as written.
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

/// A file of users as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawUsers {
    users: Spanned<BTreeMap<String, Spanned<String>>>,
}

/// Maximum number of users in a file.
const MAX_USERS: usize = 10_000;

/// Checks the table.
pub(super) fn check_mysql(raw: &RawMySql, zone: &str, path: &Path) -> Result<MySqlConfig, InvalidValue> {
    let listen = parse_address(&raw.listen, "listen")?;
    if !listen.ip().is_loopback() && !raw.plaintext {
        let expected = "a loopback address, as connections are plain, or plaintext = true";
        return invalid(raw.listen.span(), "listen", expected, listen);
    }
    if raw.server_user.get_ref().is_empty() {
        return invalid(raw.server_user.span(), "server_user", "a name", "''");
    }
    let version = raw.version.as_ref().map_or("8.0.40-dewpier", |version| version.get_ref().as_str());
    let numeric_parts = version.split(['.', '-']).take(3).filter(|part| part.parse::<u16>().is_ok()).count();
    if numeric_parts < 3 || version.len() > 60 || !version.is_ascii() || version.contains('\0') {
        let span = raw.version.as_ref().map_or(0..0, |version| version.span());
        return invalid(
            span,
            "version",
            "three numbers with dots, and up to 60 signs",
            format!("'{version}'"),
        );
    }
    const DAY_MILLIS: i64 = 24 * HOUR_MILLIS;
    let read_deadline = check_millis(&raw.read_deadline_ms, "read_deadline_ms", [10, DAY_MILLIS], 30_000)?;
    let write_deadline = check_millis(&raw.write_deadline_ms, "write_deadline_ms", [10, DAY_MILLIS], 30_000)?;
    let read_deadline_millis = read_deadline.as_millis() as i64;
    let read_aim = check_millis(
        &raw.read_aim_ms,
        "read_aim_ms",
        [1, read_deadline_millis],
        (read_deadline_millis / 3).max(1),
    )?;
    let class = |aim: Duration, deadline: Duration, effect| Class {
        aim: aim.as_secs_f64(),
        deadline: deadline.as_secs_f64(),
        late_worth: 0.5,
        worth: 1.0,
        effect,
        in_order: false,
    };
    let megabytes = |value: &Option<Spanned<i64>>, key, default| {
        check_integer(value, key, [1, 4096], default).map(|mb| (mb as usize) << 20)
    };
    let max_held_bytes = megabytes(&raw.max_held_mb, "max_held_mb", 128)?;
    let max_held_kb = (max_held_bytes >> 10) as i64;
    let hold_bytes =
        (check_integer(&raw.hold_kb, "hold_kb", [0, max_held_kb], max_held_kb.min(1024))? as usize) << 10;
    Ok(MySqlConfig {
        listen,
        zone: zone.to_string(),
        inventory: check_inventory(&raw.inventory, path)?,
        replicas: raw.replicas.as_ref().map(|raw| check_inventory(raw, path)).transpose()?,
        settings: Settings {
            classes: vec![
                class(read_aim, read_deadline, Effect::Safe),
                class(write_deadline, write_deadline, Effect::Unsafe),
            ],
            max_attempts: check_integer(&raw.max_attempts, "max_attempts", [1, 16], 4)? as usize,
            max_retry_after: 1.0,
            ..Settings::default()
        },
        front: FrontSettings {
            server_version: version.to_string(),
            max_sessions: check_integer(&raw.max_sessions, "max_sessions", [1, 100_000], 1000)? as usize,
            idle_timeout: check_millis(&raw.idle_ms, "idle_ms", [1000, 7 * DAY_MILLIS], 8 * HOUR_MILLIS)?,
            max_command_bytes: megabytes(&raw.max_command_mb, "max_command_mb", 64)?,
            read_own_writes_window: check_millis(
                &raw.read_own_writes_ms,
                "read_own_writes_ms",
                [0, HOUR_MILLIS],
                1000,
            )?,
            deadlines: [read_deadline.as_secs_f64(), write_deadline.as_secs_f64()],
            stop_limits: stop_limits(read_deadline.max(write_deadline)),
        },
        drain_grace: check_millis(&raw.drain_grace_ms, "drain_grace_ms", [10, 60_000], 500)?,
        connect_timeout: check_millis(&raw.connect_timeout_ms, "connect_timeout_ms", [1, 60_000], 1000)?,
        idle_close: check_millis(&raw.idle_close_ms, "idle_close_ms", [1, 7 * DAY_MILLIS], 8 * HOUR_MILLIS)?,
        max_connections: check_integer(&raw.max_connections, "max_connections", [1, 100_000], 200)? as usize,
        hold_bytes,
        max_held_bytes,
        max_packet_bytes: megabytes(&raw.max_row_mb, "max_row_mb", 64)?,
        users_file: resolve_path(path, raw.users.get_ref()),
        server_user: raw.server_user.get_ref().clone(),
        server_password_file: resolve_path(path, raw.server_password_file.get_ref()),
    })
}

/// The limits of a stop, for statements whose time limits are up to `longest_deadline`.
fn stop_limits(longest_deadline: Duration) -> StopLimits {
    let timing = StopTiming::new(longest_deadline.as_secs_f64());
    StopLimits {
        answers_within: timing.request_time_left(Duration::ZERO),
        ends_within: timing.time_until_exit(Duration::ZERO),
    }
}

impl MySqlConfig {
    /// The files that list servers: the primaries' and, if any, the replicas'.
    pub fn inventories(&self) -> impl Iterator<Item = &Inventory> {
        [&self.inventory].into_iter().chain(&self.replicas)
    }

    /// Reads the files of users and of the server password.
    pub fn read_secrets(&self) -> Result<Secrets, ConfigError> {
        let users = parse(&read_text(&self.users_file)?, &self.users_file, check_users)?;
        let password = read_text(&self.server_password_file)?;
        let password = password.strip_suffix('\n').unwrap_or(&password);
        let password = password.strip_suffix('\r').unwrap_or(password).to_string();
        Ok(Secrets { users, server_credentials: Credentials { user: self.server_user.clone(), password } })
    }
}

/// Checks a file of users.
fn check_users(file: RawUsers, _: &Path) -> Result<HashMap<String, PasswordHash>, InvalidValue> {
    let users = file.users.get_ref();
    if users.is_empty() || users.len() > MAX_USERS {
        return invalid(file.users.span(), "users", &format!("1 to {MAX_USERS}"), users.len());
    }
    let parse_user = |(name, hash): (&String, &Spanned<String>)| match parse_hash(hash.get_ref()) {
        Some(parsed) => Ok((name.clone(), parsed)),
        // The value is not printed, as it may be a password.
        None => invalid(hash.span(), "a user's hash", "* and 40 digits, or sha2: and 64", "something else"),
    };
    users.iter().map(parse_user).collect()
}

/// Parses a password hash as a file of users holds it.
fn parse_hash(text: &str) -> Option<PasswordHash> {
    match text.strip_prefix("sha2:") {
        Some(digits) => parse_hex(digits).map(PasswordHash::Sha2),
        None => parse_hex(text.strip_prefix('*')?).map(PasswordHash::Native),
    }
}

/// Parses hexadecimal digits, two per byte.
fn parse_hex<const N: usize>(digits: &str) -> Option<[u8; N]> {
    let hex_digit = |byte: u8| char::from(byte).to_digit(16);
    let pairs: Option<Vec<u8>> = digits
        .as_bytes()
        .chunks(2)
        .map(|pair| Some((hex_digit(pair[0])? << 4 | hex_digit(*pair.get(1)?)?) as u8))
        .collect();
    pairs?.try_into().ok()
}

/// The hash that a file of users holds for a password: for `caching_sha2_password`, or for `mysql_native_password` if
/// `native` is set.
pub fn hash_password(password: &str, native: bool) -> String {
    let (mark, bytes) =
        match if native { PasswordHash::native(password) } else { PasswordHash::sha2(password) } {
            PasswordHash::Native(bytes) => ("*", bytes.to_vec()),
            PasswordHash::Sha2(bytes) => ("sha2:", bytes.to_vec()),
        };
    let digits: String = bytes.iter().map(|byte| format!("{byte:02X}")).collect();
    format!("{mark}{digits}")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn user_hashes_parse_and_invalid_ones_are_reported_with_their_position() {
        let read =
            |text: &str| parse(text, Path::new("/u.toml"), check_users).map_err(|error| error.to_string());
        for (native, hash) in [(true, PasswordHash::native("oak")), (false, PasswordHash::sha2("oak"))] {
            let good = format!("[users]\nplanner = \"{}\"\n", hash_password("oak", native));
            assert_eq!(read(&good).unwrap(), [("planner".to_string(), hash)].into());
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
            let error = read(&text).unwrap_err();
            assert!(error.starts_with(&format!("/u.toml:{place}: ")) && !error.contains("oak"), "{error}");
        }
    }
}
