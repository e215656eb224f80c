//! Parses event lines of the simulator into the balancer's types, and formats its actions as lines.
//!
//! Names of classes, tenants and zones are replaced by indices; the decision module does not see names.

use crate::interface::*;
use std::collections::HashMap;
use std::fmt::Write;
use thiserror::Error;

/// An error in a line.
#[derive(Debug, Error, PartialEq)]
pub enum WireError {
    /// The first word is not the name of an event.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// The line has too few or too many values.
    #[error("{event} takes {expected} values, got {got}")]
    ValueCount {
        /// The event.
        event: &'static str,
        /// Number of values that the event takes.
        expected: usize,
        /// Number of values in the line.
        got: usize,
    },
    /// A value has the wrong type or is out of range.
    #[error("expected {expected} for {field}, got '{got}'")]
    InvalidValue {
        /// The field.
        field: String,
        /// The type or range of valid values.
        expected: &'static str,
        /// The value in the line.
        got: String,
    },
    /// A required setting is absent.
    #[error("missing setting {0}")]
    MissingSetting(String),
    /// The line is not allowed at this place.
    #[error("expected {expected}, got '{got}'")]
    UnexpectedLine {
        /// The kind of line that is allowed.
        expected: &'static str,
        /// The line.
        got: String,
    },
}

type Result<T> = std::result::Result<T, WireError>;

fn invalid_value(field: &str, expected: &'static str, got: &str) -> WireError {
    WireError::InvalidValue { field: field.to_string(), expected, got: got.to_string() }
}

/// Splits the part of a line after the event's name into exactly `N` values.
fn split_values<'a, const N: usize>(event: &'static str, rest: &'a str) -> Result<[&'a str; N]> {
    let mut values = [""; N];
    let mut got = 0;
    if !rest.is_empty() {
        for part in rest.split(' ') {
            if got < N {
                values[got] = part;
            }
            got += 1;
        }
    }
    match got == N {
        true => Ok(values),
        false => Err(WireError::ValueCount { event, expected: N, got }),
    }
}

fn parse_number(field: &str, text: &str) -> Result<f64> {
    match text.parse::<f64>() {
        Ok(n) if n.is_finite() => Ok(n),
        _ => Err(invalid_value(field, "a number", text)),
    }
}

fn parse_non_negative(field: &str, text: &str) -> Result<f64> {
    match parse_number(field, text)? {
        n if n >= 0.0 => Ok(n),
        _ => Err(invalid_value(field, "a number not below 0", text)),
    }
}

fn parse_integer<T: std::str::FromStr>(field: &str, text: &str) -> Result<T> {
    text.parse().map_err(|_| invalid_value(field, "a whole number", text))
}

fn parse_flag(field: &str, text: &str) -> Result<bool> {
    match text {
        "1" => Ok(true),
        "0" => Ok(false),
        _ => Err(invalid_value(field, "1 or 0", text)),
    }
}

fn parse_request_id(text: &str) -> Result<RequestId> {
    match u64::from_str_radix(text, 16) {
        Ok(id) if text.len() == 16 => Ok(RequestId(id)),
        _ => Err(invalid_value("the request", "16 hex digits", text)),
    }
}

fn parse_outcome(text: &str) -> Result<Outcome> {
    Ok(match text {
        "S" => Outcome::Served,
        "E" => Outcome::Error,
        "F" => Outcome::Rejected,
        "T" => Outcome::Timeout,
        "C" => Outcome::NoConnection,
        "R" => Outcome::Reset,
        "X" => Outcome::Cancelled,
        "N" => Outcome::NeverSent,
        _ => return Err(invalid_value("the completion code", "one of S E F T C R X N", text)),
    })
}

/// Indices of names, assigned in the order in which names first occur.
#[derive(Debug, Default)]
pub struct NameIndex(HashMap<String, u32>);

impl NameIndex {
    /// Returns the index of a name, and assigns one to a new name.
    pub fn index(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.0.get(name) {
            return index;
        }
        let index = self.0.len() as u32;
        self.0.insert(name.to_string(), index);
        index
    }
}

/// The names that occur in the requests and load reports of an instance.
#[derive(Clone, Debug, Default)]
pub struct InstanceNames {
    classes: Vec<String>,
    tenants: Vec<String>,
    /// Names of the values of a load report, in their order.
    report_fields: Vec<String>,
}

/// A parsed line of a batch.
#[derive(Debug)]
pub enum Line<'a> {
    /// `BATCH`: start of a batch, with the time and the number of the batch.
    Batch(Time, u64),
    /// `GO`: end of the batch.
    Go,
    /// `SELECT`: the following lines apply to this instance.
    Select(&'a str),
    /// `HELLO`: the instance starts, with its seed, settings and names.
    Hello(u64, Box<Settings>, InstanceNames),
    /// `TEARDOWN`: the instance ends.
    Teardown,
    /// `ROSTER`: start of a backend list, with its number and the count of its entries.
    Roster(usize, usize),
    /// `ITEM`: an entry of the list.
    Item(BackendEntry),
    /// `UPDATE`: an update of the instance's backend list, with the number of the list.
    Update(UpdateKind, usize),
    /// An event for the balancer.
    Event(Event<'static>),
    /// A valid line that the balancer does not use.
    Ignored,
}

/// Kind of an `UPDATE` line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The list holds the changed entries.
    Changes,
    /// The list is complete.
    Full,
    /// The list is complete, as known before a restart.
    Remembered,
    /// A request for the list failed; there is no list.
    Failed,
}

/// Number of backend lists that can be held at a time.
pub const LIST_COUNT: usize = 16;

/// Parses a line. `instance` holds the names of the selected instance, if it has started.
pub fn parse_line<'a>(
    line: &'a str,
    zones: &mut NameIndex,
    instance: Option<&InstanceNames>,
) -> Result<Line<'a>> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    Ok(match name {
        "BATCH" => {
            let [time, number] = split_values("BATCH", rest)?;
            Line::Batch(parse_number("the clock", time)?, parse_integer("the batch number", number)?)
        }
        "GO" => {
            let [] = split_values("GO", rest)?;
            Line::Go
        }
        "SELECT" => {
            let [instance] = split_values("SELECT", rest)?;
            Line::Select(instance)
        }
        "HELLO" => {
            let (seed, pairs) = rest.split_once(' ').unwrap_or((rest, ""));
            let (settings, names) = parse_settings(pairs, zones)?;
            Line::Hello(parse_integer("the seed", seed)?, Box::new(settings), names)
        }
        "TEARDOWN" => {
            let [] = split_values("TEARDOWN", rest)?;
            Line::Teardown
        }
        "ROSTER" => {
            let [list, count] = split_values("ROSTER", rest)?;
            Line::Roster(parse_list_number(list)?, parse_integer("the number of entries", count)?)
        }
        "ITEM" => Line::Item(parse_entry(rest, zones)?),
        "UPDATE" => {
            let [version, kind, list] = split_values("UPDATE", rest)?;
            parse_integer::<u64>("the version", version)?;
            let kind = match kind {
                "changes" => UpdateKind::Changes,
                "all" => UpdateKind::Full,
                "remembered" => UpdateKind::Remembered,
                "refused" => UpdateKind::Failed,
                _ => return Err(invalid_value("the kind", "changes, all, remembered or refused", kind)),
            };
            let list = if kind == UpdateKind::Failed { 0 } else { parse_list_number(list)? };
            Line::Update(kind, list)
        }
        "QUERY" => {
            let [id, is_write, key, budget, is_retry, tenant, class, work] = split_values("QUERY", rest)?;
            parse_flag("the write flag", is_write)?;
            let key = match key {
                "-" => None,
                key => Some(
                    parse_request_id(key).map_err(|_| invalid_value("the key", "16 hex digits or -", key))?.0,
                ),
            };
            if is_retry != "-" {
                parse_flag("the retry flag", is_retry)?;
            }
            if work != "-" {
                parse_non_negative("the predicted work", work)?;
            }
            let names = instance.ok_or(WireError::UnexpectedLine {
                expected: "HELLO before any request",
                got: name.to_string(),
            })?;
            let class = names.classes.iter().position(|c| c == class);
            let class = class.ok_or_else(|| invalid_value("the class", "a class of the settings", rest))?;
            let tenant = names.tenants.iter().position(|t| t == tenant);
            let budget = parse_number("the time left", budget)?;
            Line::Event(Event::Request(Request { id: parse_request_id(id)?, class, tenant, key, budget }))
        }
        "BEGUN" => {
            let [id, duration, attempt, backend] = split_values("BEGUN", rest)?;
            parse_non_negative("the duration", duration)?;
            parse_integer::<u32>("the backend", backend)?;
            let attempt = parse_integer("the attempt", attempt)?;
            Line::Event(Event::StreamStarted { id: parse_request_id(id)?, attempt })
        }
        "RESULT" => {
            let [id, backend, attempt, code, duration, is_final, report] = split_values("RESULT", rest)?;
            Line::Event(Event::Outcome(AttemptResult {
                id: parse_request_id(id)?,
                backend: BackendId(parse_integer("the backend", backend)?),
                attempt: parse_integer("the attempt", attempt)?,
                outcome: parse_outcome(code)?,
                duration: parse_non_negative("the duration", duration)?,
                is_final: parse_flag("the end flag", is_final)?,
                report: parse_load_report(report, instance)?,
            }))
        }
        "CLIENT_LEFT" => {
            let [id] = split_values("CLIENT_LEFT", rest)?;
            Line::Event(Event::ClientDisconnected(parse_request_id(id)?))
        }
        "TICK_DUE" => {
            let [token] = split_values("TICK_DUE", rest)?;
            Line::Event(Event::Timer(parse_integer("the token", token)?))
        }
        "HEALTH" => {
            let [duration, backend, code, report] = split_values("HEALTH", rest)?;
            parse_non_negative("the duration", duration)?;
            let report = parse_load_report(report, instance)?;
            let backend = BackendId(parse_integer("the backend", backend)?);
            Line::Event(Event::Probed { backend, outcome: parse_outcome(code)?, report })
        }
        "PEER" => {
            let [sender, message] = split_values("PEER", rest)?;
            parse_integer::<u64>("the sender", sender)?;
            if message != "-" && !message.bytes().all(|b| b.is_ascii_hexdigit()) {
                return Err(invalid_value("the message", "hex digits", message));
            }
            Line::Ignored
        }
        _ => return Err(WireError::UnknownEvent(name.to_string())),
    })
}

fn parse_list_number(text: &str) -> Result<usize> {
    match parse_integer::<usize>("the list number", text)? {
        n if n < LIST_COUNT => Ok(n),
        _ => Err(invalid_value("the list number", "a number from 0 to 15", text)),
    }
}

/// Parses a load report; values that the balancer does not use are skipped.
fn parse_load_report(text: &str, instance: Option<&InstanceNames>) -> Result<Option<Report>> {
    if text == "-" {
        return Ok(None);
    }
    let mut report = Report::default();
    let names = instance.map_or(&[][..], |i| &i.report_fields);
    for (i, value) in text.split(',').enumerate().filter(|(_, v)| *v != "-") {
        let value = parse_number("the load report", value)?.max(0.0);
        if names.get(i).is_some_and(|name| name == "avg_ms") {
            report.service_time = Some(value / 1000.0);
        }
    }
    Ok(Some(report))
}

fn parse_entry(rest: &str, zones: &mut NameIndex) -> Result<BackendEntry> {
    let [_kind, cell, id, weight, zone, status, started] = split_values("ITEM", rest)?;
    let started = match started {
        "-" => None,
        text => Some(parse_number("the start", text)?).filter(|t| *t != 0.0),
    };
    Ok(BackendEntry {
        id: BackendId(parse_integer("the backend", id)?),
        cell: parse_integer("the cell", cell)?,
        zone: zones.index(zone),
        weight: if weight == "-" { 1.0 } else { parse_non_negative("the weight", weight)? },
        status: match status {
            "in_service" => Status::InService,
            "terminating" => Status::Draining,
            "terminated" => Status::Gone,
            _ => {
                return Err(invalid_value("the status", "in_service, terminating or terminated", status));
            }
        },
        started,
        usual_rate: None,
    })
}

fn parse_settings(pairs: &str, zones: &mut NameIndex) -> Result<(Settings, InstanceNames)> {
    let mut values = HashMap::new();
    for pair in pairs.split(' ').filter(|p| !p.is_empty()) {
        let (path, value) =
            pair.split_once('=').ok_or_else(|| invalid_value("a setting", "path=value", pair))?;
        values.insert(path, value);
    }
    let text =
        |path: &str| values.get(path).copied().ok_or_else(|| WireError::MissingSetting(path.to_string()));
    let number = |path: &str| parse_non_negative(path, text(path)?);
    let number_or = |path: &str, default: f64| match values.get(path) {
        Some(value) => parse_non_negative(path, value),
        None => Ok(default),
    };
    let boolean = |path: &str| match text(path)? {
        "true" | "1" => Ok(true),
        "false" | "0" => Ok(false),
        other => Err(invalid_value(path, "true or false", other)),
    };
    let mut names = InstanceNames::default();
    let mut classes = Vec::new();
    for i in 0..parse_integer::<usize>("classes.count", text("classes.count")?)? {
        let path = |key: &str| format!("classes.{i}.{key}");
        let effect = match text(&path("effect"))? {
            "free" => Effect::Safe,
            "single_shot" => Effect::Unsafe,
            "guarded" => Effect::Keyed {
                group: match text(&path("group"))? {
                    "all" => DedupGroup::All,
                    "zone" => DedupGroup::Zone,
                    "cell" => DedupGroup::Cell,
                    other => return Err(invalid_value(&path("group"), "all, zone or cell", other)),
                },
                window: number(&path("window"))?,
            },
            other => return Err(invalid_value(&path("effect"), "free, guarded or single_shot", other)),
        };
        classes.push(Class {
            aim: number(&path("on-time"))?,
            deadline: number(&path("hard-limit"))?,
            late_worth: number_or(&path("late-worth"), 0.0)?,
            worth: number_or(&path("worth"), 1.0)?,
            effect,
            in_order: values.contains_key(path("fifo-by-key").as_str()) && boolean(&path("fifo-by-key"))?,
        });
        names.classes.push(text(&path("name"))?.to_string());
    }
    let mut quotas = Vec::new();
    if values.contains_key("projects.count") {
        for i in 0..parse_integer::<usize>("projects.count", text("projects.count")?)? {
            quotas.push(number(&format!("projects.{i}.quota-per-s"))?);
            names.tenants.push(text(&format!("projects.{i}.name"))?.to_string());
        }
    }
    let max_retry_after = match values.get("caps.retry-after") {
        Some(_) if boolean("caps.retry-after")? => number_or("caps.max-retry-after", 0.0)?,
        _ => 0.0,
    };
    if let Some(fields) = values.get("stats.fields") {
        names.report_fields = fields.split(',').map(str::to_string).collect();
    }
    let settings = Settings {
        classes,
        quotas,
        over_share_worth: number_or("over-share-worth", 1.0)?,
        instance_count: parse_integer("n-instances", text("n-instances")?)?,
        instance_index: parse_integer("me", text("me")?)?,
        tier: match values.get("tier") {
            Some(tier) => parse_integer("tier", tier)?,
            None => 0,
        },
        zone: zones.index(values.get("zone").copied().unwrap_or("")),
        cross_zone_cost: number_or("costs.cross-zone", 0.0)?,
        costly_connections: number_or("costs.connection", 0.0)? + number_or("costs.handshake", 0.0)? > 0.0,
        probe_for_reports: values.get("stats.how") == Some(&"on_probe")
            && values.contains_key("caps.probing")
            && boolean("caps.probing")?,
        can_cancel: boolean("caps.cancel")?,
        allow_concurrent_attempts: boolean("caps.second-copies")?,
        max_attempts: parse_integer("caps.max-attempts", text("caps.max-attempts")?)?,
        max_retry_after,
        must_watch: match text("registry-mode")? {
            "automatic" => false,
            "subscribe" => true,
            other => return Err(invalid_value("registry-mode", "automatic or subscribe", other)),
        },
        list_request_deadline: number("rules.ask-within")?,
        cold_capacity_fraction: number("rules.cold-share")?,
        cold_duration: number("rules.cold")?,
        overload_multiple: number("rules.fall-multiple")?,
        overload_duration: number("rules.tip-after")?,
        key_settle_time: number_or("rules.settle-after-doubt", 0.0)?,
        connection_release_deadline: match values.contains_key("rules.release-within") {
            true => Some(number("rules.release-within")?),
            false => None,
        },
        quantum: number("quantum")?,
    };
    Ok((settings, names))
}

/// Appends an action to the reply, as a line.
pub fn write_action(out: &mut String, action: &Action) {
    // Writing to a string does not fail.
    let _ = match action {
        Action::Send { id, backend, timeout, .. } => {
            writeln!(out, "PLACE {:016x} {:.6} {}", id.0, timeout, backend.0)
        }
        Action::Cancel { id, attempt } => writeln!(out, "REVOKE {:016x} {attempt}", id.0),
        Action::Reject { id, retry_after: Some(delay) } => {
            writeln!(out, "REJECT {:016x} {delay:.6}", id.0)
        }
        Action::Reject { id, retry_after: None } => writeln!(out, "REJECT {:016x} -", id.0),
        Action::Fail { id } => writeln!(out, "ERROR {:016x}", id.0),
        Action::Timer { at, token } => writeln!(out, "SLEEP {at:.6} {token}"),
        Action::Probe(backend) => writeln!(out, "INSPECT {}", backend.0),
        Action::CloseIdleConnections(backend) => writeln!(out, "RELEASE {}", backend.0),
        Action::Watch(enabled) => writeln!(out, "STREAM_CHANGES {}", u8::from(*enabled)),
        Action::Fetch => writeln!(out, "REFRESH"),
        Action::Log(text) => writeln!(out, "EMIT {}", text.replace(['\n', '\r'], " ")),
    };
}
