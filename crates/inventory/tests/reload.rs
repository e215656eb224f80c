//! Tests of the reload state machine in virtual time: when a changing file is read, and each condition of acceptance.

use dewpier_inventory::Options;
use dewpier_inventory::reload::{FileStamp, Input, Output, Rejection, ReloadRules, Reloader, sha256_hex};
use std::time::Duration;

/// Default settle time.
const SETTLE_MILLIS: u64 = 300;

/// A simulated file and the reloader that watches it.
struct WatchedFile {
    reloader: Reloader,
    now_millis: u64,
    stamp: Option<FileStamp>,
    text: String,
    /// Contents of the confirmation file.
    confirmation: Option<String>,
    /// Text that is written while the file is being read.
    write_during_read: Option<String>,
    read_count: usize,
}

/// A result of the reloader. `Accepted` holds the number of backends.
#[derive(Debug, PartialEq)]
enum Outcome {
    Accepted(usize),
    Rejected(Rejection),
    KeepsChanging,
}

impl WatchedFile {
    /// Creates a file with default rules, whose first version is read and accepted.
    fn new(text: &str) -> Self {
        Self::with_rules(text, ReloadRules::default())
    }

    fn with_rules(text: &str, rules: ReloadRules) -> Self {
        let reloader = Reloader::new("nodes.csv", Options::default(), rules);
        let mut watched = Self {
            reloader,
            now_millis: 0,
            stamp: None,
            text: String::new(),
            confirmation: None,
            write_during_read: None,
            read_count: 0,
        };
        watched.write(text);
        let outcomes = watched.handle(Input::ReadRequested);
        assert!(matches!(outcomes[..], [Outcome::Accepted(_)]), "{outcomes:?}");
        watched
    }

    /// Writes the file in place.
    fn write(&mut self, text: &str) {
        self.text = text.to_string();
        let (device_and_inode, changed) =
            (self.stamp.map_or((1, 1), |s| s.device_and_inode), i128::from(self.now_millis));
        self.stamp = Some(FileStamp {
            device_and_inode,
            size_bytes: text.len() as u64,
            modified_nanos: changed,
            status_changed_nanos: changed,
            confirmation: None,
        });
    }

    /// Writes a confirmation of a text.
    fn confirm(&mut self, text: &str) {
        self.confirmation = Some(format!("{}  nodes.csv\n", sha256_hex(text.as_bytes())));
        let at = i128::from(self.now_millis);
        self.stamp.iter_mut().for_each(|s| s.confirmation = Some((9, at)));
    }

    /// Passes an input to the reloader and executes its outputs, except checks in the future.
    fn handle(&mut self, input: Input<'_>) -> Vec<Outcome> {
        let (mut outcomes, mut outputs) = (Vec::new(), Vec::new());
        let now = |w: &Self| Duration::from_millis(w.now_millis);
        self.reloader.handle(now(self), input, &mut outputs);
        while let Some(output) = outputs.pop() {
            match output {
                Output::CheckAt(at) if at <= now(self) => {
                    self.reloader.handle(now(self), Input::Checked(self.stamp), &mut outputs);
                }
                Output::CheckAt(_) => {}
                Output::ReadFile => {
                    self.read_count += 1;
                    let (stamp_before, text, confirmation) =
                        (self.stamp, self.text.clone(), self.confirmation.clone());
                    if let Some(new) = self.write_during_read.take() {
                        self.write(&new);
                    }
                    let bytes =
                        stamp_before.map(|_| text.as_bytes()).ok_or_else(|| "no such file".to_string());
                    let input = Input::ReadCompleted {
                        stamp_before,
                        stamp_after: self.stamp,
                        bytes,
                        confirmation: confirmation.as_deref(),
                    };
                    self.reloader.handle(now(self), input, &mut outputs);
                }
                Output::Accepted(list) => outcomes.push(Outcome::Accepted(list.backends.len())),
                Output::Rejected(rejection) => outcomes.push(Outcome::Rejected(rejection)),
                Output::KeepsChanging => outcomes.push(Outcome::KeepsChanging),
            }
        }
        outcomes
    }

    /// Advances the time, with a check every 10 ms.
    fn advance(&mut self, millis: u64) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for _ in 0..millis / 10 {
            self.now_millis += 10;
            let stamp = self.stamp;
            outcomes.extend(self.handle(Input::Checked(stamp)));
        }
        outcomes
    }
}

/// Writes a table with this number of nodes.
fn write_table(nodes: usize) -> String {
    let row = |i: usize| format!("n{i},10.0.0.{}:80\n", i + 1);
    "id,address\n".to_string() + &(0..nodes).map(row).collect::<String>()
}

#[test]
fn file_is_read_once_unchanged_for_the_settle_time() {
    let mut watched = WatchedFile::new(&write_table(10));
    assert_eq!(watched.advance(10_000), []);
    assert_eq!(watched.read_count, 1, "an unchanged file is not read again");
    for n in 11..20 {
        watched.now_millis += SETTLE_MILLIS - 20;
        watched.write(&write_table(n));
        assert_eq!(watched.advance(10), [], "{n}");
    }
    assert_eq!(watched.advance(SETTLE_MILLIS - 10), []);
    assert_eq!(watched.advance(20), [Outcome::Accepted(19)]);
    assert_eq!(watched.advance(10_000), []);
}

#[test]
fn write_during_read_discards_the_contents() {
    let mut watched = WatchedFile::new(&write_table(10));
    watched.now_millis += 1000;
    watched.write(&write_table(11));
    watched.write_during_read = Some(write_table(12));
    assert_eq!(watched.advance(SETTLE_MILLIS + 10), [], "neither version is accepted");
    assert_eq!(watched.advance(SETTLE_MILLIS + 10), [Outcome::Accepted(12)]);
    // An immediate read is discarded too.
    watched.write_during_read = Some(write_table(13));
    assert_eq!(watched.handle(Input::ReadRequested), []);
    assert_eq!(watched.advance(SETTLE_MILLIS + 10), [Outcome::Accepted(13)]);
}

#[test]
fn immediate_read_skips_only_the_settle_time() {
    let mut watched = WatchedFile::new(&write_table(10));
    watched.now_millis += 1;
    watched.write(&write_table(11));
    assert_eq!(watched.handle(Input::ReadRequested), [Outcome::Accepted(11)]);
    watched.write(write_table(12).trim_end());
    let outcomes = watched.handle(Input::ReadRequested);
    assert!(matches!(outcomes[..], [Outcome::Rejected(Rejection::Truncated { .. })]), "{outcomes:?}");
    watched.write(&write_table(3));
    let outcomes = watched.handle(Input::ReadRequested);
    assert!(
        matches!(
            outcomes[..],
            [Outcome::Rejected(Rejection::TooManyMissing {
                missing_count: 8,
                max_missing: 5,
                previous_count: 11,
                ..
            })]
        ),
        "{outcomes:?}"
    );
    // A repeated immediate read reports the rejection again, a check does not.
    assert_eq!(watched.handle(Input::ReadRequested).len(), 1);
    assert_eq!(watched.advance(1000), []);
    assert_eq!(watched.reloader.current_list().unwrap().backends.len(), 11);
}

#[test]
fn change_report_causes_a_read_if_stamps_are_equal() {
    let mut watched = WatchedFile::new(&write_table(9));
    let before = watched.stamp;
    // With equal size and times, only the operating system's report shows the second write.
    watched.text = write_table(9).replace("n8", "m8");
    assert_eq!(watched.stamp, before);
    assert_eq!(watched.advance(1000), []);
    assert_eq!(watched.handle(Input::ChangeReported), []);
    assert_eq!(watched.advance(SETTLE_MILLIS + 10), [Outcome::Accepted(9)]);
    assert!(watched.reloader.current_list().unwrap().backends.iter().any(|b| b.id == "m8"));
}

#[test]
fn list_with_too_many_missing_nodes_is_rejected_unless_confirmed() {
    let mut watched = WatchedFile::new(&write_table(10));
    watched.now_millis += 1000;
    watched.write(&write_table(5));
    assert_eq!(
        watched.advance(SETTLE_MILLIS + 10),
        [Outcome::Accepted(5)],
        "half of the nodes may be missing"
    );
    watched.now_millis += 1000;
    watched.write(&write_table(2));
    let outcomes = watched.advance(SETTLE_MILLIS + 10);
    assert!(
        matches!(outcomes[..], [Outcome::Rejected(Rejection::TooManyMissing { missing_count: 3, .. })]),
        "{outcomes:?}"
    );
    watched.confirm(&write_table(3));
    assert_eq!(watched.advance(1000), [], "the confirmation is of another text");
    watched.now_millis += 1000;
    watched.confirm(&write_table(2));
    assert_eq!(watched.advance(SETTLE_MILLIS + 10), [Outcome::Accepted(2)]);
    watched.now_millis += 1000;
    watched.write(&write_table(1));
    assert_eq!(watched.advance(SETTLE_MILLIS + 10), [Outcome::Accepted(1)], "one node may always be missing");
}

#[test]
fn missing_or_constantly_changing_file_is_reported_once() {
    let mut watched = WatchedFile::new(&write_table(10));
    let original_stamp = watched.stamp.take();
    watched.now_millis += 10;
    let outcomes = watched.advance(1000);
    assert!(matches!(outcomes[..], [Outcome::Rejected(Rejection::Unreadable(_))]), "{outcomes:?}");
    watched.stamp = original_stamp;
    assert_eq!(watched.advance(1000), [], "the original file is known");
    let mut outcomes = Vec::new();
    for n in 0..200 {
        watched.now_millis += 90;
        watched.write(&write_table(10 + n % 2));
        outcomes.extend(watched.advance(10));
    }
    assert_eq!(outcomes, [Outcome::KeepsChanging]);
    let final_outcomes = watched.advance(SETTLE_MILLIS + 10);
    assert_eq!(final_outcomes, [Outcome::Accepted(11)]);
}

#[test]
fn previous_list_is_restored_if_the_new_one_is_unusable() {
    let mut watched = WatchedFile::new(&write_table(10));
    watched.now_millis += 1000;
    watched.write(&write_table(20));
    assert_eq!(watched.advance(SETTLE_MILLIS + 10), [Outcome::Accepted(20)]);
    assert_eq!(watched.handle(Input::ListUnusable), []);
    assert_eq!(watched.reloader.current_list().unwrap().backends.len(), 10);
    watched.now_millis += 1000;
    watched.write(&write_table(4));
    let outcomes = watched.advance(SETTLE_MILLIS + 10);
    assert!(
        matches!(outcomes[..], [Outcome::Rejected(Rejection::TooManyMissing { previous_count: 10, .. })]),
        "{outcomes:?}"
    );
}
