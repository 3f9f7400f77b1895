//! Runs the scripts of the second review: `harness CASE FOLDER`. With `TROUBLE=0` in the environment
//! the case runs without its disruption.
//!
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod departure;
mod mesh;
mod net;
mod pipelined;
mod store;

use std::process::ExitCode;

use mesh::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble: {has_trouble}"));
    let result = match case.as_str() {
        "departure" => departure::run(&record, has_trouble),
        "pipelined" => pipelined::run(&record, has_trouble),
        other => Err(std::io::Error::other(format!("unknown case {other}"))),
    };
    let (text, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
