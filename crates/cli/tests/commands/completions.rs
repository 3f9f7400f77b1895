//! Completions of every shell include every command.

use bronzelb::builder::COMMANDS;

use crate::support::run;

#[test]
fn every_shell_completes_every_command() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let run = run(&["completions", shell]);
        assert_eq!(run.code, 0, "{}", run.stderr);
        for spec in COMMANDS {
            assert!(run.stdout.contains(spec.name), "{shell}: {}", spec.name);
        }
    }
}

#[test]
fn an_unknown_shell_is_a_usage_error() {
    assert_eq!(run(&["completions", "tcsh"]).code, 2);
}
