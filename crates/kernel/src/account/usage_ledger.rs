use std::collections::BTreeMap;

use crate::{
    account::{AccountGrant, AccountUsage, UsageBound, UsageBucket, UsageReport},
    clock::ClockInstant,
    config::UsageCap,
    ids::{AccountName, VersionNumber},
};

/// Buckets of the accounts that a node owns, or for whose owner it is a substitute.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    bound: UsageBound,
    buckets: BTreeMap<AccountName, UsageBucket>,
}

impl UsageLedger {
    /// Creates a ledger without buckets.
    #[must_use]
    pub const fn new(bound: UsageBound) -> Self {
        Self {
            bound,
            buckets: BTreeMap::new(),
        }
    }

    /// Returns the buckets.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountName, &UsageBucket)> {
        self.buckets.iter()
    }

    /// Returns the bucket of an account.
    #[must_use]
    pub fn get(&self, account: &AccountName) -> Option<&UsageBucket> {
        self.buckets.get(account)
    }

    /// Creates the bucket of an account that the node now owns, which fills from now on, and adopts
    /// a newer cap.
    pub fn own(
        &mut self,
        now: ClockInstant,
        account: &AccountName,
        cap: UsageCap,
        version: VersionNumber,
    ) {
        let bucket = self.buckets.entry(account.clone());
        let bound = self.bound;
        let bucket =
            bucket.or_insert_with(|| UsageBucket::new(now, bound, cap, version, 1.0, false));
        bucket.set_substitute(false);
        bucket.adopt_cap(cap, version);
    }

    /// Removes buckets that no entry node has used for a window, except those that `is_owned` keeps.
    pub fn remove_idle(&mut self, now: ClockInstant, is_owned: impl Fn(&AccountName) -> bool) {
        self.buckets
            .retain(|account, bucket| is_owned(account) || !bucket.is_idle(now));
    }

    /// Counts a report and returns the grant; `share` gives the share of the cap that this node may
    /// grant, by the instant since which it is a substitute.
    pub fn report(
        &mut self,
        now: ClockInstant,
        report: &UsageReport,
        usage: &AccountUsage,
        is_substitute: bool,
        share: impl Fn(Option<ClockInstant>) -> f64,
    ) -> Option<AccountGrant> {
        let is_stale = |bucket: &UsageBucket| is_substitute && bucket.is_idle(now);
        if self.buckets.get(&usage.account).is_some_and(is_stale) {
            self.buckets.remove(&usage.account);
        }
        let bound = self.bound;
        let bucket = self.buckets.entry(usage.account.clone());
        let bucket = bucket.or_insert_with(|| {
            let since = is_substitute.then_some(now);
            UsageBucket::new(
                now,
                bound,
                usage.cap,
                report.version,
                share(since),
                is_substitute,
            )
        });
        bucket.adopt_cap(usage.cap, report.version);
        bucket.set_share(now, share(bucket.substitute_since()));
        bucket.report(now, report, usage)
    }
}
