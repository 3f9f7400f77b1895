use bronzelb_kernel::ids::ServiceName;

/// What a new team says of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceDraft {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether its requests can wait.
    pub can_wait: bool,
    /// Whether it takes requests that must not run twice.
    pub runs_once: bool,
}

impl ServiceDraft {
    /// Builds a service that only answers reads, which cannot wait.
    #[must_use]
    pub const fn new(name: ServiceName) -> Self {
        Self {
            name,
            can_wait: false,
            runs_once: false,
        }
    }

    /// Sets whether its requests can wait.
    #[must_use]
    pub const fn can_wait(mut self, can_wait: bool) -> Self {
        self.can_wait = can_wait;
        self
    }

    /// Sets whether it takes requests that must not run twice.
    #[must_use]
    pub const fn runs_once(mut self, runs_once: bool) -> Self {
        self.runs_once = runs_once;
        self
    }
}
