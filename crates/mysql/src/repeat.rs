//! Which statements may be repeated: those that are proved to read only, and nothing else.
//!
//! A statement is taken for safe where its text parses as one SELECT, SHOW or EXPLAIN all of whose parts are
//! known to have no effect and not to depend on the session that they run in. All else is unsafe, what does
//! not parse included: to be wrong that way costs a repeat, the other way a write that runs twice. What the
//! text can't show is not seen: a view, or a trigger behind a table, that calls a function with an effect.

use sqlparser::ast::{
    BinaryOperator, Expr, Function, Ident, ObjectName, Query, Select, SetExpr, Statement, TableFactor, Visit,
    Visitor,
};
use sqlparser::dialect::MySqlDialect;
use sqlparser::parser::Parser;
use std::ops::ControlFlow;

/// A text longer than this, in bytes, is not looked into.
pub const MOST_TEXT: usize = 64 << 10;
/// Nesting that is followed; what is nested deeper does not parse.
pub(crate) const DEPTH: usize = 50;

/// Why a statement may not be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Unsafe {
    /// It is too long to be looked into.
    #[error("it is longer than is looked into")]
    Long,
    /// A comment that servers run as code, or one that asks for no repeats.
    #[error("a comment of it may be code, or asks for no repeats")]
    Comment,
    /// A backslash: whether it escapes what follows depends on the session (NO_BACKSLASH_ESCAPES), and with it
    /// where a string ends.
    #[error("a backslash of it may end a string or not")]
    Backslash,
    /// It is no single statement that is understood.
    #[error("it is not understood")]
    Unknown,
    /// It is no SELECT, SHOW or EXPLAIN of a kind that is known to read only.
    #[error("it is of a kind that may write")]
    Kind,
    /// It locks what it reads.
    #[error("it locks what it reads")]
    Locks,
    /// It writes its result somewhere.
    #[error("its result goes elsewhere")]
    Into,
    /// It leaves something for the next statement.
    #[error("it leaves something for the next statement")]
    Leaves,
    /// It reads or writes variables of the session.
    #[error("it uses variables of the session")]
    Variable,
    /// It calls something that is not known to have no effect.
    #[error("it calls what is not known to be without effect")]
    Call,
}

/// Functions without effect, and without regard to the session. Those that only tell the time or draw
/// lots are among them: another answer is as good.
const PURE: &[&str] = &[
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

/// Whether a text may be sent again after it may have run, outside of any transaction: `Ok` where it may. The
/// text must be one that servers read as UTF-8 too; in charsets whose characters may end in a byte of
/// ASCII (GBK, Shift JIS) a string may end elsewhere.
pub fn may_repeat(text: &str) -> Result<(), Unsafe> {
    if text.len() > MOST_TEXT {
        return Err(Unsafe::Long);
    }
    // What servers run of a comment depends on their version; what asks for no repeats is heeded wherever it
    // stands, in a string too: it can only make a statement stricter.
    let lower = text.to_ascii_lowercase();
    if lower.contains("/*!") || lower.contains("/*m!") || lower.contains("dewpier: unsafe") {
        return Err(Unsafe::Comment);
    }
    if text.contains('\\') {
        return Err(Unsafe::Backslash);
    }
    let dialect = MySqlDialect {};
    let parser = Parser::new(&dialect).with_recursion_limit(DEPTH).try_with_sql(text);
    let parsed = parser.and_then(|mut parser| parser.parse_statements()).map_err(|_| Unsafe::Unknown)?;
    let [statement] = &parsed[..] else { return Err(Unsafe::Unknown) };
    match statement.visit(&mut Look) {
        ControlFlow::Continue(()) => Ok(()),
        ControlFlow::Break(why) => Err(why),
    }
}

/// A function, by its name in small letters, without effect and without regard to the session.
pub(crate) fn is_pure(name: &str) -> bool {
    PURE.binary_search(&name).is_ok()
}

struct Look;

fn no(why: Unsafe) -> ControlFlow<Unsafe> {
    ControlFlow::Break(why)
}

/// A query all of whose parts are reads.
fn reads(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(_) | SetExpr::Query(_) | SetExpr::Values(_) => true,
        SetExpr::SetOperation { left, right, .. } => reads(left) && reads(right),
        _ => false,
    }
}

impl Visitor for Look {
    type Break = Unsafe;

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<Unsafe> {
        match statement {
            // Explained with ANALYZE it runs; and without, parts of it may: what it explains is looked at too.
            Statement::Query(_) | Statement::Explain { .. } | Statement::ExplainTable { .. } => {}
            Statement::ShowStatus { .. }
            | Statement::ShowCreate { .. }
            | Statement::ShowColumns { .. }
            | Statement::ShowDatabases { .. }
            | Statement::ShowTables { .. }
            | Statement::ShowCollation { .. } => {}
            _ => return no(Unsafe::Kind),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<Unsafe> {
        let odd = query.for_clause.is_some() || query.settings.is_some() || query.format_clause.is_some();
        if !query.locks.is_empty() {
            return no(Unsafe::Locks);
        }
        if odd || !query.pipe_operators.is_empty() || !reads(&query.body) {
            return no(Unsafe::Kind);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<Unsafe> {
        // For FOUND_ROWS(), which the next statement may ask.
        if select.select_modifiers.as_ref().is_some_and(|modifiers| modifiers.sql_calc_found_rows) {
            return no(Unsafe::Leaves);
        }
        if select.into.is_some() { no(Unsafe::Into) } else { ControlFlow::Continue(()) }
    }

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<Unsafe> {
        match table {
            TableFactor::Table { args: None, .. }
            | TableFactor::Derived { .. }
            | TableFactor::NestedJoin { .. } => ControlFlow::Continue(()),
            _ => no(Unsafe::Call),
        }
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<Unsafe> {
        let session = |ident: &Ident| ident.quote_style.is_none() && ident.value.starts_with('@');
        let names = relation.0.iter().filter_map(|part| part.as_ident());
        if names.into_iter().any(session) { no(Unsafe::Variable) } else { ControlFlow::Continue(()) }
    }

    fn pre_visit_ident(&mut self, ident: &Ident) -> ControlFlow<Unsafe> {
        // `@a`, and `@@a` as well: what a session has set is not what the next one has.
        let session = ident.quote_style.is_none() && ident.value.starts_with('@');
        if session { no(Unsafe::Variable) } else { ControlFlow::Continue(()) }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<Unsafe> {
        match expr {
            Expr::BinaryOp { op: BinaryOperator::Assignment, .. } => no(Unsafe::Variable),
            Expr::Function(Function { name, .. }) => {
                // One of a schema is a stored one, whatever its name.
                let [part] = &name.0[..] else { return no(Unsafe::Call) };
                let known = part.as_ident().filter(|ident| ident.quote_style.is_none());
                let known = known.map(|ident| ident.value.to_ascii_lowercase());
                match known {
                    Some(name) if is_pure(&name) => ControlFlow::Continue(()),
                    _ => no(Unsafe::Call),
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
    fn the_functions_are_sorted_so_that_each_is_found() {
        assert!(PURE.windows(2).all(|pair| pair[0] < pair[1]), "{PURE:?}");
    }

    #[test]
    fn what_only_reads_may_be_repeated() {
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
            assert_eq!(may_repeat(text), Ok(()), "{text}");
        }
    }

    #[test]
    fn all_else_may_not_and_says_why() {
        for (text, why) in [
            ("INSERT INTO t VALUES (1)", Unsafe::Kind),
            ("UPDATE t SET a = 1", Unsafe::Kind),
            ("DELETE FROM t", Unsafe::Kind),
            ("REPLACE INTO t VALUES (1)", Unsafe::Kind),
            ("TRUNCATE TABLE t", Unsafe::Kind),
            ("CALL place_order(7)", Unsafe::Kind),
            ("BEGIN", Unsafe::Kind),
            ("COMMIT", Unsafe::Kind),
            ("SET autocommit = 0", Unsafe::Kind),
            ("USE other", Unsafe::Kind),
            ("SHOW WARNINGS", Unsafe::Kind),
            ("SHOW VARIABLES", Unsafe::Kind),
            ("EXPLAIN ANALYZE DELETE FROM t", Unsafe::Kind),
            ("EXPLAIN UPDATE t SET a = 1", Unsafe::Kind),
            ("SELECT * FROM t FOR UPDATE", Unsafe::Locks),
            ("SELECT * FROM t FOR SHARE SKIP LOCKED", Unsafe::Locks),
            ("SELECT * FROM (SELECT * FROM t FOR UPDATE) s", Unsafe::Locks),
            ("SELECT a FROM t WHERE b = (SELECT 1 FROM u FOR UPDATE)", Unsafe::Locks),
            ("SELECT SQL_CALC_FOUND_ROWS a FROM t LIMIT 1", Unsafe::Leaves),
            ("SELECT @a := 1", Unsafe::Variable),
            ("SELECT @a", Unsafe::Variable),
            ("SELECT a FROM t WHERE b = @@session.sql_mode", Unsafe::Variable),
            ("SELECT SLEEP(1)", Unsafe::Call),
            ("SELECT GET_LOCK('a', 1)", Unsafe::Call),
            ("SELECT RELEASE_LOCK('a')", Unsafe::Call),
            ("SELECT NEXTVAL(s)", Unsafe::Call),
            ("SELECT LAST_INSERT_ID(7)", Unsafe::Call),
            ("SELECT LAST_INSERT_ID()", Unsafe::Call),
            ("SELECT FOUND_ROWS()", Unsafe::Call),
            ("SELECT charge(7)", Unsafe::Call),
            ("SELECT shop.upper('a')", Unsafe::Call),
            ("SELECT `upper`('a')", Unsafe::Call),
            ("SELECT 1 FROM t ORDER BY charge(a)", Unsafe::Call),
            ("SELECT 1 FROM t LIMIT 1 OFFSET 2 UNION SELECT SLEEP(2)", Unsafe::Unknown),
            ("WITH t AS (SELECT charge(1)) SELECT * FROM t", Unsafe::Call),
            ("SELECT 1; DELETE FROM t", Unsafe::Unknown),
            ("SELECT 1; SELECT 2", Unsafe::Unknown),
            ("", Unsafe::Unknown),
            ("SELEC 1", Unsafe::Unknown),
            ("SELECT 1 /*! FOR UPDATE */", Unsafe::Comment),
            ("SELECT 1 /*M! FOR UPDATE */", Unsafe::Comment),
            ("SELECT /* dewpier: unsafe */ 1", Unsafe::Comment),
            (r"SELECT 'a\', charge(1), ' '", Unsafe::Backslash),
        ] {
            assert_eq!(may_repeat(text), Err(why), "{text}");
        }
        // Whatever way a server of some version reads these, none is safe.
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
            // No comment without a space behind it: two signs, and a call.
            "SELECT 1--charge(1)",
            "SELECT \"upper\"(1)",
            "SELECT UPPER (charge (1))",
            "SELECT {fn charge(1)}",
        ] {
            assert!(may_repeat(text).is_err(), "{text}");
        }
        assert_eq!(may_repeat(&format!("SELECT '{}'", "x".repeat(MOST_TEXT))), Err(Unsafe::Long));
        let deep = format!("SELECT {}1{}", "(".repeat(5000), ")".repeat(5000));
        assert_eq!(may_repeat(&deep), Err(Unsafe::Unknown));
    }
}
