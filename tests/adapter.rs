//! Runs the simulator host on transcripts, and checks its replies and its errors on invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const HELLO: &str = "HELLO 7 caps.cancel=true caps.max-attempts=3 caps.second-copies=true \
caps.new-setting=12 classes.count=1 classes.0.effect=free classes.0.name=look classes.0.on-time=1.0 \
classes.0.hard-limit=2.0 n-instances=1 me=0 registry-mode=automatic rules.ask-within=10.0 rules.cold=5.0 \
rules.cold-share=0.2 rules.drain-grace=1.0 rules.fall-multiple=3.0 rules.tip-after=1.0 quantum=0.001 \
tier=1 zone=here zones=here";

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gannetproxy-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The host may exit before it has read all of an invalid input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn replies(input: &str) -> String {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

fn start_lines(instance: &str) -> String {
    format!(
        "SELECT {instance}\n{HELLO}\nROSTER 0 1\nITEM k 0 51 1 here in_service -\nUPDATE 1 remembered 0\n"
    )
}

#[test]
fn request_is_sent_and_answered() {
    let input = format!(
        "BATCH 1 1\nGO\nBATCH 2 2\n{}QUERY 00000000000000a1 0 - 0.5 0 - look -\nGO\n\
         BATCH 2.1 3\nSELECT proxy-1\nRESULT 00000000000000a1 51 0 S 0.1 1 -\nGO\n\
         BATCH 2.2 4\nSELECT proxy-1\nRESULT 00000000000000a1 51 0 X 0.1 1 1,-,2.5\n\
         CLIENT_LEFT 00000000000000a1\nHEALTH 0.1 51 S -\nPEER 2 -\nTICK_DUE 99\nGO\n",
        start_lines("proxy-1")
    );
    let replies = replies(&input);
    let lines: Vec<&str> = replies.lines().collect();
    assert_eq!(lines[..2], ["END 1", "BY proxy-1"]);
    assert!(lines[2].starts_with("SLEEP 2.498"), "{}", lines[2]);
    assert!(lines[3].starts_with("SLEEP 2."), "the first repeat timer: {}", lines[3]);
    assert_eq!(lines[4..], ["PLACE 00000000000000a1 0.498000 51", "END 2", "END 3", "END 4"]);
}

#[test]
fn reused_instances_and_lists_are_accepted() {
    // Instances are selected twice, a list number is used twice, and one batch holds TEARDOWN and HELLO.
    let input = format!(
        "BATCH 1 1\n{}{}SELECT proxy-1\nROSTER 0 0\nUPDATE 2 all 0\nROSTER 0 1\nITEM k 0 52 1 here in_service 0\n\
         UPDATE 3 changes 0\nQUERY 00000000000000a1 0 - 0.5 - - look -\nSELECT proxy-2\n\
         QUERY 00000000000000a2 1 00000000000000ff 0.5 1 who look 0.1\nSELECT proxy-1\nTEARDOWN\n{HELLO}\n\
         UPDATE 3 refused 9\nQUERY 00000000000000a3 0 - 0 0 - look -\nGO\n",
        start_lines("proxy-1"),
        start_lines("proxy-2"),
    );
    let replies = replies(&input);
    let lines_with = |prefix: &str| replies.lines().filter(|l| l.starts_with(prefix)).collect::<Vec<_>>();
    assert_eq!(lines_with("BY"), ["BY proxy-1", "BY proxy-2", "BY proxy-1"]);
    assert_eq!(lines_with("PLACE 00000000000000a1"), ["PLACE 00000000000000a1 0.498000 52"]);
    assert_eq!(lines_with("PLACE 00000000000000a2"), ["PLACE 00000000000000a2 0.498000 51"]);
    assert_eq!(lines_with("REJECT"), ["REJECT 00000000000000a3 -"], "no time left");
    assert_eq!(lines_with("END"), ["END 1"]);
}

#[test]
fn instances_in_one_process_do_not_affect_each_other() {
    let requests = |name: &str| {
        let mut lines = start_lines(name);
        (0..9).for_each(|i| lines += &format!("QUERY 00000000000000a{i} 0 - 0.5 0 - look -\n"));
        lines
    };
    let without_end_lines = |text: String| {
        text.lines().filter(|l| !l.starts_with("END")).map(|l| l.to_string() + "\n").collect::<String>()
    };
    let one = without_end_lines(replies(&format!("BATCH 1 1\n{}GO\n", requests("proxy-1"))));
    let two = without_end_lines(replies(&format!("BATCH 1 1\n{}GO\n", requests("proxy-2"))));
    let both =
        without_end_lines(replies(&format!("BATCH 1 1\n{}{}GO\n", requests("proxy-1"), requests("proxy-2"))));
    assert_eq!(both, one + &two);
}

#[test]
fn invalid_input_is_reported_and_ends_the_process() {
    let start = start_lines("proxy-1");
    let hello_without =
        |omitted: &str| HELLO.split(' ').filter(|p| !p.starts_with(omitted)).collect::<Vec<_>>().join(" ");
    let cases = [
        ("SELECT proxy-1\n".to_string(), "between batches, line 1: expected BATCH"),
        ("BATCH x 1\n".into(), "expected a number for the clock, got 'x'"),
        ("BATCH inf 1\n".into(), "expected a number for the clock"),
        ("BATCH 1\n".into(), "BATCH takes 2 values, got 1"),
        ("BATCH 1 1\nNOISE 3\n".into(), "batch 1, line 2: unknown event 'NOISE'"),
        ("BATCH 1 1\nTEARDOWN\n".into(), "expected SELECT first"),
        ("BATCH 1 1\nSELECT proxy-1\nTICK_DUE 1\n".into(), "expected HELLO first"),
        ("BATCH 1 1\nSELECT proxy-1\nQUERY 00000000000000a1 0 - 0.5 0 - look -\n".into(), "expected HELLO"),
        ("BATCH 1 1\nROSTER 16 0\n".into(), "a number from 0 to 15"),
        ("BATCH 1 1\nROSTER 0 2\nGO\n".into(), "expected an ITEM line"),
        ("BATCH 1 1\nITEM k 0 51 1 here in_service -\n".into(), "expected a ROSTER"),
        ("BATCH 1 1\nROSTER 0 1\nITEM k 0 51 -1 here in_service -\n".into(), "not below 0"),
        (
            format!("BATCH 1 1\n{start}QUERY 00000000000000a1 0 - 0.5 0 - other -\n"),
            "a class of the settings",
        ),
        (format!("BATCH 1 1\n{start}QUERY a1 0 - 0.5 0 - look -\n"), "16 hex digits"),
        (format!("BATCH 1 1\n{start}QUERY 00000000000000a1 0 - NaN 0 - look -\n"), "expected a number"),
        (format!("BATCH 1 1\n{start}RESULT 00000000000000a1 51 0 Q 0.1 1 -\n"), "one of S E F T C R X N"),
        (format!("BATCH 1 1\n{start}RESULT 00000000000000a1 51 0 S -0.1 1 -\n"), "not below 0"),
        (format!("BATCH 1 1\n{start}UPDATE 1 some 0\n"), "changes, all, remembered or refused"),
        (
            format!("BATCH 1 1\nSELECT p\n{}\n", hello_without("caps.max-attempts")),
            "missing setting caps.max-attempts",
        ),
        (
            format!("BATCH 1 1\nSELECT p\n{}\n", hello_without("classes.count")),
            "missing setting classes.count",
        ),
        ("BATCH 1 1\nBATCH 2 2\n".into(), "expected GO before the next BATCH"),
        ("BATCH 1 1\n".into(), "batch 1, line 1: expected GO, got end of input"),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{input}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(expected), "{message} lacks {expected}");
        assert!(output.stdout.is_empty(), "unexpected reply to invalid input: {input}");
    }
    assert!(run("").status.success());
}
