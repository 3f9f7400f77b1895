use std::collections::BTreeMap;

use bronzelb_kernel::{clock::TimeBudget, config::ProxySpec, ids::DataCentre};

/// Latencies between data centres, from which each one's spill order follows.
#[derive(Clone, Debug, Default)]
pub(crate) struct CentreLatencies {
    centres: Vec<DataCentre>,
    latencies: BTreeMap<(DataCentre, DataCentre), TimeBudget>,
}

impl CentreLatencies {
    /// Builds the table of `centres` with no latency known.
    pub(crate) fn new(centres: impl IntoIterator<Item = DataCentre>) -> Self {
        let mut centres: Vec<_> = centres.into_iter().collect();
        centres.sort();
        Self {
            centres,
            latencies: BTreeMap::new(),
        }
    }

    /// Returns whether `centre` is one of the data centres.
    pub(crate) fn contains(&self, centre: &DataCentre) -> bool {
        self.centres.contains(centre)
    }

    /// Notes the latency of a pair, and returns a different one that was noted for it before.
    pub(crate) fn set(
        &mut self,
        from: &DataCentre,
        to: &DataCentre,
        latency: TimeBudget,
    ) -> Option<TimeBudget> {
        let held = *self
            .latencies
            .entry(ordered_pair(from, to))
            .or_insert(latency);
        (held != latency).then_some(held)
    }

    /// Returns every pair without a latency.
    pub(crate) fn missing_pairs(&self) -> Vec<(DataCentre, DataCentre)> {
        let mut missing = Vec::new();
        for (index, from) in self.centres.iter().enumerate() {
            for to in &self.centres[index + 1..] {
                let pair = ordered_pair(from, to);
                if !self.latencies.contains_key(&pair) {
                    missing.push(pair);
                }
            }
        }
        missing
    }

    /// Returns the part of the configuration that differs between data centres.
    pub(crate) fn to_proxies(&self) -> BTreeMap<DataCentre, ProxySpec> {
        let proxies = self.centres.iter().enumerate();
        proxies
            .map(|(index, centre)| (centre.clone(), self.proxy_of(index)))
            .collect()
    }

    /// Orders the other data centres by latency; equals start from the next in name order, so that
    /// data centres at equal distance do not all spill to the same one.
    fn proxy_of(&self, index: usize) -> ProxySpec {
        let following = self.centres[index + 1..].iter();
        let mut spill_order: Vec<_> = following.chain(&self.centres[..index]).cloned().collect();
        let centre = &self.centres[index];
        spill_order.sort_by_key(|other| self.latencies.get(&ordered_pair(centre, other)));
        ProxySpec { spill_order }
    }
}

fn ordered_pair(left: &DataCentre, right: &DataCentre) -> (DataCentre, DataCentre) {
    let (first, second) = if left <= right {
        (left, right)
    } else {
        (right, left)
    };
    (first.clone(), second.clone())
}
