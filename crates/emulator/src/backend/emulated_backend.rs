use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bronzelb_kernel::{
    clock::ClockInstant, error::MeshError, ids::SlotCount, member::BackendState,
};
use tokio::sync::Semaphore;

use crate::{
    backend::{
        BackendFaults, BackendSettings, BackendTally, fault_selector::FaultSelector,
        run_journal::RunJournal,
    },
    server::wall_clock,
};

const MAX_LOAD_SAMPLES: usize = 100_000;

/// Number of busy slots at an instant; the history serves delayed reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSample {
    pub(crate) at: ClockInstant,
    pub(crate) busy: u32,
}

/// Mutable state of a backend stand-in.
pub(crate) struct MutableState {
    pub(crate) selector: FaultSelector,
    pub(crate) tally: BackendTally,
    pub(crate) journal: Option<RunJournal>,
    pub(crate) lifecycle: BackendState,
    pub(crate) node: Option<SocketAddr>,
    pub(crate) in_flight: u32,
    pub(crate) busy: u32,
    pub(crate) samples: VecDeque<LoadSample>,
}

/// A backend stand-in: its settings, slots and mutable state.
pub(crate) struct EmulatedBackend {
    pub(crate) settings: BackendSettings,
    pub(crate) slots: Semaphore,
    pub(crate) started_at: ClockInstant,
    state: Mutex<MutableState>,
}

/// Shared handle of an [`EmulatedBackend`].
pub(crate) type BackendHandle = Arc<EmulatedBackend>;

impl EmulatedBackend {
    pub(crate) fn new(settings: BackendSettings) -> Result<BackendHandle, MeshError> {
        let now = wall_clock();
        let journal = settings
            .journal
            .as_deref()
            .map(RunJournal::open)
            .transpose()?;
        let state = MutableState {
            selector: FaultSelector::new(BackendFaults::default(), now),
            tally: BackendTally::default(),
            journal,
            lifecycle: BackendState::Starting,
            node: settings.node,
            in_flight: 0,
            busy: 0,
            samples: VecDeque::new(),
        };
        Ok(Arc::new(Self {
            slots: Semaphore::new(semaphore_permits(settings.slots)),
            settings,
            started_at: now,
            state: Mutex::new(state),
        }))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, MutableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MutableState {
    pub(crate) fn set_busy(&mut self, busy: u32) {
        self.busy = busy;
        if self.selector.faults.report.lag_ms == 0 {
            self.samples.clear();
            return;
        }
        if self.samples.len() == MAX_LOAD_SAMPLES {
            self.samples.pop_front();
        }
        let at = wall_clock();
        self.samples.push_back(LoadSample { at, busy });
    }
}

fn semaphore_permits(slots: SlotCount) -> usize {
    usize::try_from(slots.get()).unwrap_or(Semaphore::MAX_PERMITS)
}
