use std::sync::{Mutex, MutexGuard, PoisonError};

use bronzelb_kernel::{ids::DataCentre, placement::EvacuationTable};

/// Evacuations known to a node, shared by its listeners and tasks.
#[derive(Debug, Default)]
pub struct PlacementState {
    evacuations: Mutex<EvacuationTable>,
}

impl PlacementState {
    /// Returns whether nothing more may be sent to the servers of `data_centre`.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.evacuations().is_evacuated(data_centre)
    }

    /// Locks the table of evacuations.
    pub(crate) fn evacuations(&self) -> MutexGuard<'_, EvacuationTable> {
        self.evacuations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
