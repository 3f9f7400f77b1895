//! The definition of the command line is consistent.

use std::collections::BTreeSet;

use bronzelb::builder::{COMMANDS, build_root};
use clap::Command;

use crate::support;

#[test]
fn definition_passes_the_checks_of_the_parser() {
    build_root().debug_assert();
}

#[test]
fn help_of_every_command_has_an_example() {
    for command in build_root().get_subcommands() {
        assert_has_example(&["bronzelb"], command);
    }
}

/// Checks the help of a command, or of every subcommand if it has any.
fn assert_has_example(parents: &[&str], command: &Command) {
    let path = [parents, &[command.get_name()]].concat();
    let mut subcommands = command.get_subcommands().peekable();
    if subcommands.peek().is_some() {
        subcommands.for_each(|command| assert_has_example(&path, command));
        return;
    }
    let run = support::run(&[&path[1..], &["--help"]].concat());
    assert_eq!(run.code, 0);
    assert!(run.stdout.contains("Examples:"), "{}", run.stdout);
    let example = format!("  {} ", path.join(" "));
    assert!(run.stdout.contains(&example), "{example:?}: {}", run.stdout);
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
