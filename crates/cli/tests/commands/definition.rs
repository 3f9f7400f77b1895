//! The definition of the command line holds together.

use std::collections::BTreeSet;

use bronzelb::builder::{COMMANDS, build_root};

use crate::support;

#[test]
fn definition_passes_the_checks_of_the_parser() {
    build_root().debug_assert();
}

#[test]
fn every_command_explains_itself_with_an_example() {
    for spec in COMMANDS {
        let run = support::run(&[spec.name, "--help"]);
        assert_eq!(run.code, 0);
        assert!(run.stdout.contains("Examples:"), "{}", run.stdout);
        assert!(run.stdout.contains(&format!("bronzelb {} ", spec.name)));
    }
}

#[test]
fn command_names_are_unique() {
    let names: BTreeSet<_> = COMMANDS.iter().map(|spec| spec.name).collect();
    assert_eq!(names.len(), COMMANDS.len());
}

#[test]
fn an_unknown_command_is_a_usage_error() {
    let run = support::run(&["publsh"]);
    assert_eq!(run.code, 2);
    assert!(run.stderr.contains("unrecognized subcommand 'publsh'"));
    assert!(run.stderr.contains("publish"), "{}", run.stderr);
}
