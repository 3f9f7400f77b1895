use std::{cmp::Reverse, collections::BTreeMap};

/// Queue of changed entries to push to peers, by key.
///
/// Each key is pushed for a limited number of rounds; after that, the periodic anti-entropy
/// exchange covers it.
#[derive(Clone, Debug)]
pub struct PushQueue<K> {
    rounds: BTreeMap<K, u8>,
}

impl<K> Default for PushQueue<K> {
    fn default() -> Self {
        Self {
            rounds: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> PushQueue<K> {
    /// Queues `key` for `rounds` rounds of pushes.
    pub fn enqueue(&mut self, key: K, rounds: u8) {
        if rounds > 0 {
            self.rounds.insert(key, rounds);
        }
    }

    /// Returns whether `key` is queued.
    #[must_use]
    pub fn contains(&self, key: &K) -> bool {
        self.rounds.contains_key(key)
    }

    /// Returns whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rounds.is_empty()
    }

    /// Takes at most `limit` keys for one round, starting with those that have the most rounds
    /// left.
    pub fn take_batch(&mut self, limit: usize) -> Vec<K> {
        let mut keys: Vec<_> = self.rounds.iter().map(|(key, left)| (*left, key)).collect();
        keys.sort_by_key(|(left, _)| Reverse(*left));
        let taken: Vec<K> = keys
            .into_iter()
            .take(limit)
            .map(|(_, key)| key.clone())
            .collect();
        for key in &taken {
            self.finish_round(key);
        }
        taken
    }

    fn finish_round(&mut self, key: &K) {
        let Some(left) = self.rounds.get_mut(key) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
            self.rounds.remove(key);
        }
    }
}
