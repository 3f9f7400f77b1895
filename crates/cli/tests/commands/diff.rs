//! `diff` shows the effect of a change of answers, grouped by the proxies that it affects.

use std::fs;

use expect_test::expect;

use crate::support::{CommandRun, example, run};

/// Compares the example's answers with the same ones after `edits`.
fn diff_after(edits: &[(&str, &str)], extra: &[&str]) -> CommandRun {
    let old = example("hemelval");
    let mut text = fs::read_to_string(&old).expect("is readable");
    for (from, to) in edits {
        assert!(text.contains(from), "{from:?} is in the answers");
        text = text.replacen(from, to, 1);
    }
    let folder = tempfile::tempdir().expect("is writable");
    let path = folder.path().join("answers.yaml");
    fs::write(&path, text).expect("is writable");
    let mut args = vec!["diff", &old, path.to_str().expect("is UTF-8")];
    args.extend(extra);
    run(&args)
}

#[test]
fn equal_answers_change_nothing() {
    let run = diff_after(
        &[("# Answers of Hemelval", "# Questionnaire of Hemelval")],
        &[],
    );
    assert_eq!(run.code, 0, "{}", run.stderr);
    expect![[r#"
        every proxy: no change
        proxies in antwerp: no change
        proxies in brussels: no change
        proxies in leuven: no change
    "#]]
    .assert_eq(&run.stdout);
}

#[test]
fn changes_are_listed_under_the_proxies_that_they_affect() {
    let edits = [
        (
            "brussels: 500us, antwerp: 500us",
            "brussels: 2ms, antwerp: 500us",
        ),
        ("drain: 60s", "drain: 45s"),
        (
            "  replay: {report_format: plain-status}\n",
            "  replay: {slots: 3}\n",
        ),
        (
            "    path: /positions\n    methods: [GET]",
            "    path: /places\n    methods: [GET]",
        ),
    ];
    let run = diff_after(&edits, &[]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    expect![[r#"
        every proxy: 4 changes
          ~ routes.positions.path: /positions -> /places
          ~ services.dispatcher.drain: 1m -> 45s
          ~ services.replay.report_format: plain-status -> json-load
          ~ services.replay.slots: 12 -> 3
        proxies in antwerp: no change
        proxies in brussels: 1 change
          ~ proxies.brussels.spill_order: ["leuven","antwerp"] -> ["antwerp","leuven"]
        proxies in leuven: no change
    "#]]
    .assert_eq(&run.stdout);
}

#[test]
fn json_output_has_old_and_new_values() {
    let run = diff_after(&[("drain: 60s", "drain: 45s")], &["--output", "json"]);
    expect![[r#"
        {"every_proxy":[{"field":"services.dispatcher.drain","change":"changed","old":"1m","new":"45s"}],"data_centres":{"antwerp":[],"brussels":[],"leuven":[]}}
    "#]].assert_eq(&run.stdout);
}

#[test]
fn a_mistake_on_either_side_is_reported() {
    let run = diff_after(&[("drain: 60s", "drain: 60")], &[]);
    assert_eq!(run.code, 2);
    assert_eq!(run.stdout, "");
    assert!(
        run.stderr.contains("services.dispatcher.drain"),
        "{}",
        run.stderr
    );
}

#[test]
fn one_file_is_compared_with_the_newest_accepted_version() {
    let answers = example("hemelval");
    let platform = ["--platform", "diff", "--platform-kind", "memory"];
    let diff = |file: &str| run(&[&["diff", file], &platform[..]].concat());
    let unpublished = diff(&answers);
    assert_eq!(unpublished.code, 4);
    assert_eq!(
        unpublished.stderr,
        "error: mesh hemelval has no accepted version\n"
    );
    let publish = run(&[&["publish", &answers], &platform[..]].concat());
    assert_eq!(publish.code, 0, "{}", publish.stderr);
    let text = fs::read_to_string(&answers).expect("is readable");
    let folder = tempfile::tempdir().expect("is writable");
    let path = folder.path().join("answers.yaml");
    fs::write(&path, text.replace("drain: 60s", "drain: 45s")).expect("is writable");
    let changed = diff(path.to_str().expect("is UTF-8"));
    assert_eq!(changed.code, 0, "{}", changed.stderr);
    let change = "every proxy: 1 change\n  ~ services.dispatcher.drain: 1m -> 45s\n";
    assert!(changed.stdout.starts_with(change), "{}", changed.stdout);
}

#[test]
fn one_file_alone_needs_a_platform() {
    let run = run(&["diff", &example("hemelval")]);
    assert_eq!(run.code, 2);
    assert!(run.stderr.contains("--platform"), "{}", run.stderr);
}
