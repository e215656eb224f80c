//! Limits on the size and place of the decision module, which reviews rely on.

#[test]
fn decision_module_stays_within_size_limits() {
    let text = include_str!("../src/logic.rs");
    let line_count = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(line_count <= 1200, "{line_count} lines");
    let longest = text.lines().map(|l| l.chars().count()).max().unwrap_or(0);
    assert!(longest <= 110, "a line of {longest} characters");
    assert!(text.lines().take(3).any(|l| l.contains("interface.rs")));
    let deploy = include_str!("../deploy/balancer.toml");
    assert!(deploy.contains("policy = [\"src/logic.rs\"]"));
}
