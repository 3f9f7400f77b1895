//! Selection of a backend server among failing, slow, cold and misreporting servers.

use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::{
        BackendName, DataCentre, IncarnationNumber, RequestRate, RouteName, ServiceName, SlotCount,
    },
    member::{
        BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, MemberTable,
        StatedLimit,
    },
    request::{
        AttemptOutcome, LatencyTarget, LoadBalancer, SelectionCriteria, ServerLoad, TimePublisher,
    },
    rollout::VersionSplit,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SEED: u64 = 7;
const SLOTS: u32 = 12;
const STEP: TimeBudget = TimeBudget::from_millis(1);

struct Fixture {
    balancer: LoadBalancer,
    service: ServiceName,
    home: DataCentre,
    spill: Vec<DataCentre>,
    now: ClockInstant,
    rng: SmallRng,
    split: VersionSplit,
}

impl Fixture {
    fn new(placement: &[(&str, &str)]) -> Self {
        let mut fixture = Self {
            balancer: LoadBalancer::default(),
            service: name("tracker"),
            home: name("leuven"),
            spill: vec![name("gent"), name("luik")],
            now: ClockInstant::from_millis(1_000_000),
            rng: SmallRng::seed_from_u64(SEED),
            split: VersionSplit::any(),
        };
        fixture.sync(placement, TimeBudget::ZERO);
        fixture
    }

    fn sync(&mut self, placement: &[(&str, &str)], slow_start: TimeBudget) {
        let rows: Vec<MemberRow> = placement.iter().map(member).collect();
        self.balancer.sync(self.now, rows.iter(), |_| slow_start);
    }

    fn choose(&mut self, tried: &[BackendName]) -> Option<BackendName> {
        let criteria = SelectionCriteria {
            service: &self.service,
            versions: self.split.choose(0),
            data_centre: &self.home,
            spill_order: &self.spill,
            tried,
            latency_target: None,
        };
        let location = self.balancer.select(self.now, &criteria, &mut self.rng)?;
        Some(location.backend)
    }

    fn record_outcome(&mut self, backend: &BackendName, outcome: AttemptOutcome, took: TimeBudget) {
        self.balancer
            .record_outcome(self.now, &self.service, backend, outcome, took);
    }

    /// Runs `count` requests one after another and returns the number of requests per server.
    fn run(
        &mut self,
        count: usize,
        outcome: impl Fn(&str) -> AttemptOutcome,
    ) -> BTreeMap<String, usize> {
        let mut shares = BTreeMap::new();
        for _ in 0..count {
            let backend = self.choose(&[]).expect("a server is left");
            self.now = self.now.after(STEP);
            self.record_outcome(&backend, outcome(backend.as_str()), STEP);
            *shares.entry(backend.to_string()).or_insert(0) += 1;
        }
        shares
    }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("name is valid")
}

fn member(location: &(&str, &str)) -> MemberRow {
    let (backend, data_centre) = *location;
    MemberRow {
        node: name(&format!("node-{backend}")),
        incarnation: IncarnationNumber::new(1),
        revision: 1,
        state: MemberState::Serving,
        data_centre: name(data_centre),
        peer_address: "127.0.0.1:1".parse().expect("address is valid"),
        backends: vec![BackendRow {
            incarnation: BackendIncarnation::default(),
            limit: StatedLimit::Unknown,
            name: name(backend),
            service: name("tracker"),
            version: name("v1"),
            slots: SlotCount::new(SLOTS),
            state: BackendState::Serving,
            is_reported_healthy: true,
            cold_until: None,
            times: BTreeMap::new(),
        }],
    }
}

const THREE: [(&str, &str); 3] = [("a", "leuven"), ("b", "leuven"), ("c", "leuven")];

#[test]
fn fast_failing_server_gets_little_traffic() {
    let mut fixture = Fixture::new(&THREE);
    let shares = fixture.run(3_000, |backend| match backend {
        "a" => AttemptOutcome::Failed,
        _ => AttemptOutcome::Served,
    });
    let failed = shares.get("a").copied().unwrap_or(0);
    assert!(failed < 100, "the failing server got {failed} of 3000");
}

#[test]
fn service_that_fails_everywhere_keeps_servers() {
    let mut fixture = Fixture::new(&THREE);
    fixture.run(1_000, |_| AttemptOutcome::Failed);
    let ejected = ["a", "b", "c"]
        .iter()
        .filter(|backend| {
            fixture
                .balancer
                .is_ejected(fixture.now, &fixture.service, &name(backend))
        })
        .count();
    assert!(ejected <= 1, "{ejected} of 3 servers are ejected");
}

#[test]
fn unreachable_servers_are_ejected_except_the_last() {
    let mut fixture = Fixture::new(&THREE);
    let shares = fixture.run(2_000, |backend| match backend {
        "c" => AttemptOutcome::Served,
        _ => AttemptOutcome::Unreached,
    });
    assert!(shares["c"] > 1_900, "{shares:?}");
    fixture.run(200, |_| AttemptOutcome::Unreached);
    assert!(fixture.choose(&[]).is_some());
}

#[test]
fn recovered_server_gets_its_share_back() {
    let mut fixture = Fixture::new(&THREE);
    fixture.run(500, |backend| match backend {
        "a" => AttemptOutcome::Failed,
        _ => AttemptOutcome::Served,
    });
    fixture.run(5_000, |_| AttemptOutcome::Served);
    let shares = fixture.run(3_000, |_| AttemptOutcome::Served);
    assert!(shares["a"] > 600, "{shares:?}");
}

#[test]
fn new_server_starts_slowly() {
    let mut fixture = Fixture::new(&THREE[..2]);
    fixture.sync(&THREE, TimeBudget::from_secs(10));
    let first = fixture.run(900, |_| AttemptOutcome::Served);
    let cold = first.get("c").copied().unwrap_or(0);
    assert!(cold < 150, "the cold server got {cold} of 900");
    fixture.now = fixture.now.after(TimeBudget::from_secs(20));
    let later = fixture.run(900, |_| AttemptOutcome::Served);
    assert!(later["c"] > 200, "{later:?}");
}

#[test]
fn frozen_server_is_avoided_before_its_first_timeout() {
    let mut fixture = Fixture::new(&THREE);
    let mut hanging = 0;
    for _ in 0..2_000 {
        let backend = fixture.choose(&[]).expect("a server is left");
        fixture.now = fixture.now.after(STEP);
        match backend.as_str() {
            "a" => hanging += 1,
            _ => fixture.record_outcome(&backend, AttemptOutcome::Served, STEP),
        }
    }
    assert!(
        hanging < 100,
        "{hanging} of 2000 requests wait at the frozen server"
    );
}

#[test]
fn load_report_of_zero_does_not_override_own_request_count() {
    let mut fixture = Fixture::new(&THREE);
    let mut held = BTreeMap::new();
    for _ in 0..3 * SLOTS {
        let backend = fixture.choose(&[]).expect("a server is left");
        let service = fixture.service.clone();
        let idle = ServerLoad::default();
        fixture
            .balancer
            .report_load(fixture.now, &service, &name("a"), idle);
        *held.entry(backend.to_string()).or_insert(0) += 1;
    }
    assert!(held["a"] <= SLOTS + 4, "{held:?}");
}

#[test]
fn load_spills_over_in_order_only_when_the_home_data_centre_is_full() {
    let placement = [("a", "leuven"), ("b", "gent"), ("c", "luik")];
    let mut fixture = Fixture::new(&placement);
    let first: Vec<String> = (0..SLOTS)
        .map(|_| fixture.choose(&[]).expect("a server is left").to_string())
        .collect();
    assert!(first.iter().all(|backend| backend == "a"), "{first:?}");
    let next = fixture.choose(&[]).expect("a server is left");
    assert_eq!(next.as_str(), "b");
}

#[test]
fn server_that_sheds_counts_as_full_for_a_while() {
    let mut fixture = Fixture::new(&[("a", "leuven"), ("b", "gent")]);
    let first = fixture.choose(&[]).expect("a server is left");
    assert_eq!(first.as_str(), "a");
    fixture.record_outcome(&first, AttemptOutcome::Shed, STEP);
    let next = fixture.choose(&[]).expect("a server is left");
    assert_eq!(next.as_str(), "b");
    fixture.now = fixture.now.after(TimeBudget::from_secs(1));
    let later = fixture.choose(&[]).expect("a server is left");
    assert_eq!(later.as_str(), "a");
}

#[test]
fn server_that_was_tried_is_not_chosen_again() {
    let mut fixture = Fixture::new(&THREE);
    let tried: Vec<BackendName> = vec![name("a"), name("b")];
    assert_eq!(fixture.choose(&tried), Some(name("c")));
    let all: Vec<BackendName> = vec![name("a"), name("b"), name("c")];
    assert_eq!(fixture.choose(&all), None);
}

#[test]
fn draining_server_gets_no_new_work() {
    let mut fixture = Fixture::new(&THREE);
    let mut rows: Vec<MemberRow> = THREE.iter().map(member).collect();
    rows[0].backends[0].state = BackendState::Draining;
    rows[1].state = MemberState::Draining;
    fixture
        .balancer
        .sync(fixture.now, rows.iter(), |_| TimeBudget::ZERO);
    let shares = fixture.run(300, |_| AttemptOutcome::Served);
    assert_eq!(shares.len(), 1, "{shares:?}");
    assert_eq!(shares["c"], 300);
}

#[test]
fn changed_rows_alone_give_the_same_servers_as_all_rows() {
    const NODES: u64 = 6;
    let mut rng = SmallRng::seed_from_u64(SEED);
    let now = ClockInstant::from_millis(1_000_000);
    let mut table = MemberTable::default();
    let mut incremental = LoadBalancer::default();
    let mut synced = 0;
    for revision in 1..2_000_u64 {
        let index = rng.random_range(0..NODES);
        let node = format!("server-{index}");
        let mut row = member(&(node.as_str(), "leuven"));
        row.revision = revision;
        row.state = match rng.random_range(0..10) {
            0 => MemberState::Gone,
            1 => MemberState::Suspect,
            2 => MemberState::Draining,
            _ => MemberState::Serving,
        };
        let server = &mut row.backends[0];
        // A replaced server has another name and may provide another service.
        server.name = name(&format!("server-{index}-{}", rng.random_range(0..3)));
        server.slots = SlotCount::new(rng.random_range(1..20));
        if rng.random_bool(0.2) {
            server.service = name("archive");
        }
        if rng.random_bool(0.1) {
            row.backends.clear();
        }
        table.merge(row.clone());
        if rng.random_bool(0.02) {
            table.remove(&row.node);
        }
        if rng.random_bool(0.5) {
            continue;
        }
        match table.changed_since(synced) {
            Some(rows) => incremental.sync_changes(now, rows, |_| TimeBudget::ZERO),
            None => incremental.sync(now, table.iter(), |_| TimeBudget::ZERO),
        }
        synced = table.generation();
        let mut full = LoadBalancer::default();
        full.sync(now, table.iter(), |_| TimeBudget::ZERO);
        for service in ["tracker", "archive"].map(name::<ServiceName>) {
            assert_eq!(
                incremental.slots(&service),
                full.slots(&service),
                "{revision}"
            );
            assert_eq!(incremental.has_server(&service), full.has_server(&service));
        }
    }
}

#[test]
fn node_that_has_just_started_spreads_over_all_servers() {
    let mut fixture = Fixture::new(&[]);
    fixture.sync(&THREE, TimeBudget::from_secs(2));
    let mut shares = BTreeMap::new();
    for _ in 0..300 {
        let backend = fixture.choose(&[]).expect("a server is left");
        *shares.entry(backend.to_string()).or_insert(0) += 1;
    }
    assert!(shares.values().all(|share| *share >= 80), "{shares:?}");
}

#[test]
fn returning_server_gets_load_according_to_its_reported_cold_time() {
    let mut fixture = Fixture::new(&THREE);
    let rows_with = |state, cold_until| {
        let mut rows: Vec<MemberRow> = THREE.iter().map(member).collect();
        rows[0].state = state;
        rows[0].backends[0].cold_until = Some(cold_until);
        rows
    };
    let slow_start = |_: &ServiceName| TimeBudget::from_secs(2);
    let mut share_after = |cold_until: ClockInstant| {
        for state in [MemberState::Draining, MemberState::Serving] {
            let rows = rows_with(state, cold_until);
            fixture.balancer.sync(fixture.now, rows.iter(), slow_start);
        }
        let shares = fixture.run(300, |_| AttemptOutcome::Served);
        shares.get("a").copied().unwrap_or(0)
    };
    // Only the node beside the server restarted; the server itself is warm.
    let warm = share_after(ClockInstant::from_millis(1));
    assert!(warm >= 80, "{warm} of 300");
    let cold = share_after(ClockInstant::from_millis(1_010_000));
    assert!((30..=80).contains(&cold), "{cold} of 300");
}

#[test]
fn slow_nearby_server_is_avoided_when_a_remote_one_answers_in_time() {
    let places = [("near", "leuven"), ("far", "gent")];
    let mut fixture = Fixture::new(&places);
    let (service, route) = (fixture.service.clone(), name("history"));
    let rows = places.map(|location| {
        let mut row = member(&location);
        let millis = if location.0 == "near" { 700 } else { 250 };
        let time = TimeBudget::from_millis(millis);
        row.backends[0].times = [(name("history"), time)].into();
        row
    });
    fixture
        .balancer
        .sync(fixture.now, rows.iter(), |_| TimeBudget::ZERO);
    let mut choose = |latency| {
        let (home, spill) = (name("leuven"), [name("gent")]);
        let split = VersionSplit::any();
        let criteria = SelectionCriteria {
            service: &service,
            versions: split.choose(0),
            data_centre: &home,
            spill_order: &spill,
            tried: &[],
            latency_target: Some(LatencyTarget {
                route: &route,
                latency: TimeBudget::from_millis(latency),
            }),
        };
        let location = fixture
            .balancer
            .select(fixture.now, &criteria, &mut fixture.rng);
        location.expect("a server is left").backend.to_string()
    };
    assert_eq!(choose(800), "far");
    // If the nearby server is fast enough for the target, the request stays in its data centre.
    assert_eq!(choose(4_000), "near");
}

#[test]
fn service_times_are_published_only_after_significant_changes() {
    let mut publisher = TimePublisher::default();
    let route: RouteName = name("read");
    let mut published_at = Vec::new();
    for second in 0..60_u64 {
        // The time varies by a tenth around its mean and doubles after 30 s.
        let base = if second < 30 { 100 } else { 200 };
        let time = TimeBudget::from_millis(base + second % 3 * base / 10);
        let now = ClockInstant::from_millis(1_000 * second + 1_000);
        if publisher.update(now, 12, [(&route, time)].into_iter()) {
            published_at.push(second);
        }
    }
    assert_eq!(published_at, [0, 30]);
}

#[test]
fn departed_incarnation_is_never_selected_whatever_rows_follow() {
    let (service, departed): (ServiceName, BackendName) = (name("tracker"), name("a"));
    let row_of = |state, started_at| {
        let mut row = member(&("a", "leuven"));
        row.state = state;
        row.backends[0].incarnation = BackendIncarnation {
            started_at: ClockInstant::from_millis(started_at),
        };
        row
    };
    for entry in 0..295 {
        let mut fixture = Fixture::new(&THREE);
        let mut rng = SmallRng::seed_from_u64(entry);
        let mut started_at = 1;
        let mut departed_at = 0;
        for _ in 0..200 {
            fixture.now = fixture.now.after(STEP);
            // The node beside the server restarts, is cut off or frozen, or forwards a late
            // heartbeat; or the server starts again under its name.
            let state = match rng.random_range(0..8) {
                0 => MemberState::Gone,
                1 => MemberState::Suspect,
                2 => MemberState::Starting,
                _ => MemberState::Serving,
            };
            started_at += u64::from(rng.random_bool(0.02));
            let row = row_of(state, started_at);
            let rows = [&row].into_iter();
            fixture
                .balancer
                .sync_changes(fixture.now, rows, |_| TimeBudget::ZERO);
            if rng.random_bool(0.05) {
                departed_at = started_at;
                let incarnation = row.backends[0].incarnation;
                let balancer = &mut fixture.balancer;
                balancer.record_departure(fixture.now, &service, &departed, incarnation);
            }
            let selected = fixture.choose(&[name("b"), name("c")]);
            let is_host_live = matches!(state, MemberState::Starting | MemberState::Serving);
            let may_select = is_host_live && started_at > departed_at;
            assert_eq!(selected.is_some(), may_select, "entry node {entry}");
            if let Some(selected) = selected {
                fixture.record_outcome(&selected, AttemptOutcome::Served, STEP);
            }
        }
    }
}

#[test]
fn server_that_takes_no_requests_is_tried_once_a_second() {
    let mut fixture = Fixture::new(&THREE);
    let (service, limited): (ServiceName, BackendName) = (name("tracker"), name("a"));
    let none = StatedLimit::Limited(RequestRate::default());
    fixture
        .balancer
        .record_limit(fixture.now, &service, &limited, none);
    let mut tried = 0;
    for _ in 0..10_000 {
        let backend = fixture.choose(&[]).expect("a server is left");
        fixture.now = fixture.now.after(STEP);
        let outcome = match backend == limited {
            true => AttemptOutcome::Shed,
            false => AttemptOutcome::Served,
        };
        tried += usize::from(backend == limited);
        fixture.record_outcome(&backend, outcome, STEP);
    }
    // Ten seconds pass. A server that is never tried could not tell that its limit has ended.
    assert!((5..=12).contains(&tried), "tried {tried} times");
}
