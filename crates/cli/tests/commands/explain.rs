//! `explain` shows the timeline of a request from the logs of several nodes.

use std::fs;

use expect_test::expect;

use crate::support::{CommandRun, run};

const ENTRY: &str = r#"{"event":"config-applied","level":"INFO","ts":1000,"data_centre":"a","node":"n1","version":7}
{"event":"request-attempted","level":"INFO","ts":2040,"data_centre":"a","node":"n1","request":"9c41","route":"read","backend":"i-7","outcome":"shed","took_ms":4}
{"event":"request-attempted","level":"INFO","ts":2050,"data_centre":"a","node":"n1","request":"9c42","route":"read","outcome":"served"}
not a line of a log
{"event":"request-failed","level":"INFO","ts":2100,"data_centre":"a","node":"n1","request":"9c41","kind":"overloaded","retry_after_ms":45,"config":null}
"#;

const HOST: &str = r#"  3.2 n2 {"event":"request-refused","level":"INFO","ts":2038,"data_centre":"b","node":"n2","request":"9c41","running":12,"waiting":24}
{"event":"lines-suppressed","level":"INFO","ts":3000,"data_centre":"b","node":"n2","suppressed":"request-ran","lines":12}
"#;

fn explain(request: &str, extra: &[&str]) -> CommandRun {
    let folder = tempfile::tempdir().expect("is writable");
    let paths = [("n1.log", ENTRY), ("n2.log", HOST)].map(|(name, text)| {
        let path = folder.path().join(name);
        fs::write(&path, text).expect("is writable");
        path.display().to_string()
    });
    let mut args = vec!["explain", request, &paths[0], &paths[1]];
    args.extend(extra);
    let mut output = run(&args);
    let prefix = format!("{}/", folder.path().display());
    output.stderr = output.stderr.replace(&prefix, "");
    output.stdout = output.stdout.replace(&prefix, "");
    output
}

#[test]
fn lines_of_all_nodes_are_sorted_and_gaps_are_reported() {
    let run = explain("9c41", &[]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    expect![[r#"
        +0 ms n2 request-refused running=12 waiting=24
        +2 ms n1 request-attempted backend="i-7" outcome="shed" route="read" took_ms=4
        +62 ms n1 request-failed kind="overloaded" retry_after_ms=45
        lines may be missing: these nodes left some out: n2
    "#]]
    .assert_eq(&run.stdout);
    expect![[r#"
        n1.log:4: not a line of a node's log
    "#]]
    .assert_eq(&run.stderr);
}

#[test]
fn json_output_is_one_document() {
    let run = explain("9c42", &["--output", "json"]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    expect![[r#"
        {"lines":[{"ts":2050,"node":"n1","event":"request-attempted","fields":{"outcome":"served","route":"read"}}],"unreadable":["n1.log:4"],"nodes_with_gaps":["n2"]}
    "#]].assert_eq(&run.stdout);
}

#[test]
fn unknown_request_and_missing_log_are_errors() {
    let unknown = explain("ffff", &[]);
    assert_ne!(unknown.code, 0);
    expect![[r#"
        error: no line of the logs names request ffff
    "#]]
    .assert_eq(&unknown.stderr);
    let missing = run(&["explain", "9c41", "no-such.log"]);
    assert_ne!(missing.code, 0);
    assert!(missing.stderr.contains("no-such.log"), "{}", missing.stderr);
}
