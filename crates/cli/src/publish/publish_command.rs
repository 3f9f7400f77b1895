use std::env;

use bronzelb_answers::read_answers;
use bronzelb_kernel::{
    error::MeshError,
    ids::{AttemptToken, VersionNumber},
    spread::PublishAttempt,
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use compact_str::CompactString;

use crate::{
    builder::{CommandSpec, answers_arg, answers_path, timeout_deadline},
    error::CommandError,
    nodes::{NodeArgs, NodeClient},
    output::OutputPrinter,
    platform::{PlatformAccess, wall_clock},
    publish::{
        version_publisher::{PublishReport, publish_snapshot},
        version_wait::wait_for_version,
    },
};

pub(crate) const PUBLISH_COMMAND: CommandSpec = CommandSpec {
    name: "publish",
    build,
    run,
};

const WAIT: &str = "wait";
const PUBLISHER: &str = "publisher";
const UNKNOWN_PUBLISHER: &str = "unknown";

const EXAMPLES: &str = "\
Examples:
  bronzelb publish answers.yaml --platform 10.1.0.4:8080
  bronzelb publish answers.yaml --platform 10.1.0.4:8080 --publisher anna --output json
  bronzelb publish answers.yaml --platform 10.1.0.4:8080 --wait --node 127.0.0.1:9200

Answers with a mistake are not published, not even in part. If two operators publish at the
same time, one is accepted and the other gets exit code 5. Publishing the same answers again
changes nothing. With --wait the command ends once every --node has the version in force, or with
exit code 6 at the timeout; the version remains accepted then.";

fn build(command: Command) -> Command {
    command
        .about("Makes the configuration that answers ask for the mesh's newest version")
        .after_help(EXAMPLES)
        .arg(answers_arg())
        .args(PlatformAccess::args())
        .args(NodeArgs::args())
        .arg(
            Arg::new(WAIT)
                .long(WAIT)
                .action(ArgAction::SetTrue)
                .requires("node")
                .help("Waits until every --node has the version in force"),
        )
        .arg(
            Arg::new(PUBLISHER)
                .long("publisher")
                .value_name("NAME")
                .help("Publisher that other operators see [default: the user's name]"),
        )
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let snapshot = read_answers(answers_path(matches))?;
    let attempt = PublishAttempt {
        token: AttemptToken::new(rand::random()),
        publisher: publisher(matches),
        started_at: wall_clock(),
    };
    let system = actix_web::rt::System::new();
    let report = system.block_on(async {
        let access = PlatformAccess::from_matches(matches)?;
        publish_snapshot(&access, snapshot, attempt).await
    })?;
    printer.result(describe(report), &report);
    if matches.get_flag(WAIT) {
        system.block_on(wait(matches, report.stamp().number))?;
    }
    Ok(())
}

async fn wait(matches: &ArgMatches, number: VersionNumber) -> Result<(), MeshError> {
    let client = NodeClient::new(NodeArgs::token_path(matches))?;
    let addresses = NodeArgs::addresses(matches);
    let deadline = timeout_deadline(matches);
    wait_for_version(&client, &addresses, number, deadline).await
}

fn publisher(matches: &ArgMatches) -> CompactString {
    matches
        .get_one::<String>(PUBLISHER)
        .cloned()
        .or_else(|| env::var("USER").ok())
        .map_or_else(|| UNKNOWN_PUBLISHER.into(), CompactString::from)
}

fn describe(report: PublishReport) -> String {
    let stamp = report.stamp();
    match report {
        PublishReport::Accepted(_) => {
            format!("accepted as version {} (hash {})", stamp.number, stamp.hash)
        }
        PublishReport::Unchanged(_) => format!(
            "unchanged: version {} already has this content (hash {})",
            stamp.number, stamp.hash
        ),
    }
}
