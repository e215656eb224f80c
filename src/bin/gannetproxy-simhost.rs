//! Runs balancers for the simulator: reads batches of event lines from standard input, and writes one reply
//! to each batch to standard output.

#![forbid(unsafe_code)]

use gannetproxy::wire::{self, InstanceNames, LIST_COUNT, Line, NameIndex, UpdateKind, WireError};
use gannetproxy::{BackendEntry, Balancer, Event, ListUpdate, Time};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

/// An instance of the simulator, with its balancer and the names in its requests once it has started.
struct Instance {
    name: String,
    running: Option<(Balancer, InstanceNames)>,
}

#[derive(Default)]
struct Host {
    instances: Vec<Instance>,
    by_name: HashMap<String, usize>,
    zones: NameIndex,
    lists: [Vec<BackendEntry>; LIST_COUNT],
    /// The list whose entries are being read, and the number of entries left.
    open_list: Option<(usize, usize)>,
    selected: Option<usize>,
    now: Time,
    reply: String,
    /// The instance that the last `BY` line of the reply names.
    reply_instance: Option<usize>,
}

fn unexpected_line(expected: &'static str, got: &str) -> WireError {
    WireError::UnexpectedLine { expected, got: got.to_string() }
}

/// Formats a panic as a failure message of one line.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no message");
    format!("panic: {}", text.replace(['\n', '\r'], " "))
}

impl Host {
    /// Handles a line of a batch, and returns whether the batch is complete.
    fn handle_line(&mut self, text: &str) -> Result<bool, WireError> {
        let running = self.selected.and_then(|i| self.instances[i].running.as_ref());
        let line = wire::parse_line(text, &mut self.zones, running.map(|(_, names)| names))?;
        if let Some((list, entries_left)) = self.open_list.take() {
            let Line::Item(entry) = line else {
                return Err(unexpected_line("an ITEM line", text));
            };
            self.lists[list].push(entry);
            self.open_list = (entries_left > 1).then_some((list, entries_left - 1));
            return Ok(false);
        }
        match line {
            Line::Batch(..) => return Err(unexpected_line("GO before the next BATCH", text)),
            Line::Item(_) => return Err(unexpected_line("a ROSTER before its entries", text)),
            Line::Go => return Ok(true),
            Line::Select(name) => {
                let known = self.by_name.get(name).copied();
                self.selected = Some(known.unwrap_or_else(|| {
                    self.by_name.insert(name.to_string(), self.instances.len());
                    self.instances.push(Instance { name: name.to_string(), running: None });
                    self.instances.len() - 1
                }));
            }
            Line::Roster(list, count) => {
                self.lists[list].clear();
                self.open_list = (count > 0).then_some((list, count));
            }
            Line::Hello(seed, settings, names) => {
                let now = self.now;
                self.selected_instance(text)?.running = Some((Balancer::new(now, seed, *settings), names));
            }
            Line::Teardown => self.selected_instance(text)?.running = None,
            Line::Ignored => {
                self.selected_instance(text)?;
            }
            Line::Update(kind, number) => {
                let list = std::mem::take(&mut self.lists[number]);
                let result = self.handle_event(
                    text,
                    Event::List(match kind {
                        UpdateKind::Changes => ListUpdate::Changes(&list),
                        UpdateKind::Full => ListUpdate::Full(&list),
                        UpdateKind::Remembered => ListUpdate::Remembered(&list),
                        UpdateKind::Failed => ListUpdate::Failed,
                    }),
                );
                self.lists[number] = list;
                result?;
            }
            Line::Event(event) => self.handle_event(text, event)?,
        }
        Ok(false)
    }

    fn selected_instance(&mut self, text: &str) -> Result<&mut Instance, WireError> {
        let selected = self.selected.ok_or_else(|| unexpected_line("SELECT first", text))?;
        Ok(&mut self.instances[selected])
    }

    /// Passes an event to the selected instance's balancer, and writes its actions to the reply. A panic of
    /// the balancer is written as a `DIE` line.
    fn handle_event(&mut self, text: &str, event: Event<'_>) -> Result<(), WireError> {
        let now = self.now;
        let running = self.selected_instance(text)?.running.as_mut();
        let (balancer, _) = running.ok_or_else(|| unexpected_line("HELLO first", text))?;
        let mut actions = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions)));
        if handled.is_ok() && actions.is_empty() {
            return Ok(());
        }
        if self.reply_instance != self.selected {
            let name = &self.selected_instance(text)?.name;
            let line = format!("BY {name}\n");
            self.reply.push_str(&line);
            self.reply_instance = self.selected;
        }
        if let Err(panic) = handled {
            self.reply.push_str(&format!("DIE {}\n", panic_message(panic.as_ref())));
            return Ok(()); // actions from before the panic are discarded
        }
        for action in &actions {
            wire::write_action(&mut self.reply, action);
        }
        Ok(())
    }
}

/// Handles all batches. An error names the batch and the line.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut batch: Option<u64> = None;
    let mut line_number = 0u64;
    for line in input.lines() {
        let text = line.map_err(|e| format!("cannot read: {e}"))?;
        line_number += 1;
        let locate = |e: WireError, batch: Option<u64>| match batch {
            Some(batch) => format!("batch {batch}, line {line_number}: {e}"),
            None => format!("between batches, line {line_number}: {e}"),
        };
        let Some(number) = batch else {
            match wire::parse_line(&text, &mut host.zones, None).map_err(|e| locate(e, None))? {
                Line::Batch(now, number) => {
                    (host.now, batch) = (now, Some(number));
                    (host.selected, host.reply_instance, host.open_list) = (None, None, None);
                    host.reply.clear();
                }
                _ => return Err(locate(unexpected_line("BATCH", &text), None)),
            }
            continue;
        };
        if host.handle_line(&text).map_err(|e| locate(e, batch))? {
            host.reply.push_str(&format!("END {number}\n"));
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("cannot write: {e}"))?;
            batch = None;
        }
    }
    match batch {
        Some(number) => Err(format!("batch {number}, line {line_number}: expected GO, got end of input")),
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
    fn panic_message_is_one_line() {
        let panic = catch_unwind(|| panic!("index {}\nout of range", 3)).unwrap_err();
        assert_eq!(panic_message(panic.as_ref()), "panic: index 3 out of range");
        let panic = catch_unwind(|| panic!("plain")).unwrap_err();
        assert_eq!(panic_message(panic.as_ref()), "panic: plain");
    }
}
