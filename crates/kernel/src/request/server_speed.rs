use crate::{
    clock::{ClockInstant, TimeBudget},
    request::Slowdown,
};

/// Weight of the assumption that a server is not slowed, in seconds of reports; keeps the mean
/// steady while only a few spells have been seen.
const PRIOR_SECONDS: f64 = 2.0;
/// Length of the reports that the mean slowdown covers, in seconds: at least 15 spells of 600 ms
/// for 15% of the time, so that a single spell hardly moves it.
const MEAN_SECONDS: f64 = 60.0;
/// Growth of the slowdown from which the waiting requests are checked again.
const SIGNIFICANT_RATIO: f64 = 1.125;
/// Longest time that a report counts for in the mean; between later reports nothing is known.
const MAX_REPORT_SECONDS: f64 = 1.0;

/// Learns the usual speed of a backend server apart from its slowdown of the moment.
///
/// The load it answers: servers that share their machines and are slowed 2.5 times for 15% of the
/// time in spells of about 600 ms. Service times measured as they come are means over whatever
/// spells the last few requests met. This type keeps a clock that runs at the server's speed, so
/// that a service time by this clock is the same in a spell and outside one, and publishes and
/// compares times by it. The slowdown is relative to the server's own mean: a server that reports a
/// constant factor, true or false, is as slow as its measured times say.
#[derive(Clone, Debug)]
pub struct ServerSpeed {
    /// Latest reported factor on the time of an undisturbed server.
    factor: f64,
    reported_at: ClockInstant,
    mean_factor: f64,
    mean_seconds: f64,
    /// Reading of the server's clock at `clock_at`, in microseconds.
    clock_micros: f64,
    clock_at: ClockInstant,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        Self {
            factor: 1.0,
            reported_at: ClockInstant::default(),
            mean_factor: 1.0,
            mean_seconds: PRIOR_SECONDS,
            clock_micros: 0.0,
            clock_at: ClockInstant::default(),
        }
    }
}

impl ServerSpeed {
    /// Records the slowdown that a response reports, and returns whether the server is slower than
    /// before by a significant part.
    ///
    /// An absurd figure counts as missing.
    pub fn record_report(&mut self, now: ClockInstant, reported: Option<Slowdown>) -> bool {
        let Some(reported) = reported.filter(|reported| reported.is_plausible()) else {
            return false;
        };
        let before = self.slowdown(now);
        self.advance_clock(now);
        // The previous report held until now, but may be too old to say so.
        let seconds = self.reported_at.elapsed(now).as_secs_f64();
        let seconds = seconds.min(MAX_REPORT_SECONDS);
        let kept_seconds = self.mean_seconds.min(MEAN_SECONDS);
        self.mean_seconds = kept_seconds + seconds;
        self.mean_factor += (self.factor - self.mean_factor) * seconds / self.mean_seconds;
        self.factor = reported.factor();
        self.reported_at = now;
        self.slowdown(now).factor() > before.factor() * SIGNIFICANT_RATIO
    }

    /// Returns the slowdown that is expected at `now`, relative to the server's own mean.
    #[must_use]
    pub fn slowdown(&self, now: ClockInstant) -> Slowdown {
        let latest = Slowdown::from_factor(self.factor / self.mean_factor);
        latest.after(self.reported_at.elapsed(now))
    }

    /// Returns the reading of the server's clock, which runs at its speed: service times that are
    /// differences of two readings do not depend on the slowdown.
    pub fn clock(&mut self, now: ClockInstant) -> TimeBudget {
        self.advance_clock(now);
        TimeBudget::from_micros(self.clock_micros as u64)
    }

    /// Returns the time that work is expected to take from `now` on, given its usual time.
    #[must_use]
    pub fn expected_time(&self, now: ClockInstant, usual: TimeBudget) -> TimeBudget {
        let factor = self.slowdown(now).mean_over(usual.as_micros() as f64);
        TimeBudget::from_micros((usual.as_micros() as f64 * factor) as u64)
    }

    fn advance_clock(&mut self, now: ClockInstant) {
        let elapsed = self.clock_at.elapsed(now).as_micros() as f64;
        let factor = self.slowdown(self.clock_at).mean_over(elapsed);
        self.clock_micros += elapsed / factor;
        self.clock_at = now;
    }
}
