//! Stand-ins for the store, the instances and the clients of the users' platform, and the cases of
//! the review that use them. Run from the root of the repository: `stand-in CASE RECORD`.
//!
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod drill_move;
mod http;
mod instance;
mod json;
mod late_copy;
mod late_ping;
mod mesh;
mod missed_config;
mod record;
mod store;

use std::{path::Path, process::exit};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: stand-in CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(Path::new(path));
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let verdict = match case.as_str() {
        "drill-move" => drill_move::run(&record, has_trouble),
        "late-copy" => late_copy::run(&record, has_trouble),
        "missed-config" => missed_config::run(&record, has_trouble),
        "late-ping" => late_ping::run(&record, has_trouble),
        _ => Verdict::NotRun,
    };
    let code = match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    };
    record.say(&format!("exit code {code}"));
    exit(code);
}
