use crate::{
    account::{
        AccountGrant, AccountUsage, RecentCount, UsageBound, UsageDecision,
        usage_bucket::FORGET_TIME,
    },
    clock::{ClockInstant, TimeBudget},
    config::UsageCap,
    ids::AccountName,
};

/// Time constant of the estimate of a node's demand.
const DEMAND_TIME: TimeBudget = TimeBudget::from_secs(1);
/// Time for which tokens are requested in advance; that of a lease.
const ADVANCE_TIME: TimeBudget = TimeBudget::from_secs(2);
/// Share of the expected requests below which more tokens are requested.
const LOW_SHARE: f64 = 0.3;
/// Least time between two reports that no request waits for.
const REPORT_INTERVAL: TimeBudget = TimeBudget::from_millis(200);
/// Time before the end of a lease at which unused tokens are given back or kept for longer.
const RETURN_MARGIN: TimeBudget = TimeBudget::from_millis(600);
/// Longest time until there is room for which a request waits instead of being refused.
const MAX_ROOM_WAIT: TimeBudget = TimeBudget::from_millis(250);
/// Latest retry time given to a refused request.
const MAX_RETRY_TIME: TimeBudget = TimeBudget::from_secs(30);

/// Tokens of one account at an entry node.
#[derive(Clone, Debug)]
pub struct UsageLease {
    cap: UsageCap,
    held: u32,
    expires_at: ClockInstant,
    used: i64,
    number: u64,
    /// Whether the owner has been asked and has not replied yet.
    is_asking: bool,
    asked_at: ClockInstant,
    /// Requests that wait for the owner's reply.
    waiting: u32,
    /// Instant of the owner's last reply.
    replied_at: ClockInstant,
    /// Instant at which there will be room, by the owner's last reply.
    room_at: ClockInstant,
    /// Time between two requests for which there is room at this node.
    room_interval: TimeBudget,
    may_wait: bool,
    /// Requests refused since the owner's last reply.
    refused: u32,
    refusals: u64,
    recent: RecentCount,
    /// Requests in the last second, with exponential decay.
    demand: f64,
    demand_at: ClockInstant,
}

impl UsageLease {
    /// Creates the state of a node that holds no tokens.
    #[must_use]
    pub fn new(bound: UsageBound, cap: UsageCap) -> Self {
        Self {
            cap,
            held: 0,
            expires_at: ClockInstant::default(),
            used: 0,
            number: 0,
            is_asking: false,
            asked_at: ClockInstant::default(),
            waiting: 0,
            replied_at: ClockInstant::default(),
            room_at: ClockInstant::default(),
            room_interval: TimeBudget::ZERO,
            may_wait: false,
            refused: 0,
            refusals: 0,
            recent: RecentCount::new(bound.window),
            demand: 0.0,
            demand_at: ClockInstant::default(),
        }
    }

    /// Sets the cap of the configuration in force.
    pub const fn set_cap(&mut self, cap: UsageCap) {
        self.cap = cap;
    }

    /// Returns whether every owner has forgotten this node's use of the account.
    #[must_use]
    pub fn is_forgotten(&self, now: ClockInstant) -> bool {
        let known_until = self.asked_at.max(self.demand_at).after(FORGET_TIME);
        self.waiting == 0 && !self.is_asking && known_until.has_passed(now)
    }

    /// Counts a request that has arrived in the demand.
    pub fn count_arrival(&mut self, now: ClockInstant) {
        self.demand = self.current_demand(now) + 1.0;
        self.demand_at = now;
    }

    /// Decides on a request, which may have waited already.
    pub fn decide(&mut self, now: ClockInstant) -> UsageDecision {
        self.drop_lapsed(now);
        if self.held > 0 {
            self.held -= 1;
            self.used += 1;
            self.recent.add(now, 1);
            return UsageDecision::Admitted;
        }
        if self.room_at.has_passed(now) {
            return UsageDecision::Ask;
        }
        if self.may_wait && self.room_at.remaining(now) <= MAX_ROOM_WAIT {
            return UsageDecision::WaitUntil(self.room_at);
        }
        UsageDecision::Refused(self.refuse(now))
    }

    /// Refuses a request that has waited since `since`, and returns when there will be room for it;
    /// `None` if the owner has not replied in that time.
    pub fn give_up(&mut self, now: ClockInstant, since: ClockInstant) -> Option<ClockInstant> {
        (self.replied_at >= since).then(|| self.refuse(now))
    }

    /// Counts a refusal and returns when there will be room for the request.
    fn refuse(&mut self, now: ClockInstant) -> ClockInstant {
        let ahead = u64::from(self.refused);
        self.refused = self.refused.saturating_add(1);
        self.refusals += 1;
        let later = self.room_interval.as_micros().saturating_mul(ahead);
        let retry_at = self.room_at.max(now).after(TimeBudget::from_micros(later));
        retry_at.min(now.after(MAX_RETRY_TIME))
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self, now: ClockInstant) {
        self.used -= 1;
        self.recent.take_back(now);
        if !self.expires_at.has_passed(now) {
            self.held += 1;
        }
    }

    /// Changes the number of requests that wait for the owner's reply.
    pub const fn add_waiting(&mut self, change: i32) {
        self.waiting = self.waiting.saturating_add_signed(change);
    }

    /// Returns whether a report to the owner is due.
    #[must_use]
    pub fn is_due(&self, now: ClockInstant) -> bool {
        if self.is_asking {
            return false;
        }
        let has_room = self.room_at.has_passed(now);
        if self.waiting > 0 && has_room {
            return true;
        }
        let is_valid = !self.expires_at.has_passed(now);
        if !is_valid || !self.asked_at.after(REPORT_INTERVAL).has_passed(now) {
            return false;
        }
        let is_low = f64::from(self.held) < f64::from(self.expected(now)) * LOW_SHARE;
        let is_ending = self.expires_at.before(RETURN_MARGIN).has_passed(now);
        (is_low && has_room) || (self.held > 0 && is_ending)
    }

    /// Returns the report that is due; the owner counts as asked until [`UsageLease::finish`].
    pub fn take_report(&mut self, now: ClockInstant, account: &AccountName) -> AccountUsage {
        self.drop_lapsed(now);
        self.is_asking = true;
        self.asked_at = now;
        self.number += 1;
        let expected = self.expected(now);
        if self.waiting == 0 {
            // The report gives back what is not expected to be used.
            self.held = self.held.min(expected);
        }
        AccountUsage {
            account: account.clone(),
            cap: self.cap,
            number: self.number,
            used: self.used,
            recent: self.recent.total(now),
            held: self.held,
            wanted: self.waiting,
            expected,
        }
    }

    /// Records the owner's reply to the report sent at `sent_at`, or that it did not reply.
    pub fn finish(
        &mut self,
        now: ClockInstant,
        sent_at: ClockInstant,
        grant: Option<&AccountGrant>,
    ) {
        self.is_asking = false;
        let Some(grant) = grant.filter(|grant| grant.number == self.number) else {
            return;
        };
        self.replied_at = now;
        self.held += grant.tokens;
        self.expires_at = sent_at.after(grant.lease);
        self.room_at = sent_at.after(grant.room_in);
        let rate_interval = self.cap.rate.interval().unwrap_or_default();
        self.room_interval = grant.room_in.max(rate_interval);
        self.may_wait = grant.may_wait;
        self.refused = 0;
    }

    /// Returns the requests refused since the node started.
    #[must_use]
    pub const fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Returns the requests admitted in the last window.
    #[must_use]
    pub fn recent(&self, now: ClockInstant) -> u32 {
        self.recent.total(now)
    }

    fn drop_lapsed(&mut self, now: ClockInstant) {
        if self.expires_at.has_passed(now) {
            self.held = 0;
        }
    }

    /// Returns the requests expected while a lease lasts; none of an account that is rarely used
    /// here, since it costs less to ask for each request than to give unused tokens back.
    fn expected(&self, now: ClockInstant) -> u32 {
        let expected = self.current_demand(now) / DEMAND_TIME.as_secs_f64();
        let expected = expected * ADVANCE_TIME.as_secs_f64();
        match expected >= 4.0 {
            true => expected as u32,
            false => 0,
        }
    }

    fn current_demand(&self, now: ClockInstant) -> f64 {
        let elapsed = self.demand_at.elapsed(now).as_secs_f64();
        self.demand * (-elapsed / DEMAND_TIME.as_secs_f64()).exp()
    }
}
