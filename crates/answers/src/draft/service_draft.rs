use bronzelb_kernel::ids::ServiceName;

/// What a new team says of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceDraft {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether its requests can wait.
    pub deferrable: bool,
    /// Whether it takes requests that must not run twice.
    pub non_idempotent: bool,
}

impl ServiceDraft {
    /// Builds a service that only answers reads, which cannot wait.
    #[must_use]
    pub const fn new(name: ServiceName) -> Self {
        Self {
            name,
            deferrable: false,
            non_idempotent: false,
        }
    }

    /// Sets whether its requests can wait.
    #[must_use]
    pub const fn deferrable(mut self, deferrable: bool) -> Self {
        self.deferrable = deferrable;
        self
    }

    /// Sets whether it takes requests that must not run twice.
    #[must_use]
    pub const fn non_idempotent(mut self, non_idempotent: bool) -> Self {
        self.non_idempotent = non_idempotent;
        self
    }
}
