//! What a statement asks of the session that it runs in: whether it may go to any server, and what it leaves.
//!
//! Wrong the one way a session stays with a server for longer than it needs to, wrong the other it reads what
//! another one has left: what is not understood is taken to leave something.

use crate::repeat;
use sqlparser::ast::{BinaryOperator, Expr, Ident, ObjectType, Select, Statement, Use, Visit, Visitor};
use sqlparser::dialect::MySqlDialect;
use sqlparser::parser::Parser;
use std::ops::ControlFlow;

/// What a statement is to its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It only reads, and may be repeated.
    Read,
    /// It may write. It leaves nothing in its session but a transaction, if the server says so, and is undone with
    /// that.
    Write,
    /// The same, and what came before it in a transaction may be there for good once it has run: COMMIT, BEGIN,
    /// and all that defines tables.
    Commits,
    /// It chooses a database.
    Database(String),
    /// It may leave something in its session, or need what is there.
    State,
}

/// A statement that looks back on the one before, on the same connection.
fn looks_back(lower: &str) -> bool {
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

/// What a text is. `looks_back` is told apart, as it needs the connection of what ran before.
pub fn kind(text: &str) -> (Kind, bool) {
    if repeat::may_repeat(text).is_ok() {
        return (Kind::Read, false);
    }
    if text.len() > repeat::MOST_TEXT {
        // Long texts are rows to insert as a rule, and not looked into: the session stays where it is.
        return (Kind::State, false);
    }
    let lower = text.to_ascii_lowercase();
    let parser = Parser::new(&MySqlDialect {}).with_recursion_limit(repeat::DEPTH).try_with_sql(text);
    let parsed = parser.and_then(|mut parser| parser.parse_statements());
    // What servers run of a comment is not in what was parsed.
    let hidden = lower.contains("/*!") || lower.contains("/*m!");
    let kind = match parsed.as_deref() {
        Ok([statement]) if !hidden => of(statement),
        _ => Kind::State,
    };
    (kind, looks_back(&lower))
}

fn of(statement: &Statement) -> Kind {
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
        | Statement::ReleaseSavepoint { .. } => Kind::Write,
        Statement::StartTransaction { .. }
        | Statement::Commit { .. }
        | Statement::Truncate(_)
        | Statement::AlterTable(_)
        | Statement::CreateIndex(_)
        | Statement::CreateView(_)
        | Statement::CreateDatabase { .. }
        | Statement::RenameTable(_) => Kind::Commits,
        Statement::CreateTable(table) if !table.temporary => Kind::Commits,
        Statement::Drop {
            object_type: ObjectType::Table | ObjectType::View | ObjectType::Index,
            temporary,
            ..
        } if !temporary => Kind::Commits,
        Statement::Use(Use::Object(name)) => match &name.0[..] {
            [part] => part.as_ident().map_or(Kind::State, |ident| Kind::Database(ident.value.clone())),
            _ => Kind::State,
        },
        _ => Kind::State,
    };
    match statement.visit(&mut Leaves) {
        ControlFlow::Break(()) => Kind::State,
        ControlFlow::Continue(()) => kind,
    }
}

/// Looks for what leaves something in a session: variables that are written, and calls of what is not known to
/// leave nothing, such as locks by name.
struct Leaves;

impl Visitor for Leaves {
    type Break = ();

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        let counts = select.select_modifiers.as_ref().is_some_and(|m| m.sql_calc_found_rows);
        if counts || select.into.is_some() { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
    }

    fn pre_visit_ident(&mut self, ident: &Ident) -> ControlFlow<()> {
        // One of the user's may be written; one of the system is read here, and written by SET alone.
        let user =
            ident.quote_style.is_none() && ident.value.starts_with('@') && !ident.value.starts_with("@@");
        if user { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::BinaryOp { op: BinaryOperator::Assignment, .. } => ControlFlow::Break(()),
            Expr::Function(function) => {
                let [part] = &function.name.0[..] else { return ControlFlow::Break(()) };
                let name = part.as_ident().map(|ident| ident.value.to_ascii_lowercase()).unwrap_or_default();
                let known = repeat::is_pure(&name)
                    || matches!(name.as_str(), "sleep" | "last_insert_id" | "row_count" | "found_rows");
                // Given a value, LAST_INSERT_ID keeps it.
                let keeps = name == "last_insert_id" && function.args.to_string() != "()";
                if known && !keeps { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
            }
            _ => ControlFlow::Continue(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_leaves_nothing_may_go_anywhere_and_all_else_stays() {
        for (text, expected) in [
            ("SELECT id FROM t", Kind::Read),
            ("INSERT INTO t (a) VALUES (1)", Kind::Write),
            ("UPDATE t SET a = UPPER(b) WHERE c = 2", Kind::Write),
            ("DELETE FROM t WHERE a = 1", Kind::Write),
            ("SELECT * FROM t FOR UPDATE", Kind::Write),
            ("SELECT @@max_allowed_packet, @@wait_timeout", Kind::Write),
            ("SELECT SLEEP(1)", Kind::Write),
            ("CREATE TABLE t (a INT)", Kind::Commits),
            ("DROP TABLE t", Kind::Commits),
            ("BEGIN", Kind::Commits),
            ("START TRANSACTION", Kind::Commits),
            ("ROLLBACK", Kind::Write),
            ("COMMIT", Kind::Commits),
            ("USE plans", Kind::Database("plans".into())),
            ("USE `my plans`", Kind::Database("my plans".into())),
            ("SET autocommit = 0", Kind::State),
            ("SET NAMES utf8mb4", Kind::State),
            ("SELECT @a := 1", Kind::State),
            ("SELECT @a", Kind::State),
            ("INSERT INTO t VALUES (@a)", Kind::State),
            ("SELECT GET_LOCK('a', 1)", Kind::State),
            ("SELECT LAST_INSERT_ID(7)", Kind::State),
            ("UPDATE t SET a = LAST_INSERT_ID(a + 1)", Kind::State),
            ("SELECT SQL_CALC_FOUND_ROWS a FROM t LIMIT 1", Kind::State),
            ("SELECT a INTO @b FROM t", Kind::State),
            ("CREATE TEMPORARY TABLE t (a INT)", Kind::State),
            ("LOCK TABLES t WRITE", Kind::State),
            ("PREPARE s FROM 'SELECT 1'", Kind::State),
            ("CALL fill()", Kind::State),
            ("INSERT INTO t VALUES (1); SET @a = 1", Kind::State),
            ("INSERT INTO t VALUES (1) /*! , (@a := 2) */", Kind::State),
            ("what is this", Kind::State),
        ] {
            assert_eq!(kind(text).0, expected, "{text}");
        }
        for (text, back) in [
            ("SELECT LAST_INSERT_ID()", true),
            ("SHOW WARNINGS", true),
            ("SELECT FOUND_ROWS()", true),
            ("INSERT INTO lines (o) VALUES (LAST_INSERT_ID())", true),
            ("SELECT id FROM t", false),
        ] {
            assert_eq!(kind(text).1, back, "{text}");
        }
    }
}
