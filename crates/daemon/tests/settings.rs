//! Tests that invalid settings stop the daemon with a message per problem, without secrets.
//!
//! docs/bad-inputs/settings.md records the output for each input; `UPDATE_EXPECT=1` regenerates it.

use std::{
    fmt::Write,
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use bronzelb_kernel::{clock::TimeBudget, config::ShareRatio, rollout::ExposureLimit};
use bronzelbd::settings::parse_settings;
use expect_test::expect_file;

const PAGE_HEAD: &str = "\
# Bad settings and what each one gets

Written by the test `settings` of `crates/daemon` from the output of `bronzelbd --check-settings`;
rewrite it with `UPDATE_EXPECT=1 cargo test -p bronzelbd --test settings`.
";

const TEN_MEGABYTES: usize = 10_000_000;

const VALID: &str = "\
mesh: trial
node: leuven-1
data_centre: leuven
mesh_key: correct-horse-battery
callers: {listen: \"127.0.0.1:0\"}
peers: {listen: \"127.0.0.1:0\"}
operators: {listen: \"127.0.0.1:0\", token: staple-staple-staple}
platform: {kind: http, address: \"127.0.0.1:9\"}
";

fn check_file(path: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bronzelbd"))
        .arg("--settings")
        .arg(path)
        .arg("--check-settings")
        .output()
        .expect("the program starts")
}

fn add_section(page: &mut String, title: &str, path: &Path, text: Option<&str>) {
    let output = check_file(path);
    let code = output.status.code().expect("the program exits");
    assert_ne!(code, 0, "{title}");
    assert!(output.stdout.is_empty(), "{title}");
    let folder = path.parent().expect("has a folder");
    let stderr = String::from_utf8(output.stderr).expect("is UTF-8");
    let stderr = stderr.replace(&format!("{}/", folder.display()), "");
    assert!(!stderr.contains("hunter2"), "{title}: {stderr}");
    write!(page, "\n## {title}\n").expect("writing to a string succeeds");
    if let Some(text) = text {
        write!(page, "\n```yaml\n{text}```\n").expect("writing to a string succeeds");
    }
    write!(page, "\nExit code {code}:\n\n```text\n{stderr}```\n")
        .expect("writing to a string succeeds");
}

fn bad_settings_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/bad_settings");
    let entries = fs::read_dir(folder).expect("is a folder");
    let mut paths: Vec<_> = entries
        .map(|entry| entry.expect("is readable").path())
        .collect();
    paths.sort();
    paths
}

#[test]
fn every_bad_file_gets_a_message_and_an_exit_code() {
    let mut page = PAGE_HEAD.to_owned();
    for path in bad_settings_files() {
        let text = fs::read_to_string(&path).expect("is readable");
        let title = text.lines().next().expect("has a line");
        add_section(
            &mut page,
            title.trim_start_matches("# "),
            &path,
            Some(&text),
        );
    }
    let folder = tempfile::tempdir().expect("is writable");
    let large = folder.path().join("large.yaml");
    fs::write(&large, vec![b'#'; TEN_MEGABYTES]).expect("is writable");
    add_section(&mut page, "A file of 10 MB.", &large, None);
    let missing = folder.path().join("missing.yaml");
    add_section(&mut page, "A file that does not exist.", &missing, None);
    expect_file!["../../../docs/bad-inputs/settings.md"].assert_eq(&page);
}

#[test]
fn valid_settings_are_confirmed_without_their_secrets() {
    let folder = tempfile::tempdir().expect("is writable");
    let path = folder.path().join("node.yaml");
    fs::write(&path, VALID).expect("is writable");
    let output = check_file(&path);
    assert!(output.status.success());
    let stdout = String::from_utf8(output.stdout).expect("is UTF-8");
    assert_eq!(
        stdout,
        "valid: node leuven-1 of mesh trial in data centre leuven\n"
    );
}

#[test]
fn secrets_are_not_formatted() {
    let settings = parse_settings("node.yaml", VALID).expect("is valid");
    let text = format!("{settings:?} {settings:#?}");
    assert!(
        !text.contains("horse") && !text.contains("staple"),
        "{text}"
    );
}

#[test]
fn a_token_is_recognised_only_as_a_whole() {
    let settings = parse_settings("node.yaml", VALID).expect("is valid");
    let token = settings.operators.token.expect("is set");
    assert!(token.matches_header(b"Bearer staple-staple-staple"));
    for wrong in [
        "",
        "Bearer ",
        "staple-staple-staple",
        "Bearer staple-staple-stapl",
        "Bearer staple-staple-staplee",
        "bearer staple-staple-staple",
    ] {
        assert!(!token.matches_header(wrong.as_bytes()), "{wrong}");
    }
}

#[test]
fn the_example_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/node.yaml");
    let output = check_file(&path);
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn first_start_is_true_or_false() {
    let parse =
        |value: &str| parse_settings("node.yaml", &format!("{VALID}first_start: {value}\n"));
    for (value, expected) in [("true", true), ("false", false)] {
        let settings = parse(value).expect("is valid");
        assert_eq!(settings.is_first_start, expected);
    }
    assert!(
        !parse_settings("node.yaml", VALID)
            .expect("is valid")
            .is_first_start
    );
    assert!(parse("maybe").is_err());
}

#[test]
fn limits_may_be_fractions() {
    let text = format!(
        "{VALID}retries: {{ratio: 0.25, window: 12.5s, slack: 34.15384615384615}}\nshutdown: 6.5s\n"
    );
    let settings = parse_settings("node.yaml", &text).expect("is valid");
    let retries = settings.retries.expect("is set");
    assert_eq!(retries.slack, 34, "no part of a retry is allowed");
    assert_eq!(retries.window, TimeBudget::from_millis(12_500));
    assert_eq!(settings.shutdown, Some(TimeBudget::from_millis(6_500)));
    for slack in ["-1", "many", "NaN", "5000000000"] {
        let text = format!("{VALID}retries: {{ratio: 0.2, window: 10s, slack: {slack}}}\n");
        assert!(parse_settings("node.yaml", &text).is_err(), "{slack}");
    }
}

/// Guards against a bound of usage caps that is ignored, and against a window that counts nothing.
#[test]
fn bound_of_usage_caps_is_read_and_a_window_of_zero_refused() {
    let read = |window: &str| {
        let usage = format!("usage: {{window: {window}, overage: 0.25, slack: 7.5}}");
        parse_settings("node.yaml", &format!("{VALID}{usage}\n"))
    };
    let usage = read("2s").expect("is valid").usage;
    assert_eq!(usage.window, TimeBudget::from_secs(2));
    assert_eq!((usage.overage, usage.slack), (0.25, 7));
    assert!(read("0s").is_err());
}

/// Guards against a limit of version moves that is ignored, or read as percent.
#[test]
fn exposure_of_a_faulty_version_is_read_as_a_share() {
    let read =
        |share: &str| parse_settings("node.yaml", &format!("{VALID}max_exposure: {share}\n"));
    let limit = |share: &str| read(share).expect("is valid").exposure_limit;
    let share = ShareRatio::from_ppm(100_000);
    assert_eq!(limit("0.1"), Some(ExposureLimit { share, slack: 0 }));
    let with_slack = limit("0.1\nexposure_slack: 50");
    assert_eq!(with_slack, Some(ExposureLimit { share, slack: 50 }));
    assert!(read("10").is_err());
    let unlimited = parse_settings("node.yaml", VALID).expect("is valid");
    assert_eq!(unlimited.exposure_limit, None);
}
