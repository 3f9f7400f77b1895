use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::{BackendName, DataCentre, RouteName, ServiceName, SlotCount},
    member::{BackendRow, BackendState, MemberRow, MemberState},
    request::{AttemptOutcome, ServerLoad, ServerLocation, server_stats::ServerStats},
    rollout::VersionChoice,
};

const MAX_EJECTED_DIVISOR: usize = 2;
/// Part of the wanted time that an average request may take: longer work needs the rest.
const SAFE_PART_OF_GOAL: f64 = 0.6;
/// How sharply the share of late answers rises with their average time; fits times whose logarithm
/// spreads by 0.4.
const LATENESS_STEEPNESS: f64 = 4.25;
/// What an answer in time is worth more than a late one, in answers: 0.5 to 0.7 by the users'
/// sheets, and more since the worst-served callers count twice.
const IN_TIME_VALUE: f64 = 0.8;
/// What the bytes of a request between data centres cost, in answers; 2 to 3 KB at the users' prices.
const CROSSING_COST: f64 = 0.08;
/// Difference in value below which load decides.
const EQUAL_VALUE: f64 = 0.03;
const SPILL_FULLNESS: f64 = 1.0;
const SPILL_MARGIN: f64 = 0.25;

/// What a request asks of the choice of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Service that the request goes to.
    pub service: &'a ServiceName,
    /// Versions that may answer it.
    pub versions: VersionChoice<'a>,
    /// Data centre of the node that chooses.
    pub data_centre: &'a DataCentre,
    /// Other data centres, nearest first.
    pub spill_order: &'a [DataCentre],
    /// Servers that the request has already been tried on.
    pub tried: &'a [BackendName],
    /// Time within which the answer is wanted, if the servers' pace matters.
    pub latency_target: Option<LatencyTarget<'a>>,
}

/// Time within which the answers of a route are wanted.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTarget<'a> {
    /// Route of the request.
    pub route: &'a RouteName,
    /// Latency that the route's callers are promised.
    pub latency: TimeBudget,
}

impl LatencyTarget<'_> {
    /// Returns the share of answers that come in time where they take `micros` on average.
    fn in_time_share(&self, micros: f64) -> f64 {
        let part = micros / (self.latency.as_micros() as f64).max(1.0);
        1.0 / (1.0 + part.powf(LATENESS_STEEPNESS))
    }

    /// Returns whether an answer that takes `micros` on average is likely in time.
    fn is_safe(&self, micros: f64) -> bool {
        micros <= self.latency.as_micros() as f64 * SAFE_PART_OF_GOAL
    }
}

/// What a node knows of every backend server in the mesh, and the choice among them.
///
/// Own observations decide: outstanding requests, outcomes and time since the last progress.
/// Reports from elsewhere can raise a server's load or halve its weight; they never eject it.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    services: BTreeMap<ServiceName, BTreeMap<BackendName, ServerStats>>,
}

impl LoadBalancer {
    /// Takes in the members' rows: adds, updates and forgets backend servers.
    ///
    /// `slow_start` returns the time over which a new server of a service reaches its full share.
    pub fn sync<'a>(
        &mut self,
        now: ClockInstant,
        members: impl Iterator<Item = &'a MemberRow>,
        slow_start: impl Fn(&ServiceName) -> TimeBudget,
    ) {
        let known: BTreeSet<_> = self.services.keys().cloned().collect();
        let mut seen = BTreeMap::new();
        for member in members.filter(|member| is_reachable(member.state)) {
            for row in &member.backends {
                // Where all servers of a service are new to this node, none is newer than another.
                let is_first = !known.contains(&row.service);
                self.sync_row(now, member, row, is_first, slow_start(&row.service));
                seen.insert((row.service.clone(), row.name.clone()), member.node.clone());
            }
        }
        for (service, stats) in &mut self.services {
            stats.retain(|name, _| seen.contains_key(&(service.clone(), name.clone())));
        }
        self.services.retain(|_, stats| !stats.is_empty());
    }

    /// Chooses a server and counts the request as outstanding there until
    /// [`LoadBalancer::record_outcome`].
    ///
    /// Two servers are drawn at random from the nearest data centre that has room, and the one
    /// with less outstanding work against its slots is taken. Ejected servers are used only when
    /// no other is left.
    pub fn choose(
        &mut self,
        now: ClockInstant,
        rule: &SelectionCriteria<'_>,
        rng: &mut impl Rng,
    ) -> Option<ServerLocation> {
        let stats = self.services.get_mut(rule.service)?;
        let name = pick(now, stats, rule, rng)?;
        let stat = stats.get_mut(&name)?;
        stat.begin(now);
        Some(stat.place.clone())
    }

    /// Takes in the end of an attempt that [`LoadBalancer::choose`] began.
    pub fn record_outcome(
        &mut self,
        now: ClockInstant,
        service: &ServiceName,
        backend: &BackendName,
        outcome: AttemptOutcome,
        took: TimeBudget,
    ) {
        let Some(stats) = self.services.get_mut(service) else {
            return;
        };
        let may_eject = may_eject(now, stats, backend, outcome);
        let Some(stat) = stats.get_mut(backend) else {
            return;
        };
        if stat.settle(now, outcome, took) && may_eject {
            stat.eject(now);
        }
    }

    /// Takes in a server's load, as carried by an answer of the node beside it.
    pub fn report_load(
        &mut self,
        now: ClockInstant,
        service: &ServiceName,
        backend: &BackendName,
        load: ServerLoad,
    ) {
        if let Some(stat) = self.stat_mut(service, backend) {
            stat.report(now, load);
        }
    }

    /// Returns the declared slots of the service's servers that take work.
    #[must_use]
    pub fn slots(&self, service: &ServiceName) -> SlotCount {
        let stats = self
            .services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values);
        let serving = stats.filter(|stat| stat.state == BackendState::Serving);
        SlotCount::new(serving.map(|stat| stat.slots).sum())
    }

    /// Returns whether the service has a server that takes work.
    #[must_use]
    pub fn has_server(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|stats| {
            stats
                .values()
                .any(|stat| stat.state == BackendState::Serving)
        })
    }

    /// Returns the recent share of failed attempts over the service's servers.
    #[must_use]
    pub fn failure_share(&self, now: ClockInstant, service: &ServiceName) -> ShareRatio {
        let Some(stats) = self.services.get(service) else {
            return ShareRatio::NONE;
        };
        let serving = stats
            .values()
            .filter(|stat| stat.state == BackendState::Serving);
        let (sum, count) = serving.fold((0_u64, 0_u64), |(sum, count), stat| {
            (sum + u64::from(stat.failure_ratio(now).as_ppm()), count + 1)
        });
        ShareRatio::from_ppm(sum.checked_div(count).unwrap_or(0) as u32)
    }

    /// Returns whether the server is kept out of the choice at `now`.
    #[must_use]
    pub fn is_ejected(
        &self,
        now: ClockInstant,
        service: &ServiceName,
        backend: &BackendName,
    ) -> bool {
        self.services
            .get(service)
            .and_then(|stats| stats.get(backend))
            .is_some_and(|stat| stat.is_ejected(now))
    }

    fn stat_mut(
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
        is_first: bool,
        slow_start: TimeBudget,
    ) {
        let stats = self.services.entry(row.service.clone()).or_default();
        let place = ServerLocation {
            node: member.node.clone(),
            backend: row.name.clone(),
            version: row.version.clone(),
            data_centre: member.data_centre.clone(),
        };
        let stat = stats
            .entry(row.name.clone())
            .or_insert_with(|| ServerStats::new(place.clone(), now, slow_start));
        let state = match member.state {
            MemberState::Serving => row.state,
            _ => BackendState::Draining,
        };
        let begins = state == BackendState::Serving && stat.state != BackendState::Serving;
        if begins && !is_first && row.cold_until.is_none() {
            stat.begin_slow_start(now);
        }
        stat.note_cold_until(now, row.cold_until);
        stat.place = place;
        stat.slots = row.slots.get();
        stat.is_healthy = row.is_reported_healthy;
        stat.times.clone_from(&row.times);
        stat.state = state;
    }
}

fn is_reachable(state: MemberState) -> bool {
    matches!(state, MemberState::Serving | MemberState::Draining)
}

/// Returns whether ejecting `backend` leaves enough of the service's servers.
///
/// Servers that cannot be reached at all do no harm when they are left out, so only the last one
/// is kept; of servers that fail, at most half are left out.
fn may_eject(
    now: ClockInstant,
    stats: &BTreeMap<BackendName, ServerStats>,
    backend: &BackendName,
    outcome: AttemptOutcome,
) -> bool {
    let serving = stats
        .values()
        .filter(|stat| stat.state == BackendState::Serving);
    let others = serving.filter(|stat| stat.place.backend != *backend);
    let (total, ejected) = others.fold((1, 1), |(total, ejected), stat| {
        (total + 1, ejected + usize::from(stat.is_ejected(now)))
    });
    match outcome {
        AttemptOutcome::Unreached => ejected < total,
        _ => ejected * MAX_EJECTED_DIVISOR <= total,
    }
}

fn pick(
    now: ClockInstant,
    stats: &BTreeMap<BackendName, ServerStats>,
    rule: &SelectionCriteria<'_>,
    rng: &mut impl Rng,
) -> Option<BackendName> {
    let all = usable(stats, rule);
    let admitted: Vec<&ServerStats> = all
        .iter()
        .copied()
        .filter(|stat| !stat.is_ejected(now))
        .collect();
    let mut candidates = match admitted.is_empty() {
        true => all,
        false => admitted,
    };
    if let Some(goal) = rule.latency_target {
        leave_out_late(now, &mut candidates, rule.data_centre, goal);
    }
    let data_centre = nearest_with_room(now, &candidates, rule)?;
    let near: Vec<&ServerStats> = candidates
        .into_iter()
        .filter(|stat| stat.place.data_centre == data_centre)
        .collect();
    Some(better_of_two(now, &near, rng)?.place.backend.clone())
}

/// Leaves out the servers whose answer is likely worth less than that of another, by the time that
/// it takes and the way to it; one whose time is not known yet stays.
fn leave_out_late(
    now: ClockInstant,
    candidates: &mut Vec<&ServerStats>,
    home: &DataCentre,
    goal: LatencyTarget<'_>,
) {
    let value = |stat: &&ServerStats| {
        let expected = stat.expected_micros(now, goal.route)?;
        let way = if stat.place.data_centre == *home {
            0.0
        } else {
            CROSSING_COST
        };
        Some(IN_TIME_VALUE * goal.in_time_share(expected) - way)
    };
    let best = candidates
        .iter()
        .filter_map(value)
        .fold(f64::NEG_INFINITY, f64::max);
    candidates.retain(|stat| value(stat).is_none_or(|value| value >= best - EQUAL_VALUE));
}

/// Returns the untried servers that take work, of the best-ranked version that has any.
fn usable<'a>(
    stats: &'a BTreeMap<BackendName, ServerStats>,
    rule: &SelectionCriteria<'_>,
) -> Vec<&'a ServerStats> {
    let mut best = None;
    let mut all = Vec::with_capacity(stats.len());
    for stat in stats
        .values()
        .filter(|stat| stat.state == BackendState::Serving)
    {
        let Some(rank) = rule.versions.rank(&stat.place.version) else {
            continue;
        };
        if best.is_none_or(|best| rank < best) {
            best = Some(rank);
            all.clear();
        }
        if best == Some(rank) && !rule.tried.contains(&stat.place.backend) {
            all.push(stat);
        }
    }
    all
}

fn nearest_with_room(
    now: ClockInstant,
    candidates: &[&ServerStats],
    rule: &SelectionCriteria<'_>,
) -> Option<DataCentre> {
    let ours = fullness(now, candidates, rule.data_centre);
    let answers_in_time = rule.latency_target.is_some_and(|goal| {
        let mut near = candidates
            .iter()
            .filter(|stat| stat.place.data_centre == *rule.data_centre);
        near.any(|stat| {
            let expected = stat.expected_micros(now, goal.route);
            expected.is_some_and(|expected| goal.is_safe(expected))
        })
    });
    // A short wait costs the callers less than the way to another data centre and its bytes.
    if answers_in_time || ours.is_some_and(|ours| ours < SPILL_FULLNESS) {
        return Some(rule.data_centre.clone());
    }
    let mut best = ours.map(|ours| (rule.data_centre, ours));
    for data_centre in rule.spill_order {
        let Some(theirs) = fullness(now, candidates, data_centre) else {
            continue;
        };
        if best.is_none_or(|(_, held)| theirs + SPILL_MARGIN < held) {
            best = Some((data_centre, theirs));
        }
        if theirs < SPILL_FULLNESS && ours.is_none() {
            break;
        }
    }
    match best {
        Some((data_centre, _)) => Some(data_centre.clone()),
        None => candidates
            .first()
            .map(|stat| stat.place.data_centre.clone()),
    }
}

/// Returns outstanding work against slots in one data centre, `None` without candidates there.
fn fullness(
    now: ClockInstant,
    candidates: &[&ServerStats],
    data_centre: &DataCentre,
) -> Option<f64> {
    let inside = candidates
        .iter()
        .filter(|stat| stat.place.data_centre == *data_centre);
    let (work, slots) = inside.fold((0.0, 0.0), |(work, slots), stat| {
        let capacity = f64::from(stat.slots) * stat.weight(now);
        (work + f64::from(stat.work(now)), slots + capacity)
    });
    (slots > 0.0).then(|| work / slots)
}

fn better_of_two<'a>(
    now: ClockInstant,
    candidates: &[&'a ServerStats],
    rng: &mut impl Rng,
) -> Option<&'a ServerStats> {
    let first = draw(now, candidates, None, rng)?;
    let Some(second) = draw(now, candidates, Some(first), rng) else {
        return Some(first);
    };
    match second.score(now) < first.score(now) {
        true => Some(second),
        false => Some(first),
    }
}

/// Draws a server at random by weight, so that a cold or failing one is rarely even considered.
fn draw<'a>(
    now: ClockInstant,
    candidates: &[&'a ServerStats],
    except: Option<&ServerStats>,
    rng: &mut impl Rng,
) -> Option<&'a ServerStats> {
    let is_open = |stat: &&&'a ServerStats| {
        except.is_none_or(|except| except.place.backend != stat.place.backend)
    };
    let open = candidates.iter().filter(is_open);
    let total: f64 = open.clone().map(|stat| stat.weight(now)).sum();
    if total <= 0.0 {
        return None;
    }
    let mut left = rng.random_range(0.0..total);
    let mut last = None;
    for stat in open {
        last = Some(*stat);
        left -= stat.weight(now);
        if left < 0.0 {
            break;
        }
    }
    last
}
