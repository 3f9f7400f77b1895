use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use rand::Rng;

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::{
        BackendName, BuildVersion, DataCentre, NodeName, RequestRate, RouteName, ServiceName,
        SlotCount,
    },
    member::{BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, StatedLimit},
    request::{
        AttemptOutcome, ServerLoad, ServerLocation,
        load_average::LoadAverage,
        load_placement::select_by_load,
        notice_table::NoticeTable,
        server_stats::{ServerStats, TimeEstimate},
    },
    rollout::{ServerGroup, VersionChoice},
};

/// Time for which a data centre is avoided after a refusal because of an evacuation; the order
/// itself arrives by gossip within about a second.
const EVACUATED_REFUSAL_LIFETIME: TimeBudget = TimeBudget::from_secs(1);
/// At most one in this many of a service's servers is ejected for failures.
const MAX_EJECTED_DIVISOR: usize = 2;
/// Fraction of the target latency that the expected time may use; the rest covers requests that
/// take longer than average.
const SAFE_LATENCY_FRACTION: f64 = 0.6;
/// Steepness with which the share of late responses rises with the mean time; fits log-normal times
/// with a standard deviation of 0.4.
const LATENESS_STEEPNESS: f64 = 4.25;
/// Memory of the mean load of a data centre: demand that swings over 15 s changes little in it, and
/// it covers some ten responses to a node with 11 requests a second.
const DATA_CENTRE_MEMORY: TimeBudget = TimeBudget::from_secs(1);
/// Assumed requests per slot of a data centre without news: it is just full, so that it is worth a
/// try and no more than that.
const ASSUMED_LOAD: f64 = 1.0;
/// Least weight of a server that is not expected to respond in time, relative to one that is.
const MIN_SHARE: f64 = 0.01;
/// Weight of one response in the moving mean of the round trip to a data centre, which evens out
/// pauses of the nodes' processors.
const ROUND_TRIP_WEIGHT: f64 = 0.1;
/// Minimum time after which a refused request may return, in microseconds: a few round trips to the
/// caller. It is spread over as much again.
const MIN_RETURN_DELAY_MICROS: u64 = 5_000;

/// Criteria for selecting a backend server for a request.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Service that the request is addressed to.
    pub service: &'a ServiceName,
    /// Versions that may serve the request, by rank.
    pub versions: VersionChoice<'a>,
    /// Data centre of the selecting node.
    pub data_centre: &'a DataCentre,
    /// Other data centres, nearest first.
    pub spill_order: &'a [DataCentre],
    /// Servers that the request has already been sent to; they are excluded.
    pub tried: &'a [BackendName],
    /// Route and its target latency; `None` if expected service times are ignored.
    pub latency_target: Option<LatencyTarget<'a>>,
}

/// Target latency of a route.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTarget<'a> {
    /// Route of the request.
    pub route: &'a RouteName,
    /// Target latency of the route.
    pub latency: TimeBudget,
}

impl LatencyTarget<'_> {
    /// Returns the expected share of responses in time if they take `micros` on average.
    pub(super) fn in_time_share(&self, micros: f64) -> f64 {
        let fraction = micros / (self.latency.as_micros() as f64).max(1.0);
        1.0 / (1.0 + fraction.powf(LATENESS_STEEPNESS))
    }

    /// Returns the error of the expected share of responses in time that follows from the error of
    /// the expected time.
    fn share_error(&self, estimate: TimeEstimate) -> f64 {
        let share = self.in_time_share(estimate.micros);
        LATENESS_STEEPNESS * share * (1.0 - share) * estimate.error
    }

    /// Compares two estimates by the share of responses in time; those that differ by no more than
    /// their error are equal.
    fn compare(&self, first: TimeEstimate, second: TimeEstimate) -> Ordering {
        let difference = self.in_time_share(first.micros) - self.in_time_share(second.micros);
        let margin = self.share_error(first).max(self.share_error(second));
        if difference.abs() <= margin {
            return Ordering::Equal;
        }
        difference.total_cmp(&0.0)
    }

    /// Returns whether responses that take `micros` on average are likely to be in time.
    pub(super) fn is_likely_in_time(&self, micros: f64) -> bool {
        micros <= self.latency.as_micros() as f64 * SAFE_LATENCY_FRACTION
    }
}

/// Load balancer over all backend servers that a node knows in the mesh.
///
/// Selection relies mainly on this node's own observations: outstanding requests, outcomes and the
/// time since the last progress. Load and health reports of other nodes can raise a server's load
/// or halve its weight, but never eject it.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    services: BTreeMap<ServiceName, BTreeMap<BackendName, ServerStats>>,
    /// Servers that each node hosts.
    hosted: BTreeMap<NodeName, Vec<(ServiceName, BackendName)>>,
    notices: NoticeTable,
    /// Rates of requests that cold servers bear, by service.
    cold_rates: BTreeMap<ServiceName, RequestRate>,
    /// Data centres that operators have ordered to be evacuated.
    evacuated: BTreeSet<DataCentre>,
    /// Data centres whose nodes have refused a request because of such an order, which may not
    /// have reached this node yet; until the instant given.
    refusing: BTreeMap<DataCentre, ClockInstant>,
    /// Mean load of a service's servers in each data centre.
    loads: BTreeMap<ServiceName, BTreeMap<DataCentre, LoadAverage>>,
    /// Mean round trip to the hosts of each data centre, in microseconds.
    round_trips: BTreeMap<DataCentre, f64>,
}

impl LoadBalancer {
    /// Adds, updates and removes backend servers to match the rows of all members.
    ///
    /// `slow_start` returns the time in which a new server of a service reaches its full weight.
    pub fn sync<'a>(
        &mut self,
        now: ClockInstant,
        members: impl Iterator<Item = &'a MemberRow>,
        slow_start: impl Fn(&ServiceName) -> TimeBudget,
    ) {
        let members: Vec<_> = members.collect();
        let known_nodes: BTreeSet<_> = members.iter().map(|member| &member.node).collect();
        let lost_nodes: Vec<_> = self
            .hosted
            .keys()
            .filter(|node| !known_nodes.contains(node))
            .cloned()
            .collect();
        for node in lost_nodes {
            self.replace_hosted(&node, Vec::new());
        }
        self.sync_changes(now, members.into_iter(), slow_start);
    }

    /// Does the same as [`LoadBalancer::sync`] for the members whose rows have changed.
    pub fn sync_changes<'a>(
        &mut self,
        now: ClockInstant,
        changed: impl Iterator<Item = &'a MemberRow>,
        slow_start: impl Fn(&ServiceName) -> TimeBudget,
    ) {
        let known_services: BTreeSet<_> = self.services.keys().cloned().collect();
        for member in changed {
            let rows = match is_reachable(member.state) {
                true => member.backends.as_slice(),
                false => &[],
            };
            for row in rows {
                // If the whole service is new to this node, none of its servers needs a slow start.
                let is_new_service = !known_services.contains(&row.service);
                self.sync_row(now, member, row, is_new_service, slow_start(&row.service));
            }
            let hosted = rows
                .iter()
                .map(|row| (row.service.clone(), row.name.clone()));
            self.replace_hosted(&member.node, hosted.collect());
        }
        self.services.retain(|_, servers| !servers.is_empty());
    }

    /// Records which servers a node hosts, and removes those that it no longer hosts.
    fn replace_hosted(&mut self, node: &NodeName, hosted: Vec<(ServiceName, BackendName)>) {
        let before = match hosted.is_empty() {
            true => self.hosted.remove(node),
            false => self.hosted.insert(node.clone(), hosted.clone()),
        };
        for (service, name) in before.into_iter().flatten() {
            if hosted.contains(&(service.clone(), name.clone())) {
                continue;
            }
            let Some(servers) = self.services.get_mut(&service) else {
                continue;
            };
            // A server may already be known at another node.
            if servers
                .get(&name)
                .is_some_and(|server| server.location.node == *node)
            {
                servers.remove(&name);
            }
        }
    }

    /// Selects a server and counts the request as outstanding there until
    /// [`LoadBalancer::record_outcome`].
    ///
    /// Uses the power of two choices: draws two servers at random, by weight, from the nearest data
    /// centre with free capacity and takes the one with fewer requests per slot. Ejected servers
    /// are used only if no other server is left.
    pub fn select(
        &mut self,
        now: ClockInstant,
        criteria: &SelectionCriteria<'_>,
        rng: &mut impl Rng,
    ) -> Option<ServerLocation> {
        self.refusing.retain(|_, until| !until.has_passed(now));
        let servers = self.services.get(criteria.service)?;
        let view = PlacementView {
            now,
            loads: self.loads.get(criteria.service),
            round_trips: &self.round_trips,
            evacuated: &self.evacuated,
            refusing: &self.refusing,
            criteria,
        };
        let name = select_backend(&view, servers, rng)?;
        let servers = self.services.get_mut(criteria.service)?;
        let server = servers.get_mut(&name)?;
        server.begin_attempt(now);
        Some(server.location.clone())
    }

    /// Records the outcome of an attempt that [`LoadBalancer::select`] began.
    pub fn record_outcome(
        &mut self,
        now: ClockInstant,
        service: &ServiceName,
        backend: &BackendName,
        outcome: AttemptOutcome,
        took: TimeBudget,
    ) {
        let Some(servers) = self.services.get_mut(service) else {
            return;
        };
        let may_eject = may_eject(now, servers, backend, outcome);
        let Some(server) = servers.get_mut(backend) else {
            return;
        };
        if server.record_outcome(now, outcome, took) && may_eject {
            server.eject(now);
        }
        if outcome == AttemptOutcome::Shed {
            let load = server.reported_load(now);
            let data_centre = server.location.data_centre.clone();
            self.record_data_centre_load(now, service, data_centre, load);
        }
    }

    /// Records a server's load, as reported in a response of the node beside it.
    pub fn report_load(
        &mut self,
        now: ClockInstant,
        service: &ServiceName,
        backend: &BackendName,
        load: ServerLoad,
    ) {
        let Some(server) = self.server_mut(service, backend) else {
            return;
        };
        server.record_load(now, load);
        let load = server.reported_load(now);
        let data_centre = server.location.data_centre.clone();
        self.record_data_centre_load(now, service, data_centre, load);
    }

    /// Records a response of a server's host that took `took` here, of which the host had the
    /// request for `held`.
    pub fn record_round_trip(
        &mut self,
        service: &ServiceName,
        backend: &BackendName,
        took: TimeBudget,
        held: TimeBudget,
    ) {
        let micros = held.shortfall_from(took).as_micros() as f64;
        let server = self
            .services
            .get(service)
            .and_then(|servers| servers.get(backend));
        let Some(server) = server else {
            return;
        };
        match self.round_trips.get_mut(&server.location.data_centre) {
            Some(mean) => *mean += ROUND_TRIP_WEIGHT * (micros - *mean),
            None => {
                let data_centre = server.location.data_centre.clone();
                self.round_trips.insert(data_centre, micros);
            }
        }
    }

    fn record_data_centre_load(
        &mut self,
        now: ClockInstant,
        service: &ServiceName,
        data_centre: DataCentre,
        load: f64,
    ) {
        if !self.loads.contains_key(service) {
            self.loads.insert(service.clone(), BTreeMap::new());
        }
        let loads = self.loads.get_mut(service).expect("was just added");
        loads
            .entry(data_centre)
            .or_default()
            .record(now, DATA_CENTRE_MEMORY, load);
    }

    /// Records the rate limit that a server states in a response.
    pub fn record_limit(
        &mut self,
        now: ClockInstant,
        service: &ServiceName,
        backend: &BackendName,
        limit: StatedLimit,
    ) {
        self.notices.record_limit(now, backend, limit);
        let known = self.notices.limit(backend);
        if let Some(server) = self.server_mut(service, backend) {
            server.limit = known;
        }
    }

    /// Returns the rate limit that the server is known to state.
    #[must_use]
    pub fn limit(&self, backend: &BackendName) -> StatedLimit {
        self.notices.limit(backend)
    }

    /// Records that an incarnation of a server stated its departure in a response. It is not
    /// selected again, whatever the membership rows say.
    pub fn record_departure(
        &mut self,
        now: ClockInstant,
        service: &ServiceName,
        backend: &BackendName,
        incarnation: BackendIncarnation,
    ) {
        self.notices.record_departure(now, backend, incarnation);
        if let Some(server) = self.server_mut(service, backend) {
            server.state = BackendState::Draining;
            server.is_last_resort = false;
        }
    }

    /// Replaces the rates of requests that one cold server of each service bears.
    pub fn set_cold_rates(&mut self, cold_rates: BTreeMap<ServiceName, RequestRate>) {
        for (service, servers) in &mut self.services {
            for server in servers.values_mut() {
                server.cold_rate = cold_rates.get(service).copied();
            }
        }
        self.cold_rates = cold_rates;
    }

    /// Replaces the set of data centres whose servers are not selected.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataCentre>) {
        self.evacuated = evacuated;
    }

    /// Records that a node of `data_centre` refused a request because of an evacuation.
    ///
    /// The data centre is avoided for a short time only, since the node may not know yet that the
    /// order has ended.
    pub fn record_evacuation_refusal(&mut self, now: ClockInstant, data_centre: &DataCentre) {
        let until = now.after(EVACUATED_REFUSAL_LIFETIME);
        self.refusing.insert(data_centre.clone(), until);
    }

    /// Returns the total declared slots of the service's serving servers.
    #[must_use]
    pub fn slots(&self, service: &ServiceName) -> SlotCount {
        let servers = self
            .services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values);
        let serving = servers.filter(|server| self.is_usable(server));
        SlotCount::new(serving.map(|server| server.slots).sum())
    }

    /// Returns the number of serving servers of a version.
    #[must_use]
    pub fn version_servers(&self, service: &ServiceName, version: &BuildVersion) -> usize {
        let servers = self.services.get(service).into_iter().flatten();
        let serving = servers
            .filter(|(_, server)| server.location.version == *version && self.is_usable(server));
        serving.count()
    }

    /// Returns whether the service has a serving server, or one whose node stops.
    #[must_use]
    pub fn has_server(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|servers| {
            let mut servers = servers.values();
            servers.any(|server| self.is_usable(server) || server.is_last_resort)
        })
    }

    /// Returns whether `node` hosts a live server of a service of which no other node has a serving
    /// one.
    ///
    /// Answers the load of a service whose nodes are stopped one after the other: the node goes on
    /// serving while it may, until a server beside another node is back.
    #[must_use]
    pub fn is_last_host(&self, node: &NodeName) -> bool {
        let hosted = self.hosted.get(node).into_iter().flatten();
        let mut services = hosted.filter_map(|(service, name)| {
            let servers = self.services.get(service)?;
            let own = servers.get(name)?;
            (own.state == BackendState::Serving || own.is_last_resort).then_some(servers)
        });
        services.any(|servers| {
            let mut others = servers
                .values()
                .filter(|server| server.location.node != *node);
            !others.any(|server| self.is_usable(server))
        })
    }

    /// Returns the instant at which a refused request may return because a server that it has not
    /// been sent to has room, or `None` if none has.
    pub fn return_at(
        &self,
        now: ClockInstant,
        service: &ServiceName,
        tried: &[BackendName],
        rng: &mut impl Rng,
    ) -> Option<ClockInstant> {
        let servers = self.services.get(service)?;
        let has_room = servers.values().any(|server| {
            self.is_usable(server)
                && !server.is_ejected(now)
                && !tried.contains(&server.location.backend)
                && f64::from(server.request_count(now)) < server.capacity(now)
        });
        let delay = rng.random_range(MIN_RETURN_DELAY_MICROS..=2 * MIN_RETURN_DELAY_MICROS);
        has_room.then(|| now.after(TimeBudget::from_micros(delay)))
    }

    /// Returns the mean failure share of the service's serving servers.
    #[must_use]
    pub fn failure_share(&self, now: ClockInstant, service: &ServiceName) -> ShareRatio {
        let Some(servers) = self.services.get(service) else {
            return ShareRatio::NONE;
        };
        let serving = servers
            .values()
            .filter(|server| server.state == BackendState::Serving);
        let (sum, count) = serving.fold((0_u64, 0_u64), |(sum, count), server| {
            (
                sum + u64::from(server.failure_ratio(now).as_ppm()),
                count + 1,
            )
        });
        ShareRatio::from_ppm(sum.checked_div(count).unwrap_or(0) as u32)
    }

    /// Returns whether the server is ejected at `now`.
    #[must_use]
    pub fn is_ejected(
        &self,
        now: ClockInstant,
        service: &ServiceName,
        backend: &BackendName,
    ) -> bool {
        self.services
            .get(service)
            .and_then(|servers| servers.get(backend))
            .is_some_and(|server| server.is_ejected(now))
    }

    fn is_usable(&self, server: &ServerStats) -> bool {
        server.state == BackendState::Serving
            && !self.evacuated.contains(&server.location.data_centre)
    }

    fn server_mut(
        &mut self,
        service: &ServiceName,
        backend: &BackendName,
    ) -> Option<&mut ServerStats> {
        self.services.get_mut(service)?.get_mut(backend)
    }

    fn sync_row(
        &mut self,
        now: ClockInstant,
        member: &MemberRow,
        row: &BackendRow,
        is_new_service: bool,
        slow_start: TimeBudget,
    ) {
        let servers = self.services.entry(row.service.clone()).or_default();
        let location = ServerLocation {
            node: member.node.clone(),
            backend: row.name.clone(),
            version: row.version.clone(),
            data_centre: member.data_centre.clone(),
        };
        let server = servers
            .entry(row.name.clone())
            .or_insert_with(|| ServerStats::new(location.clone(), now, slow_start));
        let has_departed = self.notices.has_departed(&row.name, row.incarnation);
        let state = match member.state {
            MemberState::Starting | MemberState::Serving if !has_departed => row.state,
            _ => BackendState::Draining,
        };
        let host_drains = member.state == MemberState::Draining;
        server.is_last_resort = host_drains && !has_departed && row.state == BackendState::Serving;
        let starts_serving =
            state == BackendState::Serving && server.state != BackendState::Serving;
        if starts_serving && !is_new_service && row.cold_until.is_none() {
            server.begin_slow_start(now);
        }
        server.set_cold_until(now, row.cold_until);
        server.cold_rate = self.cold_rates.get(&row.service).copied();
        server.location = location;
        server.slots = row.slots.get();
        server.is_healthy = row.is_reported_healthy;
        // A node that has just restarted does not know the limit yet.
        self.notices.record_limit(now, &row.name, row.limit);
        server.limit = self.notices.limit(&row.name);
        server.service_times.clone_from(&row.times);
        server.state = state;
    }
}

fn is_reachable(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Starting | MemberState::Serving | MemberState::Draining
    )
}

/// Returns whether ejecting `backend` leaves enough servers of the service.
///
/// Unreachable servers cannot serve anyway, so all but the last one may be ejected. Of servers that
/// fail, at most half may be ejected.
fn may_eject(
    now: ClockInstant,
    servers: &BTreeMap<BackendName, ServerStats>,
    backend: &BackendName,
    outcome: AttemptOutcome,
) -> bool {
    let serving = servers
        .values()
        .filter(|server| server.state == BackendState::Serving);
    let others = serving.filter(|server| server.location.backend != *backend);
    // The initial counts include `backend` itself, as ejected.
    let (total, ejected) = others.fold((1, 1), |(total, ejected), server| {
        (total + 1, ejected + usize::from(server.is_ejected(now)))
    });
    match outcome {
        AttemptOutcome::Unreached => ejected < total,
        _ => ejected * MAX_EJECTED_DIVISOR <= total,
    }
}

/// What a node knows when it selects a server.
struct PlacementView<'a> {
    now: ClockInstant,
    loads: Option<&'a BTreeMap<DataCentre, LoadAverage>>,
    round_trips: &'a BTreeMap<DataCentre, f64>,
    evacuated: &'a BTreeSet<DataCentre>,
    refusing: &'a BTreeMap<DataCentre, ClockInstant>,
    criteria: &'a SelectionCriteria<'a>,
}

/// Server that may be selected.
#[derive(Clone, Copy)]
struct ServerCandidate<'a> {
    server: &'a ServerStats,
    /// Expected time until the response is here; `None` if the service time is unknown.
    estimate: Option<TimeEstimate>,
    /// Weight of the server in random draws.
    weight: f64,
}

impl ServerCandidate<'_> {
    fn is_in(&self, data_centre: &DataCentre) -> bool {
        self.server.location.data_centre == *data_centre
    }
}

impl PlacementView<'_> {
    /// Returns whether the data centre accepts requests, as far as the node knows.
    fn is_open(&self, data_centre: &DataCentre) -> bool {
        !self.evacuated.contains(data_centre) && !self.refusing.contains_key(data_centre)
    }

    fn candidate<'a>(&self, server: &'a ServerStats) -> ServerCandidate<'a> {
        let estimate = self.estimate(server);
        let weight = server.weight(self.now);
        // A server gets requests in proportion to its usual speed, fewer if it is full or slowed.
        let weight = match (self.criteria.latency_target, estimate) {
            (Some(target), Some(estimate)) => {
                let share = target.in_time_share(estimate.micros);
                weight * share.max(MIN_SHARE) / estimate.usual_micros.max(1.0)
            }
            _ => weight,
        };
        ServerCandidate {
            server,
            estimate,
            weight,
        }
    }

    fn estimate(&self, server: &ServerStats) -> Option<TimeEstimate> {
        let target = self.criteria.latency_target?;
        let data_centre = &server.location.data_centre;
        let load = self.loads.and_then(|loads| loads.get(data_centre));
        let usual_load = load.map_or(0.0, |load| {
            load.load(self.now, DATA_CENTRE_MEMORY, ASSUMED_LOAD)
        });
        let estimate = server.expected_time(self.now, target.route, usual_load)?;
        let round_trip = self.round_trips.get(data_centre).copied();
        Some(TimeEstimate {
            micros: estimate.micros + round_trip.unwrap_or(0.0),
            ..estimate
        })
    }
}

fn select_backend(
    view: &PlacementView<'_>,
    servers: &BTreeMap<BackendName, ServerStats>,
    rng: &mut impl Rng,
) -> Option<BackendName> {
    let is_open = |server: &ServerStats| view.is_open(&server.location.data_centre);
    let is_serving =
        |server: &ServerStats| server.state == BackendState::Serving && is_open(server);
    let mut all = untried(view, servers, &is_serving);
    if all.is_empty() {
        let is_last_resort = |server: &ServerStats| server.is_last_resort && is_open(server);
        all = untried(view, servers, &is_last_resort);
    }
    let admitted = all.iter().copied();
    let mut servers: Vec<_> = admitted
        .filter(|server| !server.is_ejected(view.now))
        .collect();
    if servers.is_empty() {
        servers = all;
    }
    let selected = match servers.iter().any(|server| server.reports_slowdown()) {
        true => {
            let candidates: Vec<_> = servers
                .iter()
                .map(|server| view.candidate(server))
                .collect();
            // Without a server at home, the better of two anywhere.
            let selected = select_by_time(view, &candidates, rng);
            selected.or_else(|| better_of_two(view, &candidates, rng))
        }
        false => None,
    };
    let selected = match selected {
        Some(selected) => selected.server,
        None => select_by_load(view.now, servers, view.criteria, rng)?,
    };
    Some(selected.location.backend.clone())
}

/// Selects a server by the expected share of responses in time, or returns `None` if expected times
/// are unknown or the home data centre has no server.
///
/// A server of the home data centre is given up for one of another data centre only if that one is
/// better by more than the error of these expectations. Both are drawn at random, so that nodes
/// with the same news do not all select the same server.
fn select_by_time<'a>(
    view: &PlacementView<'_>,
    candidates: &[ServerCandidate<'a>],
    rng: &mut impl Rng,
) -> Option<ServerCandidate<'a>> {
    let criteria = view.criteria;
    let target = criteria.latency_target?;
    let (nearby, remote): (Vec<_>, Vec<_>) = candidates
        .iter()
        .partition(|candidate| candidate.is_in(criteria.data_centre));
    let nearby = better_of_two(view, &nearby, rng)?;
    let near_estimate = nearby.estimate?;
    let is_in_spill_order = |candidate: &ServerCandidate<'_>| {
        let data_centre = &candidate.server.location.data_centre;
        criteria.spill_order.contains(data_centre)
    };
    let remote: Vec<_> = remote.into_iter().filter(is_in_spill_order).collect();
    let Some(remote) = better_of_two(view, &remote, rng) else {
        return Some(nearby);
    };
    let is_better = remote.estimate.is_some_and(|estimate| {
        // A refusal is certain news of the home data centre.
        if !criteria.tried.is_empty() {
            return estimate.micros < near_estimate.micros;
        }
        let order = match target.is_likely_in_time(near_estimate.micros) {
            true => Ordering::Equal,
            false => target.compare(estimate, near_estimate),
        };
        order.then_with(|| compare_waits(estimate, near_estimate)) == Ordering::Greater
    });
    Some(if is_better { remote } else { nearby })
}

/// Compares the waits of two estimates, each relative to the work's usual time there; those that
/// differ by no more than their error are equal. The shorter one is the greater.
fn compare_waits(first: TimeEstimate, second: TimeEstimate) -> Ordering {
    let difference = second.stretch - first.stretch;
    let margin = (first.stretch * first.error).hypot(second.stretch * second.error);
    if difference.abs() <= margin {
        return Ordering::Equal;
    }
    difference.total_cmp(&0.0)
}

/// Returns the untried candidates of the best-ranked version that has a candidate, those of its
/// server group if the choice names one.
fn untried<'a>(
    view: &PlacementView<'_>,
    servers: &'a BTreeMap<BackendName, ServerStats>,
    is_candidate: &impl Fn(&ServerStats) -> bool,
) -> Vec<&'a ServerStats> {
    let criteria = view.criteria;
    let mut best = None;
    let mut all = Vec::with_capacity(servers.len());
    for server in servers.values().filter(|server| is_candidate(server)) {
        let Some(rank) = criteria.versions.rank(&server.location.version) else {
            continue;
        };
        if best.is_none_or(|best| rank < best) {
            best = Some(rank);
            all.clear();
        }
        if best == Some(rank) {
            all.push(server);
        }
    }
    if let Some(group) = criteria.versions.group
        && best == Some(0)
    {
        retain_group(view.now, &mut all, group);
    }
    all.retain(|server| !criteria.tried.contains(&server.location.backend));
    all
}

/// Retains the servers of a group, which is chosen among those that are not ejected.
fn retain_group(now: ClockInstant, servers: &mut Vec<&ServerStats>, group: ServerGroup) {
    if servers.iter().any(|server| !server.is_ejected(now)) {
        servers.retain(|server| !server.is_ejected(now));
    }
    let count = servers.len();
    let mut position = 0;
    servers.retain(|_| {
        position += 1;
        group.contains(position - 1, count)
    });
}

/// Draws two servers and returns the better one: that with the higher share of responses in time
/// or, if these are equal, that with less load.
fn better_of_two<'a>(
    view: &PlacementView<'_>,
    candidates: &[ServerCandidate<'a>],
    rng: &mut impl Rng,
) -> Option<ServerCandidate<'a>> {
    let first = draw(candidates, None, rng)?;
    let Some(second) = draw(candidates, Some(first), rng) else {
        return Some(first);
    };
    let estimates = second.estimate.zip(first.estimate);
    let order = match (view.criteria.latency_target, estimates) {
        (Some(target), Some((second, first))) => {
            let are_fast_enough = target.is_likely_in_time(second.usual_micros)
                && target.is_likely_in_time(first.usual_micros);
            let by_stretch = first.stretch.total_cmp(&second.stretch);
            match are_fast_enough {
                true => by_stretch,
                false => target.compare(second, first).then(by_stretch),
            }
        }
        _ => {
            let load = |candidate: ServerCandidate<'_>| candidate.server.weighted_load(view.now);
            load(first).total_cmp(&load(second))
        }
    };
    match order {
        Ordering::Greater => Some(second),
        _ => Some(first),
    }
}

/// Draws a server at random by weight, so that a cold or failing server is rarely considered.
fn draw<'a>(
    candidates: &[ServerCandidate<'a>],
    excluded: Option<ServerCandidate<'a>>,
    rng: &mut impl Rng,
) -> Option<ServerCandidate<'a>> {
    let is_eligible = |candidate: &&ServerCandidate<'a>| {
        let name = &candidate.server.location.backend;
        excluded.is_none_or(|excluded| excluded.server.location.backend != *name)
    };
    let eligible = candidates.iter().filter(is_eligible);
    let total: f64 = eligible.clone().map(|candidate| candidate.weight).sum();
    if total <= 0.0 {
        return None;
    }
    let mut remaining = rng.random_range(0.0..total);
    let mut last = None;
    for candidate in eligible {
        last = Some(*candidate);
        remaining -= candidate.weight;
        if remaining < 0.0 {
            break;
        }
    }
    last
}
