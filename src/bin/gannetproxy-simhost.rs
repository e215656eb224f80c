//! Hosts balancers on the simulator's wire: batches of events on standard input, one reply
//! each on standard output.

#![forbid(unsafe_code)]

use gannetproxy::wire::{self, InstanceNames, LISTS, Line, Names, UpdateKind, WireError};
use gannetproxy::{BackendEntry, Balancer, Event, ListUpdate, Time};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

/// An instance: its balancer, where it has started, and the names in its requests.
struct Instance {
    name: String,
    running: Option<(Balancer, InstanceNames)>,
}

#[derive(Default)]
struct Host {
    instances: Vec<Instance>,
    by_name: HashMap<String, usize>,
    zones: Names,
    lists: [Vec<BackendEntry>; LISTS],
    filling: Option<(usize, usize)>,
    selected: Option<usize>,
    now: Time,
    reply: String,
    /// The instance that the reply speaks of.
    by: Option<usize>,
}

fn out_of_order(expected: &'static str, got: &str) -> WireError {
    WireError::Order { expected, got: got.to_string() }
}

/// The wire's failure message for a panic, on one line.
fn failure(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no message");
    format!("panic: {}", text.replace(['\n', '\r'], " "))
}

impl Host {
    /// Takes in a line of a batch; true when the batch is complete.
    fn line(&mut self, text: &str) -> Result<bool, WireError> {
        let running = self.selected.and_then(|i| self.instances[i].running.as_ref());
        let line = wire::parse(text, &mut self.zones, running.map(|(_, names)| names))?;
        if let Some((page, left)) = self.filling.take() {
            let Line::Item(entry) = line else {
                return Err(out_of_order("an ITEM line", text));
            };
            self.lists[page].push(entry);
            self.filling = (left > 1).then_some((page, left - 1));
            return Ok(false);
        }
        match line {
            Line::Batch(..) => return Err(out_of_order("GO before the next BATCH", text)),
            Line::Item(_) => return Err(out_of_order("a ROSTER before its entries", text)),
            Line::Go => return Ok(true),
            Line::Select(name) => {
                let known = self.by_name.get(name).copied();
                self.selected = Some(known.unwrap_or_else(|| {
                    self.by_name.insert(name.to_string(), self.instances.len());
                    self.instances.push(Instance { name: name.to_string(), running: None });
                    self.instances.len() - 1
                }));
            }
            Line::Roster(page, count) => {
                self.lists[page].clear();
                self.filling = (count > 0).then_some((page, count));
            }
            Line::Hello(seed, settings, names) => {
                let now = self.now;
                self.instance(text)?.running = Some((Balancer::new(now, seed, *settings), names));
            }
            Line::Teardown => self.instance(text)?.running = None,
            Line::Ignored => {
                self.instance(text)?;
            }
            Line::Update(kind, page) => {
                let list = std::mem::take(&mut self.lists[page]);
                let done = self.event(
                    text,
                    Event::List(match kind {
                        UpdateKind::Changes => ListUpdate::Changes(&list),
                        UpdateKind::All => ListUpdate::Full(&list),
                        UpdateKind::Remembered => ListUpdate::Remembered(&list),
                        UpdateKind::Refused => ListUpdate::Failed,
                    }),
                );
                self.lists[page] = list;
                done?;
            }
            Line::Event(event) => self.event(text, event)?,
        }
        Ok(false)
    }

    fn instance(&mut self, text: &str) -> Result<&mut Instance, WireError> {
        let selected = self.selected.ok_or_else(|| out_of_order("SELECT first", text))?;
        Ok(&mut self.instances[selected])
    }

    /// Lets the selected instance decide, and writes what it wants. A panic in there is told
    /// as the wire's failure message.
    fn event(&mut self, text: &str, event: Event<'_>) -> Result<(), WireError> {
        let now = self.now;
        let running = self.instance(text)?.running.as_mut();
        let (balancer, _) = running.ok_or_else(|| out_of_order("HELLO first", text))?;
        let mut actions = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions)));
        if handled.is_ok() && actions.is_empty() {
            return Ok(());
        }
        if self.by != self.selected {
            let name = &self.instance(text)?.name;
            let line = format!("BY {name}\n");
            self.reply.push_str(&line);
            self.by = self.selected;
        }
        if let Err(panic) = handled {
            self.reply.push_str(&format!("DIE {}\n", failure(panic.as_ref())));
            return Ok(()); // what it wanted done up to there is not to be trusted
        }
        for action in &actions {
            wire::write_action(&mut self.reply, action);
        }
        Ok(())
    }
}

/// Plays all batches. The error names the batch and line.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut batch: Option<u64> = None;
    let mut count = 0u64;
    for line in input.lines() {
        let text = line.map_err(|e| format!("cannot read: {e}"))?;
        count += 1;
        let place = |e: WireError, batch: Option<u64>| match batch {
            Some(batch) => format!("batch {batch}, line {count}: {e}"),
            None => format!("between batches, line {count}: {e}"),
        };
        let Some(seq) = batch else {
            match wire::parse(&text, &mut host.zones, None).map_err(|e| place(e, None))? {
                Line::Batch(now, seq) => {
                    (host.now, batch) = (now, Some(seq));
                    (host.selected, host.by, host.filling) = (None, None, None);
                    host.reply.clear();
                }
                _ => return Err(place(out_of_order("BATCH", &text), None)),
            }
            continue;
        };
        if host.line(&text).map_err(|e| place(e, batch))? {
            host.reply.push_str(&format!("END {seq}\n"));
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("cannot write: {e}"))?;
            batch = None;
        }
    }
    match batch {
        Some(seq) => Err(format!("batch {seq}, line {count}: expected GO, got end of input")),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gannetproxy-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_panic_becomes_a_one_line_message() {
        let panic = catch_unwind(|| panic!("index {}\nout of range", 3)).unwrap_err();
        assert_eq!(failure(panic.as_ref()), "panic: index 3 out of range");
        let panic = catch_unwind(|| panic!("plain")).unwrap_err();
        assert_eq!(failure(panic.as_ref()), "panic: plain");
    }
}
