//! Error budget burn: the request counts and the report.

use bronzelb_kernel::{
    burn::{BurnKey, BurnReport, BurnTable, NodeBurn},
    clock::{ClockInstant, TimeBudget},
    config::RouteObjective,
    ids::MoveNumber,
};

const HOUR: u64 = 3_600;

fn at(secs: u64) -> ClockInstant {
    ClockInstant::from_millis((1_000_000 * 60 + secs) * 1_000)
}

fn key(version: &str, number: Option<u64>) -> BurnKey {
    BurnKey {
        route: "read".parse().unwrap(),
        service: "tracker".parse().unwrap(),
        version: Some(version.parse().unwrap()),
        running_move: number.map(MoveNumber::new),
    }
}

fn node(name: &str, data_centre: &str, table: &BurnTable, now: ClockInstant) -> NodeBurn {
    let objective = RouteObjective {
        success: "99%".parse().unwrap(),
        latency: TimeBudget::from_millis(250),
    };
    NodeBurn {
        node: name.parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        now,
        objectives: [("read".parse().unwrap(), objective)].into(),
        rows: table.rows(now),
    }
}

#[test]
fn report_contains_burn_rates_and_budget_by_version_move_and_data_centre() {
    let mut first = BurnTable::default();
    let mut second = BurnTable::default();
    for request in 0..100 {
        first.record(key("v1", None), false, at(0));
        first.record(key("v2", Some(1)), request < 10, at(HOUR - 60));
        second.record(key("v1", None), false, at(0));
        second.record(key("v1", None), false, at(HOUR - 60));
    }
    let now = at(HOUR);
    let nodes = [
        node("n1", "dc1", &first, now),
        node("n2", "dc2", &second, now),
    ];
    let report = BurnReport::from_nodes(&nodes, vec!["node n3: no answer".into()], now);
    assert_eq!((report.nodes, report.not_heard.len()), (2, 1));
    let line = &report.lines[0];
    assert_eq!((line.long.cell.requests, line.long.cell.bad), (400, 10));
    assert_eq!((line.short.cell.requests, line.short.cell.bad), (200, 10));
    assert!((line.short.rate - 5.0).abs() < 1e-6, "{}", line.short.rate);
    assert!((line.long.rate - 2.5).abs() < 1e-6, "{}", line.long.rate);
    let bad = |spends: &[bronzelb_kernel::burn::BurnSpend]| -> Vec<(String, u64)> {
        let spends = spends.iter();
        spends
            .map(|spend| (spend.name.to_string(), spend.cell.bad))
            .collect()
    };
    let pair = |name: &str, bad| (name.to_owned(), bad);
    assert_eq!(bad(&line.versions), [pair("v1", 0), pair("v2", 10)]);
    assert_eq!(bad(&line.moves), [pair("move 1", 10), pair("no move", 0)]);
    assert_eq!(bad(&line.data_centres), [pair("dc1", 10), pair("dc2", 0)]);
    assert!((line.versions[1].budget_part - 2.5).abs() < 1e-6);
    assert_eq!(line.minutes.len(), 2);
}

#[test]
fn counts_older_than_an_hour_are_dropped() {
    let mut table = BurnTable::default();
    for minute in 0..200 {
        table.record(key("v1", None), false, at(minute * 60));
    }
    assert_eq!(table.rows(at(199 * 60)).len(), 61);
    assert!(table.rows(at(1_000 * 60)).is_empty());
}

#[test]
fn keys_per_minute_are_bounded() {
    let mut table = BurnTable::default();
    for version in 0..5_000 {
        table.record(key(&format!("v{version}"), None), true, at(0));
    }
    assert_eq!(table.rows(at(0)).len(), 2_048);
}

#[test]
fn objective_of_100_percent_counts_any_error_as_whole_budget() {
    let mut table = BurnTable::default();
    table.record(key("v1", None), true, at(0));
    let mut node = node("n1", "dc1", &table, at(1));
    for objective in node.objectives.values_mut() {
        objective.success = "100%".parse().unwrap();
    }
    let report = BurnReport::from_nodes(&[node], Vec::new(), at(1));
    assert!((report.lines[0].long.rate - 1.0).abs() < 1e-9);
}
