use bronzelb_kernel::error::MeshError;

use crate::mesh::{BackendSpec, LocalMesh};

/// Builder of a [`LocalMesh`].
///
/// # Examples
///
/// ```no_run
/// use bronzelb_emulator::mesh::{BackendSpec, LocalMesh};
///
/// # async fn start() -> Result<(), bronzelb_kernel::error::MeshError> {
/// let mesh = LocalMesh::builder()
///     .data_centres(3)
///     .nodes(1)
///     .backend(BackendSpec::new("tracker", "v1"))
///     .start()
///     .await?;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct MeshBuilder {
    pub(crate) mesh: String,
    pub(crate) centres: u8,
    pub(crate) nodes_per_centre: u8,
    pub(crate) backends: Vec<BackendSpec>,
    pub(crate) extra_settings: String,
    pub(crate) is_proxied: bool,
}

impl MeshBuilder {
    pub(crate) fn new() -> Self {
        Self {
            mesh: "local".to_owned(),
            centres: 3,
            nodes_per_centre: 1,
            backends: Vec::new(),
            extra_settings: String::new(),
            is_proxied: true,
        }
    }

    /// Sets the name of the mesh; defaults to `local`.
    #[must_use]
    pub fn mesh(mut self, name: impl Into<String>) -> Self {
        self.mesh = name.into();
        self
    }

    /// Sets the number of data centres, named `dc1`, `dc2` and so on; defaults to 3.
    #[must_use]
    pub const fn data_centres(mut self, centres: u8) -> Self {
        self.centres = centres;
        self
    }

    /// Sets the number of nodes per data centre; defaults to 1.
    #[must_use]
    pub const fn nodes(mut self, nodes_per_centre: u8) -> Self {
        self.nodes_per_centre = nodes_per_centre;
        self
    }

    /// Adds a backend server co-located with every node.
    #[must_use]
    pub fn backend(mut self, spec: BackendSpec) -> Self {
        self.backends.push(spec);
        self
    }

    /// Sets additional lines of every node's settings, such as `workers: 2`.
    #[must_use]
    pub fn settings(mut self, lines: impl Into<String>) -> Self {
        self.extra_settings = lines.into();
        self
    }

    /// Connects the nodes to each other and to the platform directly, without the fault proxy, for
    /// performance measurements.
    #[must_use]
    pub const fn without_proxy(mut self) -> Self {
        self.is_proxied = false;
        self
    }

    /// Starts every process and waits until all are listening.
    ///
    /// # Errors
    ///
    /// `NotFound` when a program has not been built, `LocalIo` when a process does not start.
    pub async fn start(self) -> Result<LocalMesh, MeshError> {
        LocalMesh::start(self).await
    }
}
