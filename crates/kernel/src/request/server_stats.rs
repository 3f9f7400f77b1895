use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::{BackendName, BuildVersion, DataCentre, NodeName, RequestRate, RouteName},
    member::{BackendState, StatedLimit},
    request::{AttemptOutcome, Slowdown, load_average::LoadAverage},
};

/// Speed of a server that is still warming up, relative to a warm one.
const COLD_SPEED: f64 = 0.5;
/// Maximum time for which a server is treated as cold because it reports so.
const MAX_COLD_TIME: TimeBudget = TimeBudget::from_secs(30);
/// Memory of a server's own mean load: how nodes share out requests changes more slowly than demand,
/// and a node sees a given server every few seconds only.
const SERVER_MEMORY: TimeBudget = TimeBudget::from_secs(5);
/// Relative error of a published service time: it is republished only when it has changed by 35%,
/// and an error that is evenly spread over that range has this standard deviation.
const PUBLISHED_TIME_ERROR: f64 = 0.17;
/// Relative standard deviation of the time that work takes on a server slowed 2.5 times for 15% of
/// the time.
const SLOWDOWN_ERROR: f64 = 0.44;
/// Standard deviation of a number of requests, relative to its square root, as for independent
/// arrivals.
const COUNT_ERROR: f64 = 1.0;
/// Weight of one attempt in the moving failure share: ten consecutive failures raise it above 0.5.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of one attempt in the moving mean latency, which follows a change within about ten
/// attempts.
const LATENCY_WEIGHT: f64 = 0.2;
/// Consecutive failures after which a server is ejected; if half of all requests fail, five
/// consecutive failures have a probability of 1 in 32.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Failure share from which a server is ejected, because it does more harm than its absence.
const EJECTION_FAILURE_SHARE: f64 = 0.5;
/// Minimum number of attempts before the failure share is used for ejection.
const MIN_FAILURE_SAMPLES: u32 = 20;
/// Half-life of the failure share while the server receives no requests.
const FAILURE_HALF_LIFE: TimeBudget = TimeBudget::from_secs(1);
/// Duration of the first ejection; each subsequent ejection lasts twice as long.
const FIRST_EJECTION: TimeBudget = TimeBudget::from_millis(500);
/// Maximum doublings, which limit an ejection to 32 s so that a recovered server is used again.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// Time for which a load report is used; the load it reports may last that long, because some
/// requests run for as long.
const LOAD_REPORT_LIFETIME: TimeBudget = TimeBudget::from_millis(500);
/// Time for which a server counts as full after a refusal; a slot usually becomes free within it.
const SHED_LIFETIME: TimeBudget = TimeBudget::from_millis(100);
/// Longest time for which a server with a rate limit counts as full after a refusal.
const MAX_SHED_LIFETIME: TimeBudget = TimeBudget::from_secs(1);
/// Multiple of the mean latency beyond which a timed-out request counts as a server failure.
const TIMEOUT_FACTOR: f64 = 4.0;
/// Multiple of the mean latency after which a server that finishes no request counts as stalled.
const STALL_FACTOR: f64 = 8.0;
/// Time without progress, in microseconds, that never counts as a stall; a busy VM may pause for
/// that long.
const MIN_STALL_MICROS: f64 = 50_000.0;
/// Factor on the load of a stalled server, so that it is selected last but still used if alone.
const STALL_PENALTY: f64 = 16.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// Minimum capacity of a server with a rate limit, so that it is still used now and then.
const MIN_CAPACITY: f64 = 0.05;
/// Weight of a server at the beginning of its slow start.
const SLOW_START_WEIGHT: f64 = 0.1;
/// Minimum weight of a failing server, so that its recovery is detected.
const MIN_WEIGHT: f64 = 0.02;
/// Weight of a server that reports itself unhealthy; it keeps half, as such reports may be wrong.
const UNHEALTHY_WEIGHT: f64 = 0.5;

/// Location and version of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLocation {
    /// Node beside the server.
    pub node: NodeName,
    /// Name of the server.
    pub backend: BackendName,
    /// Version of the software that the server runs.
    pub version: BuildVersion,
    /// Data centre of the node and the server.
    pub data_centre: DataCentre,
}

/// Load of a backend server as measured by the node beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests running on the server.
    pub running: u32,
    /// Requests waiting for one of the server's slots.
    pub waiting: u32,
    /// Latest slowdown that the server has reported to its node.
    pub slowdown: Slowdown,
}

/// Expected time until a server's response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeEstimate {
    pub(crate) micros: f64,
    /// Time of the work itself at the server's usual speed.
    pub(crate) usual_micros: f64,
    /// Expected time at the server, relative to that of the work at its usual speed.
    pub(crate) stretch: f64,
    /// Relative standard deviation of `micros` from the truth.
    pub(crate) error: f64,
}

/// Statistics of one backend server, mostly from this node's own attempts.
#[derive(Clone, Debug)]
pub(crate) struct ServerStats {
    pub(crate) location: ServerLocation,
    pub(crate) slots: u32,
    pub(crate) state: BackendState,
    /// Whether the server itself serves while the node beside it stops; such a server is used only
    /// if its service has no other.
    pub(crate) is_last_resort: bool,
    pub(crate) outstanding: u32,
    pub(crate) is_healthy: bool,
    /// Rate limit that the server states, for the requests of all nodes together.
    pub(crate) limit: StatedLimit,
    /// Published service time of the server's requests, by route.
    pub(crate) service_times: BTreeMap<RouteName, TimeBudget>,
    /// Instant until which the server reports itself cold; `None` if it does not report this.
    cold_until: Option<ClockInstant>,
    /// Rate of requests that the server bears while it is cold, from all nodes together.
    pub(crate) cold_rate: Option<RequestRate>,
    full_weight_from: ClockInstant,
    slow_start: TimeBudget,
    ejected_until: ClockInstant,
    ejections: u32,
    consecutive_failures: u32,
    failure_share: f64,
    failure_share_at: ClockInstant,
    /// Number of successes and failures recorded since the last ejection.
    samples: u32,
    latency_micros: f64,
    last_progress_at: ClockInstant,
    load: ServerLoad,
    load_valid_until: ClockInstant,
    /// Mean of requests per slot by the reports.
    own_load: LoadAverage,
    /// Instant of the response with the slowdown in `load`; [`ClockInstant::NEVER`] if the server
    /// has not reported one.
    slowdown_at: ClockInstant,
}

impl ServerStats {
    pub(crate) fn new(
        location: ServerLocation,
        full_weight_from: ClockInstant,
        slow_start: TimeBudget,
    ) -> Self {
        Self {
            location,
            slots: 1,
            state: BackendState::Starting,
            is_last_resort: false,
            outstanding: 0,
            is_healthy: true,
            limit: StatedLimit::Unknown,
            service_times: BTreeMap::new(),
            cold_until: None,
            cold_rate: None,
            full_weight_from,
            slow_start,
            ejected_until: ClockInstant::default(),
            ejections: 0,
            consecutive_failures: 0,
            failure_share: 0.0,
            failure_share_at: ClockInstant::default(),
            samples: 0,
            latency_micros: 0.0,
            last_progress_at: ClockInstant::default(),
            load: ServerLoad::default(),
            load_valid_until: ClockInstant::default(),
            own_load: LoadAverage::default(),
            slowdown_at: ClockInstant::NEVER,
        }
    }

    pub(crate) fn is_ejected(&self, now: ClockInstant) -> bool {
        !self.ejected_until.has_passed(now)
    }

    /// Restarts the slow start of a server that has begun to serve and does not report how long it
    /// stays cold.
    pub(crate) fn begin_slow_start(&mut self, now: ClockInstant) {
        self.full_weight_from = now.after(self.slow_start);
    }

    /// Records until when the server reports itself cold, limited to [`MAX_COLD_TIME`].
    pub(crate) fn set_cold_until(&mut self, now: ClockInstant, cold_until: Option<ClockInstant>) {
        // The instant comes from another node, whose clock may differ.
        self.cold_until = cold_until.map(|instant| instant.min(now.after(MAX_COLD_TIME)));
    }

    pub(crate) fn begin_attempt(&mut self, now: ClockInstant) {
        if self.outstanding == 0 {
            self.last_progress_at = now;
        }
        self.outstanding += 1;
    }

    /// Returns whether the server has reported that work takes longer or shorter than usual.
    pub(crate) fn reports_slowdown(&self) -> bool {
        self.slowdown_at != ClockInstant::NEVER
    }

    pub(crate) fn record_load(&mut self, now: ClockInstant, load: ServerLoad) {
        if self.reports_slowdown() || load.slowdown != Slowdown::NONE {
            self.slowdown_at = now;
        }
        self.load = load;
        self.load_valid_until = now.after(LOAD_REPORT_LIFETIME);
        self.own_load
            .record(now, SERVER_MEMORY, self.reported_load(now));
    }

    /// Records the outcome of an attempt and returns whether the server should be ejected.
    pub(crate) fn record_outcome(
        &mut self,
        now: ClockInstant,
        outcome: AttemptOutcome,
        took: TimeBudget,
    ) -> bool {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.last_progress_at = now;
        self.failure_share = self.decayed_failure_share(now);
        self.failure_share_at = now;
        match outcome {
            AttemptOutcome::Shed => {
                self.mark_full(now);
                return false;
            }
            AttemptOutcome::Abandoned => return false,
            AttemptOutcome::TimedOut if !self.exceeds_usual_latency(took) => return false,
            AttemptOutcome::Served => self.record_success(took),
            _ => self.record_failure(),
        }
        let is_failing =
            self.samples >= MIN_FAILURE_SAMPLES && self.failure_share >= EJECTION_FAILURE_SHARE;
        // One failed connection is sufficient evidence.
        let is_unreachable = outcome == AttemptOutcome::Unreached;
        is_unreachable || is_failing || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Ejects the server for an exponentially increasing time, followed by a slow start.
    pub(crate) fn eject(&mut self, now: ClockInstant) {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let micros = FIRST_EJECTION.as_micros() << doublings;
        self.ejected_until = now.after(TimeBudget::from_micros(micros));
        self.ejections += 1;
        // The first failure after the ejection ejects the server again.
        self.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1;
        self.samples = 0;
        self.full_weight_from = self.ejected_until.after(self.slow_start);
    }

    /// Returns the expected time until the response, including the wait for a slot, or `None` if
    /// the server's service time for `route` is unknown.
    pub(crate) fn expected_micros(&self, now: ClockInstant, route: &RouteName) -> Option<f64> {
        let service_time = self.service_times.get(route)?.as_micros() as f64;
        let capacity = self.capacity(now);
        // An idle server starts the next request at once, even if it takes few a second.
        let queued = (f64::from(self.request_count(now)) + 1.0 - capacity.max(1.0)).max(0.0);
        let time =
            service_time * (1.0 + queued / capacity) / self.warm_up_factor(now).max(COLD_SPEED);
        Some(if self.is_stalled(now) {
            time * STALL_PENALTY
        } else {
            time
        })
    }

    /// Returns the expected time until the response, including the wait for a slot, or `None` if
    /// the server's service time for `route` is unknown.
    ///
    /// `usual_load` is the mean of requests per slot, for a server without a recent report.
    pub(crate) fn expected_time(
        &self,
        now: ClockInstant,
        route: &RouteName,
        usual_load: f64,
    ) -> Option<TimeEstimate> {
        let service_time = self.service_times.get(route)?.as_micros() as f64;
        let capacity = self.capacity(now);
        let count = self.expected_count(now, usual_load);
        // An idle server starts the next request at once, even if it takes few a second.
        let count_error = COUNT_ERROR * count.sqrt();
        let excess = count + 1.0 - capacity.max(1.0);
        let queued = expected_excess(excess, count_error);
        let wait_probability = excess_probability(excess, count_error);
        let delayed = count * wait_probability;
        let usual = service_time * (1.0 + (queued + delayed) / capacity)
            / self.warm_up_factor(now).max(COLD_SPEED);
        let (slowdown, slowdown_error) = self.expected_slowdown(now);
        let time = usual * slowdown.mean_over(usual);
        let micros = match self.is_stalled(now) {
            true => time * STALL_PENALTY,
            false => time,
        };
        let wait_error = wait_probability * count_error / (capacity + queued + delayed);
        let error = PUBLISHED_TIME_ERROR.hypot(slowdown_error).hypot(wait_error);
        Some(TimeEstimate {
            micros,
            usual_micros: service_time,
            stretch: micros / service_time.max(1.0),
            error,
        })
    }

    /// Returns the slowdown to expect now, and the relative error of the expectation.
    fn expected_slowdown(&self, now: ClockInstant) -> (Slowdown, f64) {
        if !self.reports_slowdown() {
            return (Slowdown::NONE, 0.0);
        }
        let age = self.slowdown_at.elapsed(now);
        let slowdown = self.load.slowdown.after(age);
        (slowdown, SLOWDOWN_ERROR * Slowdown::lost_share(age))
    }

    /// Returns the number of requests to expect at the server.
    fn expected_count(&self, now: ClockInstant, usual_load: f64) -> f64 {
        let reported = match self.load_valid_until.has_passed(now) {
            true => self.own_load.load(now, SERVER_MEMORY, usual_load) * self.capacity(now),
            false => f64::from(self.load.running + self.load.waiting),
        };
        reported.max(f64::from(self.outstanding))
    }

    /// Returns the number of requests that the server processes concurrently: its slots, or fewer
    /// if its rate limit, or its rate while it is cold, leaves some of them idle.
    pub(crate) fn capacity(&self, now: ClockInstant) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let cold_rate = self.cold_rate.filter(|_| self.is_cold(now));
        let rates = [self.limit.rate(), cold_rate].into_iter().flatten();
        let Some((rate, service_micros)) = rates.min().zip(self.mean_service_micros()) else {
            return slots;
        };
        let busy = rate.per_second() * service_micros / MICROS_PER_SECOND;
        busy.clamp(MIN_CAPACITY, slots)
    }

    fn is_cold(&self, now: ClockInstant) -> bool {
        self.cold_until.is_some_and(|end| !end.has_passed(now))
    }

    /// Returns the mean of the published service times, or of this node's own attempts if none is
    /// published.
    fn mean_service_micros(&self) -> Option<f64> {
        let published = self
            .service_times
            .values()
            .map(|time| time.as_micros() as f64);
        let mean = match self.service_times.len() {
            0 => self.latency_micros,
            count => published.sum::<f64>() / count as f64,
        };
        (mean > 0.0).then_some(mean)
    }

    /// Returns the share of work that this server should get, relative to a warm, healthy server.
    pub(crate) fn weight(&self, now: ClockInstant) -> f64 {
        let health = if self.is_healthy {
            1.0
        } else {
            UNHEALTHY_WEIGHT
        };
        let success = 1.0 - self.decayed_failure_share(now);
        (self.warm_up_factor(now) * health * success * success).max(MIN_WEIGHT)
    }

    /// Returns the requests per weighted slot, increased if the server is stalled; the server with
    /// the lower value is selected.
    pub(crate) fn weighted_load(&self, now: ClockInstant) -> f64 {
        let load = f64::from(self.request_count(now)) / (self.capacity(now) * self.weight(now));
        if self.is_stalled(now) {
            return load * STALL_PENALTY;
        }
        load
    }

    /// Returns the number of requests at the server: the larger of this node's own count and the
    /// server's last load report.
    pub(crate) fn request_count(&self, now: ClockInstant) -> u32 {
        let reported = match self.load_valid_until.has_passed(now) {
            true => 0,
            false => self.load.running + self.load.waiting,
        };
        self.outstanding.max(reported)
    }

    fn warm_up_factor(&self, now: ClockInstant) -> f64 {
        let speed = if self.is_cold(now) { COLD_SPEED } else { 1.0 };
        if self.slow_start.is_zero() {
            return speed;
        }
        let left =
            self.full_weight_from.remaining(now).as_secs_f64() / self.slow_start.as_secs_f64();
        (1.0 - left).clamp(SLOW_START_WEIGHT, speed)
    }

    /// Returns the requests per slot that the server last reported.
    pub(crate) fn reported_load(&self, now: ClockInstant) -> f64 {
        f64::from(self.load.running + self.load.waiting) / self.capacity(now)
    }

    fn is_stalled(&self, now: ClockInstant) -> bool {
        let idle = self.last_progress_at.elapsed(now).as_micros() as f64;
        let max_idle = (self.latency_micros * STALL_FACTOR).max(MIN_STALL_MICROS);
        self.outstanding > 0 && idle > max_idle
    }

    /// Treats the server as full for [`SHED_LIFETIME`] or until its rate limit allows another
    /// request, since a refusal carries no load report.
    fn mark_full(&mut self, now: ClockInstant) {
        self.load = ServerLoad {
            running: self.slots,
            waiting: self.slots,
            slowdown: self.load.slowdown,
        };
        let lifetime = self.limit.rate().map_or(SHED_LIFETIME, |rate| {
            let interval = rate.interval().unwrap_or(MAX_SHED_LIFETIME);
            interval.clamp(SHED_LIFETIME, MAX_SHED_LIFETIME)
        });
        self.load_valid_until = now.after(lifetime);
    }

    /// Returns whether a timed-out request waited far longer than the server's mean latency.
    fn exceeds_usual_latency(&self, took: TimeBudget) -> bool {
        took.as_micros() as f64 > self.latency_micros * TIMEOUT_FACTOR
    }

    fn record_success(&mut self, took: TimeBudget) {
        self.consecutive_failures = 0;
        // Once enough attempts have followed the last ejection, each success takes back one
        // doubling of the ejection time.
        self.ejections = self
            .ejections
            .saturating_sub(u32::from(self.samples > MIN_FAILURE_SAMPLES));
        self.samples = self.samples.saturating_add(1);
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        let micros = took.as_micros() as f64;
        self.latency_micros = match self.latency_micros == 0.0 {
            true => micros,
            false => self.latency_micros + LATENCY_WEIGHT * (micros - self.latency_micros),
        };
    }

    fn record_failure(&mut self) {
        self.consecutive_failures += 1;
        self.samples = self.samples.saturating_add(1);
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
    }

    /// Returns the failure share at `now`; it decays exponentially after the last recorded outcome.
    fn decayed_failure_share(&self, now: ClockInstant) -> f64 {
        let age = self.failure_share_at.elapsed(now).as_secs_f64();
        self.failure_share * (-age / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Returns the failure share as a [`ShareRatio`].
    pub(crate) fn failure_ratio(&self, now: ClockInstant) -> ShareRatio {
        let ppm = self.decayed_failure_share(now) * f64::from(ShareRatio::ALL.as_ppm());
        ShareRatio::from_ppm(ppm as u32)
    }
}

/// Returns the probability that a quantity with the given mean and standard deviation exceeds zero.
fn excess_probability(mean: f64, deviation: f64) -> f64 {
    if deviation <= f64::EPSILON {
        return if mean > 0.0 { 1.0 } else { 0.0 };
    }
    let scale = deviation / 1.814;
    1.0 / (1.0 + (-mean / scale).exp())
}

/// Returns the mean of a quantity with the given mean and standard deviation as far as it exceeds
/// zero, by the logistic approximation of the normal distribution.
fn expected_excess(mean: f64, deviation: f64) -> f64 {
    // A logistic distribution has a standard deviation of pi / sqrt(3) times its scale.
    let scale = deviation / 1.814;
    if scale <= f64::EPSILON || mean / scale > 30.0 {
        return mean.max(0.0);
    }
    scale * (mean / scale).exp().ln_1p()
}
