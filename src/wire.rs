//! The text wire of the simulator, turned into the interface's types and back.
//!
//! Names (of classes, tenants, zones) become indices here; the decisions never see them.

use crate::interface::*;
use std::collections::HashMap;
use std::fmt::Write;
use thiserror::Error;

/// What is wrong with a line.
#[derive(Debug, Error, PartialEq)]
pub enum WireError {
    /// The first part names no event.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// Too few or too many parts.
    #[error("{event} takes {expected} values, got {got}")]
    Parts {
        /// The event.
        event: &'static str,
        /// Values it has.
        expected: usize,
        /// Values found.
        got: usize,
    },
    /// A value that can't be read.
    #[error("expected {expected} for {field}, got '{got}'")]
    Value {
        /// The field.
        field: String,
        /// What it should have been.
        expected: &'static str,
        /// What it was.
        got: String,
    },
    /// A setting that is needed and absent.
    #[error("missing setting {0}")]
    MissingSetting(String),
    /// A line where another kind of line must come.
    #[error("expected {expected}, got '{got}'")]
    Order {
        /// What must come.
        expected: &'static str,
        /// What came.
        got: String,
    },
}

type Result<T> = std::result::Result<T, WireError>;

fn bad(field: &str, expected: &'static str, got: &str) -> WireError {
    WireError::Value { field: field.to_string(), expected, got: got.to_string() }
}

/// Splits a line in its name and exactly `N` values.
fn values<'a, const N: usize>(event: &'static str, rest: &'a str) -> Result<[&'a str; N]> {
    let mut found = [""; N];
    let mut got = 0;
    if !rest.is_empty() {
        for part in rest.split(' ') {
            if got < N {
                found[got] = part;
            }
            got += 1;
        }
    }
    match got == N {
        true => Ok(found),
        false => Err(WireError::Parts { event, expected: N, got }),
    }
}

fn number(field: &str, text: &str) -> Result<f64> {
    match text.parse::<f64>() {
        Ok(n) if n.is_finite() => Ok(n),
        _ => Err(bad(field, "a number", text)),
    }
}

fn positive(field: &str, text: &str) -> Result<f64> {
    match number(field, text)? {
        n if n >= 0.0 => Ok(n),
        _ => Err(bad(field, "a number not below 0", text)),
    }
}

fn whole<T: std::str::FromStr>(field: &str, text: &str) -> Result<T> {
    text.parse().map_err(|_| bad(field, "a whole number", text))
}

fn flag(field: &str, text: &str) -> Result<bool> {
    match text {
        "1" => Ok(true),
        "0" => Ok(false),
        _ => Err(bad(field, "1 or 0", text)),
    }
}

fn request_id(text: &str) -> Result<RequestId> {
    match u64::from_str_radix(text, 16) {
        Ok(id) if text.len() == 16 => Ok(RequestId(id)),
        _ => Err(bad("the request", "16 hex digits", text)),
    }
}

fn outcome(text: &str) -> Result<Outcome> {
    Ok(match text {
        "S" => Outcome::Served,
        "E" => Outcome::Error,
        "F" => Outcome::Rejected,
        "T" => Outcome::Timeout,
        "C" => Outcome::NoConnection,
        "R" => Outcome::Reset,
        "X" => Outcome::Cancelled,
        "N" => Outcome::NeverSent,
        _ => return Err(bad("the completion code", "one of S E F T C R X N", text)),
    })
}

/// Numbers for names, given out in the order in which names are first met.
#[derive(Debug, Default)]
pub struct Names(HashMap<String, u32>);

impl Names {
    /// The number of a name.
    pub fn index(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.0.get(name) {
            return index;
        }
        let index = self.0.len() as u32;
        self.0.insert(name.to_string(), index);
        index
    }
}

/// The names that an instance's requests use.
#[derive(Clone, Debug, Default)]
pub struct InstanceNames {
    classes: Vec<String>,
    tenants: Vec<String>,
    /// The names of the values of a load report, in their order.
    report: Vec<String>,
}

/// A line of a batch.
#[derive(Debug)]
pub enum Line<'a> {
    /// The batch begins: clock and number.
    Batch(Time, u64),
    /// The batch is complete.
    Go,
    /// What follows is of this instance.
    Select(&'a str),
    /// The instance starts.
    Hello(u64, Box<Settings>, InstanceNames),
    /// The instance is gone.
    Teardown,
    /// A numbered list of so many entries follows.
    Roster(usize, usize),
    /// An entry of a list.
    Item(BackendEntry),
    /// News of the list for the instance.
    Update(UpdateKind, usize),
    /// An event that needs nothing further.
    Event(Event<'static>),
    /// An event without meaning for the decisions.
    Ignored,
}

/// How an `UPDATE` is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Changed entries.
    Changes,
    /// All entries.
    All,
    /// All entries as last held.
    Remembered,
    /// None: a call failed.
    Refused,
}

/// Number of numbered lists.
pub const LISTS: usize = 16;

/// Reads a line. `instance` holds the names of the instance selected, where it has started.
pub fn parse<'a>(line: &'a str, zones: &mut Names, instance: Option<&InstanceNames>) -> Result<Line<'a>> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    Ok(match name {
        "BATCH" => {
            let [now, seq] = values("BATCH", rest)?;
            Line::Batch(number("the clock", now)?, whole("the batch number", seq)?)
        }
        "GO" => {
            let [] = values("GO", rest)?;
            Line::Go
        }
        "SELECT" => {
            let [instance] = values("SELECT", rest)?;
            Line::Select(instance)
        }
        "HELLO" => {
            let (seed, pairs) = rest.split_once(' ').unwrap_or((rest, ""));
            let (settings, names) = settings(pairs, zones)?;
            Line::Hello(whole("the seed", seed)?, Box::new(settings), names)
        }
        "TEARDOWN" => {
            let [] = values("TEARDOWN", rest)?;
            Line::Teardown
        }
        "ROSTER" => {
            let [page, hosts] = values("ROSTER", rest)?;
            Line::Roster(list_number(page)?, whole("the number of entries", hosts)?)
        }
        "ITEM" => Line::Item(entry(rest, zones)?),
        "UPDATE" => {
            let [version, how, page] = values("UPDATE", rest)?;
            whole::<u64>("the version", version)?;
            let kind = match how {
                "changes" => UpdateKind::Changes,
                "all" => UpdateKind::All,
                "remembered" => UpdateKind::Remembered,
                "refused" => UpdateKind::Refused,
                _ => return Err(bad("the kind", "changes, all, remembered or refused", how)),
            };
            let page = if kind == UpdateKind::Refused { 0 } else { list_number(page)? };
            Line::Update(kind, page)
        }
        "QUERY" => {
            let [id, write, key, budget, again, tenant, class, work] = values("QUERY", rest)?;
            flag("the write mark", write)?;
            let key = match key {
                "-" => None,
                key => Some(request_id(key).map_err(|_| bad("the key", "16 hex digits or -", key))?.0),
            };
            if again != "-" {
                flag("the retry mark", again)?;
            }
            if work != "-" {
                positive("the predicted work", work)?;
            }
            let names = instance
                .ok_or(WireError::Order { expected: "HELLO before any request", got: name.to_string() })?;
            let class = names.classes.iter().position(|c| c == class);
            let class = class.ok_or_else(|| bad("the class", "a class of the settings", rest))?;
            let tenant = names.tenants.iter().position(|t| t == tenant);
            let budget = number("the time left", budget)?;
            Line::Event(Event::Request(Request { id: request_id(id)?, class, tenant, key, budget }))
        }
        "BEGUN" => {
            let [id, duration, attempt, backend] = values("BEGUN", rest)?;
            positive("the duration", duration)?;
            whole::<u32>("the backend", backend)?;
            let attempt = whole("the attempt", attempt)?;
            Line::Event(Event::StreamStarted { id: request_id(id)?, attempt })
        }
        "RESULT" => {
            let [id, backend, attempt, code, took, over, report] = values("RESULT", rest)?;
            Line::Event(Event::Outcome(AttemptResult {
                id: request_id(id)?,
                backend: BackendId(whole("the backend", backend)?),
                attempt: whole("the attempt", attempt)?,
                outcome: outcome(code)?,
                duration: positive("the duration", took)?,
                is_final: flag("the end mark", over)?,
                report: load_report(report, instance)?,
            }))
        }
        "CLIENT_LEFT" => {
            let [id] = values("CLIENT_LEFT", rest)?;
            Line::Event(Event::ClientDisconnected(request_id(id)?))
        }
        "TICK_DUE" => {
            let [token] = values("TICK_DUE", rest)?;
            Line::Event(Event::Timer(whole("the token", token)?))
        }
        "HEALTH" => {
            let [duration, backend, code, report] = values("HEALTH", rest)?;
            positive("the duration", duration)?;
            let report = load_report(report, instance)?;
            let backend = BackendId(whole("the backend", backend)?);
            Line::Event(Event::Probed { backend, outcome: outcome(code)?, report })
        }
        "PEER" => {
            let [from, octets] = values("PEER", rest)?;
            whole::<u64>("the sender", from)?;
            if octets != "-" && !octets.bytes().all(|b| b.is_ascii_hexdigit()) {
                return Err(bad("the message", "hex digits", octets));
            }
            Line::Ignored
        }
        _ => return Err(WireError::UnknownEvent(name.to_string())),
    })
}

fn list_number(text: &str) -> Result<usize> {
    match whole::<usize>("the list number", text)? {
        n if n < LISTS => Ok(n),
        _ => Err(bad("the list number", "a number from 0 to 15", text)),
    }
}

/// Reads a load report; values that the decisions can't use are skipped.
fn load_report(text: &str, instance: Option<&InstanceNames>) -> Result<Option<Report>> {
    if text == "-" {
        return Ok(None);
    }
    let mut report = Report::default();
    let names = instance.map_or(&[][..], |i| &i.report);
    for (i, value) in text.split(',').enumerate().filter(|(_, v)| *v != "-") {
        let value = number("the load report", value)?.max(0.0);
        if names.get(i).is_some_and(|name| name == "avg_ms") {
            report.service_time = Some(value / 1000.0);
        }
    }
    Ok(Some(report))
}

fn entry(rest: &str, zones: &mut Names) -> Result<BackendEntry> {
    let [_kind, cell, id, weight, zone, status, started] = values("ITEM", rest)?;
    let started = match started {
        "-" => None,
        text => Some(number("the start", text)?).filter(|t| *t != 0.0),
    };
    Ok(BackendEntry {
        id: BackendId(whole("the backend", id)?),
        cell: whole("the cell", cell)?,
        zone: zones.index(zone),
        weight: if weight == "-" { 1.0 } else { positive("the weight", weight)? },
        status: match status {
            "in_service" => Status::InService,
            "terminating" => Status::Draining,
            "terminated" => Status::Gone,
            _ => {
                return Err(bad("the status", "in_service, terminating or terminated", status));
            }
        },
        started,
        usual_rate: None,
    })
}

fn settings(pairs: &str, zones: &mut Names) -> Result<(Settings, InstanceNames)> {
    let mut map = HashMap::new();
    for pair in pairs.split(' ').filter(|p| !p.is_empty()) {
        let (path, value) = pair.split_once('=').ok_or_else(|| bad("a setting", "path=value", pair))?;
        map.insert(path, value);
    }
    let text = |path: &str| map.get(path).copied().ok_or_else(|| WireError::MissingSetting(path.to_string()));
    let num = |path: &str| positive(path, text(path)?);
    let num_or = |path: &str, or: f64| match map.get(path) {
        Some(value) => positive(path, value),
        None => Ok(or),
    };
    let yes = |path: &str| match text(path)? {
        "true" | "1" => Ok(true),
        "false" | "0" => Ok(false),
        other => Err(bad(path, "true or false", other)),
    };
    let mut names = InstanceNames::default();
    let mut classes = Vec::new();
    for i in 0..whole::<usize>("classes.count", text("classes.count")?)? {
        let at = |key: &str| format!("classes.{i}.{key}");
        let effect = match text(&at("effect"))? {
            "free" => Effect::Safe,
            "single_shot" => Effect::Unsafe,
            "guarded" => Effect::Keyed {
                group: match text(&at("group"))? {
                    "all" => DedupGroup::All,
                    "zone" => DedupGroup::Zone,
                    "cell" => DedupGroup::Cell,
                    other => return Err(bad(&at("group"), "all, zone or cell", other)),
                },
                window: num(&at("window"))?,
            },
            other => return Err(bad(&at("effect"), "free, guarded or single_shot", other)),
        };
        classes.push(Class {
            aim: num(&at("on-time"))?,
            deadline: num(&at("hard-limit"))?,
            late_worth: num_or(&at("late-worth"), 0.0)?,
            worth: num_or(&at("worth"), 1.0)?,
            effect,
            in_order: map.contains_key(at("fifo-by-key").as_str()) && yes(&at("fifo-by-key"))?,
        });
        names.classes.push(text(&at("name"))?.to_string());
    }
    let mut quotas = Vec::new();
    if map.contains_key("projects.count") {
        for i in 0..whole::<usize>("projects.count", text("projects.count")?)? {
            quotas.push(num(&format!("projects.{i}.quota-per-s"))?);
            names.tenants.push(text(&format!("projects.{i}.name"))?.to_string());
        }
    }
    let retry_after = match map.get("caps.retry-after") {
        Some(_) if yes("caps.retry-after")? => num_or("caps.max-retry-after", 0.0)?,
        _ => 0.0,
    };
    if let Some(fields) = map.get("stats.fields") {
        names.report = fields.split(',').map(str::to_string).collect();
    }
    let settings = Settings {
        classes,
        quotas,
        over_share_worth: num_or("over-share-worth", 1.0)?,
        instance_count: whole("n-instances", text("n-instances")?)?,
        instance_index: whole("me", text("me")?)?,
        tier: match map.get("tier") {
            Some(tier) => whole("tier", tier)?,
            None => 0,
        },
        zone: zones.index(map.get("zone").copied().unwrap_or("")),
        cross_zone_cost: num_or("costs.cross-zone", 0.0)?,
        costly_connections: num_or("costs.connection", 0.0)? + num_or("costs.handshake", 0.0)? > 0.0,
        probe_for_reports: map.get("stats.how") == Some(&"on_probe")
            && map.contains_key("caps.probing")
            && yes("caps.probing")?,
        can_cancel: yes("caps.cancel")?,
        allow_concurrent_attempts: yes("caps.second-copies")?,
        max_attempts: whole("caps.max-attempts", text("caps.max-attempts")?)?,
        max_retry_after: retry_after,
        must_watch: match text("registry-mode")? {
            "automatic" => false,
            "subscribe" => true,
            other => return Err(bad("registry-mode", "automatic or subscribe", other)),
        },
        list_request_deadline: num("rules.ask-within")?,
        cold_capacity_fraction: num("rules.cold-share")?,
        cold_duration: num("rules.cold")?,
        overload_multiple: num("rules.fall-multiple")?,
        overload_duration: num("rules.tip-after")?,
        key_settle_time: num_or("rules.settle-after-doubt", 0.0)?,
        connection_release_deadline: match map.contains_key("rules.release-within") {
            true => Some(num("rules.release-within")?),
            false => None,
        },
        quantum: num("quantum")?,
    };
    Ok((settings, names))
}

/// Writes an action as a line of the reply.
pub fn write_action(out: &mut String, action: &Action) {
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id, backend, timeout } => {
            writeln!(out, "PLACE {:016x} {:.6} {}", id.0, timeout, backend.0)
        }
        Action::Cancel { id, attempt } => writeln!(out, "REVOKE {:016x} {attempt}", id.0),
        Action::Reject { id, retry_after: Some(wait) } => {
            writeln!(out, "REJECT {:016x} {wait:.6}", id.0)
        }
        Action::Reject { id, retry_after: None } => writeln!(out, "REJECT {:016x} -", id.0),
        Action::Fail { id } => writeln!(out, "ERROR {:016x}", id.0),
        Action::Timer { at, token } => writeln!(out, "SLEEP {at:.6} {token}"),
        Action::Probe(backend) => writeln!(out, "INSPECT {}", backend.0),
        Action::CloseIdleConnections(backend) => writeln!(out, "RELEASE {}", backend.0),
        Action::Watch(on) => writeln!(out, "STREAM_CHANGES {}", u8::from(*on)),
        Action::Fetch => writeln!(out, "REFRESH"),
        Action::Log(text) => writeln!(out, "EMIT {}", text.replace(['\n', '\r'], " ")),
    };
}
