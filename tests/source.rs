//! The rules for the decision modules, which reviews rely on: clearly named files of a bounded size, without I/O, clock or
//! sockets.

use std::collections::BTreeSet;
use std::path::Path;

/// Largest number of lines of one decision module, blank ones not counted.
const MAX_LINES: usize = 700;
/// Largest number of characters of a line.
const MAX_LINE_LENGTH: usize = 110;
/// Names of the parts of the standard library and of other crates that read a clock or do I/O.
const FORBIDDEN_NAMES: [&str; 21] = [
    "std::io",
    "std::net",
    "std::fs",
    "std::os",
    "std::env",
    "std::path",
    "std::time",
    "std::thread",
    "std::process",
    "std::sync",
    "tokio",
    "tracing",
    "Instant",
    "SystemTime",
    "Duration",
    "print!",
    "println!",
    "eprint!",
    "eprintln!",
    "dbg!",
    "unsafe",
];
/// The crates that a decision module may use.
const ALLOWED_IMPORTS: [&str; 6] =
    ["super", "crate::interface", "rand", "slotmap", "std::collections", "Outcome"];

/// The decision modules: their paths and texts.
fn decision_modules() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = std::fs::read_dir(root.join("src/logic")).unwrap();
    let mut paths: Vec<String> = folder
        .map(|entry| format!("src/logic/{}", entry.unwrap().file_name().into_string().unwrap()))
        .collect();
    paths.push("src/logic.rs".to_string());
    paths.sort();
    paths.into_iter().map(|path| (path.clone(), std::fs::read_to_string(root.join(path)).unwrap())).collect()
}

/// Returns the modules that a decision module declares.
fn declared_modules(text: &str) -> BTreeSet<&str> {
    text.lines().filter_map(|line| line.strip_prefix("mod ")?.strip_suffix(';')).collect()
}

#[test]
fn decision_modules_stay_within_size_limits() {
    for (path, text) in decision_modules() {
        let line_count = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(line_count <= MAX_LINES, "{path}: {line_count} lines");
        let longest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(longest <= MAX_LINE_LENGTH, "{path}: a line of {longest} characters");
    }
}

#[test]
fn decision_modules_have_no_io_clock_or_sockets() {
    for (path, text) in decision_modules() {
        let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
        for line in code {
            let forbidden = FORBIDDEN_NAMES.iter().find(|name| line.contains(**name));
            assert_eq!(forbidden, None, "{path}: {line}");
            let Some(import) = line.trim_start().strip_prefix("use ") else { continue };
            let is_sibling =
                text.contains(&format!("mod {};", import.split("::").next().unwrap_or_default()));
            let is_allowed = is_sibling || ALLOWED_IMPORTS.iter().any(|allowed| import.starts_with(allowed));
            assert!(is_allowed, "{path}: {line}");
        }
    }
}

#[test]
fn decision_modules_are_described_and_named_in_the_deploy_file() {
    let deploy = include_str!("../deploy/balancer.toml");
    let policy = deploy.lines().find(|line| line.starts_with("policy = ")).unwrap();
    let named: BTreeSet<&str> = policy.split('"').skip(1).step_by(2).collect();
    let modules = decision_modules();
    assert_eq!(named, modules.iter().map(|(path, _)| path.as_str()).collect());
    for (path, text) in &modules {
        assert!(text.starts_with("//! "), "{path} has no description");
        let is_root = path == "src/logic.rs";
        assert!(is_root || declared_modules(text).is_empty(), "{path} has modules of its own");
    }
    let (_, root) = modules.iter().find(|(path, _)| path == "src/logic.rs").unwrap();
    assert!(root.lines().take(3).any(|line| line.contains("interface.rs")));
    let files: BTreeSet<String> =
        declared_modules(root).into_iter().map(|name| format!("src/logic/{name}.rs")).collect();
    assert!(modules.iter().all(|(path, _)| path == "src/logic.rs" || files.contains(path)), "{files:?}");
}
