//! The state of a connection to a server, against a model of a server that keeps for each prepared statement what was selected
//! at its PREPARE.

use dewpier_mysql::connection_state::{ConnectionRequirements, ConnectionState, PreparationStep};
use dewpier_mysql::error::ER_NEED_REPREPARE;
use dewpier_mysql::login::ConnectionProfile;
use dewpier_mysql::prepared::{RequiredStatement, StatementRequirements};
use dewpier_standins::rng::Rng;
use std::collections::HashMap;

/// More steps than any preparation here needs.
const MAX_STEPS: usize = 3000;
const DATABASES: [Option<&str>; 3] = [None, Some("steppe"), Some("archive")];

/// One connection at the server.
#[derive(Default)]
struct ServerSide {
    database: Option<String>,
    is_default_character_set: bool,
    has_session_state: bool,
    /// The database of each statement at its PREPARE, by the server's id.
    prepared: HashMap<u32, Option<String>>,
    next_id: u32,
}

fn statement(statement_id: u32, database: Option<&str>) -> RequiredStatement {
    RequiredStatement {
        statement_id,
        sql: format!("INSERT INTO t VALUES ({statement_id})").into(),
        database: database.map(Into::into),
        long_data: Vec::new(),
    }
}

fn requirements(session_id: u64, database: Option<&str>) -> ConnectionRequirements {
    ConnectionRequirements {
        profile: ConnectionProfile { capabilities: 0, collation: 45 },
        session_id,
        database: database.map(Into::into),
        statements: Box::default(),
    }
}

/// Runs the preparing commands. Returns whether the requirements are met.
fn prepare(state: &mut ConnectionState, server: &mut ServerSide, required: &ConnectionRequirements) -> bool {
    for _ in 0..MAX_STEPS {
        match state.next_step(required) {
            PreparationStep::Ready => return true,
            PreparationStep::Impossible(error) => {
                assert_eq!(error.code, ER_NEED_REPREPARE);
                return false;
            }
            PreparationStep::ResetConnection => {
                server.prepared.clear();
                (server.is_default_character_set, server.has_session_state) = (true, false);
                state.record_reset(required.session_id);
            }
            PreparationStep::RestoreCharacterSet => {
                server.is_default_character_set = false;
                state.record_character_set();
            }
            PreparationStep::CloseStatement(id) => {
                let closed = state.record_closed(id).expect("a prepared statement");
                assert!(server.prepared.remove(&closed).is_some());
            }
            PreparationStep::SelectDatabase { name, .. } => {
                server.database = Some(name.into());
                state.record_database(name);
            }
            PreparationStep::PrepareStatement { statement, .. } => {
                assert!(!server.has_session_state && !server.is_default_character_set, "{statement:?}");
                server.next_id += 1;
                server.prepared.insert(server.next_id, server.database.clone());
                let closed = state.record_prepared(required, statement.statement_id, server.next_id);
                closed.into_iter().for_each(|id| drop(server.prepared.remove(&id)));
            }
        }
    }
    panic!("the preparation does not end: {required:?}");
}

#[test]
fn every_sequence_of_commands_runs_statements_in_the_state_of_their_prepare() {
    let mut rng = Rng::from_env("CONNECTION_STATE_SEED", 11);
    let mut refused = 0;
    for _ in 0..300 {
        let (mut state, mut server) = (ConnectionState::new(1), ServerSide::default());
        // A session selects its first database at some time, and has one from then on.
        let mut selected = [None, None];
        let mut pinned_session = 0;
        for _ in 0..60 {
            let session = if server.has_session_state { pinned_session } else { rng.below(2) };
            selected[session] = match rng.below(4) {
                0 => DATABASES[1 + rng.below(2)],
                _ => selected[session],
            };
            let (database, session_id) = (selected[session], 1 + session as u64);
            // The same id always has the same database.
            let database_of =
                |id: u32| DATABASES[id as usize % 3].and(database).and(DATABASES[id as usize % 3]);
            let id = rng.below(150) as u32;
            let executed = statement(if database.is_none() { id / 3 * 3 } else { id }, None);
            let executed = statement(executed.statement_id, database_of(executed.statement_id));
            let changes_state = rng.below(20) == 0;
            let kept = (0..100).filter(|id| database.is_some() || id % 3 == 0);
            let kept = kept.map(|id| statement(id, database_of(id)));
            let mut required = requirements(session_id, database);
            *required.statements = StatementRequirements {
                executed: (!changes_state).then_some(executed),
                kept: kept.filter(|_| changes_state && !server.has_session_state).collect(),
                closed: (0..rng.below(3)).map(|_| 150 + rng.below(9) as u32).collect(),
                has_session_state: server.has_session_state,
            };
            if !server.has_session_state && !state.is_suitable(&required) {
                (state, server) = (ConnectionState::new(session_id), ServerSide::default());
            }
            if !prepare(&mut state, &mut server, &required) {
                refused += 1;
                assert!(
                    server.has_session_state,
                    "only unknown state prevents a PREPARE: {required:?} {state:?}"
                );
                continue;
            }
            assert!(!server.is_default_character_set);
            if database.is_some() {
                assert_eq!(server.database.as_deref(), database);
            }
            if let Some(executed) = &required.statements.executed {
                let id = state.server_statement_id(executed.statement_id).expect("it is prepared");
                assert_eq!(server.prepared[&id], executed.database);
            }
            server.has_session_state |= changes_state;
            pinned_session = session;
        }
    }
    assert!(refused > 0, "some statements were prepared too late");
}

#[test]
fn closed_statements_do_not_pile_up_on_a_connection_that_must_keep_all() {
    let (mut state, mut server) = (ConnectionState::new(1), ServerSide::default());
    let mut required = requirements(1, None);
    required.statements.has_session_state = true;
    for id in 0..500 {
        server.prepared.insert(id, None);
        assert_eq!(state.record_prepared(&required, id, id), None);
        let mut closing = required.clone();
        closing.statements.closed = vec![id];
        assert!(prepare(&mut state, &mut server, &closing));
    }
    assert!(server.prepared.is_empty());
}
