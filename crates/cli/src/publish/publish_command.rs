use std::env;

use bronzelb_answers::read_answers;
use bronzelb_kernel::{ids::AttemptToken, spread::PublishAttempt};
use clap::{Arg, ArgMatches, Command};
use compact_str::CompactString;

use crate::{
    builder::{CommandSpec, answers_arg, answers_path},
    error::CommandError,
    output::OutputPrinter,
    platform::{PlatformAccess, wall_clock},
    publish::version_publisher::{PublishReport, publish_snapshot},
};

pub(crate) const PUBLISH_COMMAND: CommandSpec = CommandSpec {
    name: "publish",
    build,
    run,
};

const PUBLISHER: &str = "publisher";
const UNKNOWN_PUBLISHER: &str = "unknown";

const EXAMPLES: &str = "\
Examples:
  bronzelb publish answers.yaml --platform 10.1.0.4:8080
  bronzelb publish answers.yaml --platform 10.1.0.4:8080 --publisher anna --output json

Answers with a mistake are not published, not even in part. Of two operators who publish at the
same time one is accepted, and the other gets exit code 5. Publishing the same answers again
changes nothing.";

fn build(command: Command) -> Command {
    command
        .about("Makes the configuration that answers ask for the mesh's newest version")
        .after_help(EXAMPLES)
        .arg(answers_arg())
        .args(PlatformAccess::args())
        .arg(
            Arg::new(PUBLISHER)
                .long("publisher")
                .value_name("NAME")
                .help("Who publishes, for other operators to see [default: the user's name]"),
        )
}

fn run(matches: &ArgMatches, printer: &mut OutputPrinter<'_>) -> Result<(), CommandError> {
    let snapshot = read_answers(answers_path(matches))?;
    let attempt = PublishAttempt {
        token: AttemptToken::new(rand::random()),
        publisher: publisher(matches),
        started_at: wall_clock(),
    };
    let report = actix_web::rt::System::new().block_on(async {
        let access = PlatformAccess::from_matches(matches)?;
        publish_snapshot(&access, snapshot, attempt).await
    })?;
    printer.result(describe(report), &report);
    Ok(())
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
