//! Every command, run in the test's own process.

mod definition;
mod publish;
mod support;
