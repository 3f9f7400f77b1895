/// How a backend server of a local mesh is started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSpec {
    /// Service that it runs.
    pub service: String,
    /// Version that it claims to run.
    pub version: String,
    /// Requests that run at once.
    pub slots: u32,
    /// Time that a request occupies a slot, such as `2ms`.
    pub service_time: String,
    /// Whether the node reaches it through the fault proxy, under the listener
    /// `dcD/NODE/backend/NAME`.
    pub is_proxied: bool,
    /// Further arguments of `bronzelb-emulator backend`.
    pub args: Vec<String>,
}

impl BackendSpec {
    /// Builds the spec of a server with 12 slots and 2 ms a request.
    pub fn new(service: impl Into<String>, version: impl Into<String>) -> Self {
        Self {
            service: service.into(),
            version: version.into(),
            slots: 12,
            service_time: "2ms".to_owned(),
            is_proxied: false,
            args: Vec::new(),
        }
    }

    /// Sets the number of requests that run at once.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time that a request occupies a slot, such as `2ms`.
    #[must_use]
    pub fn with_service_time(mut self, service_time: impl Into<String>) -> Self {
        self.service_time = service_time.into();
        self
    }

    /// Puts the fault proxy between the node and the server.
    #[must_use]
    pub const fn through_proxy(mut self) -> Self {
        self.is_proxied = true;
        self
    }

    /// Adds an argument with a value, such as `--cold-time` and `3s`.
    #[must_use]
    pub fn with_arg(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.args.push(name.into());
        self.args.push(value.into());
        self
    }
}
