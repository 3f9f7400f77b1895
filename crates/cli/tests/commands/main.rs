//! Every command, run in the test's own process.

mod bad_answers;
mod definition;
mod publish;
mod support;
