//! The reference pages match the help and the table of errors; `UPDATE_EXPECT=1` rewrites them.

use std::fmt::Write;

use bronzelb::builder::build_root;
use bronzelb_kernel::error::ErrorKind;
use clap::Command;
use expect_test::expect_file;

use crate::support::run;

const COMMANDS_HEAD: &str = "\
# Commands

Written by the test `reference` of `crates/cli` from each command's `--help`; rewrite it with
`UPDATE_EXPECT=1 cargo test -p bronzelb reference`.
";

const ERRORS_HEAD: &str = "\
# Errors and exit codes

Written by the test `reference` of `crates/cli` from the kernel's table; rewrite it with
`UPDATE_EXPECT=1 cargo test -p bronzelb reference`. Both programs exit with the code of the error
that ended them, 0 without one, and 2 for a command line that does not parse.

| kind | HTTP status | exit code | the request | comes with a time to come back |
| --- | --- | --- | --- | --- |
";

#[test]
fn commands_are_documented_by_their_help() {
    let mut page = COMMANDS_HEAD.to_owned();
    add_command(&mut page, &[], &build_root());
    expect_file!["../../../../docs/COMMANDS.md"].assert_eq(&page);
}

fn add_command(page: &mut String, path: &[&str], command: &Command) {
    let help = run(&[path, &["--help"]].concat());
    assert_eq!(help.code, 0, "{path:?}");
    let title = [&["bronzelb"], path].concat().join(" ");
    let text = help.stdout.trim_end();
    write!(page, "\n## {title}\n\n```text\n{text}\n```\n").expect("writing to a string succeeds");
    for child in command.get_subcommands() {
        add_command(page, &[path, &[child.get_name()]].concat(), child);
    }
}

#[test]
fn errors_are_documented_from_the_table() {
    let mut page = ERRORS_HEAD.to_owned();
    for kind in ErrorKind::ALL {
        let answer = kind.response();
        let retry = if answer.has_retry_after { "yes" } else { "no" };
        writeln!(
            page,
            "| `{kind}` | {} | {} | {} | {retry} |",
            answer.status, answer.exit_code, answer.run_state
        )
        .expect("writing to a string succeeds");
    }
    expect_file!["../../../../docs/ERRORS.md"].assert_eq(&page);
}

#[test]
fn the_help_lists_every_exit_code() {
    let help = run(&["--help"]).stdout;
    for kind in ErrorKind::ALL {
        let code = kind.response().exit_code;
        assert!(help.contains(&format!("\n  {code}  ")), "{kind}: {code}");
    }
}
