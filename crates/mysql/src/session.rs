//! One client's session: what its commands ask for, whether it must stay on one connection, and what is true
//! of it when that is lost. No I/O.
//!
//! A session is free between statements unless something holds it: a transaction (the server's status flag
//! says so), state that only its connection has (variables, temporary tables, locks, what is not understood),
//! or, for a few statements, what the last one left to be asked for (LAST_INSERT_ID, warnings).

use crate::capability::DEPRECATE_EOF;
use crate::error::{
    self, Error, GENERAL, MAY_HAVE_RUN, NOT_SUPPORTED, TOO_MANY_CONCURRENT, TRY_AGAIN, UNKNOWN,
};
use crate::login::{Guest, Shape};
use crate::prepared::{self, Executed, Needed, Statements, Unfit};
use crate::reply::{Answers, Ended};
use crate::statement::{Kind, kind};
use bytes::Bytes;

/// COM_QUIT.
pub const QUIT: u8 = 0x01;
/// COM_INIT_DB.
pub const INIT_DB: u8 = 0x02;
/// COM_QUERY.
pub const QUERY: u8 = 0x03;
const FIELD_LIST: u8 = 0x04;
const STATISTICS: u8 = 0x09;
/// COM_PING.
pub const PING: u8 = 0x0e;
const CHANGE_USER: u8 = 0x11;
const FETCH: u8 = 0x1c;
const SET_OPTION: u8 = 0x1b;
/// COM_RESET_CONNECTION.
pub const RESET_CONNECTION: u8 = 0x1f;

/// A status flag: a transaction is open.
const IN_TRANSACTION: u16 = 0x0001;
/// For so many statements a session stays where its last one left something to be asked for (as ProxySQL's
/// `auto_increment_delay_multiplex` has it).
pub const LINGERS: u8 = 5;
/// The longest name of a database that is kept, in bytes: 64 characters of four.
const MOST_NAME: usize = 256;

/// What holds a session to its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hold {
    /// State that only the connection has: until the session is reset or over.
    pub state: bool,
    /// A transaction.
    pub transaction: bool,
    /// What the last statement left, for so many further ones.
    pub lingers: u8,
}

impl Hold {
    /// Anything does.
    pub fn any(&self) -> bool {
        self.state || self.transaction || self.lingers > 0
    }

    /// After such an answer that ended so. Errors, and answers without status flags, do not tell of the
    /// transaction: what was, stays.
    pub fn after(self, answers: Answers, ended: &Ended, leaves: bool) -> Self {
        let transaction = match ended {
            Ended::Whole { status, .. } if !matches!(answers, Answers::Prepared | Answers::Text) => {
                status & IN_TRANSACTION != 0
            }
            _ => self.transaction,
        };
        let leaves = leaves || matches!(ended, Ended::Error(_));
        let lingers = if leaves { LINGERS } else { self.lingers.saturating_sub(1) };
        Self { transaction, lingers, ..self }
    }
}

/// A command for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// It may be repeated.
    pub read: bool,
    /// It goes to the connection that the session is held to, and nowhere else.
    pub held: bool,
    /// What is to hold the session while it runs and after.
    pub hold: Hold,
    /// How it is answered.
    pub answers: Answers,
    /// The database that it chooses.
    pub chooses: Option<String>,
    /// The command, where it is another than what came.
    pub command: Option<Bytes>,
    /// The prepared statement that it is about.
    pub needs: Option<Needed>,
    /// It prepares the statement of that number and text.
    pub prepares: Option<(u32, Bytes)>,
    /// It looks back on the statement before.
    looks_back: bool,
    /// Where its connection is lost, what it did is undone with the transaction that it is part of.
    undone: bool,
}

/// What to do with a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Send it.
    Send(Sent),
    /// Answer with this packet.
    Answer(Bytes),
    /// Nothing: it is not answered.
    Silent,
    /// The session is new from here on: its connection is let go.
    Reset(Bytes),
    /// The client leaves.
    Quit,
}

/// How a command that was sent came to no answer of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lost {
    /// Nothing of it was sent. When to try again, in seconds, where that is known.
    Refused(Option<f64>),
    /// It may have run.
    Failed,
}

/// What a lost command means for its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Then {
    /// It was held by nothing that matters, and nothing was sent: it may go anywhere.
    Anywhere(Sent),
    /// The client is told this, and goes on.
    Tell(Error),
    /// The client is told this, and its connection ends: what only the lost one had is gone.
    End(Error),
}

/// A session.
#[derive(Debug)]
pub struct Session {
    /// What its answers look like.
    pub shape: Shape,
    /// The database it is in.
    pub database: Option<String>,
    hold: Hold,
    statements: Statements,
    /// The longest command, and all that is sent ahead of one, in bytes.
    most_command: usize,
    /// Something was left to be asked for, and may be asked for no more once the session moves.
    left: bool,
}

/// An OK.
pub fn ok() -> Bytes {
    Bytes::from_static(&[0, 0, 0, 2, 0, 0, 0])
}

fn not_carried(what: &str) -> Plan {
    Plan::Answer(Error::new(NOT_SUPPORTED, b"42000", format!("dewpier: {what} is not carried")).packet())
}

impl Session {
    /// One that begins, whose commands have so many bytes at most.
    pub fn new(guest: &Guest, most_command: usize) -> Self {
        Self {
            shape: guest.shape,
            database: guest.database.clone(),
            hold: Hold::default(),
            statements: Statements::default(),
            most_command,
            left: false,
        }
    }

    /// Rows end with an OK.
    pub fn deprecate_eof(&self) -> bool {
        self.shape.capabilities & DEPRECATE_EOF != 0
    }

    /// What holds it.
    pub fn hold(&self) -> Hold {
        self.hold
    }

    /// A command of the client.
    pub fn command(&mut self, command: &[u8]) -> Plan {
        let Some((code, rest)) = command.split_first() else {
            return Plan::Answer(Error::new(error::UNKNOWN_COMMAND, b"08S01", "an empty command").packet());
        };
        match *code {
            QUIT => Plan::Quit,
            PING => Plan::Answer(ok()),
            QUERY => self.query(rest),
            INIT_DB => match std::str::from_utf8(rest) {
                Ok(name) if (1..=MOST_NAME).contains(&name.len()) => {
                    self.send(Kind::Database(name.into()), Answers::Ok, false)
                }
                _ => Plan::Answer(Error::new(1049, b"42000", "Unknown database").packet()),
            },
            STATISTICS => self.send(Kind::Read, Answers::Text, false),
            FIELD_LIST => self.send(Kind::Read, Answers::Fields, false),
            RESET_CONNECTION => {
                (self.hold, self.left, self.statements) = (Hold::default(), false, Statements::default());
                Plan::Reset(ok())
            }
            CHANGE_USER => not_carried("COM_CHANGE_USER"),
            prepared::PREPARE => self.prepare(rest),
            prepared::EXECUTE => self.execute(command),
            prepared::LONG_DATA => {
                self.statements.long_data(Bytes::copy_from_slice(command), self.most_command);
                Plan::Silent
            }
            prepared::CLOSE => {
                self.statements.closed(command);
                Plan::Silent
            }
            prepared::RESET => match self.statements.reset(command) {
                Ok(()) => Plan::Answer(ok()),
                Err(unfit) => Plan::Answer(unfit_statement(&unfit).packet()),
            },
            FETCH => not_carried("a cursor"),
            SET_OPTION => not_carried("several statements at once"),
            code => {
                let text = format!("dewpier: command {code:#04x} is not carried");
                Plan::Answer(Error::new(error::UNKNOWN_COMMAND, b"08S01", text).packet())
            }
        }
    }

    fn query(&mut self, text: &[u8]) -> Plan {
        let (kind, looks_back) = std::str::from_utf8(text).map_or((Kind::State, false), kind);
        self.run(kind, looks_back)
    }

    fn run(&self, kind: Kind, looks_back: bool) -> Plan {
        if looks_back && self.left && !self.hold.any() {
            let text = "dewpier: what that asks for was left on a connection that the session no longer has";
            return Plan::Answer(Error::new(NOT_SUPPORTED, b"42000", text).packet());
        }
        self.send(kind, Answers::Results, looks_back)
    }

    /// To prepare a statement has no effect, whatever it does when it is executed.
    fn prepare(&mut self, text: &[u8]) -> Plan {
        let Some(number) = self.statements.number() else {
            let text = "Can't create more than max_prepared_stmt_count statements";
            return Plan::Answer(Error::new(error::TOO_MANY_STATEMENTS, b"42000", text).packet());
        };
        let text = Bytes::copy_from_slice(text);
        match self.send(Kind::Read, Answers::Prepared, false) {
            Plan::Send(sent) => Plan::Send(Sent { prepares: Some((number, text)), ..sent }),
            other => other,
        }
    }

    fn execute(&mut self, command: &[u8]) -> Plan {
        let Executed { command, needed, kind, looks_back } = match self.statements.execute(command) {
            Ok(executed) => executed,
            Err(unfit) => return Plan::Answer(unfit_statement(&unfit).packet()),
        };
        match self.run(kind, looks_back) {
            Plan::Send(sent) => Plan::Send(Sent { command: Some(command), needs: Some(needed), ..sent }),
            other => other,
        }
    }

    fn send(&self, kind: Kind, answers: Answers, looks_back: bool) -> Plan {
        let held = self.hold.any();
        Plan::Send(Sent {
            // A repeat goes elsewhere, where neither the transaction nor the state is.
            read: kind == Kind::Read && !held,
            held,
            hold: Hold { state: self.hold.state || kind == Kind::State, ..self.hold },
            answers,
            undone: self.hold.transaction && matches!(kind, Kind::Read | Kind::Write),
            chooses: match kind {
                Kind::Database(name) => Some(name),
                _ => None,
            },
            looks_back,
            command: None,
            needs: None,
            prepares: None,
        })
    }

    /// A command was answered, and that is what holds the session now.
    pub fn answered(&mut self, sent: &Sent, ended: &Ended, hold: Hold) {
        self.left = self.left || hold.lingers > 0;
        self.hold = hold;
        if let (Some(name), Ended::Whole { .. }) = (&sent.chooses, ended) {
            self.database = Some(name.clone());
        }
        if let (Some((number, text)), Ended::Whole { prepared: Some(prepared), .. }) = (&sent.prepares, ended)
        {
            self.statements.prepared(*number, text.clone(), prepared.parameters);
        }
    }

    /// A command came to no answer. Its connection, if the session had one, is gone.
    pub fn lost(&mut self, sent: Sent, lost: Lost) -> Then {
        let held = std::mem::take(&mut self.hold);
        if !sent.held {
            return Then::Tell(match lost {
                Lost::Refused(wait) => refused(wait),
                Lost::Failed => unknown("it may have run"),
            });
        }
        let certain = match lost {
            Lost::Refused(_) => true,
            Lost::Failed => sent.undone,
        };
        if held.state {
            let text =
                "the connection to the server is lost, and with it the session's state and transaction";
            return Then::End(match certain {
                true => Error::new(
                    UNKNOWN,
                    b"08006",
                    format!("dewpier: {text}; nothing of this statement stands"),
                ),
                false => unknown(text),
            });
        }
        match (held.transaction, certain) {
            (true, true) => Then::Tell(Error::new(
                TOO_MANY_CONCURRENT,
                TRY_AGAIN,
                "dewpier: the connection to the server is lost; the transaction is rolled back",
            )),
            (true, false) => Then::Tell(unknown("the connection to the server is lost in a transaction")),
            // It only lingered: another connection does as well, unless it looks back.
            (false, true) if !sent.looks_back => {
                Then::Anywhere(Sent { held: false, hold: Hold { lingers: 0, ..sent.hold }, ..sent })
            }
            (false, true) => Then::Tell(refused(None)),
            (false, false) => Then::Tell(unknown("it may have run")),
        }
    }
}

fn unfit_statement(unfit: &Unfit) -> Error {
    match unfit {
        Unfit::Unknown(number) => {
            let text = format!("Unknown prepared statement handler ({number})");
            Error::new(error::UNKNOWN_STATEMENT, GENERAL, text)
        }
        Unfit::Short(short) => Error::new(error::MALFORMED_PACKET, GENERAL, short.to_string()),
        Unfit::NoTypes => {
            Error::new(error::WRONG_ARGUMENTS, GENERAL, "an EXECUTE: expected types, found none")
        }
    }
}

/// Not done, and trying again is harmless.
fn refused(wait: Option<f64>) -> Error {
    let when = wait.map(|wait| format!(" in {:.0} ms", wait * 1000.0)).unwrap_or_default();
    Error::new(
        TOO_MANY_CONCURRENT,
        TRY_AGAIN,
        format!("dewpier: not done, and trying again{when} is harmless"),
    )
}

/// It is not known whether it has run.
fn unknown(why: &str) -> Error {
    Error::new(UNKNOWN, MAY_HAVE_RUN, format!("dewpier: {why}; whether this statement stands is not known"))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn session() -> Session {
        let shape = Shape { capabilities: DEPRECATE_EOF, collation: 45 };
        Session::new(&Guest { user: "planner".into(), database: None, shape }, 1 << 20)
    }

    fn sent(session: &mut Session, text: &str) -> Sent {
        let command = [&[QUERY], text.as_bytes()].concat();
        match session.command(&command) {
            Plan::Send(sent) => sent,
            other => panic!("{text}: {other:?}"),
        }
    }

    /// A statement that is answered with such a status.
    fn run(session: &mut Session, text: &str, status: u16, leaves: bool) -> Sent {
        let sent = sent(session, text);
        let ended = Ended::Whole { status, prepared: None };
        let hold = sent.hold.after(sent.answers, &ended, leaves);
        session.answered(&sent, &ended, hold);
        sent
    }

    #[test]
    fn a_transaction_holds_from_its_begin_to_its_end_and_nothing_in_it_is_repeated() {
        let mut session = session();
        let read = run(&mut session, "SELECT 1", 2, false);
        assert!(read.read && !read.held && !session.hold().any());
        run(&mut session, "BEGIN", 3, false);
        let read = run(&mut session, "SELECT a FROM t", 3, false);
        assert!(!read.read && read.held);
        // To prepare tells nothing of the transaction.
        let Plan::Send(sent) = session.command(b"\x16SELECT 1") else { panic!("it is not sent") };
        let ended = Ended::Whole { status: 0, prepared: None };
        session.answered(&sent, &ended, sent.hold.after(sent.answers, &ended, false));
        assert!(session.hold().transaction);
        assert!(run(&mut session, "COMMIT", 2, false).held);
        assert!(!session.hold().any());
    }

    #[test]
    fn state_holds_for_good_and_a_reset_lets_go() {
        let mut session = session();
        run(&mut session, "SET @a = 1", 2, false);
        for _ in 0..20 {
            assert!(run(&mut session, "SELECT 1", 2, false).held);
        }
        assert!(matches!(session.command(&[RESET_CONNECTION]), Plan::Reset(_)));
        assert!(!session.hold().any());
    }

    #[test]
    fn what_a_statement_left_is_asked_for_where_it_is_or_not_at_all() {
        let mut session = session();
        run(&mut session, "INSERT INTO t (a) VALUES (1)", 2, true);
        assert!(run(&mut session, "SELECT LAST_INSERT_ID()", 2, false).held);
        for _ in 0..LINGERS {
            run(&mut session, "SELECT 1", 2, false);
        }
        assert!(!session.hold().any());
        let asked = session.command(b"\x03SELECT LAST_INSERT_ID()");
        assert!(matches!(asked, Plan::Answer(_)), "{asked:?}");
    }

    #[test]
    fn the_database_is_the_last_one_that_could_be_chosen() {
        let mut session = session();
        run(&mut session, "USE plans", 2, false);
        assert_eq!(session.database.as_deref(), Some("plans"));
        let Plan::Send(sent) = session.command(b"\x02none") else { panic!("it is not sent") };
        session.answered(&sent, &Ended::Error(1049), Hold::default());
        assert_eq!(session.database.as_deref(), Some("plans"));
    }

    #[test]
    fn what_is_lost_is_told_as_it_is() {
        let told = |before: &[(&str, u16)], text: &str, lost: Lost| {
            let mut session = session();
            before.iter().for_each(|(text, status)| drop(run(&mut session, text, *status, false)));
            let sent = sent(&mut session, text);
            let then = session.lost(sent, lost);
            assert!(!session.hold().any());
            match then {
                Then::Tell(error) => (true, error.state),
                Then::End(error) => (false, error.state),
                Then::Anywhere(_) => panic!("it goes anywhere"),
            }
        };
        let (begun, set) = (&[("BEGIN", 3)][..], &[("SET @a = 1", 2)][..]);
        let refused = Lost::Refused(None);
        assert_eq!(told(&[], "INSERT INTO t VALUES (1)", refused), (true, *TRY_AGAIN));
        assert_eq!(told(&[], "INSERT INTO t VALUES (1)", Lost::Failed), (true, *MAY_HAVE_RUN));
        assert_eq!(told(begun, "SELECT a FROM t", Lost::Failed), (true, *TRY_AGAIN), "rolled back");
        assert_eq!(told(begun, "INSERT INTO t VALUES (1)", Lost::Failed), (true, *TRY_AGAIN), "rolled back");
        assert_eq!(told(begun, "INSERT INTO t VALUES (1)", refused), (true, *TRY_AGAIN));
        assert_eq!(told(begun, "BEGIN", Lost::Failed), (true, *MAY_HAVE_RUN), "it commits what came before");
        assert_eq!(told(begun, "COMMIT", Lost::Failed), (true, *MAY_HAVE_RUN));
        assert_eq!(told(begun, "COMMIT", refused), (true, *TRY_AGAIN), "it was never sent");
        assert_eq!(told(begun, "ALTER TABLE t ADD b INT", Lost::Failed), (true, *MAY_HAVE_RUN), "it commits");
        assert_eq!(told(set, "SELECT 1", Lost::Failed), (false, *MAY_HAVE_RUN));
        assert_eq!(told(set, "SELECT 1", refused), (false, *b"08006"));
    }

    #[test]
    fn what_only_lingered_goes_elsewhere() {
        let mut session = session();
        run(&mut session, "INSERT INTO t (a) VALUES (1)", 2, true);
        let read = sent(&mut session, "UPDATE t SET a = 2");
        let then = session.lost(read, Lost::Refused(None));
        assert!(matches!(then, Then::Anywhere(Sent { held: false, .. })), "{then:?}");
        run(&mut session, "INSERT INTO t (a) VALUES (1)", 2, true);
        let back = sent(&mut session, "SELECT LAST_INSERT_ID()");
        assert!(matches!(session.lost(back, Lost::Refused(None)), Then::Tell(_)));
    }

    #[test]
    fn what_is_not_carried_is_told_and_the_session_goes_on() {
        let mut session = session();
        for command in
            [&[][..], &[0x17, 1, 0, 0, 0], &[0x12], &[0x1b, 0, 0], &[0xff], &[INIT_DB], &[INIT_DB, 0xff]]
        {
            let Plan::Answer(packet) = session.command(command) else { panic!("{command:?}") };
            assert!(Error::read(&packet).is_ok());
        }
        assert_eq!(session.command(&[PING]), Plan::Answer(ok()));
        assert_eq!(session.command(&[QUIT]), Plan::Quit);
        // Bytes that are no UTF-8 may mean anything.
        assert!(matches!(
            session.command(b"\x03SELECT '\xff'"),
            Plan::Send(Sent { read: false, hold: Hold { state: true, .. }, .. })
        ));
    }
}
