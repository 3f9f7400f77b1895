//! `publish` reports only outcomes that the platform's table confirms.

use std::fs;

use bronzelb_kernel::{
    ids::{AttemptToken, ContentHash, VersionNumber},
    spread::VersionRow,
};
use expect_test::expect;

use crate::support::{
    CommandRun, example,
    memory_platform::{WriteFault, with_store},
    run,
};

const KEY: &str = "hemelval/version";

fn publish_file(platform: &str, answers: &str, extra: &[&str]) -> CommandRun {
    let mut args = vec!["publish", answers, "--platform", platform];
    args.extend(["--platform-kind", "memory", "--publisher", "anna"]);
    args.extend(extra);
    run(&args)
}

fn publish(platform: &str, extra: &[&str]) -> CommandRun {
    publish_file(platform, &example("hemelval"), extra)
}

fn inject_fault(platform: &str, fault: WriteFault) {
    with_store(platform, |store| store.write_faults.push(fault));
}

fn stored_row(platform: &str) -> VersionRow {
    let text = with_store(platform, |store| store.rows[KEY].value.clone());
    VersionRow::from_json(&text).expect("is a row")
}

/// Returns the row that a competing publisher would write into an empty table.
fn competing_row(platform: &str) -> VersionRow {
    let run = publish(platform, &[]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    let mut row = stored_row(platform);
    row.publisher = "bert".into();
    row.attempt = AttemptToken::new(1);
    row.hash = ContentHash::of(b"other content");
    row
}

#[test]
fn a_new_version_is_stored_before_the_row_names_it() {
    let run = publish("new", &[]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    let row = stored_row("new");
    assert_eq!(row.publisher, "anna");
    let expected = format!("accepted as version 1 (hash {})\n", row.hash);
    assert_eq!(run.stdout, expected);
    let body = with_store("new", |store| store.objects[row.object.as_str()].clone());
    assert_eq!(ContentHash::of(&body), row.hash);
}

#[test]
fn no_row_names_a_version_that_could_not_be_stored() {
    with_store("no-objects", |store| store.refuses_objects = true);
    let run = publish("no-objects", &["--timeout", "300ms"]);
    assert_eq!(run.code, 7);
    assert!(with_store("no-objects", |store| store.rows.is_empty()));
}

#[test]
fn publishing_the_same_answers_again_writes_nothing() {
    publish("again", &[]);
    let revision = with_store("again", |store| store.rows[KEY].revision);
    let run = publish("again", &["--output", "json"]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    assert!(
        run.stdout
            .starts_with(r#"{"result":"unchanged","number":1,"#)
    );
    assert_eq!(
        with_store("again", |store| store.rows[KEY].revision),
        revision
    );
}

#[test]
fn answers_with_a_mistake_are_not_published() {
    let folder = tempfile::tempdir().expect("is writable");
    let path = folder.path().join("answers.yaml");
    let text = fs::read_to_string(example("hemelval")).expect("is readable");
    fs::write(&path, text.replace("service: replay", "service: replays")).expect("is writable");
    let run = publish_file("mistake", path.to_str().expect("is UTF-8"), &[]);
    assert_eq!(run.code, 2);
    assert!(run.stderr.contains("service \"replays\" does not exist"));
    assert!(with_store("mistake", |store| store.rows.is_empty()));
    assert!(with_store("mistake", |store| store.objects.is_empty()));
}

#[test]
fn lost_response_is_resolved_by_reading_back() {
    inject_fault("lost-answer", WriteFault::LostResponse);
    let run = publish("lost-answer", &[]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    assert!(run.stdout.starts_with("accepted as version 1 "));
}

#[test]
fn a_lost_write_is_sent_again() {
    inject_fault("lost-write", WriteFault::LostWrite);
    let run = publish("lost-write", &[]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    assert_eq!(stored_row("lost-write").number, VersionNumber::new(1));
}

#[test]
fn losing_a_race_reports_the_winner() {
    inject_fault(
        "race",
        WriteFault::Race(competing_row("race-rival").to_json()),
    );
    let run = publish("race", &[]);
    assert_eq!(run.code, 5);
    expect![[r#"
        error: version 1 was published by bert first
    "#]]
    .assert_eq(&run.stderr);
    assert_eq!(stored_row("race").publisher, "bert");
}

#[test]
fn an_outcome_that_the_table_does_not_show_is_unknown() {
    let mut competing = competing_row("late-rival");
    competing.number = VersionNumber::new(40);
    let fault = WriteFault::LostResponseThenReplaced(competing.to_json());
    inject_fault("hidden", fault);
    let run = publish("hidden", &[]);
    assert_eq!(run.code, 6);
    expect![[r#"
        error: the version row no longer records whether version 1 was accepted
    "#]]
    .assert_eq(&run.stderr);
}

#[test]
fn unavailable_platform_ends_the_command_at_the_timeout() {
    with_store("away", |store| store.is_unavailable = true);
    let run = publish("away", &["--timeout", "300ms", "--output", "json"]);
    assert_eq!(run.code, 7);
    expect![[r#"
        {"error":"platform-away","exit_code":7,"message":"the platform does not answer","problems":[]}
    "#]]
    .assert_eq(&run.stderr);
}

#[test]
fn malformed_row_is_not_overwritten() {
    publish("garbage", &[]);
    let garbage = r#"{"number":"seven"}"#;
    with_store("garbage", |store| {
        let row = store.rows.get_mut(KEY).expect("was written");
        row.value = garbage.to_owned();
    });
    let run = publish("garbage", &[]);
    assert_eq!(run.code, 2);
    assert!(run.stderr.contains("version row: "), "{}", run.stderr);
    let stored = with_store("garbage", |store| store.rows[KEY].value.clone());
    assert_eq!(stored, garbage);
}

#[test]
fn a_platform_needs_an_address_with_a_port() {
    let answers = example("hemelval");
    let run = run(&["publish", &answers, "--platform", "localhost"]);
    assert_eq!(run.code, 2);
    assert!(
        run.stderr.contains("is not an IP address with a port"),
        "{}",
        run.stderr
    );
}
