//! `init` writes answers that pass `check`, with or without questions.

use std::{
    fs,
    io::Write,
    process::{Command, Output, Stdio},
};

use expect_test::{expect, expect_file};

use crate::support::run;

/// Runs the program with `lines` on its standard input.
fn run_with_input(args: &[&str], lines: &[&str]) -> Output {
    let mut process = Command::new(env!("CARGO_BIN_EXE_bronzelb"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut input = process.stdin.take().expect("is piped");
    // The program may end before it reads every line.
    let _ = input.write_all(lines.join("\n").as_bytes());
    drop(input);
    process.wait_with_output().expect("the program ends")
}

fn check_text(text: &str) -> String {
    let folder = tempfile::tempdir().expect("is writable");
    let path = folder.path().join("answers.yaml");
    fs::write(&path, text).expect("is writable");
    let check = run(&["check", path.to_str().expect("is UTF-8")]);
    assert_eq!(check.code, 0, "{}", check.stderr);
    check.stdout
}

#[test]
fn defaults_are_valid_answers() {
    let init = run(&["init", "-", "--defaults", "--mesh", "hemelval"]);
    assert_eq!(init.code, 0, "{}", init.stderr);
    let summary = check_text(&init.stdout);
    assert!(summary.starts_with("valid: mesh hemelval with 3 data centres, 3 services"));
}

#[test]
fn a_sample_has_the_requested_number_of_services() {
    let init = run(&["init", "-", "--sample", "78"]);
    let summary = check_text(&init.stdout);
    assert!(summary.contains("5 data centres, 78 services"), "{summary}");
}

#[test]
fn questions_are_repeated_until_the_answer_is_valid() {
    let lines = [
        "our mesh", // not a name
        "hemelval",
        "ghent leuven ghent", // listed twice
        "ghent leuven",
        "fast", // not a time
        "1ms",
        "0", // too few
        "6",
        "",
        "plain-status",
        "tracker archive",
        "archives", // not a service
        "archive",
        "none",
        "",
    ];
    let output = run_with_input(&["init", "-", "--ask"], &lines);
    let stderr = String::from_utf8(output.stderr).expect("is UTF-8");
    assert!(output.status.success(), "{stderr}");
    let text = String::from_utf8(output.stdout).expect("is UTF-8");
    let summary = check_text(&text);
    assert!(summary.starts_with("valid: mesh hemelval with 2 data centres, 2 services"));
    assert!(text.contains("ghent: {latency: {leuven: 1ms}}"));
    assert!(text.contains("slots: 6 "));
    expect![[r#"
        Name of the mesh [trial]: mesh name "our mesh" is not 1 to 64 letters, digits, dots, dashes or underscores that start with a letter or digit
        Name of the mesh [trial]: Data centres, separated by spaces [dc1 dc2 dc3]: a name is listed twice
        Data centres, separated by spaces [dc1 dc2 dc3]: Latency between ghent and leuven [500us]: time "fast" is not a number with one of the units us, ms, s, m or h, such as "250ms"
        Latency between ghent and leuven [500us]: Requests that one backend server runs at once [12]: 0 is too few; use 1 or more
        Requests that one backend server runs at once [12]: Connections that one backend server accepts [110]: Format of the servers' health and load reports [json-load]: Services, separated by spaces [tracker dispatcher archive]: Services whose requests can wait [archive]: service "archives" does not exist; services are tracker archive
        Services whose requests can wait [archive]: Services with requests that must not run twice [none]: "#]]
    .assert_eq(&stderr);
}

#[test]
fn input_from_a_pipe_requires_the_ask_option() {
    let output = run_with_input(&["init", "-"], &[]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).expect("is UTF-8");
    assert!(stderr.contains("use --defaults, or --ask"), "{stderr}");
}

#[test]
fn premature_end_of_input_writes_nothing() {
    let output = run_with_input(&["init", "-", "--ask"], &["hemelval", ""]);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
}

#[test]
fn repeated_invalid_answers_end_the_command() {
    let output = run_with_input(&["init", "-", "--ask"], &["a b"; 9]);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
}

#[test]
fn an_existing_file_is_kept_unless_forced() {
    let folder = tempfile::tempdir().expect("is writable");
    let path = folder.path().join("answers.yaml");
    let file = path.to_str().expect("is UTF-8");
    fs::write(&path, "precious").expect("is writable");
    let refused = run(&["init", file, "--defaults"]);
    assert_eq!(refused.code, 5);
    assert_eq!(fs::read_to_string(&path).expect("is readable"), "precious");
    let forced = run(&["init", file, "--defaults", "--force"]);
    assert_eq!(forced.code, 0, "{}", forced.stderr);
    let text = fs::read_to_string(&path).expect("is readable");
    assert!(text.starts_with("# Answers of a mesh."));
}

#[test]
fn letter_size_example_equals_the_sample() {
    let init = run(&["init", "-", "--sample", "78", "--mesh", "letter-size"]);
    expect_file!["../../../../examples/letter-size/answers.yaml"].assert_eq(&init.stdout);
}
