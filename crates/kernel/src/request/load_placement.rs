use rand::Rng;

use crate::{
    clock::ClockInstant,
    ids::DataCentre,
    request::{LatencyTarget, SelectionCriteria, server_stats::ServerStats},
};

/// Advantage in the share of responses in time for which a request leaves its data centre. The error
/// of a share that is expected from news of half a second ago is about as large.
const LOCALITY_MARGIN: f64 = 0.1;
/// Difference in the share of responses in time up to which servers count as equal, so that load
/// decides between them.
const EQUAL_SHARE_MARGIN: f64 = 0.0375;
/// Requests per slot from which a data centre counts as full.
const SPILL_UTILISATION: f64 = 1.0;
/// Minimum advantage in requests per slot for which a request moves to another data centre.
const SPILL_MARGIN: f64 = 0.25;

/// Selects among servers that do not report how long work takes on them at the moment.
///
/// Answers the load of servers that differ in usual speed and fullness: those with clearly fewer
/// responses in time are left out, then the nearest data centre with room is chosen, and the less
/// loaded of two servers drawn there.
pub(super) fn select_by_load<'a>(
    now: ClockInstant,
    mut candidates: Vec<&'a ServerStats>,
    criteria: &SelectionCriteria<'_>,
    rng: &mut impl Rng,
) -> Option<&'a ServerStats> {
    if let Some(target) = criteria.latency_target {
        remove_slow(now, &mut candidates, criteria.data_centre, target);
    }
    let data_centre = select_data_centre(now, &candidates, criteria)?;
    candidates.retain(|server| server.location.data_centre == data_centre);
    better_of_two(now, &candidates, rng)
}

/// Removes servers that are expected to have clearly fewer responses in time than the best server,
/// where a server of another data centre must be better by [`LOCALITY_MARGIN`].
///
/// Servers with unknown service times stay.
fn remove_slow(
    now: ClockInstant,
    candidates: &mut Vec<&ServerStats>,
    home: &DataCentre,
    target: LatencyTarget<'_>,
) {
    let value = |server: &&ServerStats| {
        let expected = server.expected_micros(now, target.route)?;
        let margin = if server.location.data_centre == *home {
            0.0
        } else {
            LOCALITY_MARGIN
        };
        Some(target.in_time_share(expected) - margin)
    };
    let values: Vec<_> = candidates.iter().map(value).collect();
    let best = values
        .iter()
        .flatten()
        .copied()
        .fold(f64::NEG_INFINITY, f64::max);
    let mut values = values.into_iter();
    candidates.retain(|_| {
        let value = values.next().flatten();
        value.is_none_or(|value| value >= best - EQUAL_SHARE_MARGIN)
    });
}

/// Returns the data centre in which to select a server.
///
/// This is the home data centre if it has free capacity or a server that is likely to respond in
/// time. Otherwise it is the one with the fewest requests per slot, where a data centre farther
/// away must be better by [`SPILL_MARGIN`]. If no candidate is at home, the search ends at the
/// first data centre with free capacity.
fn select_data_centre(
    now: ClockInstant,
    candidates: &[&ServerStats],
    criteria: &SelectionCriteria<'_>,
) -> Option<DataCentre> {
    let home_utilisation = utilisation(now, candidates, criteria.data_centre);
    let is_home_in_time = criteria.latency_target.is_some_and(|target| {
        let mut nearby = candidates
            .iter()
            .filter(|server| server.location.data_centre == *criteria.data_centre);
        nearby.any(|server| {
            let expected = server.expected_micros(now, target.route);
            expected.is_some_and(|expected| target.is_likely_in_time(expected))
        })
    });
    // A short wait costs callers less than the latency and traffic to another data centre.
    if is_home_in_time
        || home_utilisation.is_some_and(|home_utilisation| home_utilisation < SPILL_UTILISATION)
    {
        return Some(criteria.data_centre.clone());
    }
    let mut best =
        home_utilisation.map(|home_utilisation| (criteria.data_centre, home_utilisation));
    for data_centre in criteria.spill_order {
        let Some(remote_utilisation) = utilisation(now, candidates, data_centre) else {
            continue;
        };
        if best.is_none_or(|(_, lowest)| remote_utilisation + SPILL_MARGIN < lowest) {
            best = Some((data_centre, remote_utilisation));
        }
        if remote_utilisation < SPILL_UTILISATION && home_utilisation.is_none() {
            break;
        }
    }
    match best {
        Some((data_centre, _)) => Some(data_centre.clone()),
        None => candidates
            .first()
            .map(|server| server.location.data_centre.clone()),
    }
}

/// Returns the requests per weighted slot in one data centre, or `None` without candidates there.
fn utilisation(
    now: ClockInstant,
    candidates: &[&ServerStats],
    data_centre: &DataCentre,
) -> Option<f64> {
    let inside = candidates
        .iter()
        .filter(|server| server.location.data_centre == *data_centre);
    let (request_count, slots) = inside.fold((0.0, 0.0), |(request_count, slots), server| {
        let capacity = server.capacity(now) * server.weight(now);
        (
            request_count + f64::from(server.request_count(now)),
            slots + capacity,
        )
    });
    (slots > 0.0).then(|| request_count / slots)
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
    match second.weighted_load(now) < first.weighted_load(now) {
        true => Some(second),
        false => Some(first),
    }
}

/// Draws a server at random by weight, so that a cold or failing server is rarely considered.
fn draw<'a>(
    now: ClockInstant,
    candidates: &[&'a ServerStats],
    excluded: Option<&ServerStats>,
    rng: &mut impl Rng,
) -> Option<&'a ServerStats> {
    let is_eligible = |server: &&&'a ServerStats| {
        excluded.is_none_or(|excluded| excluded.location.backend != server.location.backend)
    };
    let eligible = candidates.iter().filter(is_eligible);
    let total: f64 = eligible.clone().map(|server| server.weight(now)).sum();
    if total <= 0.0 {
        return None;
    }
    let mut remaining = rng.random_range(0.0..total);
    let mut last = None;
    for server in eligible {
        last = Some(*server);
        remaining -= server.weight(now);
        if remaining < 0.0 {
            break;
        }
    }
    last
}
