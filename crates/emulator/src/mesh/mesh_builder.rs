use bronzelb_kernel::error::MeshError;

use crate::mesh::{BackendSpec, LocalMesh};

/// Shape of a local mesh before it is started.
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

    /// Sets the mesh's name; `local` by default.
    #[must_use]
    pub fn mesh(mut self, name: impl Into<String>) -> Self {
        self.mesh = name.into();
        self
    }

    /// Sets the number of data centres, which are called `dc1`, `dc2` and so on; 3 by default.
    #[must_use]
    pub const fn data_centres(mut self, centres: u8) -> Self {
        self.centres = centres;
        self
    }

    /// Sets the number of nodes in each data centre; 1 by default.
    #[must_use]
    pub const fn nodes(mut self, nodes_per_centre: u8) -> Self {
        self.nodes_per_centre = nodes_per_centre;
        self
    }

    /// Adds a backend server beside every node.
    #[must_use]
    pub fn backend(mut self, spec: BackendSpec) -> Self {
        self.backends.push(spec);
        self
    }

    /// Adds lines to every node's settings, such as `workers: 2`.
    #[must_use]
    pub fn settings(mut self, lines: impl Into<String>) -> Self {
        self.extra_settings = lines.into();
        self
    }

    /// Lets the nodes reach each other and the platform without the fault proxy, for measuring.
    #[must_use]
    pub const fn without_proxy(mut self) -> Self {
        self.is_proxied = false;
        self
    }

    /// Starts every process and waits until all listen.
    ///
    /// # Errors
    ///
    /// `NotFound` when a program is not built, `LocalIo` when a process does not start.
    pub async fn start(self) -> Result<LocalMesh, MeshError> {
        LocalMesh::start(self).await
    }
}
