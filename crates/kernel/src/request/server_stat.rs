use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    ids::{BackendName, BuildVersion, DataCentre, NodeName, RouteName},
    member::BackendState,
    request::AttemptOutcome,
};

/// Pace of a server that has just started, against a warm one.
const COLD_PACE: f64 = 0.5;
/// Longest time for which a server's word that it is slow is believed.
const MAX_COLD_TIME: TimeBudget = TimeBudget::from_secs(30);
/// Weight of one attempt in the share of failures: ten in a row bring it past a half.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of one attempt in the mean latency: it follows a change within some ten attempts.
const LATENCY_WEIGHT: f64 = 0.2;
/// Failures in a row after which a server is left out; half of all requests failing gives five in
/// a row once in 32.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Share of failures from which a server does more harm than its absence.
const MAX_FAILURE_SHARE: f64 = 0.5;
/// Attempts before the share of failures is believed.
const MIN_FAILURE_SAMPLES: u32 = 20;
/// Time in which the share of failures halves while nothing is sent.
const FAILURE_HALF_LIFE: TimeBudget = TimeBudget::from_secs(1);
/// First time for which a server is left out; each further one in a row is twice as long.
const FIRST_EJECTION: TimeBudget = TimeBudget::from_millis(500);
/// Doublings up to 32 s, after which a server that has recovered would be missed.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// Time for which a load report is believed; some requests run that long.
const REPORT_LIFETIME: TimeBudget = TimeBudget::from_millis(500);
/// Time for which a server that refused counts as full; a slot falls free within it.
const SHED_LIFETIME: TimeBudget = TimeBudget::from_millis(100);
/// Multiple of the mean latency beyond which an unanswered request speaks against the server.
const TIMEOUT_FACTOR: f64 = 4.0;
/// Multiple of the mean latency without any end of a request after which a server is stalled.
const STALL_FACTOR: f64 = 8.0;
/// Silence, in microseconds, that never counts as a stall; pauses of a busy VM last that long.
const STALL_FLOOR_MICROS: f64 = 50_000.0;
/// Factor on the load of a stalled server, so that it comes last and is still tried when alone.
const STALL_PENALTY: f64 = 16.0;
/// Weight of a server that begins its slow start.
const FIRST_WEIGHT: f64 = 0.1;
/// Weight that a failing server keeps, so that its recovery shows.
const MIN_WEIGHT: f64 = 0.02;
/// Weight of a server that calls itself unhealthy; such reports may be false.
const UNHEALTHY_WEIGHT: f64 = 0.5;

/// Where a backend server is and what it declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerPlace {
    /// Node beside the server.
    pub node: NodeName,
    /// Name of the server.
    pub backend: BackendName,
    /// Version of the software that it runs.
    pub version: BuildVersion,
    /// Data centre that both are in.
    pub data_centre: DataCentre,
}

/// Load of a backend server as the node beside it sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests that run on the server.
    pub running: u32,
    /// Requests that wait for one of its slots.
    pub waiting: u32,
}

/// What a node knows of one backend server, mostly from its own attempts.
#[derive(Clone, Debug)]
pub(crate) struct ServerStat {
    pub(crate) place: ServerPlace,
    pub(crate) slots: u32,
    pub(crate) state: BackendState,
    pub(crate) outstanding: u32,
    pub(crate) is_healthy: bool,
    /// Time that the server's requests take in a slot, by route.
    pub(crate) times: BTreeMap<RouteName, TimeBudget>,
    /// Instant until which the server is slow by its own word, if it tells.
    cold_until: Option<ClockInstant>,
    full_from: ClockInstant,
    slow_start: TimeBudget,
    ejected_until: ClockInstant,
    ejections: u32,
    consecutive_failures: u32,
    failure_share: f64,
    failure_at: ClockInstant,
    samples: u32,
    latency_micros: f64,
    progress_at: ClockInstant,
    load: ServerLoad,
    load_until: ClockInstant,
}

impl ServerStat {
    pub(crate) fn new(place: ServerPlace, full_from: ClockInstant, slow_start: TimeBudget) -> Self {
        Self {
            place,
            slots: 1,
            state: BackendState::Starting,
            outstanding: 0,
            is_healthy: true,
            times: BTreeMap::new(),
            cold_until: None,
            full_from,
            slow_start,
            ejected_until: ClockInstant::default(),
            ejections: 0,
            consecutive_failures: 0,
            failure_share: 0.0,
            failure_at: ClockInstant::default(),
            samples: 0,
            latency_micros: 0.0,
            progress_at: ClockInstant::default(),
            load: ServerLoad::default(),
            load_until: ClockInstant::default(),
        }
    }

    pub(crate) fn is_ejected(&self, now: ClockInstant) -> bool {
        !self.ejected_until.has_passed(now)
    }

    /// Restarts the slow start, for a server that has begun to serve and does not tell how long it
    /// stays slow.
    pub(crate) fn begin_slow_start(&mut self, now: ClockInstant) {
        self.full_from = now.after(self.slow_start);
    }

    /// Takes in until when the server says that it is slow.
    pub(crate) fn note_cold_until(&mut self, now: ClockInstant, cold_until: Option<ClockInstant>) {
        // The clocks of two nodes may differ.
        self.cold_until = cold_until.map(|instant| instant.min(now.after(MAX_COLD_TIME)));
    }

    pub(crate) fn begin(&mut self, now: ClockInstant) {
        if self.outstanding == 0 {
            self.progress_at = now;
        }
        self.outstanding += 1;
    }

    pub(crate) fn report(&mut self, now: ClockInstant, load: ServerLoad) {
        self.load = load;
        self.load_until = now.after(REPORT_LIFETIME);
    }

    /// Takes in the end of an attempt and returns whether the server ought to be ejected.
    pub(crate) fn settle(
        &mut self,
        now: ClockInstant,
        outcome: AttemptOutcome,
        took: TimeBudget,
    ) -> bool {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.progress_at = now;
        self.failure_share = self.failure_share(now);
        self.failure_at = now;
        match outcome {
            AttemptOutcome::Shed => {
                self.note_full(now);
                return false;
            }
            AttemptOutcome::Abandoned => return false,
            AttemptOutcome::TimedOut if !self.is_overlong(took) => return false,
            AttemptOutcome::Served => self.succeed(took),
            _ => self.fail(),
        }
        let is_failing =
            self.samples >= MIN_FAILURE_SAMPLES && self.failure_share >= MAX_FAILURE_SHARE;
        // A refused connection needs no second one to be believed.
        let is_absent = outcome == AttemptOutcome::Unreached;
        is_absent || is_failing || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Keeps the server out of the choice, longer each time in a row, then starts it slowly.
    pub(crate) fn eject(&mut self, now: ClockInstant) {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let micros = FIRST_EJECTION.as_micros() << doublings;
        self.ejected_until = now.after(TimeBudget::from_micros(micros));
        self.ejections += 1;
        self.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1;
        self.samples = 0;
        self.full_from = self.ejected_until.after(self.slow_start);
    }

    /// Returns the time until an answer, with the wait for a slot, where the server's own time for
    /// the route is known.
    pub(crate) fn expected_micros(&self, now: ClockInstant, route: &RouteName) -> Option<f64> {
        let own = self.times.get(route)?.as_micros() as f64;
        let slots = f64::from(self.slots.max(1));
        let queued = (f64::from(self.work(now)) + 1.0 - slots).max(0.0);
        let time = own * (1.0 + queued / slots) / self.warmth(now).max(COLD_PACE);
        Some(if self.is_stalled(now) {
            time * STALL_PENALTY
        } else {
            time
        })
    }

    /// Returns the share of a full server's work that this one should get.
    pub(crate) fn weight(&self, now: ClockInstant) -> f64 {
        let health = if self.is_healthy {
            1.0
        } else {
            UNHEALTHY_WEIGHT
        };
        let success = 1.0 - self.failure_share(now);
        (self.warmth(now) * health * success * success).max(MIN_WEIGHT)
    }

    /// Returns outstanding work against the slots that the server has for its weight.
    pub(crate) fn score(&self, now: ClockInstant) -> f64 {
        let capacity = f64::from(self.slots.max(1)) * self.weight(now);
        let score = f64::from(self.work(now)) / capacity;
        if self.is_stalled(now) {
            return score * STALL_PENALTY;
        }
        score
    }

    /// Returns requests at the server: our own, or everyone's by its last report if that is more.
    pub(crate) fn work(&self, now: ClockInstant) -> u32 {
        let reported = match self.load_until.has_passed(now) {
            true => 0,
            false => self.load.running + self.load.waiting,
        };
        self.outstanding.max(reported)
    }

    fn warmth(&self, now: ClockInstant) -> f64 {
        let is_cold = self.cold_until.is_some_and(|end| !end.has_passed(now));
        let pace = if is_cold { COLD_PACE } else { 1.0 };
        if self.slow_start.is_zero() {
            return pace;
        }
        let left = self.full_from.remaining(now).as_secs_f64() / self.slow_start.as_secs_f64();
        (1.0 - left).clamp(FIRST_WEIGHT, pace)
    }

    fn is_stalled(&self, now: ClockInstant) -> bool {
        let silence = self.progress_at.elapsed(now).as_micros() as f64;
        let patience = (self.latency_micros * STALL_FACTOR).max(STALL_FLOOR_MICROS);
        self.outstanding > 0 && silence > patience
    }

    /// Counts the server as full for a while, since a refusal carries no load report.
    fn note_full(&mut self, now: ClockInstant) {
        self.load = ServerLoad {
            running: self.slots,
            waiting: self.slots,
        };
        self.load_until = now.after(SHED_LIFETIME);
    }

    /// Returns whether an unanswered request had far more time than the server usually takes.
    fn is_overlong(&self, took: TimeBudget) -> bool {
        took.as_micros() as f64 > self.latency_micros * TIMEOUT_FACTOR
    }

    fn succeed(&mut self, took: TimeBudget) {
        self.consecutive_failures = 0;
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

    fn fail(&mut self) {
        self.consecutive_failures += 1;
        self.samples = self.samples.saturating_add(1);
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
    }

    /// Returns the share of failures, which fades while the server gets no work.
    fn failure_share(&self, now: ClockInstant) -> f64 {
        let age = self.failure_at.elapsed(now).as_secs_f64();
        self.failure_share * (-age / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Returns the share of failures as a ratio.
    pub(crate) fn failure_ratio(&self, now: ClockInstant) -> ShareRatio {
        let ppm = self.failure_share(now) * f64::from(ShareRatio::ALL.as_ppm());
        ShareRatio::from_ppm(ppm as u32)
    }
}
