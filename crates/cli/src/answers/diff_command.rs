use std::{collections::BTreeMap, path::PathBuf};

use bronzelb_answers::{
    change::{ConfigChange, compare_snapshots},
    read_answers,
};
use bronzelb_kernel::{config::ConfigSnapshot, ids::DataCentre};
use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::{builder::CommandSpec, error::CommandError, output::OutputPrinter};

pub(crate) const DIFF_COMMAND: CommandSpec = CommandSpec {
    name: "diff",
    build,
    run,
};

const OLD: &str = "old";
const NEW: &str = "new";
const PROXY_PREFIX: &str = "proxies.";

const EXAMPLES: &str = "\
Examples:
  bronzelb diff answers-before.yaml answers.yaml
  git show HEAD:answers.yaml > /tmp/old.yaml && bronzelb diff /tmp/old.yaml answers.yaml

Lines start with + for what is added, - for what is removed and ~ for what changes.";

/// What a change of answers does, by the proxies that it reaches.
#[derive(Debug, Serialize)]
struct DiffReport {
    /// Changes that every proxy gets.
    every_proxy: Vec<ConfigChange>,
    /// Changes that only the proxies of one data centre get.
    data_centres: BTreeMap<DataCentre, Vec<ConfigChange>>,
}

fn build(command: Command) -> Command {
    command
        .about("Shows what a change of answers does to every proxy")
        .after_help(EXAMPLES)
        .arg(file_arg(
            OLD,
            "OLD",
            "YAML file with the answers before the change",
        ))
        .arg(file_arg(
            NEW,
            "NEW",
            "YAML file with the answers after the change",
        ))
}

fn file_arg(id: &'static str, name: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name(name)
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help(help)
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let old = read_side(matches, OLD);
    let new = read_side(matches, NEW);
    let report = DiffReport::new(&old?, &new?);
    printer.result(report.to_text(), &report);
    Ok(())
}

fn read_side(matches: &ArgMatches, id: &str) -> Result<ConfigSnapshot, CommandError> {
    let path = matches
        .get_one::<PathBuf>(id)
        .expect("the argument is required");
    Ok(read_answers(path)?)
}

impl DiffReport {
    fn new(old: &ConfigSnapshot, new: &ConfigSnapshot) -> Self {
        let centres = old.proxies.keys().chain(new.proxies.keys());
        let mut report = Self {
            every_proxy: Vec::new(),
            data_centres: centres.map(|centre| (centre.clone(), Vec::new())).collect(),
        };
        for change in compare_snapshots(old, new) {
            report.add(change);
        }
        report
    }

    fn add(&mut self, change: ConfigChange) {
        let changes = change
            .field
            .strip_prefix(PROXY_PREFIX)
            .and_then(|rest| {
                self.data_centres
                    .iter_mut()
                    .find(|(centre, _)| is_of(rest, centre))
            })
            .map_or(&mut self.every_proxy, |(_, changes)| changes);
        changes.push(change);
    }

    fn to_text(&self) -> String {
        let mut lines = vec![heading("every proxy", &self.every_proxy)];
        lines.extend(self.every_proxy.iter().map(|change| format!("  {change}")));
        for (centre, changes) in &self.data_centres {
            lines.push(heading(&format!("proxies in {centre}"), changes));
            lines.extend(changes.iter().map(|change| format!("  {change}")));
        }
        lines.join("\n")
    }
}

fn is_of(path: &str, centre: &DataCentre) -> bool {
    path.strip_prefix(centre.as_str())
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn heading(who: &str, changes: &[ConfigChange]) -> String {
    match changes.len() {
        0 => format!("{who}: no change"),
        1 => format!("{who}: 1 change"),
        count => format!("{who}: {count} changes"),
    }
}
