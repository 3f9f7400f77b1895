/// Start parameters of a backend server in a local mesh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSpec {
    /// Name of the service.
    pub service: String,
    /// Version that the server reports.
    pub version: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time for which a request occupies a slot, such as `2ms`.
    pub service_time: String,
    /// Whether the node reaches the server through the fault proxy, via the listener
    /// `dcD/NODE/backend/NAME`.
    pub is_proxied: bool,
    /// Additional arguments of `bronzelb-emulator backend`.
    pub args: Vec<String>,
}

impl BackendSpec {
    /// Creates the spec of a server with 12 slots and a service time of 2 ms.
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

    /// Sets the maximum number of concurrent requests.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time for which a request occupies a slot, such as `2ms`.
    #[must_use]
    pub fn with_service_time(mut self, service_time: impl Into<String>) -> Self {
        self.service_time = service_time.into();
        self
    }

    /// Routes connections from the node to the server through the fault proxy.
    #[must_use]
    pub const fn through_proxy(mut self) -> Self {
        self.is_proxied = true;
        self
    }

    /// Adds an argument and its value, such as `--cold-time` and `3s`.
    #[must_use]
    pub fn with_arg(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.args.push(name.into());
        self.args.push(value.into());
        self
    }
}
