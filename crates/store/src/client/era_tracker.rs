use bronzelb_kernel::ids::StoreEra;
use tokio::sync::watch;

/// Latest era of a platform that a process has learned of, shared by its clients.
#[derive(Clone, Debug, Default)]
pub struct EraTracker {
    latest: watch::Sender<Option<StoreEra>>,
}

impl EraTracker {
    /// Returns the latest era, if any is known.
    #[must_use]
    pub fn latest(&self) -> Option<StoreEra> {
        *self.latest.borrow()
    }

    /// Records an era and returns whether it is the latest; responses of an earlier one are
    /// outdated.
    #[must_use]
    pub fn observe(&self, era: StoreEra) -> bool {
        self.latest.send_if_modified(|latest| {
            let is_later = *latest < Some(era);
            if is_later {
                *latest = Some(era);
            }
            is_later
        });
        self.latest() == Some(era)
    }

    /// Subscribes to later eras.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<StoreEra>> {
        self.latest.subscribe()
    }
}
