use std::collections::{BTreeMap, BTreeSet};

use crate::{
    account::{
        RelayStage, UsageBook, UsageBound, UsageContacts, UsageDecision, UsageLease, UsageLedger,
        UsagePaths, UsageReply, UsageReport, choose_owner, usage_paths::OwnerStep,
    },
    clock::{ClockInstant, TimeBudget},
    config::UsageCap,
    ids::{AccountName, IncarnationNumber, NodeName, VersionNumber},
    member::{MemberRow, MemberState, MemberTable},
    status::UsageStatus,
};

/// Time within which a node must reply. Many round trips, and more than the pauses of a process
/// that gets a tenth of a core in periods of 100 ms.
const REPLY_TIMEOUT: TimeBudget = TimeBudget::from_millis(200);
/// Time within which a substitute must reply, which may ask a better owner first.
const REPLACE_TIMEOUT: TimeBudget = TimeBudget::from_millis(450);
/// Most owners of an account whose replies a substitute looks for.
const MAX_REPLACED: usize = 8;
/// Time after a report to a substitute for which it looks whether the owner replies.
const REPLACED_TIME: TimeBudget = TimeBudget::from_secs(2);

/// Usage caps at one node: its tokens as an entry node, and its buckets as an owner.
#[derive(Clone, Debug)]
pub struct UsageNode {
    bound: UsageBound,
    own: NodeName,
    incarnation: IncarnationNumber,
    version: VersionNumber,
    book: UsageBook,
    ledger: UsageLedger,
    contacts: UsageContacts,
    paths: UsagePaths,
    /// Configuration version and generation of the member table that were last adopted.
    synced_to: Option<(VersionNumber, u64)>,
    /// Hash of the serving members for which the owned accounts were determined.
    owned_for: Option<(VersionNumber, u64)>,
    owned: BTreeSet<AccountName>,
    caps: BTreeMap<AccountName, UsageCap>,
    /// Owners that this node was asked to replace, until when it looks whether they reply.
    replaced: BTreeMap<NodeName, ClockInstant>,
}

/// Report that an entry node sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageExchange {
    /// Node that is asked.
    pub to: NodeName,
    /// Owner of the accounts; differs from `to` if that node passes the report on.
    pub owner: NodeName,
    /// Message.
    pub report: UsageReport,
    /// Instant of sending, from which leases count.
    pub sent_at: ClockInstant,
    /// Instant by which the node must reply.
    pub deadline: ClockInstant,
}

/// Part of a report that another node must serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageRelay {
    /// Node that owns the accounts.
    pub to: NodeName,
    /// Message.
    pub report: UsageReport,
    /// Whether this node serves it if the owner does not reply.
    pub may_replace: bool,
    /// Instant by which the owner must reply.
    pub deadline: ClockInstant,
}

/// Result of serving a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServedReport {
    /// Grants of this node.
    pub reply: UsageReply,
    /// Reports to other nodes whose grants belong to the reply as well.
    pub relays: Vec<UsageRelay>,
}

impl UsageNode {
    /// Creates the state of a node that has just started.
    #[must_use]
    pub fn new(own: NodeName, incarnation: IncarnationNumber, bound: UsageBound) -> Self {
        Self {
            bound,
            own,
            incarnation,
            version: VersionNumber::default(),
            book: UsageBook::new(bound),
            ledger: UsageLedger::new(bound),
            contacts: UsageContacts::default(),
            paths: UsagePaths::default(),
            synced_to: None,
            owned_for: None,
            owned: BTreeSet::new(),
            caps: BTreeMap::new(),
            replaced: BTreeMap::new(),
        }
    }

    /// Returns the tokens and use as an entry node.
    #[must_use]
    pub const fn book(&self) -> &UsageBook {
        &self.book
    }

    /// Returns the buckets as an owner.
    #[must_use]
    pub const fn ledger(&self) -> &UsageLedger {
        &self.ledger
    }

    /// Adopts the caps in force and the members, by which the node owns some of the accounts.
    ///
    /// After a pause the node has a new incarnation. Others may have counted in the meantime, so it
    /// starts with empty buckets.
    pub fn sync<'a>(
        &mut self,
        now: ClockInstant,
        incarnation: IncarnationNumber,
        version: VersionNumber,
        table: &MemberTable,
        caps: impl Iterator<Item = (&'a AccountName, UsageCap)>,
    ) {
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.ledger = UsageLedger::new(self.bound);
            self.synced_to = None;
            self.owned_for = None;
        }
        let state = (version, table.generation());
        if self.synced_to == Some(state) {
            return;
        }
        self.synced_to = Some(state);
        if self.version != version {
            self.version = version;
            self.caps = caps.map(|(account, cap)| (account.clone(), cap)).collect();
            self.book.set_caps(now, &self.caps);
        }
        let serving = table
            .iter()
            .filter(|row| row.state == MemberState::Serving)
            .map(|row| row.node.as_str().as_bytes());
        let key = (version, hash_set(serving));
        if self.owned_for == Some(key) {
            return;
        }
        self.owned_for = Some(key);
        self.owned.clear();
        for (account, cap) in &self.caps {
            if choose_owner(table, account, |_| false) == Some(&self.own) {
                self.ledger.own(now, account, *cap, version);
                self.owned.insert(account.clone());
            }
        }
        let owned = &self.owned;
        self.ledger
            .remove_idle(now, |account| owned.contains(account));
    }

    /// Returns the caps in force here.
    #[must_use]
    pub const fn caps(&self) -> &BTreeMap<AccountName, UsageCap> {
        &self.caps
    }

    /// Returns whether any account has a cap.
    #[must_use]
    pub fn has_caps(&self) -> bool {
        !self.caps.is_empty()
    }

    /// Returns the number of accounts for which a report is due.
    #[must_use]
    pub fn due_count(&self, now: ClockInstant) -> usize {
        self.book.due_accounts(now).len()
    }

    /// Returns the configuration version whose caps are in force here.
    #[must_use]
    pub const fn version(&self) -> VersionNumber {
        self.version
    }

    /// Decides on a request that has just arrived.
    pub fn admit(&mut self, now: ClockInstant, account: &AccountName) -> UsageDecision {
        match self.caps.get(account) {
            Some(cap) => self.book.admit(now, account, *cap),
            None => UsageDecision::Uncapped,
        }
    }

    /// Decides anew on a request that has waited.
    pub fn admit_again(&mut self, now: ClockInstant, account: &AccountName) -> UsageDecision {
        if !self.caps.contains_key(account) {
            return UsageDecision::Uncapped;
        }
        let lease = self.book.get_mut(account);
        lease.map_or(UsageDecision::Uncapped, |lease| lease.decide(now))
    }

    /// Refuses a request that has waited since `since`, and returns when there will be room for it;
    /// `None` if no owner has replied in that time.
    pub fn give_up(
        &mut self,
        now: ClockInstant,
        account: &AccountName,
        since: ClockInstant,
    ) -> Option<ClockInstant> {
        self.book.get_mut(account)?.give_up(now, since)
    }

    /// Returns what this node knows of the use of an account, if it has seen any.
    #[must_use]
    pub fn status(&self, now: ClockInstant, account: &AccountName) -> Option<UsageStatus> {
        let lease = self.book.get(account);
        let bucket = self.ledger.get(account);
        (lease.is_some() || bucket.is_some()).then(|| UsageStatus {
            used: bucket.map(|bucket| bucket.used(now)),
            admitted: lease.map_or(0, |lease| lease.recent(now)),
            refused: lease.map_or(0, UsageLease::refusals),
        })
    }

    /// Changes the number of requests that wait for a token.
    pub fn add_waiting(&mut self, account: &AccountName, change: i32) {
        if let Some(lease) = self.book.get_mut(account) {
            lease.add_waiting(change);
        }
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self, now: ClockInstant, account: &AccountName) {
        if let Some(lease) = self.book.get_mut(account) {
            lease.give_back(now);
        }
    }

    /// Returns the reports that are due, after having served those for accounts of this node.
    pub fn take_exchanges(&mut self, now: ClockInstant, table: &MemberTable) -> Vec<UsageExchange> {
        let mut exchanges: BTreeMap<(NodeName, NodeName), UsageExchange> = BTreeMap::new();
        for account in self.book.due_accounts(now) {
            let (owner, to, stage) = self.route(now, table, &account);
            let Some(lease) = self.book.get_mut(&account) else {
                continue;
            };
            let usage = lease.take_report(now, &account);
            let timeout = match &stage {
                RelayStage::Entry | RelayStage::Final => REPLY_TIMEOUT,
                RelayStage::Replace | RelayStage::Through(_) => REPLACE_TIMEOUT,
            };
            let key = (to.clone(), owner.clone());
            let exchange = exchanges.entry(key).or_insert_with(|| UsageExchange {
                report: UsageReport {
                    from: self.own.clone(),
                    incarnation: self.incarnation,
                    version: self.version,
                    stage,
                    usages: Vec::new(),
                },
                to,
                owner,
                sent_at: now,
                deadline: now.after(timeout),
            });
            exchange.report.usages.push(usage);
        }
        let exchanges = exchanges.into_values();
        let (own, remote): (Vec<_>, Vec<_>) =
            exchanges.partition(|exchange| exchange.to == self.own);
        for exchange in own {
            let served = self.serve(now, table, &exchange.report);
            self.finish(now, table, &exchange, Some(served.reply));
        }
        remote
    }

    /// Records the reply to an exchange, or that there was none.
    pub fn finish(
        &mut self,
        now: ClockInstant,
        table: &MemberTable,
        exchange: &UsageExchange,
        reply: Option<UsageReply>,
    ) {
        for usage in &exchange.report.usages {
            let grants = reply.iter().flat_map(|reply| &reply.grants);
            let mut grants = grants.filter(|grant| grant.account == usage.account);
            if let Some(lease) = self.book.get_mut(&usage.account) {
                lease.finish(now, exchange.sent_at, grants.next());
            }
        }
        if exchange.to == self.own {
            return;
        }
        let Some(row) = table.get(&exchange.to) else {
            return;
        };
        let is_relay = exchange.to != exchange.owner;
        match &reply {
            Some(_) if is_relay => self.contacts.record(now, &row.data_centre),
            Some(_) => self.record_contact(now, row),
            None => self.paths.record_silence(now, row),
        }
        if let Some(owner) = table.get(&exchange.owner).filter(|_| is_relay) {
            let has_passed = reply.is_some_and(|reply| !reply.grants.is_empty());
            self.paths
                .record_relay(now, owner, &exchange.to, has_passed);
        }
    }

    /// Serves a report of another node, or of this one.
    pub fn serve(
        &mut self,
        now: ClockInstant,
        table: &MemberTable,
        report: &UsageReport,
    ) -> ServedReport {
        if let Some(row) = table.get(&report.from) {
            self.contacts.record(now, &row.data_centre);
        }
        let mut served = ServedReport::default();
        let mut relays: BTreeMap<NodeName, UsageReport> = BTreeMap::new();
        for usage in &report.usages {
            let better = self.better_owners(table, &usage.account);
            let to = match &report.stage {
                RelayStage::Through(to) => Some(to).filter(|to| **to != self.own),
                RelayStage::Entry => {
                    let mut better = better.iter();
                    better.find(|owner| !self.paths.is_blocked(now, owner))
                }
                // The entry node could not reach these, but this node may.
                RelayStage::Replace => {
                    let mut better = better.iter();
                    better.find(|owner| self.paths.is_reached(now, owner))
                }
                RelayStage::Final => None,
            };
            if let Some(to) = to {
                let relay = relays.entry(to.clone()).or_insert_with(|| UsageReport {
                    stage: RelayStage::Final,
                    usages: Vec::new(),
                    ..report.clone()
                });
                relay.usages.push(usage.clone());
                continue;
            }
            let is_substitute = !better.is_empty();
            let until = now.after(REPLACED_TIME);
            self.replaced
                .extend(better.into_iter().map(|owner| (owner, until)));
            let share = |since| self.contacts.share(now, table, &self.own, since);
            let grant = self.ledger.report(now, report, usage, is_substitute, share);
            served.reply.grants.extend(grant);
        }
        served.relays = relays
            .into_iter()
            .map(|(to, relay)| UsageRelay {
                to,
                report: relay,
                may_replace: !matches!(report.stage, RelayStage::Through(_)),
                deadline: now.after(REPLY_TIMEOUT),
            })
            .collect();
        served
    }

    /// Records that the node of a relay replied or did not; returns the grants of this node, if it
    /// replaces that owner.
    pub fn finish_relay(
        &mut self,
        now: ClockInstant,
        table: &MemberTable,
        relay: UsageRelay,
        reply: Option<UsageReply>,
    ) -> UsageReply {
        let row = table.get(&relay.to);
        match (&reply, row) {
            (Some(_), Some(row)) => self.record_contact(now, row),
            (None, Some(row)) => self.paths.record_silence(now, row),
            (_, None) => {}
        }
        match reply {
            Some(reply) => reply,
            None if relay.may_replace => self.serve(now, table, &relay.report).reply,
            None => UsageReply::default(),
        }
    }

    /// Returns the nodes to probe now; `pick` draws an index below its argument.
    ///
    /// There are none unless an account of this node is near its cap.
    pub fn take_probes(
        &mut self,
        now: ClockInstant,
        table: &MemberTable,
        pick: impl FnMut(usize) -> usize,
    ) -> Vec<NodeName> {
        if !self
            .ledger
            .iter()
            .any(|(_, bucket)| bucket.is_near_cap(now))
        {
            return Vec::new();
        }
        self.replaced.retain(|_, until| !until.has_passed(now));
        let probes = self.contacts.take_probes(now, table, &self.own, pick);
        let probes: BTreeSet<_> = probes.iter().chain(self.replaced.keys()).collect();
        probes.into_iter().cloned().collect()
    }

    /// Returns the message of a probe.
    #[must_use]
    pub fn probe_report(&self) -> UsageReport {
        UsageReport {
            from: self.own.clone(),
            incarnation: self.incarnation,
            version: self.version,
            stage: RelayStage::Final,
            usages: Vec::new(),
        }
    }

    /// Records that a node replied.
    pub fn record_contact(&mut self, now: ClockInstant, row: &MemberRow) {
        self.contacts.record(now, &row.data_centre);
        self.paths.record_reply(now, row);
    }

    /// Returns the first nodes that precede this one as owners of an account.
    fn better_owners(&self, table: &MemberTable, account: &AccountName) -> Vec<NodeName> {
        let mut better: Vec<NodeName> = Vec::new();
        while let Some(owner) = choose_owner(table, account, |row| better.contains(&row.node)) {
            if *owner == self.own || better.len() == MAX_REPLACED {
                break;
            }
            better.push(owner.clone());
        }
        better
    }

    /// Returns the account's owner within reach, the node to ask, and how.
    fn route(
        &self,
        now: ClockInstant,
        table: &MemberTable,
        account: &AccountName,
    ) -> (NodeName, NodeName, RelayStage) {
        let own = self.own.clone();
        let Some(own_row) = table.get(&self.own) else {
            return (own.clone(), own, RelayStage::Final);
        };
        let mut blocked: Vec<NodeName> = Vec::new();
        while let Some(owner) = choose_owner(table, account, |row| blocked.contains(&row.node)) {
            let owner = owner.clone();
            let Some(row) = table.get(&owner).filter(|_| owner != self.own) else {
                break;
            };
            match self.paths.step(now, table, own_row, row) {
                OwnerStep::Direct => {
                    let stage = match blocked.is_empty() {
                        true => RelayStage::Entry,
                        false => RelayStage::Replace,
                    };
                    return (owner.clone(), owner, stage);
                }
                OwnerStep::Through(node) => {
                    let stage = RelayStage::Through(owner.clone());
                    return (owner, node, stage);
                }
                OwnerStep::Blocked => blocked.push(owner),
            }
        }
        (own.clone(), own, RelayStage::Final)
    }
}

/// Returns a hash of a set of names, independent of their order.
fn hash_set<'a>(names: impl Iterator<Item = &'a [u8]>) -> u64 {
    let mut sum = 0_u64;
    for name in names {
        let hash = blake3::hash(name);
        let bytes = hash.as_bytes().first_chunk().copied().unwrap_or_default();
        sum = sum.wrapping_add(u64::from_le_bytes(bytes));
    }
    sum
}
