use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use bronzelb_kernel::config::{HttpMethod, RequestPriority};

use crate::mesh::data_centre_name;

/// Answers of a local mesh; `Display` formats them as the YAML that `bronzelb publish` reads.
///
/// # Examples
///
/// ```
/// use bronzelb_emulator::mesh::{MeshAnswers, RouteAnswers};
///
/// let answers = MeshAnswers::new(3)
///     .service("tracker")
///     .route("positions", RouteAnswers::new("/positions", "tracker"));
/// assert!(answers.to_string().starts_with("mesh: local\n"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeshAnswers {
    mesh: String,
    centres: u8,
    services: BTreeMap<String, BTreeSet<String>>,
    routes: BTreeMap<String, RouteAnswers>,
}

/// Answers for one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteAnswers {
    path: String,
    service: String,
    methods: Vec<HttpMethod>,
    priority: RequestPriority,
    is_idempotent: bool,
    timeout: String,
}

impl MeshAnswers {
    /// Creates answers for the mesh `local` with data centres `dc1`, `dc2` and so on.
    #[must_use]
    pub fn new(centres: u8) -> Self {
        Self {
            mesh: "local".to_owned(),
            centres,
            services: BTreeMap::new(),
            routes: BTreeMap::new(),
        }
    }

    /// Adds a service with the defaults of local meshes: 12 slots, `json-load` reports and fast
    /// moves.
    #[must_use]
    pub fn service(mut self, name: impl Into<String>) -> Self {
        self.services.entry(name.into()).or_default();
        self
    }

    /// Adds a line such as `slots: 4` to a service, which overrides the default.
    #[must_use]
    pub fn service_line(mut self, name: impl Into<String>, line: impl Into<String>) -> Self {
        self.services
            .entry(name.into())
            .or_default()
            .insert(line.into());
        self
    }

    /// Adds or replaces a route.
    #[must_use]
    pub fn route(mut self, name: impl Into<String>, route: RouteAnswers) -> Self {
        self.routes.insert(name.into(), route);
        self
    }
}

impl RouteAnswers {
    /// Creates an idempotent route of normal priority for all methods, with a timeout of 2 s.
    pub fn new(path: impl Into<String>, service: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            service: service.into(),
            methods: Vec::new(),
            priority: RequestPriority::NORMAL,
            is_idempotent: true,
            timeout: "2s".to_owned(),
        }
    }

    /// Restricts the route to the given methods.
    #[must_use]
    pub fn with_methods(mut self, methods: impl Into<Vec<HttpMethod>>) -> Self {
        self.methods = methods.into();
        self
    }

    /// Sets the request priority.
    #[must_use]
    pub const fn with_priority(mut self, priority: RequestPriority) -> Self {
        self.priority = priority;
        self
    }

    /// Makes each request run at most once.
    #[must_use]
    pub const fn at_most_once(mut self) -> Self {
        self.is_idempotent = false;
        self
    }

    /// Sets the timeout, such as `500ms`.
    #[must_use]
    pub fn with_timeout(mut self, timeout: impl Into<String>) -> Self {
        self.timeout = timeout.into();
        self
    }
}

impl fmt::Display for MeshAnswers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "mesh: {}\ndata_centres:", self.mesh)?;
        for centre in 1..=self.centres {
            let later_centres: Vec<_> = (centre + 1..=self.centres)
                .map(|other| format!("{}: 500us", data_centre_name(other)))
                .collect();
            let name = data_centre_name(centre);
            writeln!(f, "  {name}: {{latency: {{{}}}}}", later_centres.join(", "))?;
        }
        f.write_str(ANSWER_DEFAULTS)?;
        f.write_str("services:\n")?;
        for (name, lines) in &self.services {
            let lines: Vec<_> = lines.iter().map(String::as_str).collect();
            writeln!(f, "  {name}: {{{}}}", lines.join(", "))?;
        }
        f.write_str("routes:\n")?;
        for (name, route) in &self.routes {
            writeln!(f, "  {name}: {route}")?;
        }
        Ok(())
    }
}

impl fmt::Display for RouteAnswers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{{path: {}, service: {}", self.path, self.service)?;
        if !self.methods.is_empty() {
            let methods: Vec<_> = self.methods.iter().map(|method| method.name()).collect();
            write!(f, ", methods: [{}]", methods.join(", "))?;
        }
        write!(
            f,
            ", priority: {}, idempotent: {}, timeout: {}}}",
            self.priority, self.is_idempotent, self.timeout
        )
    }
}

const ANSWER_DEFAULTS: &str = "\
defaults:
  services:
    slots: 12
    connections: 110
    report_format: json-load
    slow_start: 1s
    drain: 10s
    rollout: {first_share: 5%, min_requests: 20, hold: 2s}
  routes:
    objective: {success: 99%, latency: 250ms}
";
