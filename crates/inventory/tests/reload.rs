//! When a changing file is read, and each defence by itself, in virtual time.

use dewpier_inventory::Options;
use dewpier_inventory::reload::{FileStamp, Input, Output, Rejection, ReloadRules, Reloader, sha256_hex};
use std::time::Duration;

const SETTLE: u64 = 300;

/// A file that the test writes, and the watch on it.
struct Watched {
    reload: Reloader,
    now: u64,
    stamp: Option<FileStamp>,
    text: String,
    confirmed: Option<String>,
    /// What is written while the file is being read.
    during: Option<String>,
    reads: usize,
}

/// What came of it, in one word each.
#[derive(Debug, PartialEq)]
enum Seen {
    Accepted(usize),
    Rejected(Rejection),
    KeepsChanging,
}

impl Watched {
    fn new(text: &str) -> Self {
        Self::with(text, ReloadRules::default())
    }

    fn with(text: &str, rules: ReloadRules) -> Self {
        let reload = Reloader::new("nodes.csv", Options::default(), rules);
        let mut watched = Self {
            reload,
            now: 0,
            stamp: None,
            text: String::new(),
            confirmed: None,
            during: None,
            reads: 0,
        };
        watched.write(text);
        let seen = watched.step(Input::ReadRequested);
        assert!(matches!(seen[..], [Seen::Accepted(_)]), "{seen:?}");
        watched
    }

    /// In place.
    fn write(&mut self, text: &str) {
        self.text = text.to_string();
        let (device_and_inode, changed) =
            (self.stamp.map_or((1, 1), |s| s.device_and_inode), i128::from(self.now));
        self.stamp = Some(FileStamp {
            device_and_inode,
            size_bytes: text.len() as u64,
            modified_nanos: changed,
            status_changed_nanos: changed,
            confirmation: None,
        });
    }

    fn confirm(&mut self, text: &str) {
        self.confirmed = Some(format!("{}  nodes.csv\n", sha256_hex(text.as_bytes())));
        let at = i128::from(self.now);
        self.stamp.iter_mut().for_each(|s| s.confirmation = Some((9, at)));
    }

    /// Hands in an input and does what is wanted, but for looks in the future.
    fn step(&mut self, input: Input<'_>) -> Vec<Seen> {
        let (mut seen, mut outputs) = (Vec::new(), Vec::new());
        let now = |w: &Self| Duration::from_millis(w.now);
        self.reload.handle(now(self), input, &mut outputs);
        while let Some(output) = outputs.pop() {
            match output {
                Output::CheckAt(at) if at <= now(self) => {
                    self.reload.handle(now(self), Input::Checked(self.stamp), &mut outputs);
                }
                Output::CheckAt(_) => {}
                Output::ReadFile => {
                    self.reads += 1;
                    let (before, text, confirmed) = (self.stamp, self.text.clone(), self.confirmed.clone());
                    if let Some(new) = self.during.take() {
                        self.write(&new);
                    }
                    let bytes = before.map(|_| text.as_bytes()).ok_or_else(|| "no such file".to_string());
                    let input = Input::ReadCompleted {
                        stamp_before: before,
                        stamp_after: self.stamp,
                        bytes,
                        confirmation: confirmed.as_deref(),
                    };
                    self.reload.handle(now(self), input, &mut outputs);
                }
                Output::Accepted(list) => seen.push(Seen::Accepted(list.backends.len())),
                Output::Rejected(rejection) => seen.push(Seen::Rejected(rejection)),
                Output::KeepsChanging => seen.push(Seen::KeepsChanging),
            }
        }
        seen
    }

    /// Time passes, with a look every 10 ms.
    fn pass(&mut self, millis: u64) -> Vec<Seen> {
        let mut seen = Vec::new();
        for _ in 0..millis / 10 {
            self.now += 10;
            let stamp = self.stamp;
            seen.extend(self.step(Input::Checked(stamp)));
        }
        seen
    }
}

fn table(nodes: usize) -> String {
    let row = |i: usize| format!("n{i},10.0.0.{}:80\n", i + 1);
    "id,address\n".to_string() + &(0..nodes).map(row).collect::<String>()
}

#[test]
fn a_file_is_read_once_it_has_stood_still() {
    let mut watched = Watched::new(&table(10));
    assert_eq!(watched.pass(10_000), []);
    assert_eq!(watched.reads, 1, "a file that stands is not read again");
    for n in 11..20 {
        watched.now += SETTLE - 20;
        watched.write(&table(n));
        assert_eq!(watched.pass(10), [], "{n}");
    }
    assert_eq!(watched.pass(SETTLE - 10), []);
    assert_eq!(watched.pass(20), [Seen::Accepted(19)]);
    assert_eq!(watched.pass(10_000), []);
}

#[test]
fn a_write_during_the_read_is_seen_by_what_stands_there_after() {
    let mut watched = Watched::new(&table(10));
    watched.now += 1000;
    watched.write(&table(11));
    watched.during = Some(table(12));
    assert_eq!(watched.pass(SETTLE + 10), [], "neither of the two");
    assert_eq!(watched.pass(SETTLE + 10), [Seen::Accepted(12)]);
    // The same where it is to be read at once.
    watched.during = Some(table(13));
    assert_eq!(watched.step(Input::ReadRequested), []);
    assert_eq!(watched.pass(SETTLE + 10), [Seen::Accepted(13)]);
}

#[test]
fn at_once_there_is_no_waiting_but_the_other_defences_hold() {
    let mut watched = Watched::new(&table(10));
    watched.now += 1;
    watched.write(&table(11));
    assert_eq!(watched.step(Input::ReadRequested), [Seen::Accepted(11)]);
    watched.write(table(12).trim_end());
    let seen = watched.step(Input::ReadRequested);
    assert!(matches!(seen[..], [Seen::Rejected(Rejection::Truncated { .. })]), "{seen:?}");
    watched.write(&table(3));
    let seen = watched.step(Input::ReadRequested);
    assert!(
        matches!(
            seen[..],
            [Seen::Rejected(Rejection::TooManyMissing {
                missing_count: 8,
                max_missing: 5,
                previous_count: 11,
                ..
            })]
        ),
        "{seen:?}"
    );
    // Asked again, it says so again; looked at again, it does not.
    assert_eq!(watched.step(Input::ReadRequested).len(), 1);
    assert_eq!(watched.pass(1000), []);
    assert_eq!(watched.reload.current_list().unwrap().backends.len(), 11);
}

#[test]
fn two_writes_within_one_tick_of_the_clock_are_two() {
    let mut watched = Watched::new(&table(9));
    let before = watched.stamp;
    // The same size, and a clock too coarse to tell them apart: only the system's word does.
    watched.text = table(9).replace("n8", "m8");
    assert_eq!(watched.stamp, before);
    assert_eq!(watched.pass(1000), []);
    assert_eq!(watched.step(Input::ChangeReported), []);
    assert_eq!(watched.pass(SETTLE + 10), [Seen::Accepted(9)]);
    assert!(watched.reload.current_list().unwrap().backends.iter().any(|b| b.id == "m8"));
}

#[test]
fn what_may_vanish_is_bounded_and_can_be_confirmed_for_one_text() {
    let mut watched = Watched::new(&table(10));
    watched.now += 1000;
    watched.write(&table(5));
    assert_eq!(watched.pass(SETTLE + 10), [Seen::Accepted(5)], "half may go");
    watched.now += 1000;
    watched.write(&table(2));
    let seen = watched.pass(SETTLE + 10);
    assert!(
        matches!(seen[..], [Seen::Rejected(Rejection::TooManyMissing { missing_count: 3, .. })]),
        "{seen:?}"
    );
    watched.confirm(&table(3));
    assert_eq!(watched.pass(1000), [], "that is another text");
    watched.now += 1000;
    watched.confirm(&table(2));
    assert_eq!(watched.pass(SETTLE + 10), [Seen::Accepted(2)]);
    watched.now += 1000;
    watched.write(&table(1));
    assert_eq!(watched.pass(SETTLE + 10), [Seen::Accepted(1)], "one may always go");
}

#[test]
fn a_file_that_is_gone_or_never_stands_still_is_told_once() {
    let mut watched = Watched::new(&table(10));
    let stood = watched.stamp.take();
    watched.now += 10;
    let seen = watched.pass(1000);
    assert!(matches!(seen[..], [Seen::Rejected(Rejection::Unreadable(_))]), "{seen:?}");
    watched.stamp = stood;
    assert_eq!(watched.pass(1000), [], "it is the one that is known");
    let mut seen = Vec::new();
    for n in 0..200 {
        watched.now += 90;
        watched.write(&table(10 + n % 2));
        seen.extend(watched.pass(10));
    }
    assert_eq!(seen, [Seen::KeepsChanging]);
    let last = watched.pass(SETTLE + 10);
    assert_eq!(last, [Seen::Accepted(11)]);
}

#[test]
fn a_list_that_turns_out_unusable_gives_way_to_the_one_before() {
    let mut watched = Watched::new(&table(10));
    watched.now += 1000;
    watched.write(&table(20));
    assert_eq!(watched.pass(SETTLE + 10), [Seen::Accepted(20)]);
    assert_eq!(watched.step(Input::ListUnusable), []);
    assert_eq!(watched.reload.current_list().unwrap().backends.len(), 10);
    watched.now += 1000;
    watched.write(&table(4));
    let seen = watched.pass(SETTLE + 10);
    assert!(
        matches!(seen[..], [Seen::Rejected(Rejection::TooManyMissing { previous_count: 10, .. })]),
        "{seen:?}"
    );
}
