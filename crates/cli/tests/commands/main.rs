//! Tests of every command, run in the test process.

mod bad_answers;
mod burn;
mod completions;
mod definition;
mod diff;
mod explain;
mod init;
mod publish;
mod reference;
mod status;
mod support;
