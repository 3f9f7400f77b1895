use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::{DataCentre, NodeName},
    member::{MemberRow, MemberState, MemberTable},
};

/// Time without contact after which a data centre counts as cut off. Some hundred round trips, so
/// that a node that gets a tenth of a core is not missed at once.
pub(super) const CONTACT_TIMEOUT: TimeBudget = TimeBudget::from_secs(1);
/// Time between two probes of a data centre.
pub(super) const PROBE_INTERVAL: TimeBudget = TimeBudget::from_millis(300);
/// Factor on the share of the members that are seen. Some members are always away, and the overage
/// that the bound permits covers them.
const AWAY_ALLOWANCE: f64 = 1.05;

/// Contact of an owner with each data centre, from which follows the share of a cap it may grant.
///
/// Membership notices a lost data centre after 5 s, which is a whole window. An owner with an account
/// near its cap therefore probes a node of each data centre.
#[derive(Clone, Debug, Default)]
pub struct UsageContacts {
    centres: BTreeMap<DataCentre, CentreContact>,
}

#[derive(Clone, Copy, Debug, Default)]
struct CentreContact {
    heard_at: ClockInstant,
    /// First probe since then.
    asked_at: Option<ClockInstant>,
    next_probe: ClockInstant,
}

impl UsageContacts {
    /// Records a message from a node of `centre`.
    pub fn record(&mut self, now: ClockInstant, centre: &DataCentre) {
        let contact = self.centres.entry(centre.clone()).or_default();
        contact.heard_at = contact.heard_at.max(now);
        contact.asked_at = None;
        contact.next_probe = now.after(PROBE_INTERVAL);
    }

    /// Returns the nodes to probe now, one of each data centre that is due; `pick` draws an index
    /// below its argument.
    pub fn take_probes(
        &mut self,
        now: ClockInstant,
        table: &MemberTable,
        own: &NodeName,
        mut pick: impl FnMut(usize) -> usize,
    ) -> Vec<NodeName> {
        let mut rows: BTreeMap<&DataCentre, Vec<&MemberRow>> = BTreeMap::new();
        for row in table.iter().filter(|row| row.node != *own) {
            if row.state != MemberState::Gone {
                rows.entry(&row.data_centre).or_default().push(row);
            }
        }
        let mut targets = Vec::new();
        for (centre, rows) in rows {
            let contact = self.centres.entry(centre.clone()).or_default();
            if contact.next_probe.has_passed(now) {
                contact.next_probe = now.after(PROBE_INTERVAL);
                contact.asked_at.get_or_insert(now);
                targets.push(rows[pick(rows.len())].node.clone());
            }
        }
        targets
    }

    /// Returns the share of the known members that this node sees. Of data centres without contact
    /// since `since`, if given, no member counts as seen.
    #[must_use]
    pub fn share(
        &self,
        now: ClockInstant,
        table: &MemberTable,
        own: &NodeName,
        since: Option<ClockInstant>,
    ) -> f64 {
        let (mut known, mut seen) = (0, 0);
        for row in table.iter() {
            known += 1;
            let is_live = row.state < MemberState::Suspect;
            let is_seen = row.node == *own || self.is_seen(now, &row.data_centre, since);
            seen += usize::from(is_live && is_seen);
        }
        let share = seen.max(1) as f64 / f64::from(known.max(1));
        (share * AWAY_ALLOWANCE).min(1.0)
    }

    fn is_seen(&self, now: ClockInstant, centre: &DataCentre, since: Option<ClockInstant>) -> bool {
        let contact = self.centres.get(centre).copied().unwrap_or_default();
        let is_missed = |asked_at: ClockInstant| asked_at.after(CONTACT_TIMEOUT).has_passed(now);
        !contact.asked_at.is_some_and(is_missed)
            && since.is_none_or(|since| contact.heard_at >= since)
    }
}
