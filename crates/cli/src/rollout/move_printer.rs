use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::ClockInstant,
    config::ShareRatio,
    ids::{DataCentre, RouteName},
    rollout::{MarkCause, MoveMark, MoveOutlook, MoveRecord, MoveState, RouteTally},
};
use jiff::Timestamp;
use serde::{Deserialize, Serialize};

/// Element of a node's response to `GET /v1/moves`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct NodeMove {
    pub(crate) record: MoveRecord,
    pub(crate) mark: Option<MoveMark>,
    pub(crate) outlook: Option<MoveOutlook>,
    pub(crate) routes: BTreeMap<RouteName, NodeRoute>,
}

/// Traffic share and request counts of a route.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct NodeRoute {
    pub(crate) share: ShareRatio,
    pub(crate) tally: RouteTally,
}

/// Describes a move from its record in the platform's table.
pub(crate) fn describe(record: &MoveRecord) -> String {
    let head = format!(
        "move {} of service {} from {} to {}: {}",
        record.number, record.service, record.from, record.to, record.state
    );
    match record.state {
        MoveState::Running => format!("{head}, due by {}", format_instant(record.by)),
        MoveState::Done => format!("{head}{}", describe_done(record)),
        MoveState::TakenBack => format!("{head}{}", describe_mark(record.mark.as_ref())),
    }
}

/// Describes a node's view of a move.
pub(crate) fn describe_node_move(node_move: &NodeMove) -> String {
    let record = &node_move.record;
    let mut text = format!("move {} of service {}", record.number, record.service);
    match (record.state, &node_move.mark) {
        (MoveState::Running, Some(mark)) => {
            text +=
                ": the new version gets no more requests; mark not yet in the platform's row, set";
            text += &describe_mark(Some(mark));
        }
        (MoveState::Running, None) => {
            if let Some(outlook) = &node_move.outlook {
                text += &match outlook.is_on_time() {
                    true => ", on time".to_owned(),
                    false => format!(", will be late: {outlook}"),
                };
            }
        }
        (state, _) => text += &format!(", {state}"),
    }
    for (name, route) in &node_move.routes {
        text += &format!(
            "\n  route {name}: share {}, {} requests on {}, {} on {}",
            route.share, route.tally.new, record.to, route.tally.old, record.from
        );
        if route.tally.recheck_share.is_some() {
            text += ", share limited by a recheck";
        }
    }
    text
}

/// Formats an instant in RFC 3339 form.
pub(crate) fn format_instant(instant: ClockInstant) -> String {
    let millis = i64::try_from(instant.as_millis()).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(millis)
        .map_or_else(|_| instant.to_string(), |instant| instant.to_string())
}

fn describe_done(record: &MoveRecord) -> String {
    let mut text = String::new();
    if let Some(statement) = &record.statement {
        text += &format!(" at {}", format_instant(statement.decided_at));
        text += &format!(" ({})", statement.figures);
        if !statement.unheard.is_empty() {
            let names = statement.unheard.iter().map(DataCentre::as_str);
            let names = names.collect::<Vec<_>>().join(", ");
            text += &format!("; not heard: {names}");
        }
    }
    if let Some(mark) = &record.mark {
        text += &format!(
            "; marked since{}: start a move back",
            describe_mark(Some(mark))
        );
    }
    text
}

fn describe_mark(mark: Option<&MoveMark>) -> String {
    let Some(mark) = mark else {
        return String::new();
    };
    let cause = match mark.cause {
        MarkCause::Failures => "failures",
        MarkCause::Latency => "latency",
        MarkCause::Operator => "operator",
    };
    let mut text = format!(" at {}, {cause}", format_instant(mark.marked_at));
    if mark.cause != MarkCause::Operator {
        text += &format!(" ({})", mark.figures);
    }
    if let (Some(node), Some(centre)) = (&mark.node, &mark.data_centre) {
        text += &format!(", seen by {node} in {centre}");
    }
    text
}
