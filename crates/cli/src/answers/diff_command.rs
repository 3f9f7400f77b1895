use std::{collections::BTreeMap, path::PathBuf};

use bronzelb_answers::{
    change::{ConfigChange, compare_snapshots},
    read_answers,
};
use bronzelb_kernel::{
    config::ConfigSnapshot,
    error::MeshError,
    ids::{DataCentre, MeshName},
};
use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::{
    builder::{CommandSpec, timeout_arg},
    error::CommandError,
    output::OutputPrinter,
    platform::{PlatformAccess, read_accepted_snapshot},
};

pub(crate) const DIFF_COMMAND: CommandSpec = CommandSpec {
    name: "diff",
    build,
    run,
};

const ANSWERS: &str = "answers";
const MAX_FILES: usize = 2;
const PROXY_PREFIX: &str = "proxies.";

const EXAMPLES: &str = "\
Examples:
  bronzelb diff answers.yaml --platform 10.1.0.4:8080
  bronzelb diff answers-before.yaml answers.yaml
  git show HEAD:answers.yaml > /tmp/old.yaml && bronzelb diff /tmp/old.yaml answers.yaml

With one file the change is the one that publishing it would make to the newest accepted version.
Lines start with + for what is added, - for what is removed and ~ for what changes.";

/// Effect of a change of answers, grouped by the proxies that it affects.
#[derive(Debug, Serialize)]
struct DiffReport {
    /// Changes that apply to every proxy.
    every_proxy: Vec<ConfigChange>,
    /// Changes that apply only to the proxies of one data centre.
    data_centres: BTreeMap<DataCentre, Vec<ConfigChange>>,
}

fn build(command: Command) -> Command {
    command
        .about("Shows what a change of answers does to every proxy")
        .after_help(EXAMPLES)
        .arg(
            Arg::new(ANSWERS)
                .value_name("ANSWERS")
                .value_parser(value_parser!(PathBuf))
                .num_args(1..=MAX_FILES)
                .required(true)
                .help("YAML files with the answers before and after the change, or only after"),
        )
        .args(PlatformAccess::optional_args())
        .arg(timeout_arg("30s"))
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let paths: Vec<_> = matches
        .get_many::<PathBuf>(ANSWERS)
        .expect("the argument is required")
        .collect();
    let (old, new) = match paths.as_slice() {
        [new] => {
            let new = read_answers(new)?;
            (read_accepted(matches, &new.mesh)?, new)
        }
        [old, new, ..] => (read_answers(old)?, read_answers(new)?),
        [] => unreachable!("the argument is required"),
    };
    let report = DiffReport::new(&old, &new);
    printer.result(report.to_text(), &report);
    Ok(())
}

fn read_accepted(matches: &ArgMatches, mesh: &MeshName) -> Result<ConfigSnapshot, MeshError> {
    actix_web::rt::System::new().block_on(async {
        let access = PlatformAccess::from_optional(matches)?.ok_or_else(|| {
            MeshError::invalid("one file needs --platform, or a second file to compare with")
        })?;
        read_accepted_snapshot(&access, mesh).await
    })
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
                    .find(|(centre, _)| is_field_of(rest, centre))
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

fn is_field_of(path: &str, centre: &DataCentre) -> bool {
    path.strip_prefix(centre.as_str())
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn heading(scope: &str, changes: &[ConfigChange]) -> String {
    match changes.len() {
        0 => format!("{scope}: no change"),
        1 => format!("{scope}: 1 change"),
        count => format!("{scope}: {count} changes"),
    }
}
