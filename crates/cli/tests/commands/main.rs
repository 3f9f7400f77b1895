//! Every command, run in the test's own process.

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
