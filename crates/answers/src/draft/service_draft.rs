use bronzelb_kernel::ids::ServiceName;

/// Input for the initial answers about one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceDraft {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the service's requests have the deferrable priority.
    pub deferrable: bool,
    /// Whether the service accepts requests that must not run more than once.
    pub non_idempotent: bool,
}

impl ServiceDraft {
    /// Builds a service whose requests are all reads with the default priority.
    #[must_use]
    pub const fn new(name: ServiceName) -> Self {
        Self {
            name,
            deferrable: false,
            non_idempotent: false,
        }
    }

    /// Sets whether the service's requests have the deferrable priority.
    #[must_use]
    pub const fn deferrable(mut self, deferrable: bool) -> Self {
        self.deferrable = deferrable;
        self
    }

    /// Sets whether the service accepts requests that must not run more than once.
    #[must_use]
    pub const fn non_idempotent(mut self, non_idempotent: bool) -> Self {
        self.non_idempotent = non_idempotent;
        self
    }
}
