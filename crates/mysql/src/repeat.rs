//! Decides which statements may be repeated: only those that are proved to read and nothing else.
//!
//! A statement is repeatable if it parses as a single SELECT, SHOW or EXPLAIN, and all its parts are known to have no
//! effect and not to depend on the session. All other statements are not, including those that do not parse: that error
//! costs a retry, the opposite one runs a write twice. Effects that the text does not show are not detected: a view, or a
//! trigger on a table, that calls a function with an effect.

use sqlparser::ast::{
    BinaryOperator, Expr, Function, Ident, ObjectName, Query, Select, SetExpr, Statement, TableFactor, Visit,
    Visitor,
};
use sqlparser::dialect::MySqlDialect;
use sqlparser::parser::Parser;
use std::ops::ControlFlow;

/// Longest statement that is parsed.
pub const MAX_STATEMENT_BYTES: usize = 64 << 10;
/// Deepest nesting that is parsed; a statement that is nested deeper does not parse.
pub(crate) const MAX_PARSE_DEPTH: usize = 50;

/// Why a statement must not be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum NotRepeatable {
    /// The statement is too long to be parsed.
    #[error("the statement is too long to be parsed")]
    TooLong,
    /// A comment may be executed by servers, or forbids repeats.
    #[error("a comment may be executable, or forbids repeats")]
    ExecutableComment,
    /// A backslash: whether it is an escape, and thus where a string ends, depends on the session
    /// (NO_BACKSLASH_ESCAPES).
    #[error("the end of a string depends on whether a backslash is an escape")]
    Backslash,
    /// The text does not parse as a single statement.
    #[error("the text does not parse as a single statement")]
    NotParsed,
    /// The statement is not a SELECT, SHOW or EXPLAIN that is known to read only.
    #[error("the statement may write")]
    MayWrite,
    /// The statement locks the rows that it reads.
    #[error("the statement locks the rows that it reads")]
    TakesLocks,
    /// The statement stores its result.
    #[error("the statement stores its result")]
    StoresResult,
    /// The statement leaves data for the next statement.
    #[error("the statement leaves data for the next statement")]
    LeavesState,
    /// The statement uses variables of the session.
    #[error("the statement uses variables of the session")]
    UsesVariable,
    /// The statement calls a function that is not known to have no effect.
    #[error("the statement calls a function that is not known to have no effect")]
    UnknownFunction,
}

/// Functions that have no effect and do not depend on the session, sorted. They include those whose result is the time or
/// random, as any result of them is valid.
const PURE_FUNCTIONS: &[&str] = &[
    "abs",
    "acos",
    "adddate",
    "addtime",
    "any_value",
    "ascii",
    "asin",
    "atan",
    "atan2",
    "avg",
    "bin",
    "bit_and",
    "bit_count",
    "bit_length",
    "bit_or",
    "bit_xor",
    "ceil",
    "ceiling",
    "char",
    "char_length",
    "character_length",
    "coalesce",
    "concat",
    "concat_ws",
    "conv",
    "convert_tz",
    "cos",
    "cot",
    "count",
    "crc32",
    "cume_dist",
    "curdate",
    "current_date",
    "current_time",
    "current_timestamp",
    "curtime",
    "date",
    "date_add",
    "date_format",
    "date_sub",
    "datediff",
    "day",
    "dayname",
    "dayofmonth",
    "dayofweek",
    "dayofyear",
    "degrees",
    "dense_rank",
    "elt",
    "exp",
    "field",
    "find_in_set",
    "first_value",
    "floor",
    "format",
    "from_days",
    "from_unixtime",
    "greatest",
    "group_concat",
    "hex",
    "hour",
    "if",
    "ifnull",
    "inet_aton",
    "inet_ntoa",
    "instr",
    "isnull",
    "json_array",
    "json_arrayagg",
    "json_contains",
    "json_extract",
    "json_keys",
    "json_length",
    "json_object",
    "json_objectagg",
    "json_type",
    "json_unquote",
    "json_valid",
    "lag",
    "last_day",
    "last_value",
    "lcase",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "localtime",
    "localtimestamp",
    "locate",
    "log",
    "log10",
    "log2",
    "lower",
    "lpad",
    "ltrim",
    "makedate",
    "maketime",
    "max",
    "md5",
    "microsecond",
    "mid",
    "min",
    "minute",
    "mod",
    "month",
    "monthname",
    "now",
    "nth_value",
    "ntile",
    "nullif",
    "octet_length",
    "ord",
    "percent_rank",
    "period_add",
    "period_diff",
    "pi",
    "position",
    "pow",
    "power",
    "quarter",
    "quote",
    "radians",
    "rand",
    "rank",
    "regexp_instr",
    "regexp_like",
    "regexp_replace",
    "regexp_substr",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "rpad",
    "rtrim",
    "sec_to_time",
    "second",
    "sha",
    "sha1",
    "sha2",
    "sign",
    "sin",
    "soundex",
    "space",
    "sqrt",
    "std",
    "stddev",
    "stddev_pop",
    "stddev_samp",
    "str_to_date",
    "strcmp",
    "subdate",
    "substr",
    "substring",
    "substring_index",
    "subtime",
    "sum",
    "sysdate",
    "tan",
    "time",
    "time_format",
    "time_to_sec",
    "timediff",
    "timestamp",
    "timestampadd",
    "timestampdiff",
    "to_base64",
    "to_days",
    "to_seconds",
    "trim",
    "truncate",
    "ucase",
    "unhex",
    "unix_timestamp",
    "upper",
    "utc_date",
    "utc_time",
    "utc_timestamp",
    "uuid",
    "var_pop",
    "var_samp",
    "variance",
    "version",
    "week",
    "weekday",
    "weekofyear",
    "year",
    "yearweek",
];

/// Checks that a statement may be sent again after it may have run, outside of a transaction. The statement must be UTF-8
/// for the server as well: in character sets whose characters may end in an ASCII byte (GBK, Shift JIS) a string may end
/// elsewhere.
pub fn check_repeatable(text: &str) -> Result<(), NotRepeatable> {
    check_text(text)?;
    let dialect = MySqlDialect {};
    let parser = Parser::new(&dialect).with_recursion_limit(MAX_PARSE_DEPTH).try_with_sql(text);
    let parsed =
        parser.and_then(|mut parser| parser.parse_statements()).map_err(|_| NotRepeatable::NotParsed)?;
    let [statement] = &parsed[..] else { return Err(NotRepeatable::NotParsed) };
    match statement.visit(&mut RepeatabilityVisitor { allows_diagnostics: false }) {
        ControlFlow::Continue(()) => Ok(()),
        ControlFlow::Break(reason) => Err(reason),
    }
}

/// Whether a statement only reads, and may ask for the diagnostics of the previous statement on its connection: its
/// warnings, errors and numbers of rows. `text` is the text that `statement` was parsed from.
pub(crate) fn reads_diagnostics(text: &str, statement: &Statement) -> bool {
    let is_read = match statement {
        Statement::ShowVariable { variable } => {
            let name = variable.first().map(|ident| ident.value.to_ascii_lowercase());
            matches!(name.as_deref(), Some("warnings" | "errors"))
        }
        _ => statement.visit(&mut RepeatabilityVisitor { allows_diagnostics: true }).is_continue(),
    };
    is_read && check_text(text).is_ok()
}

/// Checks what the parser does not: the length of a text, and parts of it that servers may read differently.
fn check_text(text: &str) -> Result<(), NotRepeatable> {
    if text.len() > MAX_STATEMENT_BYTES {
        return Err(NotRepeatable::TooLong);
    }
    // Which comments are executed depends on the server's version. A comment that forbids repeats counts even within a
    // string, which is only stricter.
    let lower = text.to_ascii_lowercase();
    if lower.contains("/*!") || lower.contains("/*m!") || lower.contains("dewpier: unsafe") {
        return Err(NotRepeatable::ExecutableComment);
    }
    if text.contains('\\') {
        return Err(NotRepeatable::Backslash);
    }
    Ok(())
}

/// Whether a function, given by its lower-case name, has no effect and does not depend on the session.
pub(crate) fn is_pure_function(name: &str) -> bool {
    PURE_FUNCTIONS.binary_search(&name).is_ok()
}

/// Rejects a statement at the first part that is not known to be repeatable.
struct RepeatabilityVisitor {
    /// Accepts parts that ask for the diagnostics of the previous statement.
    allows_diagnostics: bool,
}

/// Whether a function, given by its lower-case name, or a variable has diagnostics of the previous statement.
fn has_diagnostics(name: &str) -> bool {
    matches!(name, "row_count" | "found_rows" | "@@warning_count" | "@@error_count")
}

fn reject(reason: NotRepeatable) -> ControlFlow<NotRepeatable> {
    ControlFlow::Break(reason)
}

/// Whether all parts of a query only read.
fn is_read_only(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(_) | SetExpr::Query(_) | SetExpr::Values(_) => true,
        SetExpr::SetOperation { left, right, .. } => is_read_only(left) && is_read_only(right),
        _ => false,
    }
}

impl Visitor for RepeatabilityVisitor {
    type Break = NotRepeatable;

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<NotRepeatable> {
        match statement {
            // EXPLAIN ANALYZE runs the statement, and plain EXPLAIN may run parts of it, so the explained statement is checked
            // as well.
            Statement::Query(_) | Statement::Explain { .. } | Statement::ExplainTable { .. } => {}
            Statement::ShowStatus { .. }
            | Statement::ShowCreate { .. }
            | Statement::ShowColumns { .. }
            | Statement::ShowDatabases { .. }
            | Statement::ShowTables { .. }
            | Statement::ShowCollation { .. } => {}
            _ => return reject(NotRepeatable::MayWrite),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<NotRepeatable> {
        let has_other_clause =
            query.for_clause.is_some() || query.settings.is_some() || query.format_clause.is_some();
        if !query.locks.is_empty() {
            return reject(NotRepeatable::TakesLocks);
        }
        if has_other_clause || !query.pipe_operators.is_empty() || !is_read_only(&query.body) {
            return reject(NotRepeatable::MayWrite);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<NotRepeatable> {
        // The next statement may ask for FOUND_ROWS().
        if select.select_modifiers.as_ref().is_some_and(|modifiers| modifiers.sql_calc_found_rows) {
            return reject(NotRepeatable::LeavesState);
        }
        if select.into.is_some() { reject(NotRepeatable::StoresResult) } else { ControlFlow::Continue(()) }
    }

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<NotRepeatable> {
        match table {
            TableFactor::Table { args: None, .. }
            | TableFactor::Derived { .. }
            | TableFactor::NestedJoin { .. } => ControlFlow::Continue(()),
            _ => reject(NotRepeatable::UnknownFunction),
        }
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<NotRepeatable> {
        let is_variable = |ident: &Ident| ident.quote_style.is_none() && ident.value.starts_with('@');
        let names = relation.0.iter().filter_map(|part| part.as_ident());
        if names.into_iter().any(is_variable) {
            reject(NotRepeatable::UsesVariable)
        } else {
            ControlFlow::Continue(())
        }
    }

    fn pre_visit_ident(&mut self, ident: &Ident) -> ControlFlow<NotRepeatable> {
        // User variables and system variables may differ between sessions.
        let is_variable = ident.quote_style.is_none() && ident.value.starts_with('@');
        let is_allowed = self.allows_diagnostics && has_diagnostics(&ident.value.to_ascii_lowercase());
        if is_variable && !is_allowed {
            reject(NotRepeatable::UsesVariable)
        } else {
            ControlFlow::Continue(())
        }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<NotRepeatable> {
        match expr {
            Expr::BinaryOp { op: BinaryOperator::Assignment, .. } => reject(NotRepeatable::UsesVariable),
            Expr::Function(Function { name, args, .. }) => {
                // A function with a schema is a stored function.
                let [part] = &name.0[..] else { return reject(NotRepeatable::UnknownFunction) };
                let name = part.as_ident().filter(|ident| ident.quote_style.is_none());
                let name = name.map(|ident| ident.value.to_ascii_lowercase());
                match name {
                    Some(name) if is_pure_function(&name) => ControlFlow::Continue(()),
                    Some(name)
                        if self.allows_diagnostics && has_diagnostics(&name) && args.to_string() == "()" =>
                    {
                        ControlFlow::Continue(())
                    }
                    _ => reject(NotRepeatable::UnknownFunction),
                }
            }
            _ => ControlFlow::Continue(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pure_functions_are_sorted_for_binary_search() {
        assert!(PURE_FUNCTIONS.windows(2).all(|pair| pair[0] < pair[1]), "{PURE_FUNCTIONS:?}");
    }

    #[test]
    fn read_only_statements_are_repeatable() {
        for text in [
            "SELECT 1",
            "select id, name from orders where id = 7;",
            "SELECT o.id, COUNT(*) FROM orders o JOIN lines l ON l.o = o.id GROUP BY o.id HAVING COUNT(*) > 2 ORDER BY 1 LIMIT 3",
            "SELECT * FROM a WHERE x IN (SELECT y FROM b WHERE z LIKE 'FOR UPDATE%')",
            "SELECT 1 UNION ALL (SELECT 2)",
            "WITH t AS (SELECT id FROM a) SELECT MAX(id) FROM t",
            "SELECT ROW_NUMBER() OVER (PARTITION BY a ORDER BY b) FROM t",
            "SELECT /* a note */ `sleep` FROM t -- SLEEP(1)",
            "SELECT '@a', \"GET_LOCK('a', 1)\" FROM t",
            "SELECT CASE WHEN a > 1 THEN UPPER(b) ELSE IFNULL(c, 'none') END, CAST(d AS CHAR) FROM t",
            "SHOW TABLES",
            "SHOW COLUMNS FROM t",
            "SHOW CREATE TABLE t",
            "EXPLAIN SELECT * FROM t",
            "DESCRIBE t",
            "SELECT ? + id FROM t WHERE a = ?",
        ] {
            assert_eq!(check_repeatable(text), Ok(()), "{text}");
        }
    }

    #[test]
    fn other_statements_are_rejected_with_reason() {
        for (text, reason) in [
            ("INSERT INTO t VALUES (1)", NotRepeatable::MayWrite),
            ("UPDATE t SET a = 1", NotRepeatable::MayWrite),
            ("DELETE FROM t", NotRepeatable::MayWrite),
            ("REPLACE INTO t VALUES (1)", NotRepeatable::MayWrite),
            ("TRUNCATE TABLE t", NotRepeatable::MayWrite),
            ("CALL place_order(7)", NotRepeatable::MayWrite),
            ("BEGIN", NotRepeatable::MayWrite),
            ("COMMIT", NotRepeatable::MayWrite),
            ("SET autocommit = 0", NotRepeatable::MayWrite),
            ("USE other", NotRepeatable::MayWrite),
            ("SHOW WARNINGS", NotRepeatable::MayWrite),
            ("SHOW VARIABLES", NotRepeatable::MayWrite),
            ("EXPLAIN ANALYZE DELETE FROM t", NotRepeatable::MayWrite),
            ("EXPLAIN UPDATE t SET a = 1", NotRepeatable::MayWrite),
            ("SELECT * FROM t FOR UPDATE", NotRepeatable::TakesLocks),
            ("SELECT * FROM t FOR SHARE SKIP LOCKED", NotRepeatable::TakesLocks),
            ("SELECT * FROM (SELECT * FROM t FOR UPDATE) s", NotRepeatable::TakesLocks),
            ("SELECT a FROM t WHERE b = (SELECT 1 FROM u FOR UPDATE)", NotRepeatable::TakesLocks),
            ("SELECT SQL_CALC_FOUND_ROWS a FROM t LIMIT 1", NotRepeatable::LeavesState),
            ("SELECT @a := 1", NotRepeatable::UsesVariable),
            ("SELECT @a", NotRepeatable::UsesVariable),
            ("SELECT a FROM t WHERE b = @@session.sql_mode", NotRepeatable::UsesVariable),
            ("SELECT SLEEP(1)", NotRepeatable::UnknownFunction),
            ("SELECT GET_LOCK('a', 1)", NotRepeatable::UnknownFunction),
            ("SELECT RELEASE_LOCK('a')", NotRepeatable::UnknownFunction),
            ("SELECT NEXTVAL(s)", NotRepeatable::UnknownFunction),
            ("SELECT LAST_INSERT_ID(7)", NotRepeatable::UnknownFunction),
            ("SELECT LAST_INSERT_ID()", NotRepeatable::UnknownFunction),
            ("SELECT FOUND_ROWS()", NotRepeatable::UnknownFunction),
            ("SELECT charge(7)", NotRepeatable::UnknownFunction),
            ("SELECT shop.upper('a')", NotRepeatable::UnknownFunction),
            ("SELECT `upper`('a')", NotRepeatable::UnknownFunction),
            ("SELECT 1 FROM t ORDER BY charge(a)", NotRepeatable::UnknownFunction),
            ("SELECT 1 FROM t LIMIT 1 OFFSET 2 UNION SELECT SLEEP(2)", NotRepeatable::NotParsed),
            ("WITH t AS (SELECT charge(1)) SELECT * FROM t", NotRepeatable::UnknownFunction),
            ("SELECT 1; DELETE FROM t", NotRepeatable::NotParsed),
            ("SELECT 1; SELECT 2", NotRepeatable::NotParsed),
            ("", NotRepeatable::NotParsed),
            ("SELEC 1", NotRepeatable::NotParsed),
            ("SELECT 1 /*! FOR UPDATE */", NotRepeatable::ExecutableComment),
            ("SELECT 1 /*M! FOR UPDATE */", NotRepeatable::ExecutableComment),
            ("SELECT /* dewpier: unsafe */ 1", NotRepeatable::ExecutableComment),
            (r"SELECT 'a\', charge(1), ' '", NotRepeatable::Backslash),
        ] {
            assert_eq!(check_repeatable(text), Err(reason), "{text}");
        }
        // These are rejected for any reason, as servers of different versions parse them differently.
        for text in [
            "SELECT * FROM t LOCK IN SHARE MODE",
            "SELECT a INTO @b FROM t",
            "SELECT a FROM t INTO OUTFILE '/tmp/a'",
            "SELECT a FROM t INTO DUMPFILE '/tmp/a'",
            "SELECT NEXT VALUE FOR s",
            "SELECT * FROM t PROCEDURE ANALYSE()",
            "DO SLEEP(1)",
            "HANDLER t OPEN",
            "LOAD DATA INFILE 'a' INTO TABLE t",
            "WITH t AS (SELECT 1) DELETE FROM u",
            "SELECT 1\u{0}",
            // Without a space behind it, `--` is two minus signs and not a comment.
            "SELECT 1--charge(1)",
            "SELECT \"upper\"(1)",
            "SELECT UPPER (charge (1))",
            "SELECT {fn charge(1)}",
        ] {
            assert!(check_repeatable(text).is_err(), "{text}");
        }
        assert_eq!(
            check_repeatable(&format!("SELECT '{}'", "x".repeat(MAX_STATEMENT_BYTES))),
            Err(NotRepeatable::TooLong)
        );
        let deeply_nested = format!("SELECT {}1{}", "(".repeat(5000), ")".repeat(5000));
        assert_eq!(check_repeatable(&deeply_nested), Err(NotRepeatable::NotParsed));
    }
}
