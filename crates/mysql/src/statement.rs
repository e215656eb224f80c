//! Classifies statements by their effect on the session: whether a statement may use any connection, and whether it
//! leaves state on its connection.
//!
//! A statement that is not understood counts as one that leaves state. That pins a session longer than necessary; the
//! opposite error would let a session use state of another one.

use crate::repeat;
use sqlparser::ast::{BinaryOperator, Expr, Ident, ObjectType, Select, Statement, Use, Visit, Visitor};
use sqlparser::dialect::MySqlDialect;
use sqlparser::parser::Parser;
use std::ops::ControlFlow;

/// The effect of a statement on its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Only reads, and may be repeated.
    Read,
    /// Only reads, and asks for warnings, errors or numbers of rows that the previous statement has left on the
    /// connection. Leaves nothing in its session.
    ReadsDiagnostics,
    /// May write. Leaves nothing in its session but an open transaction, which the server reports, and is rolled back with
    /// it.
    Write,
    /// As `Write`, and may commit the open transaction: COMMIT, BEGIN, and statements that define tables.
    CommitsTransaction,
    /// Selects a database.
    UseDatabase(String),
    /// May leave state in its session, or need existing state.
    SessionState,
}

/// Whether a statement asks for data that the previous statement has left on the connection.
fn depends_on_previous(lower: &str) -> bool {
    [
        "last_insert_id",
        "row_count",
        "found_rows",
        "show warnings",
        "show errors",
        "get diagnostics",
        "@@warning_count",
    ]
    .iter()
    .any(|name| lower.contains(name))
}

/// Classifies a statement. The flag tells whether the statement asks for data that the previous one has left on the
/// connection.
pub fn classify(text: &str) -> (StatementKind, bool) {
    if repeat::check_repeatable(text).is_ok() {
        return (StatementKind::Read, false);
    }
    if text.len() > repeat::MAX_STATEMENT_BYTES {
        // Long statements, mostly inserts of many rows, are not parsed, and pin the session.
        return (StatementKind::SessionState, false);
    }
    let lower = text.to_ascii_lowercase();
    let parser =
        Parser::new(&MySqlDialect {}).with_recursion_limit(repeat::MAX_PARSE_DEPTH).try_with_sql(text);
    let parsed = parser.and_then(|mut parser| parser.parse_statements());
    // The parser omits comments that servers execute.
    let has_executable_comment = lower.contains("/*!") || lower.contains("/*m!");
    let kind = match parsed.as_deref() {
        Ok([statement]) if repeat::reads_diagnostics(text, statement) => StatementKind::ReadsDiagnostics,
        Ok([statement]) if !has_executable_comment => classify_parsed(statement),
        _ => StatementKind::SessionState,
    };
    (kind, depends_on_previous(&lower))
}

fn classify_parsed(statement: &Statement) -> StatementKind {
    let kind = match statement {
        Statement::Query(_)
        | Statement::Insert(_)
        | Statement::Update(_)
        | Statement::Delete(_)
        | Statement::Explain { .. }
        | Statement::ShowVariables { .. }
        | Statement::ShowProcessList { .. }
        | Statement::Rollback { .. }
        | Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. } => StatementKind::Write,
        Statement::StartTransaction { .. }
        | Statement::Commit { .. }
        | Statement::Truncate(_)
        | Statement::AlterTable(_)
        | Statement::CreateIndex(_)
        | Statement::CreateView(_)
        | Statement::CreateDatabase { .. }
        | Statement::RenameTable(_) => StatementKind::CommitsTransaction,
        Statement::CreateTable(table) if !table.temporary => StatementKind::CommitsTransaction,
        Statement::Drop {
            object_type: ObjectType::Table | ObjectType::View | ObjectType::Index,
            temporary,
            ..
        } if !temporary => StatementKind::CommitsTransaction,
        Statement::Use(Use::Object(name)) => match &name.0[..] {
            [part] => part
                .as_ident()
                .map_or(StatementKind::SessionState, |ident| StatementKind::UseDatabase(ident.value.clone())),
            _ => StatementKind::SessionState,
        },
        _ => StatementKind::SessionState,
    };
    match statement.visit(&mut SessionStateVisitor) {
        ControlFlow::Break(()) => StatementKind::SessionState,
        ControlFlow::Continue(()) => kind,
    }
}

/// Finds parts that leave state in the session: assignments to variables, and calls of functions that are not known to
/// leave none, such as those that take named locks.
struct SessionStateVisitor;

impl Visitor for SessionStateVisitor {
    type Break = ();

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        let calculates_found_rows = select.select_modifiers.as_ref().is_some_and(|m| m.sql_calc_found_rows);
        if calculates_found_rows || select.into.is_some() {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    }

    fn pre_visit_ident(&mut self, ident: &Ident) -> ControlFlow<()> {
        // A user variable may be written by any statement, a system variable only by SET.
        let is_user_variable =
            ident.quote_style.is_none() && ident.value.starts_with('@') && !ident.value.starts_with("@@");
        if is_user_variable { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::BinaryOp { op: BinaryOperator::Assignment, .. } => ControlFlow::Break(()),
            Expr::Function(function) => {
                let [part] = &function.name.0[..] else { return ControlFlow::Break(()) };
                let name = part.as_ident().map(|ident| ident.value.to_ascii_lowercase()).unwrap_or_default();
                let is_known = repeat::is_pure_function(&name)
                    || matches!(name.as_str(), "sleep" | "last_insert_id" | "row_count" | "found_rows");
                // LAST_INSERT_ID with an argument stores its value.
                let stores_value = name == "last_insert_id" && function.args.to_string() != "()";
                if is_known && !stores_value { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
            }
            _ => ControlFlow::Continue(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn statements_are_classified_by_their_effect_on_the_session() {
        for (text, expected) in [
            ("SELECT id FROM t", StatementKind::Read),
            ("INSERT INTO t (a) VALUES (1)", StatementKind::Write),
            ("UPDATE t SET a = UPPER(b) WHERE c = 2", StatementKind::Write),
            ("DELETE FROM t WHERE a = 1", StatementKind::Write),
            ("SELECT * FROM t FOR UPDATE", StatementKind::Write),
            ("SELECT @@max_allowed_packet, @@wait_timeout", StatementKind::Write),
            ("SELECT SLEEP(1)", StatementKind::Write),
            ("SHOW WARNINGS", StatementKind::ReadsDiagnostics),
            ("show errors limit 5", StatementKind::ReadsDiagnostics),
            ("SELECT ROW_COUNT(), FOUND_ROWS()", StatementKind::ReadsDiagnostics),
            ("SELECT @@warning_count, @@error_count", StatementKind::ReadsDiagnostics),
            ("SELECT ROW_COUNT() FROM t FOR UPDATE", StatementKind::Write),
            ("SELECT ROW_COUNT(), LAST_INSERT_ID()", StatementKind::Write),
            ("SELECT ROW_COUNT(), SLEEP(1)", StatementKind::Write),
            ("SELECT ROW_COUNT(), GET_LOCK('a', 1)", StatementKind::SessionState),
            ("SHOW WARNINGS /*! INTO */", StatementKind::SessionState),
            ("SHOW WARNINGS; SET @a = 1", StatementKind::SessionState),
            ("SHOW PLUGINS", StatementKind::SessionState),
            ("CREATE TABLE t (a INT)", StatementKind::CommitsTransaction),
            ("DROP TABLE t", StatementKind::CommitsTransaction),
            ("BEGIN", StatementKind::CommitsTransaction),
            ("START TRANSACTION", StatementKind::CommitsTransaction),
            ("ROLLBACK", StatementKind::Write),
            ("COMMIT", StatementKind::CommitsTransaction),
            ("USE plans", StatementKind::UseDatabase("plans".into())),
            ("USE `my plans`", StatementKind::UseDatabase("my plans".into())),
            ("SET autocommit = 0", StatementKind::SessionState),
            ("SET NAMES utf8mb4", StatementKind::SessionState),
            ("SELECT @a := 1", StatementKind::SessionState),
            ("SELECT @a", StatementKind::SessionState),
            ("INSERT INTO t VALUES (@a)", StatementKind::SessionState),
            ("SELECT GET_LOCK('a', 1)", StatementKind::SessionState),
            ("SELECT LAST_INSERT_ID(7)", StatementKind::SessionState),
            ("UPDATE t SET a = LAST_INSERT_ID(a + 1)", StatementKind::SessionState),
            ("SELECT SQL_CALC_FOUND_ROWS a FROM t LIMIT 1", StatementKind::SessionState),
            ("SELECT a INTO @b FROM t", StatementKind::SessionState),
            ("CREATE TEMPORARY TABLE t (a INT)", StatementKind::SessionState),
            ("LOCK TABLES t WRITE", StatementKind::SessionState),
            ("PREPARE s FROM 'SELECT 1'", StatementKind::SessionState),
            ("CALL fill()", StatementKind::SessionState),
            ("INSERT INTO t VALUES (1); SET @a = 1", StatementKind::SessionState),
            ("INSERT INTO t VALUES (1) /*! , (@a := 2) */", StatementKind::SessionState),
            ("what is this", StatementKind::SessionState),
        ] {
            assert_eq!(classify(text).0, expected, "{text}");
        }
        for (text, expected) in [
            ("SELECT LAST_INSERT_ID()", true),
            ("SHOW WARNINGS", true),
            ("SELECT FOUND_ROWS()", true),
            ("INSERT INTO lines (o) VALUES (LAST_INSERT_ID())", true),
            ("SELECT id FROM t", false),
        ] {
            assert_eq!(classify(text).1, expected, "{text}");
        }
    }
}
