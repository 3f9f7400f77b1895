use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use rand::{SeedableRng, rngs::StdRng};

use crate::platform::{PlatformCounters, PlatformFaults, TableStore};

/// State of the platform stand-in: stored data, active faults and counters.
pub(crate) struct PlatformState {
    pub(crate) table: TableStore,
    pub(crate) objects: BTreeMap<String, Bytes>,
    pub(crate) faults: PlatformFaults,
    pub(crate) rng: StdRng,
    pub(crate) counters: PlatformCounters,
}

impl PlatformState {
    /// Replaces the faults and reseeds the random number generator.
    pub(crate) fn set_faults(&mut self, faults: PlatformFaults) {
        self.rng = StdRng::seed_from_u64(faults.seed);
        self.faults = faults;
    }
}

/// Shared handle of a [`PlatformState`].
#[derive(Clone)]
pub(crate) struct StateHandle(Arc<Mutex<PlatformState>>);

impl StateHandle {
    pub(crate) fn new() -> Self {
        let faults = PlatformFaults::default();
        Self(Arc::new(Mutex::new(PlatformState {
            table: TableStore::default(),
            objects: BTreeMap::new(),
            rng: StdRng::seed_from_u64(faults.seed),
            faults,
            counters: PlatformCounters::default(),
        })))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
