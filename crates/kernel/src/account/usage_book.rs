use std::collections::BTreeMap;

use crate::{
    account::{UsageBound, UsageDecision, UsageLease},
    clock::ClockInstant,
    config::UsageCap,
    ids::AccountName,
};

/// Tokens and use of every capped account at an entry node.
#[derive(Clone, Debug, Default)]
pub struct UsageBook {
    bound: UsageBound,
    leases: BTreeMap<AccountName, UsageLease>,
}

impl UsageBook {
    /// Creates a book without accounts.
    #[must_use]
    pub const fn new(bound: UsageBound) -> Self {
        Self {
            bound,
            leases: BTreeMap::new(),
        }
    }

    /// Returns the state of each account.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountName, &UsageLease)> {
        self.leases.iter()
    }

    /// Adopts the caps in force. The state of an account without one is kept for as long as an owner
    /// may know it, since the account may get a cap again.
    pub fn set_caps(&mut self, now: ClockInstant, caps: &BTreeMap<AccountName, UsageCap>) {
        self.leases
            .retain(|account, lease| caps.contains_key(account) || !lease.is_forgotten(now));
        for (account, lease) in &mut self.leases {
            if let Some(cap) = caps.get(account) {
                lease.set_cap(*cap);
            }
        }
    }

    /// Returns the state of an account that has sent requests here.
    #[must_use]
    pub fn get(&self, account: &AccountName) -> Option<&UsageLease> {
        self.leases.get(account)
    }

    /// Returns the state of an account that has sent requests here.
    pub fn get_mut(&mut self, account: &AccountName) -> Option<&mut UsageLease> {
        self.leases.get_mut(account)
    }

    /// Decides on a request that has just arrived.
    pub fn admit(
        &mut self,
        now: ClockInstant,
        account: &AccountName,
        cap: UsageCap,
    ) -> UsageDecision {
        if let Some(lease) = self.leases.get_mut(account) {
            lease.count_arrival(now);
            return lease.decide(now);
        }
        let lease = self.leases.entry(account.clone());
        let lease = lease.or_insert_with(|| UsageLease::new(self.bound, cap));
        lease.count_arrival(now);
        lease.decide(now)
    }

    /// Returns the accounts for which a report is due.
    #[must_use]
    pub fn due_accounts(&self, now: ClockInstant) -> Vec<AccountName> {
        let due = self.leases.iter().filter(|(_, lease)| lease.is_due(now));
        due.map(|(account, _)| account.clone()).collect()
    }
}
