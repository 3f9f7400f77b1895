//! The last servers of a service while the nodes beside them are stopped in turn.

use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::{BackendName, DataCentre, IncarnationNumber, NodeName, ServiceName, SlotCount},
    member::{BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, StatedLimit},
    request::{AttemptOutcome, LoadBalancer, SelectionCriteria},
    rollout::VersionSplit,
};
use rand::{SeedableRng, rngs::SmallRng};

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

fn row(number: usize, state: MemberState) -> MemberRow {
    MemberRow {
        node: node(number),
        incarnation: IncarnationNumber::new(1),
        revision: 0,
        state,
        data_centre: "leuven".parse().expect("name is valid"),
        peer_address: ([127, 0, 0, 1], 1).into(),
        backends: vec![BackendRow {
            name: format!("server-{number}").parse().expect("name is valid"),
            service: service(),
            version: "v1".parse().expect("version is valid"),
            state: BackendState::Serving,
            slots: SlotCount::new(6),
            is_reported_healthy: true,
            cold_until: None,
            times: BTreeMap::new(),
            limit: StatedLimit::Unknown,
            incarnation: BackendIncarnation::default(),
        }],
    }
}

fn node(number: usize) -> NodeName {
    format!("node-{number:04}").parse().expect("name is valid")
}

fn service() -> ServiceName {
    "bookings".parse().expect("name is valid")
}

fn select(balancer: &mut LoadBalancer, tried: &[BackendName]) -> Option<BackendName> {
    let (service, split) = (service(), VersionSplit::any());
    let data_centre: DataCentre = "leuven".parse().expect("name is valid");
    let criteria = SelectionCriteria {
        service: &service,
        versions: split.choose(0),
        data_centre: &data_centre,
        spill_order: &[],
        tried,
        latency_target: None,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let selected = balancer.select(at(1), &criteria, &mut rng)?;
    let outcome = AttemptOutcome::Abandoned;
    let took = TimeBudget::from_millis(1);
    balancer.record_outcome(at(1), &service, &selected.backend, outcome, took);
    Some(selected.backend)
}

fn sync(balancer: &mut LoadBalancer, rows: &[MemberRow]) {
    balancer.sync_changes(at(1), rows.iter(), |_| TimeBudget::ZERO);
}

/// Guards against servers that are idle while the node beside them starts or stops, although their
/// service has no other.
#[test]
fn server_of_a_stopping_node_is_used_if_there_is_no_other() {
    let mut balancer = LoadBalancer::default();
    sync(
        &mut balancer,
        &[row(1, MemberState::Draining), row(2, MemberState::Serving)],
    );
    let second = select(&mut balancer, &[]);
    assert_eq!(second, Some("server-2".parse().expect("name is valid")));
    sync(&mut balancer, &[row(2, MemberState::Gone)]);
    assert!(balancer.has_server(&service()));
    let first = select(&mut balancer, &[]);
    assert_eq!(first, Some("server-1".parse().expect("name is valid")));
    // The node beside the other server is back, but does not serve callers yet.
    sync(&mut balancer, &[row(2, MemberState::Starting)]);
    assert_eq!(select(&mut balancer, &[]), second);
}

/// Guards against requests to a server that itself leaves: then the node's stop changes nothing.
#[test]
fn leaving_server_is_no_last_resort() {
    let mut balancer = LoadBalancer::default();
    let mut leaving = row(1, MemberState::Draining);
    leaving.backends[0].state = BackendState::Draining;
    sync(&mut balancer, &[leaving]);
    assert!(!balancer.has_server(&service()));
    assert_eq!(select(&mut balancer, &[]), None);
    assert!(!balancer.is_last_host(&node(1)));
    let departing = row(2, MemberState::Draining);
    let backend = departing.backends[0].name.clone();
    sync(&mut balancer, &[departing]);
    assert!(balancer.has_server(&service()));
    balancer.record_departure(at(1), &service(), &backend, BackendIncarnation::default());
    assert!(!balancer.has_server(&service()));
}

/// Milliseconds of a stop: until the mesh is told, until the node may stop accepting, until it must,
/// and until it is back.
const TOLD: u64 = 1_700;
const MAY_CLOSE: u64 = 2_300;
const MUST_CLOSE: u64 = 4_100;
const RESTART: u64 = 1_800;
/// Age of the news of other nodes.
const NEWS_AGE: u64 = 1_000;

/// Plays the stop of the `hosts` nodes beside the servers of one service, `gap` milliseconds apart.
/// Returns the milliseconds in which no host accepts requests.
fn play(hosts: usize, gap: u64, keeps: bool) -> u64 {
    #[derive(Clone, Copy)]
    struct Host {
        stops_at: u64,
        closed_at: Option<u64>,
    }
    let mut states: Vec<Host> = (0..hosts)
        .map(|index| Host {
            stops_at: 1_000 + gap * index as u64,
            closed_at: None,
        })
        .collect();
    // State that the others see of a host at a moment.
    let state_at = |host: &Host, now: u64| match host.closed_at {
        Some(closed) if now >= closed + RESTART => MemberState::Starting,
        Some(closed) if now >= closed => MemberState::Gone,
        _ if now >= host.stops_at + TOLD => MemberState::Draining,
        _ => MemberState::Serving,
    };
    let mut balancers: Vec<_> = (0..hosts).map(|_| LoadBalancer::default()).collect();
    let mut idle = 0;
    for now in (0..30_000).step_by(10) {
        for index in 0..hosts {
            let host = states[index];
            if host.closed_at.is_some() || now < host.stops_at + MAY_CLOSE {
                continue;
            }
            let rows: Vec<_> = states
                .iter()
                .enumerate()
                .map(|(other, seen)| match other == index {
                    true => row(other, MemberState::Draining),
                    false => row(other, state_at(seen, now.saturating_sub(NEWS_AGE))),
                })
                .collect();
            sync(&mut balancers[index], &rows);
            let is_last = keeps && balancers[index].is_last_host(&node(index));
            if !is_last || now >= host.stops_at + MUST_CLOSE {
                states[index].closed_at = Some(now);
            }
        }
        let accepts = |host: &Host| {
            let closed = host.closed_at;
            closed.is_none_or(|closed| now < closed || now >= closed + RESTART)
        };
        idle += 10 * u64::from(!states.iter().any(accepts));
    }
    idle
}

/// Guards against a service without a server while the nodes beside its three servers are stopped one after
/// the other: each sees news of the others that is a second old.
#[test]
fn service_keeps_a_server_while_its_nodes_stop_in_turn() {
    assert_eq!(play(3, 1_000, true), 0);
    let (kept, dropped) = (play(3, 500, true), play(3, 500, false));
    assert_eq!(kept, 0);
    assert!(dropped > 0, "the load needs no waiting");
    println!("without a server for {kept} ms, {dropped} ms if no node waits");
    // Two that stop together cannot help each other: one of them is back as soon as it can be.
    let together = play(2, 0, true);
    assert!(together <= RESTART, "{together} ms");
    assert!(play(2, 500, false) > play(2, 500, true));
}
