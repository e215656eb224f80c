//! The configuration file of our own: TOML, checked whole. No I/O but the reading of the file.

use crate::engine::MOST_HELD;
use crate::proxy::config::WireSettings;
use crate::proxy::routes::{Route, Routes};
use crate::{Class, Effect, Group, Settings};
use dewpier_inventory::reload::Rules;
use dewpier_inventory::{Encoding, Format, Options};
use dewpier_plan::io::Files;
use dewpier_plan::{DrainBound, MOST_NAME, MOST_NODES, MOST_PLANNERS};
use hyper::Method;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use toml::Spanned;

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: cannot read it: {error}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// Something in it is wrong.
    #[error("{path}:{line}:{column}: {message}")]
    Wrong {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// The column, from 1, in characters.
        column: usize,
        /// What was expected and what was found.
        message: String,
    },
}

/// Everything that a proxy of our own is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// File descriptors that the process may hold.
    pub descriptors: usize,
    /// Bytes of memory that it plans with.
    pub memory: usize,
    /// Where the list of backends comes from.
    pub source: ListFrom,
    /// What the module is told.
    pub settings: Settings,
    /// What only the proxy needs of it.
    pub wire: WireSettings,
    /// Which requests belong to which class.
    pub routes: Routes,
}

/// Where a list of backends comes from.
#[derive(Clone, Debug)]
pub enum ListFrom {
    /// A file.
    Inventory(Inventory),
    /// Planners, who tell what they have of one.
    Planners(Box<Planners>),
}

/// The planners of a forwarder.
#[derive(Clone, Debug)]
pub struct Planners {
    /// Where they are.
    pub addresses: Vec<SocketAddr>,
    /// The forwarder's name.
    pub name: String,
    /// Within which drains are kept.
    pub drains: DrainBound,
    /// How often each is asked.
    pub beat: Duration,
    /// How many nodes it uses; none for all.
    pub nodes: Option<usize>,
    /// What the forwarder watches itself while all planners are silent.
    pub own: Option<Inventory>,
    /// The longest wait before it does.
    pub spread: Duration,
    /// The files by which connections are secured; none where they are plain.
    pub tls: Option<Files>,
    /// Where it says what it goes by, to those who may open that socket.
    pub status: Option<PathBuf>,
}

/// Everything that a planner is told.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// Where forwarders connect.
    pub listen: SocketAddr,
    /// Its number among the planners.
    pub number: u32,
    /// For how long a forwarder may go by its word; within its bound on drains.
    pub lease: Duration,
    /// Forwarders that are let in.
    pub most: usize,
    /// Where the list of backends is.
    pub inventory: Inventory,
    /// Where the planners talk with each other, by their numbers; none where there is but one.
    pub planners: Vec<SocketAddr>,
    /// The view of a planner that was silent for so long no longer counts.
    pub expel_after: Duration,
    /// As for forwarders.
    pub tls: Option<Files>,
}

/// The file that lists the backends, and how it is read.
#[derive(Clone, Debug)]
pub struct Inventory {
    /// The file.
    pub file: PathBuf,
    /// How its text is read.
    pub options: Options,
    /// When it is read and taken.
    pub rules: Rules,
    /// How often it is looked at where the system tells of no change.
    pub poll: Duration,
    /// Host names are looked up when a list is taken; otherwise a list with names is refused.
    pub names: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: Spanned<String>,
    #[serde(default)]
    zone: String,
    inventory: Option<RawInventory>,
    planners: Option<RawPlanners>,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    backends: RawBackends,
    #[serde(default)]
    instances: RawInstances,
    #[serde(default)]
    class: Vec<RawClass>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannerFile {
    listen: Spanned<String>,
    number: Option<Spanned<i64>>,
    drain_ms: Option<Spanned<i64>>,
    lease_ms: Option<Spanned<i64>>,
    max_forwarders: Option<Spanned<i64>>,
    inventory: RawInventory,
    cluster: Option<RawCluster>,
    #[serde(default)]
    plaintext: bool,
    tls: Option<RawTls>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCluster {
    planners: Spanned<Vec<Spanned<String>>>,
    expel_after_ms: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlanners {
    addresses: Spanned<Vec<Spanned<String>>>,
    name: Spanned<String>,
    drain_ms: Option<Spanned<i64>>,
    beat_ms: Option<Spanned<i64>>,
    nodes: Option<Spanned<i64>>,
    own_watch_spread_ms: Option<Spanned<i64>>,
    #[serde(default)]
    plaintext: bool,
    tls: Option<RawTls>,
    status: Option<PathBuf>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTls {
    authority: PathBuf,
    certificate: PathBuf,
    key: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawInventory {
    file: Spanned<PathBuf>,
    format: Option<Spanned<String>>,
    encoding: Option<Spanned<String>>,
    group: Option<String>,
    default_port: Option<Spanned<i64>>,
    #[serde(default)]
    names: Names,
    settle_ms: Option<Spanned<i64>>,
    poll_ms: Option<Spanned<i64>>,
    max_vanish: Option<Spanned<f64>>,
    #[serde(default = "yes")]
    complete_end: bool,
    max_bytes: Option<Spanned<i64>>,
    max_nodes: Option<Spanned<i64>>,
}

fn yes() -> bool {
    true
}

#[derive(Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum Names {
    #[default]
    Refuse,
    LookUp,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    descriptors: Option<Spanned<i64>>,
    memory_mb: Option<Spanned<i64>>,
    max_open: Option<Spanned<i64>>,
    max_attempts: Option<Spanned<i64>>,
    max_retry_after_ms: Option<Spanned<i64>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawBackends {
    connect_timeout_ms: Option<Spanned<i64>>,
    idle_close_ms: Option<Spanned<i64>>,
    handshake_price: Option<Spanned<f64>>,
    drain_grace_ms: Option<Spanned<i64>>,
    cold_ms: Option<Spanned<i64>>,
    cold_share: Option<Spanned<f64>>,
    fall_multiple: Option<Spanned<f64>>,
    tip_after_ms: Option<Spanned<i64>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawInstances {
    number: Option<Spanned<i64>>,
    me: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawClass {
    name: Spanned<String>,
    effect: RawEffect,
    aim_ms: Option<Spanned<i64>>,
    deadline_ms: Option<Spanned<i64>>,
    worth: Option<Spanned<f64>>,
    late_worth: Option<Spanned<f64>>,
    window_ms: Option<Spanned<i64>>,
    group: Option<RawGroup>,
    #[serde(default, rename = "match")]
    matches: Vec<RawMatch>,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum RawEffect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawGroup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMatch {
    #[serde(default)]
    methods: Vec<Spanned<String>>,
    path: Option<Spanned<String>>,
}

/// Something wrong, by its place in bytes.
struct Wrong {
    span: Range<usize>,
    message: String,
}

fn wrong<T>(
    span: Range<usize>,
    what: &str,
    expected: &str,
    found: impl std::fmt::Display,
) -> Result<T, Wrong> {
    Err(Wrong { span, message: format!("{what}: expected {expected}, found {found}") })
}

/// A whole number within bounds, or its default.
fn whole(value: &Option<Spanned<i64>>, what: &str, range: [i64; 2], default: i64) -> Result<i64, Wrong> {
    match value {
        None => Ok(default),
        Some(value) if (range[0]..=range[1]).contains(value.get_ref()) => Ok(*value.get_ref()),
        Some(value) => {
            let expected = format!("a whole number from {} to {}", range[0], range[1]);
            wrong(value.span(), what, &expected, value.get_ref())
        }
    }
}

/// A number within bounds, or its default.
fn number(value: &Option<Spanned<f64>>, what: &str, range: [f64; 2], default: f64) -> Result<f64, Wrong> {
    match value {
        None => Ok(default),
        Some(value) if (range[0]..=range[1]).contains(value.get_ref()) => Ok(*value.get_ref()),
        Some(value) => {
            let expected = format!("a number from {} to {}", range[0], range[1]);
            wrong(value.span(), what, &expected, value.get_ref())
        }
    }
}

fn millis(
    value: &Option<Spanned<i64>>,
    what: &str,
    range: [i64; 2],
    default: i64,
) -> Result<Duration, Wrong> {
    whole(value, what, range, default).map(|ms| Duration::from_millis(ms.unsigned_abs()))
}

const HOUR: i64 = 3_600_000;

/// How long after a planner's word that a node drains something new may be begun there.
fn drain_bound(value: &Option<Spanned<i64>>) -> Result<DrainBound, Wrong> {
    let [least, most] = [DrainBound::LEAST, DrainBound::MOST].map(|bound| bound.as_millis() as i64);
    let default = DrainBound::default().get().as_millis() as i64;
    let bound = millis(value, "drain_ms", [least, most], default)?;
    DrainBound::new(bound).or_else(|unkept| wrong(0..0, "drain_ms", "a bound that can be kept", unkept))
}

/// A time that must lie in what a bound on drains allows.
fn fitting(
    value: &Option<Spanned<i64>>,
    what: &str,
    drains: DrainBound,
    range: RangeInclusive<Duration>,
    default: Duration,
) -> Result<Duration, Wrong> {
    let [least, most, default] = [*range.start(), *range.end(), default].map(|time| time.as_millis() as i64);
    let why = |mut wrong: Wrong| {
        wrong.message += &format!(", where drain_ms is {}", drains.get().as_millis());
        wrong
    };
    millis(value, what, [least, most], default).map_err(why)
}

impl Config {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        Self::parse(&text(path)?, path)
    }

    /// Checks a text. Files that it names are beside `path`.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ConfigError> {
        parse(text, path, Self::check)
    }

    fn check(file: File, path: &Path) -> Result<Self, Wrong> {
        let listen = address(&file.listen, "listen")?;
        let (limits, backends) = (&file.limits, &file.backends);
        let (mut classes, mut names, mut routes) = (Vec::new(), Vec::new(), Vec::new());
        for raw in &file.class {
            if names.contains(raw.name.get_ref()) || raw.name.get_ref().is_empty() {
                let found = format!("'{}'", raw.name.get_ref());
                return wrong(raw.name.span(), "name of a class", "a name that no other class has", found);
            }
            for matched in &raw.matches {
                routes.push(route(matched, classes.len())?);
            }
            names.push(raw.name.get_ref().clone());
            classes.push(class(raw)?);
        }
        // What no rule fits is safe where the standard says so (RFC 9110, 9.2.1), else unsafe: that
        // a server could bear a repeat of anything else is for its operator to say.
        let plain =
            |effect| Class { aim: 5.0, deadline: 15.0, late_worth: 0.5, worth: 1.0, effect, in_order: false };
        let any = |methods: Vec<Method>, class| Route { methods, prefix: "/".into(), class };
        let safe = vec![Method::GET, Method::HEAD, Method::OPTIONS];
        routes.extend([any(safe, classes.len()), any(Vec::new(), classes.len() + 1)]);
        names.extend(["default-safe".into(), "default-unsafe".into()]);
        classes.extend([plain(Effect::Safe), plain(Effect::Unsafe)]);

        let source = match (&file.inventory, &file.planners) {
            (Some(raw), None) => ListFrom::Inventory(inventory(raw, path)?),
            (own, Some(raw)) => {
                let own = own.as_ref().map(|raw| inventory(raw, path)).transpose()?;
                ListFrom::Planners(Box::new(planners(raw, own, path)?))
            }
            (None, None) => return wrong(0..0, "configuration", "[inventory] or [planners]", "neither"),
        };
        // A forwarder hears after planners have, and its grace is what their leases leave of the bound.
        let grace = &backends.drain_grace_ms;
        let drain_grace = match &source {
            ListFrom::Planners(planners) => {
                let drains = planners.drains;
                fitting(grace, "drain_grace_ms", drains, drains.graces(), drains.grace())?
            }
            ListFrom::Inventory(_) => millis(grace, "drain_grace_ms", [10, 60_000], 500)?,
        };
        let instances = whole(&file.instances.number, "number", [1, 100_000], 1)?;
        let me = whole(&file.instances.me, "me", [0, instances - 1], 0)?;
        let seconds = |value: Duration| value.as_secs_f64();
        let wire = WireSettings {
            classes: names,
            tenants: Vec::new(),
            zones: vec![file.zone.clone()],
            connect_timeout: millis(&backends.connect_timeout_ms, "connect_timeout_ms", [1, 60_000], 1000)?,
            idle_close: millis(&backends.idle_close_ms, "idle_close_ms", [1, HOUR], 30_000)?,
            handshake_price: number(&backends.handshake_price, "handshake_price", [0.0, 1.0], 0.0)?,
            drain_grace,
            max_open: whole(&limits.max_open, "max_open", [1, 1_000_000], 10_000)? as usize,
        };
        let most_wait = millis(&limits.max_retry_after_ms, "max_retry_after_ms", [0, HOUR], 1000)?;
        let settings = Settings {
            classes,
            instances: instances as usize,
            me: me as usize,
            max_attempts: whole(&limits.max_attempts, "max_attempts", [1, 16], 4)? as usize,
            max_retry_after: seconds(most_wait),
            cold_share: number(&backends.cold_share, "cold_share", [0.01, 1.0], 0.2)?,
            cold: seconds(millis(&backends.cold_ms, "cold_ms", [0, HOUR], 10_000)?),
            fall_multiple: number(&backends.fall_multiple, "fall_multiple", [1.0, 100.0], 3.0)?,
            tip_after: seconds(millis(&backends.tip_after_ms, "tip_after_ms", [1, HOUR], 1000)?),
            ..Settings::default()
        };
        let memory = whole(&limits.memory_mb, "memory_mb", [16, 1 << 20], 192)? as usize;
        Ok(Self {
            listen,
            descriptors: whole(&limits.descriptors, "descriptors", [64, 1 << 20], 1024)? as usize,
            memory: memory << 20,
            source,
            settings,
            wire,
            routes: Routes::new(routes),
        })
    }
}

impl PlannerConfig {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        parse(&text(path)?, path, Self::check)
    }

    fn check(file: PlannerFile, path: &Path) -> Result<Self, Wrong> {
        let tls = secured(&file.tls, file.plaintext, file.listen.span(), path)?;
        let listed = file.cluster.as_ref().map_or(&[][..], |c| c.planners.get_ref());
        let planners: Vec<SocketAddr> =
            listed.iter().map(|a| reached(a, "planners", &tls)).collect::<Result<_, _>>()?;
        if let Some(cluster) = &file.cluster {
            let span = cluster.planners.span();
            if planners.is_empty() || planners.len() >= MOST_PLANNERS {
                let expected = format!("1 to {}", MOST_PLANNERS - 1);
                return wrong(span, "planners", &expected, planners.len());
            }
            if let Some(twice) = planners.iter().enumerate().find(|(i, p)| planners[..*i].contains(p)) {
                return wrong(span, "planners", "each address once", format!("{} twice", twice.1));
            }
        }
        let most = planners.len().max(1) as i64 - 1;
        let drains = drain_bound(&file.drain_ms)?;
        let expel_after = file.cluster.as_ref().and_then(|c| c.expel_after_ms.clone());
        Ok(Self {
            listen: reached(&file.listen, "listen", &tls)?,
            number: whole(&file.number, "number", [0, most], 0)? as u32,
            lease: fitting(&file.lease_ms, "lease_ms", drains, drains.leases(), drains.lease())?,
            most: whole(&file.max_forwarders, "max_forwarders", [1, 100_000], 1000)? as usize,
            inventory: inventory(&file.inventory, path)?,
            planners,
            expel_after: millis(&expel_after, "expel_after_ms", [1000, HOUR], 10_000)?,
            tls,
        })
    }
}

fn text(path: &Path) -> Result<String, ConfigError> {
    let shown = path.display().to_string();
    std::fs::read_to_string(path).map_err(|error| ConfigError::Read { path: shown, error })
}

/// Reads a text as such a file, and checks it.
fn parse<F: serde::de::DeserializeOwned, C>(
    text: &str,
    path: &Path,
    check: impl FnOnce(F, &Path) -> Result<C, Wrong>,
) -> Result<C, ConfigError> {
    let parsed = toml::from_str::<F>(text).map_err(|error| {
        let span = error.span().unwrap_or(0..0);
        Wrong { span, message: error.message().trim().replace('\n', "; ") }
    });
    parsed.and_then(|file| check(file, path)).map_err(|Wrong { span, message }| {
        let before = text.get(..span.start).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        ConfigError::Wrong { path: path.display().to_string(), line, column, message }
    })
}

fn address(value: &Spanned<String>, what: &str) -> Result<SocketAddr, Wrong> {
    match value.get_ref().parse() {
        Ok(address) => Ok(address),
        Err(_) => wrong(value.span(), what, "address:port", format!("'{}'", value.get_ref())),
    }
}

/// The files of TLS, or none where plain connections are asked for.
fn secured(
    tls: &Option<RawTls>,
    plaintext: bool,
    span: Range<usize>,
    path: &Path,
) -> Result<Option<Files>, Wrong> {
    let beside = |file: &PathBuf| path.parent().unwrap_or(Path::new("")).join(file);
    match (tls, plaintext) {
        (Some(raw), false) => Ok(Some(Files {
            authority: beside(&raw.authority),
            certificate: beside(&raw.certificate),
            key: beside(&raw.key),
        })),
        (None, true) => Ok(None),
        (None, false) => {
            wrong(span, "connections", "a table 'tls', or plaintext = true on loopback", "neither")
        }
        (Some(_), true) => wrong(span, "connections", "a table 'tls', or plaintext = true", "both"),
    }
}

/// Where connections are plain, a stranger who could reach them could move traffic.
fn reached(value: &Spanned<String>, what: &str, tls: &Option<Files>) -> Result<SocketAddr, Wrong> {
    let address = address(value, what)?;
    match address.ip().is_loopback() || tls.is_some() {
        true => Ok(address),
        false => wrong(value.span(), what, "a loopback address, as connections are plain", address),
    }
}

fn planners(raw: &RawPlanners, own: Option<Inventory>, path: &Path) -> Result<Planners, Wrong> {
    let listed = raw.addresses.get_ref();
    if listed.is_empty() || listed.len() > MOST_PLANNERS {
        let expected = format!("1 to {MOST_PLANNERS}");
        return wrong(raw.addresses.span(), "addresses", &expected, listed.len());
    }
    let name = raw.name.get_ref();
    if !(1..=MOST_NAME).contains(&name.len()) || name.chars().any(char::is_control) {
        return wrong(raw.name.span(), "name", "1 to 253 bytes without control characters", name.len());
    }
    let tls = secured(&raw.tls, raw.plaintext, raw.addresses.span(), path)?;
    let nodes = whole(&raw.nodes, "nodes", [1, MOST_NODES as i64], 1)?;
    let drains = drain_bound(&raw.drain_ms)?;
    let beat = fitting(&raw.beat_ms, "beat_ms", drains, drains.beats(), drains.beat())?;
    let spreads = drains.spreads(beat, Duration::from_secs_f64(MOST_HELD));
    let spread = drains.left(beat);
    let spread = fitting(&raw.own_watch_spread_ms, "own_watch_spread_ms", drains, spreads, spread)?;
    Ok(Planners {
        addresses: listed.iter().map(|a| reached(a, "addresses", &tls)).collect::<Result<_, _>>()?,
        name: name.clone(),
        drains,
        beat,
        nodes: raw.nodes.as_ref().and_then(|_| usize::try_from(nodes).ok()),
        own,
        spread,
        tls,
        status: raw.status.as_ref().map(|file| path.parent().unwrap_or(Path::new("")).join(file)),
    })
}

fn inventory(raw: &RawInventory, path: &Path) -> Result<Inventory, Wrong> {
    let file = raw.file.get_ref();
    if file.as_os_str().is_empty() {
        return wrong(raw.file.span(), "file", "the name of a file", "''");
    }
    let (defaults, rules) = (Options::default(), Rules::default());
    let named = |value: &Option<Spanned<String>>| value.as_ref().map(|v| (v.span(), v.get_ref().clone()));
    let format = match named(&raw.format).filter(|(_, name)| name != "auto") {
        Some((span, name)) => Some(name.parse::<Format>().map_err(|message| Wrong { span, message })?),
        None => None,
    };
    let encoding = match named(&raw.encoding).filter(|(_, name)| name != "auto") {
        Some((span, name)) => Some(name.parse::<Encoding>().map_err(|message| Wrong { span, message })?),
        None => None,
    };
    let default_port = whole(&raw.default_port, "default_port", [1, 65_535], 1)?;
    let default_port = raw.default_port.as_ref().and_then(|_| u16::try_from(default_port).ok());
    let settle = rules.settle.as_millis() as i64;
    Ok(Inventory {
        file: path.parent().unwrap_or(Path::new("")).join(file),
        options: Options {
            format,
            encoding,
            group: raw.group.clone(),
            default_port,
            max_bytes: whole(&raw.max_bytes, "max_bytes", [1, 1 << 30], defaults.max_bytes as i64)? as usize,
            max_rows: whole(&raw.max_nodes, "max_nodes", [1, 1 << 20], defaults.max_rows as i64)? as usize,
        },
        rules: Rules {
            settle: millis(&raw.settle_ms, "settle_ms", [0, 60_000], settle)?,
            max_vanish: number(&raw.max_vanish, "max_vanish", [0.0, 1.0], rules.max_vanish)?,
            complete_end: raw.complete_end,
        },
        poll: millis(&raw.poll_ms, "poll_ms", [10, HOUR], 2000)?,
        names: raw.names == Names::LookUp,
    })
}

fn class(raw: &RawClass) -> Result<Class, Wrong> {
    let seconds = |value: Duration| value.as_secs_f64();
    let deadline = millis(&raw.deadline_ms, "deadline_ms", [1, 24 * HOUR], 15_000)?;
    let most = deadline.as_millis() as i64;
    let effect = match (raw.effect, &raw.window_ms) {
        (RawEffect::Safe, None) => Effect::Safe,
        (RawEffect::Unsafe, None) => Effect::Unsafe,
        (RawEffect::Keyed, Some(_)) => Effect::Keyed {
            group: match raw.group.unwrap_or(RawGroup::All) {
                RawGroup::All => Group::All,
                RawGroup::Zone => Group::Zone,
                RawGroup::Cell => Group::Cell,
            },
            window: seconds(millis(&raw.window_ms, "window_ms", [1, 24 * HOUR], 1)?),
        },
        (RawEffect::Keyed, None) => {
            let expected = "for how long backends drop the repeats of a key";
            return wrong(raw.name.span(), "window_ms", expected, "nothing, in a keyed class");
        }
        (_, Some(window)) => {
            return wrong(window.span(), "window_ms", "none", "one, in a class without keys");
        }
    };
    Ok(Class {
        aim: seconds(millis(&raw.aim_ms, "aim_ms", [1, most], (most / 3).max(1))?),
        deadline: seconds(deadline),
        late_worth: number(&raw.late_worth, "late_worth", [0.0, 1.0], 0.5)?,
        worth: number(&raw.worth, "worth", [0.0, 1e6], 1.0)?,
        effect,
        in_order: false,
    })
}

fn route(raw: &RawMatch, class: usize) -> Result<Route, Wrong> {
    let mut methods = Vec::new();
    for method in &raw.methods {
        let upper = method.get_ref().bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
        match Method::from_bytes(method.get_ref().as_bytes()) {
            Ok(known) if upper => methods.push(known),
            _ => {
                let found = format!("'{}'", method.get_ref());
                return wrong(method.span(), "methods", "a method in capitals, such as GET", found);
            }
        }
    }
    let prefix = match &raw.path {
        None => "/".to_string(),
        Some(path) if path.get_ref().starts_with('/') => path.get_ref().clone(),
        Some(path) => {
            return wrong(path.span(), "path", "one that begins with /", format!("'{}'", path.get_ref()));
        }
    };
    Ok(Route { methods, prefix, class })
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEAST: &str = "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"nodes.csv\"\n";

    const FORWARDER: &str = "listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = [\"127.0.0.1:1\"]\nplaintext = true\n";

    fn parse(text: &str) -> Result<Config, String> {
        Config::parse(text, Path::new("/etc/dewpier/dewpier.toml")).map_err(|error| error.to_string())
    }

    #[test]
    fn little_is_needed() {
        let config = parse(LEAST).unwrap();
        let ListFrom::Inventory(inventory) = &config.source else { panic!("{:?}", config.source) };
        assert_eq!(inventory.file, Path::new("/etc/dewpier/nodes.csv"));
        assert_eq!(config.wire.drain_grace, Duration::from_millis(500));
        let class = |method, path| {
            let class = config.routes.class(&method, path)?;
            Some((config.wire.classes[class].as_str(), config.settings.classes[class].effect))
        };
        assert_eq!(class(Method::GET, "/a"), Some(("default-safe", Effect::Safe)));
        assert_eq!(class(Method::POST, "/a"), Some(("default-unsafe", Effect::Unsafe)));
        assert_eq!(class(Method::DELETE, "/a"), Some(("default-unsafe", Effect::Unsafe)));
    }

    #[test]
    fn a_bound_on_drains_sets_what_must_fit_into_it() {
        let forwarder = |settings: &str| {
            let config = parse(&format!("{FORWARDER}{settings}")).unwrap();
            let ListFrom::Planners(planners) = config.source else { panic!("{:?}", config.source) };
            [planners.drains.get(), planners.beat, planners.spread, config.wire.drain_grace]
                .map(|t| t.as_millis())
        };
        assert_eq!(forwarder(""), [500, 100, 100, 100]);
        assert_eq!(forwarder("drain_ms = 250\n"), [250, 50, 50, 50]);
        assert_eq!(forwarder("drain_ms = 100\n"), [100, 20, 20, 20]);
        let planner = |settings: &str| {
            let text =
                format!("listen = \"127.0.0.1:0\"\nplaintext = true\n{settings}[inventory]\nfile = \"a\"\n");
            let config = super::parse(&text, Path::new("/p.toml"), PlannerConfig::check);
            config.map(|c| c.lease.as_millis()).map_err(|error| error.to_string())
        };
        assert_eq!(["", "drain_ms = 250\n", "drain_ms = 100\n"].map(planner), [Ok(400), Ok(200), Ok(80)]);
        let told = planner("drain_ms = 250\nlease_ms = 201\n").unwrap_err();
        assert_eq!(
            told,
            "/p.toml:4:12: lease_ms: expected a whole number from 50 to 200, found 201, where drain_ms is 250"
        );
    }

    #[test]
    fn the_checked_example_is_good() {
        let example = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/dewpier.toml");
        let config = Config::read(Path::new(example)).unwrap();
        let ListFrom::Inventory(inventory) = &config.source else { panic!("{:?}", config.source) };
        let list = dewpier_inventory::io::read_file(&inventory.file, &inventory.options).unwrap();
        assert!(list.backends.len() > 1);
    }

    #[test]
    fn what_is_wrong_is_told_with_its_place() {
        for (text, place, words) in [
            ("listen = \"here\"\n[inventory]\nfile = \"a\"\n", "1:10", "address:port, found 'here'"),
            ("[inventory]\nfile = \"a\"\n", "1:1", "listen"),
            ("listen = \"127.0.0.1:0\"\n", "1:1", "[inventory] or [planners], found neither"),
            (
                "listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = [\"10.0.0.1:1\"]\nplaintext = true\n",
                "4:14",
                "loopback",
            ),
            (
                "listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = []\n",
                "4:13",
                "1 to 16, found 0",
            ),
            (
                "listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = [\"127.0.0.1:1\"]\n",
                "4:13",
                "a table 'tls', or plaintext = true on loopback, found neither",
            ),
            (
                "listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = [\"127.0.0.1:1\"]\nplaintext = true\nnodes = 0\n",
                "6:9",
                "nodes: expected a whole number from 1 to 20000, found 0",
            ),
            (
                &format!("{FORWARDER}drain_ms = 99\n"),
                "6:12",
                "drain_ms: expected a whole number from 100 to 2000, found 99",
            ),
            (
                &format!("{FORWARDER}drain_ms = 250\nbeat_ms = 67\n"),
                "7:11",
                "beat_ms: expected a whole number from 10 to 66, found 67, where drain_ms is 250",
            ),
            (
                &format!("{FORWARDER}drain_ms = 250\nown_watch_spread_ms = 600\n"),
                "7:23",
                "own_watch_spread_ms: expected a whole number from 0 to 550, found 600, where drain_ms is 250",
            ),
            (
                &format!("{FORWARDER}[backends]\ndrain_grace_ms = 101\n"),
                "7:18",
                "drain_grace_ms: expected a whole number from 10 to 100, found 101, where drain_ms is 500",
            ),
            (&format!("{LEAST}fil = 1\n"), "4:1", "unknown field `fil`"),
            (&format!("{LEAST}max_vanish = 1.5\n"), "4:14", "a number from 0 to 1, found 1.5"),
            (&format!("{LEAST}max_vanish = nan\n"), "4:14", "a number from 0 to 1, found NaN"),
            (&format!("{LEAST}default_port = 0\n"), "4:16", "1 to 65535, found 0"),
            (&format!("{LEAST}settle_ms = -1\n"), "4:13", "0 to 60000"),
            (&format!("{LEAST}encoding = \"koi8-r\"\n"), "4:12", "kz-1048"),
            (&format!("{LEAST}format = \"xml\"\n"), "4:10", "file_sd"),
            (&format!("{LEAST}[limits]\nmax_attempts = 0\n"), "5:16", "1 to 16"),
            (&format!("{LEAST}[instances]\nnumber = 2\nme = 2\n"), "6:6", "0 to 1"),
            (&format!("{LEAST}[[class]]\nname = \"a\"\neffect = \"keyed\"\n"), "5:8", "window_ms"),
            (&format!("{LEAST}[[class]]\nname = \"a\"\neffect = \"sure\"\n"), "6:10", "sure"),
            (&format!("{LEAST}[[class]]\nname = \"a\"\neffect = \"safe\"\nwindow_ms = 4\n"), "7:13", "none"),
            (
                &format!("{LEAST}[[class]]\nname = \"a\"\neffect = \"safe\"\nmatch = [{{path = \"a\"}}]\n"),
                "7:18",
                "/",
            ),
            (
                &format!(
                    "{LEAST}[[class]]\nname = \"a\"\neffect = \"safe\"\nmatch = [{{methods = [\"get\"]}}]\n"
                ),
                "7:22",
                "GET",
            ),
            (
                &format!("{LEAST}[[class]]\nname = \"a\"\neffect = \"safe\"\naim_ms = 20000\n"),
                "7:10",
                "1 to 15000",
            ),
            (
                &format!(
                    "{LEAST}[[class]]\nname = \"a\"\neffect = \"safe\"\n[[class]]\nname = \"a\"\neffect = \"safe\"\n"
                ),
                "8:8",
                "no other",
            ),
            ("listen = ", "1:10", ""),
            ("", "1:1", "listen"),
        ] {
            let told = parse(text).map(|_| ()).unwrap_err();
            assert!(told.starts_with(&format!("/etc/dewpier/dewpier.toml:{place}: ")), "{text}{told}");
            assert!(told.contains(words) && told.lines().count() == 1, "{words}: {told}");
        }
    }
}
