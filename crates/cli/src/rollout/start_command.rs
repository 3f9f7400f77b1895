use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{ConfigVersion, RolloutRule},
    error::{ErrorKind, MeshError},
    ids::{BuildVersion, MeshName, ServiceName},
    rollout::{MoveRecord, MoveRequest, ShareCurve},
};
use clap::{Arg, ArgMatches, Command};
use jiff::Timestamp;

use crate::{
    error::CommandError,
    output::OutputPrinter,
    platform::{PlatformAccess, read_version_row, wall_clock},
    rollout::{
        move_command::{mesh_arg, mesh_of, service_arg, service_of},
        move_printer::{describe, format_instant},
        move_rows::{new_attempt_token, read_row, write_row},
    },
};

const FROM: &str = "from";
const TO: &str = "to";
const BY: &str = "by";

const EXAMPLES: &str = "\
Examples:
  bronzelb move start tracker --from v1 --to v2 --by 30m --mesh hemelval --platform 10.1.0.4:8080
  bronzelb move start tracker --from v1 --to v2 --by 2026-12-04T06:00:00Z --mesh hemelval \\
    --platform 10.1.0.4:8080

The new version's servers must run beside the old ones before a move starts, and the old ones must
stay until it is done. The share of the new version depends on the time and on the observed
requests; the mesh itself takes back a version that fails or is slow.";

pub(crate) fn build(command: Command) -> Command {
    command
        .about("Starts moving a service's traffic to a new version")
        .after_help(EXAMPLES)
        .arg(service_arg().required(true))
        .arg(version_arg(FROM, "Version that the traffic leaves"))
        .arg(version_arg(TO, "Version that the traffic goes to"))
        .arg(
            Arg::new(BY)
                .long(BY)
                .value_name("TIME")
                .required(true)
                .value_parser(parse_by)
                .help("When the move must be done: a time from now such as 30m, or an instant"),
        )
        .arg(mesh_arg())
        .args(PlatformAccess::args())
}

pub(crate) fn run(
    matches: &ArgMatches,
    printer: &mut OutputPrinter<'_>,
) -> Result<(), CommandError> {
    let record = actix_web::rt::System::new().block_on(start(matches))?;
    let warning = deadline_warning(&record);
    printer.result(format!("{}{warning}", describe(&record)), &record);
    Ok(())
}

async fn start(matches: &ArgMatches) -> Result<MoveRecord, MeshError> {
    let access = PlatformAccess::from_matches(matches)?;
    let mesh = mesh_of(matches);
    let service = service_of(matches).expect("the argument is required");
    let rule = read_rule(&access, mesh, service).await?;
    let request = MoveRequest {
        service: service.clone(),
        from: version_of(matches, FROM),
        to: version_of(matches, TO),
        by: *matches.get_one(BY).expect("the option is required"),
        rule,
    };
    let last = read_row(&access, mesh, service).await?;
    let now = wall_clock();
    let latest = last.as_ref().map(|row| &row.record);
    let record = MoveRecord::start(latest, request, now, new_attempt_token())?;
    write_row(&access, mesh, &record, last.map(|row| row.revision))
        .await
        .map_err(|error| describe_conflict(error, service))?;
    Ok(record)
}

/// Reads the service's rollout rule from the accepted configuration.
async fn read_rule(
    access: &PlatformAccess,
    mesh: &MeshName,
    service: &ServiceName,
) -> Result<RolloutRule, MeshError> {
    let current = read_version_row(access, mesh)
        .await?
        .ok_or_else(|| not_found(format!("mesh {mesh} has no accepted configuration")))?;
    let object = &current.row.object;
    let body = access
        .retry_call(|| access.client.get_object(object, access.deadline))
        .await?
        .ok_or_else(|| not_found(format!("object {object:?} does not exist")))?;
    let version = ConfigVersion::from_bytes(current.row.stamp(), body)?;
    let spec = version.snapshot().services.get(service);
    spec.map(|spec| spec.rollout.clone())
        .ok_or_else(|| not_found(format!("service {service} does not exist in mesh {mesh}")))
}

fn deadline_warning(record: &MoveRecord) -> String {
    if ShareCurve::for_move(record).is_too_short(record) {
        let hold = record.rule.hold;
        let by = format_instant(record.by);
        return format!(
            "\nwarning: with the deadline {by} the time until the full share is shorter than the \
             hold time of {hold}; the move will be late"
        );
    }
    String::new()
}

fn describe_conflict(error: MeshError, service: &ServiceName) -> MeshError {
    match error.kind() {
        ErrorKind::Conflict => MeshError::new(
            ErrorKind::Conflict,
            format!("another operator changed the move of service {service} first"),
        ),
        _ => error,
    }
}

fn version_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("VERSION")
        .required(true)
        .value_parser(|text: &str| text.parse::<BuildVersion>())
        .help(help)
}

fn version_of(matches: &ArgMatches, name: &str) -> BuildVersion {
    let version = matches.get_one::<BuildVersion>(name);
    version.expect("the option is required").clone()
}

fn parse_by(text: &str) -> Result<ClockInstant, MeshError> {
    if let Ok(budget) = text.parse::<TimeBudget>() {
        return Ok(wall_clock().after(budget));
    }
    let instant: Timestamp = text.parse().map_err(|_| {
        MeshError::invalid(format!(
            "time {text:?} is neither a time from now such as \"30m\" nor an instant such as \
             \"2026-12-04T06:00:00Z\""
        ))
    })?;
    let micros = u64::try_from(instant.as_microsecond()).unwrap_or(0);
    Ok(ClockInstant::from_micros(micros))
}

fn not_found(message: String) -> MeshError {
    MeshError::new(ErrorKind::NotFound, message)
}
