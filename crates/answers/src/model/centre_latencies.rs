use std::collections::BTreeMap;

use bronzelb_kernel::{clock::TimeBudget, config::ProxySpec, ids::DataCentre};

/// Latencies between data centres, from which their spill orders are derived.
#[derive(Clone, Debug, Default)]
pub(crate) struct CentreLatencies {
    centres: Vec<DataCentre>,
    latencies: BTreeMap<(DataCentre, DataCentre), TimeBudget>,
}

impl CentreLatencies {
    /// Builds an empty latency table of `centres`.
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

    /// Records the latency of a pair unless one is recorded already.
    ///
    /// Returns the recorded latency if it differs from `latency`.
    pub(crate) fn record(
        &mut self,
        from: &DataCentre,
        to: &DataCentre,
        latency: TimeBudget,
    ) -> Option<TimeBudget> {
        let recorded = *self
            .latencies
            .entry(ordered_pair(from, to))
            .or_insert(latency);
        (recorded != latency).then_some(recorded)
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

    /// Returns the proxy settings of each data centre.
    pub(crate) fn to_proxies(&self) -> BTreeMap<DataCentre, ProxySpec> {
        let proxies = self.centres.iter().enumerate();
        proxies
            .map(|(index, centre)| (centre.clone(), self.proxy_spec(index)))
            .collect()
    }

    /// Orders the other data centres by latency. Ties are broken by name order starting after this
    /// data centre, so that equidistant data centres do not all spill to the same one.
    fn proxy_spec(&self, index: usize) -> ProxySpec {
        let later = self.centres[index + 1..].iter();
        let mut spill_order: Vec<_> = later.chain(&self.centres[..index]).cloned().collect();
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
