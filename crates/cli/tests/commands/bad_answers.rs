//! Invalid answers cause a non-zero exit code and one message for each mistake.
//!
//! The page docs/bad-inputs/answers.md lists the output for each input;
//! `UPDATE_EXPECT=1` rewrites it.

use std::{
    fmt::Write,
    fs,
    path::{Path, PathBuf},
};

use expect_test::expect_file;

use crate::support::run;

const PAGE_HEAD: &str = "\
# Bad answers and what each one gets

Written by the test `bad_answers` of `crates/cli` from the output of `bronzelb check`; rewrite it
with `UPDATE_EXPECT=1 cargo test -p bronzelb bad_answers`.
";

const TEN_MEGABYTES: usize = 10_000_000;
const DEEP_LEVELS: usize = 100_000;

/// An invalid input: its title, its file, and its text if the page shows it.
struct BadInput {
    title: String,
    path: PathBuf,
    text: Option<String>,
}

#[test]
fn every_bad_input_causes_a_message_and_an_exit_code() {
    let folder = tempfile::tempdir().expect("is writable");
    let mut page = PAGE_HEAD.to_owned();
    let mut inputs = stored_inputs();
    inputs.extend(generated_inputs(folder.path()));
    for input in &inputs {
        add_section(&mut page, input);
    }
    expect_file!["../../../../docs/bad-inputs/answers.md"].assert_eq(&page);
}

fn add_section(page: &mut String, input: &BadInput) {
    let path = input.path.to_str().expect("is UTF-8");
    let check = run(&["check", path]);
    assert_ne!(check.code, 0, "{}", input.title);
    assert_eq!(check.stdout, "", "{}", input.title);
    let generate = run(&["generate", path]);
    assert_eq!(generate.code, check.code, "{}", input.title);
    assert_eq!(generate.stdout, "", "{}", input.title);
    let folder = input.path.parent().expect("has a folder");
    let output = check.stderr.replace(&format!("{}/", folder.display()), "");
    write!(page, "\n## {}\n", input.title).expect("writing to a string succeeds");
    if let Some(text) = &input.text {
        write!(page, "\n```yaml\n{text}```\n").expect("writing to a string succeeds");
    }
    let code = check.code;
    write!(page, "\nExit code {code}:\n\n```text\n{output}```\n")
        .expect("writing to a string succeeds");
}

/// Inputs that are checked in as files; the first line of each describes the mistake.
fn stored_inputs() -> Vec<BadInput> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/bad_answers");
    let entries = fs::read_dir(folder).expect("is a folder");
    let mut paths: Vec<_> = entries
        .map(|entry| entry.expect("is readable").path())
        .collect();
    paths.sort();
    paths.into_iter().map(stored_input).collect()
}

fn stored_input(path: PathBuf) -> BadInput {
    let text = fs::read_to_string(&path).expect("is readable");
    let title = text.lines().next().expect("has a line");
    BadInput {
        title: title.trim_start_matches("# ").to_owned(),
        path,
        text: Some(text),
    }
}

/// Inputs that are too large or too unusual to be checked in as files.
fn generated_inputs(folder: &Path) -> Vec<BadInput> {
    let generated = |title: &str, name: &str, content: &[u8]| {
        let path = folder.join(name);
        fs::write(&path, content).expect("is writable");
        BadInput {
            title: title.to_owned(),
            path,
            text: None,
        }
    };
    let sub_folder = folder.join("folder.yaml");
    fs::create_dir(&sub_folder).expect("is writable");
    let bomb = "a: &a [x, x]\nb: &b [*a, *a]\nc: &c [*b, *b]\nd: &d [*c, *c]\n";
    vec![
        generated("An empty file.", "empty.yaml", b""),
        generated("A file of 10 MB.", "large.yaml", &vec![b'a'; TEN_MEGABYTES]),
        generated(
            "A file that is not UTF-8.",
            "latin1.yaml",
            b"mesh: trial\n# M\xfcnster\n",
        ),
        generated(
            "A file with a NUL byte.",
            "nul.yaml",
            b"mesh: trial\ndata_centres: {leuven: {}}\nservices: {}\nroutes: {}\n\0mesh: other\n",
        ),
        generated(
            "Lists nested 100,000 deep in brackets.",
            "brackets.yaml",
            "[".repeat(DEEP_LEVELS).as_bytes(),
        ),
        generated(
            "Lists nested 100,000 deep in dashes.",
            "dashes.yaml",
            "- ".repeat(DEEP_LEVELS).as_bytes(),
        ),
        generated(
            "Aliases of aliases, which grow without bound when expanded.",
            "bomb.yaml",
            bomb.as_bytes(),
        ),
        generated(
            "More values than a file may hold.",
            "values.yaml",
            "- a\n".repeat(2 * DEEP_LEVELS).as_bytes(),
        ),
        generated(
            "One value of 5,000 bytes.",
            "long.yaml",
            format!("mesh: {}\n", "a".repeat(5_000)).as_bytes(),
        ),
        BadInput {
            title: "A file that does not exist.".to_owned(),
            path: folder.join("missing.yaml"),
            text: None,
        },
        BadInput {
            title: "A folder in place of a file.".to_owned(),
            path: sub_folder,
            text: None,
        },
    ]
}

#[test]
fn json_output_lists_every_mistake_with_its_location() {
    let path = "tests/bad_answers/unknown-service.yaml";
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    let run = run(&[
        "check",
        path.to_str().expect("is UTF-8"),
        "--output",
        "json",
    ]);
    assert_eq!(run.code, 2);
    let document: serde_json::Value = serde_json::from_str(&run.stderr).expect("is JSON");
    let problems = document["problems"].as_array().expect("is a list");
    assert_eq!(problems.len(), 2);
    assert_eq!(problems[1]["line"], 8);
    assert_eq!(problems[1]["field"], "routes.replay.service");
}
