use std::collections::BTreeMap;

use crate::{
    account::{
        AccountGrant, AccountUsage, RecentCount, UsageBound, UsageReport,
        usage_contacts::{CONTACT_TIMEOUT, PROBE_INTERVAL},
    },
    clock::{ClockInstant, TimeBudget},
    config::UsageCap,
    ids::{IncarnationNumber, NodeName, VersionNumber},
};

/// Share of the permitted excess that tokens in the hands of entry nodes use. The rest covers
/// requests that run later than they were admitted, and owners that count side by side for a moment.
const LEASED_EXCESS: f64 = 0.5;
/// Time after which unused tokens lapse. Longer leases would hold back the bucket's refill for
/// nodes that need no tokens any more.
const LEASE_TIME: TimeBudget = TimeBudget::from_secs(2);
/// Share of the capacity that is granted only to requests that wait already.
const RESERVED_SHARE: f64 = 0.25;
/// Share of the rest that one node may get in advance.
const ADVANCE_SHARE: f64 = 0.25;
/// Longest time over which the room for refused requests is allotted to nodes in turn.
const MAX_BOOKED_TIME: TimeBudget = TimeBudget::from_secs(2);
/// Longest debt, as time at the account's rate, from requests that another owner granted.
const MAX_DEBT_TIME: TimeBudget = TimeBudget::from_secs(1);
/// Time after which the state of a silent entry node is forgotten.
pub(super) const FORGET_TIME: TimeBudget = TimeBudget::from_secs(60);

/// Token bucket of one account at its owner, for all entry nodes together.
///
/// The unused tokens that entry nodes hold count as part of the bucket's content. What runs in a
/// window is therefore at most what the rate adds and the capacity, however tokens are spread.
#[derive(Clone, Debug)]
pub struct UsageBucket {
    bound: UsageBound,
    cap: UsageCap,
    version: VersionNumber,
    /// Share of the cap that this owner may grant.
    share: f64,
    /// Tokens at the owner; negative after requests that it did not grant.
    level: f64,
    filled_at: ClockInstant,
    created_at: ClockInstant,
    /// Instant up to which room is allotted to nodes that were refused tokens.
    booked_until: ClockInstant,
    reported_at: ClockInstant,
    is_substitute: bool,
    leases: BTreeMap<NodeName, NodeLease>,
    used: RecentCount,
}

/// What the owner knows of one entry node.
#[derive(Clone, Debug)]
struct NodeLease {
    incarnation: IncarnationNumber,
    number: u64,
    used: i64,
    /// Tokens granted in advance and not yet reported as used.
    held: u32,
    /// Tokens granted to waiting requests, which use them at once.
    spent: u32,
    lapses_at: ClockInstant,
    reported_at: ClockInstant,
}

impl UsageBucket {
    /// Creates an empty bucket, which fills from `now` on.
    ///
    /// A substitute counts for an owner that cannot be reached and may still grant tokens.
    #[must_use]
    pub fn new(
        now: ClockInstant,
        bound: UsageBound,
        cap: UsageCap,
        version: VersionNumber,
        share: f64,
        is_substitute: bool,
    ) -> Self {
        Self {
            bound,
            cap,
            version,
            share,
            level: 0.0,
            filled_at: now,
            created_at: now,
            booked_until: now,
            reported_at: now,
            is_substitute,
            leases: BTreeMap::new(),
            used: RecentCount::new(bound.window),
        }
    }

    /// Adopts the cap of a newer configuration version.
    pub fn adopt_cap(&mut self, cap: UsageCap, version: VersionNumber) {
        if version > self.version {
            self.version = version;
            self.cap = cap;
        }
    }

    /// Returns the cap in force.
    #[must_use]
    pub const fn cap(&self) -> UsageCap {
        self.cap
    }

    /// Returns the requests reported in the last window.
    #[must_use]
    pub fn used(&self, now: ClockInstant) -> u32 {
        self.used.total(now)
    }

    /// Returns the instant of creation if the bucket belongs to a substitute.
    #[must_use]
    pub fn substitute_since(&self) -> Option<ClockInstant> {
        self.is_substitute.then_some(self.created_at)
    }

    /// Makes the bucket that of the account's owner, or of a substitute for it.
    pub const fn set_substitute(&mut self, is_substitute: bool) {
        self.is_substitute = is_substitute;
    }

    /// Returns whether no entry node has reported within the window.
    #[must_use]
    pub fn is_idle(&self, now: ClockInstant) -> bool {
        self.reported_at.after(self.bound.window).has_passed(now)
    }

    /// Returns whether the account's use is so high that a part of the mesh that is cut off makes a
    /// difference.
    #[must_use]
    pub fn is_near_cap(&self, now: ClockInstant) -> bool {
        !self.is_idle(now) && self.level < self.capacity() / 2.0
    }

    /// Sets the share of the cap that this owner may grant.
    ///
    /// A lower share means that others have been granting the rest for as long as a loss of contact
    /// stays unnoticed. The bucket makes up for this.
    pub fn set_share(&mut self, now: ClockInstant, share: f64) {
        self.fill(now);
        let unnoticed = CONTACT_TIMEOUT.as_secs_f64() + PROBE_INTERVAL.as_secs_f64();
        let unnoticed = unnoticed.min(self.created_at.elapsed(now).as_secs_f64());
        let lost = (self.share - share).max(0.0);
        self.share = share;
        self.debit(self.cap.rate.per_second() * lost * unnoticed);
        self.limit_level(now);
    }

    /// Counts a report and returns the grant; `None` if a later report has overtaken it.
    pub fn report(
        &mut self,
        now: ClockInstant,
        report: &UsageReport,
        usage: &AccountUsage,
    ) -> Option<AccountGrant> {
        self.fill(now);
        self.reported_at = now;
        self.settle(now, report, usage)?;
        self.limit_level(now);
        let available = self.level.max(0.0) as u32;
        let for_waiting = usage.wanted.min(available);
        let spare = self.level - f64::from(for_waiting) - RESERVED_SHARE * self.capacity();
        let in_advance = (spare.max(0.0) * ADVANCE_SHARE) as u32;
        let in_advance = match for_waiting < usage.wanted {
            true => 0,
            false => usage.expected.saturating_sub(usage.held).min(in_advance),
        };
        let tokens = for_waiting + in_advance;
        self.level -= f64::from(tokens);
        let lease = self.leases.get_mut(&report.from)?;
        lease.held = usage.held + in_advance;
        lease.spent = for_waiting;
        lease.lapses_at = now.after(LEASE_TIME);
        Some(AccountGrant {
            account: usage.account.clone(),
            number: usage.number,
            tokens,
            lease: LEASE_TIME,
            room_in: match for_waiting < usage.wanted {
                true => self.book_room(now),
                false => TimeBudget::ZERO,
            },
            may_wait: !self.created_at.after(self.bound.window).has_passed(now),
        })
    }

    /// Settles what the entry node was granted before against what it has used and still holds.
    fn settle(
        &mut self,
        now: ClockInstant,
        report: &UsageReport,
        usage: &AccountUsage,
    ) -> Option<()> {
        let known = self.leases.get(&report.from);
        let known = known.filter(|lease| lease.incarnation == report.incarnation);
        if known.is_some_and(|lease| lease.number >= usage.number) {
            return None;
        }
        let (used, credit) = match known {
            Some(lease) => {
                let used = usage.used.saturating_sub(lease.used);
                let granted = i64::from(lease.held) + i64::from(lease.spent);
                (used, granted - used - i64::from(usage.held))
            }
            // Another owner granted what the node has used so far; that counts as far as this
            // bucket was filling at the same time.
            None => {
                let window = self.bound.window.as_secs_f64();
                let overlap = self.created_at.elapsed(now).as_secs_f64() / window;
                let used = f64::from(usage.recent) * overlap.min(1.0);
                (used as i64, -(used as i64))
            }
        };
        self.used.add(now, u32::try_from(used).unwrap_or(0));
        match credit >= 0 {
            true => self.level += credit as f64,
            false => self.debit(-credit as f64),
        }
        let lease = NodeLease {
            incarnation: report.incarnation,
            number: usage.number,
            used: usage.used,
            held: usage.held,
            spent: 0,
            lapses_at: now.after(LEASE_TIME),
            reported_at: now,
        };
        self.leases.insert(report.from.clone(), lease);
        Some(())
    }

    /// Allots room to a node that did not get all the tokens it wanted, and returns the time until
    /// then. Nodes ask again in turn rather than all at once.
    fn book_room(&mut self, now: ClockInstant) -> TimeBudget {
        let rate = self.cap.rate.per_second() * self.share;
        let seconds = |tokens: f64| TimeBudget::from_micros((tokens / rate * 1e6).ceil() as u64);
        let first_room = now.after(seconds(1.0 - self.level));
        let booked = self.booked_until.min(now.after(MAX_BOOKED_TIME));
        let room_at = first_room.max(booked);
        self.booked_until = room_at.after(seconds(1.0));
        room_at.remaining(now)
    }

    fn capacity(&self) -> f64 {
        let burst = self.cap.burst as f64;
        let rate = self.cap.rate.per_second();
        let cap = rate * self.bound.window.as_secs_f64() + burst;
        let excess = self.bound.overage * cap + f64::from(self.bound.slack);
        ((burst + LEASED_EXCESS * excess) * self.share).max(1.0)
    }

    fn fill(&mut self, now: ClockInstant) {
        let elapsed = self.filled_at.elapsed(now).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level += elapsed * self.cap.rate.per_second() * self.share;
        self.leases
            .retain(|_, lease| !lease.reported_at.after(FORGET_TIME).has_passed(now));
        self.limit_level(now);
    }

    fn limit_level(&mut self, now: ClockInstant) {
        let leases = self.leases.values();
        let held: u32 = leases
            .filter(|lease| !lease.lapses_at.has_passed(now))
            .map(|lease| lease.held)
            .sum();
        self.level = self.level.min(self.capacity() - f64::from(held));
    }

    fn debit(&mut self, tokens: f64) {
        let lowest = -self.cap.rate.per_second() * MAX_DEBT_TIME.as_secs_f64();
        self.level = (self.level - tokens).max(lowest.min(self.level));
    }
}
