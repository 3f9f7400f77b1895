use std::path::PathBuf;

use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::{
    backend::{BackendAddresses, BackendFaults, BackendTally, JournalEntry, read_journal},
    mesh::{BackendSpec, LocalMesh},
    process::ChildProcess,
};

/// A backend server of a local mesh.
pub struct MeshBackend {
    node: String,
    addresses: BackendAddresses,
    process: ChildProcess,
}

impl LocalMesh {
    /// Starts a backend server co-located with a node and returns its name.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process does not start.
    pub async fn add_backend(
        &mut self,
        node: &str,
        spec: &BackendSpec,
    ) -> Result<String, MeshError> {
        self.backend_count += 1;
        let name = format!("{}-{}-{}", spec.service, spec.version, self.backend_count);
        let node_addresses = self.node(node)?.addresses();
        let journal = self.journal_path(&name);
        let mut args: Vec<String> = [
            "backend",
            "--name",
            &name,
            "--service",
            &spec.service,
            "--version",
            &spec.version,
            "--slots",
            &spec.slots.to_string(),
            "--service-time",
            &spec.service_time,
            "--node",
            &node_addresses.operators.to_string(),
            "--callers",
            &node_addresses.callers.to_string(),
            "--journal",
            &journal.display().to_string(),
        ]
        .map(str::to_owned)
        .to_vec();
        args.extend(spec.args.iter().cloned());
        let mut listener = None;
        if spec.is_proxied {
            let centre = self.node(node)?.centre();
            let listener_name = format!("dc{centre}/{node}/backend/{name}");
            let advertised = self.proxy.listen(&listener_name, None).await?;
            args.extend(["--advertise".to_owned(), advertised.to_string()]);
            listener = Some(listener_name);
        }
        let mut process =
            ChildProcess::start(&name, &self.programs.emulator, args, self.directory.path())?;
        let addresses: BackendAddresses = process.wait_listening().await?;
        if let Some(listener) = listener {
            self.proxy.set_target(listener, addresses.address).await?;
        }
        let backend = MeshBackend {
            node: node.to_owned(),
            addresses,
            process,
        };
        self.backends.insert(name.clone(), backend);
        Ok(name)
    }

    /// Returns the names of all backend servers ever started, in lexical order.
    #[must_use]
    pub fn backend_names(&self) -> Vec<String> {
        self.backends.keys().cloned().collect()
    }

    /// Returns a mutable reference to a backend server, which gives access to its process.
    ///
    /// # Errors
    ///
    /// `NotFound` when no backend server has that name.
    pub fn backend_mut(&mut self, name: &str) -> Result<&mut MeshBackend, MeshError> {
        self.backends
            .get_mut(name)
            .ok_or_else(|| backend_not_found(name))
    }

    /// Returns a backend server.
    ///
    /// # Errors
    ///
    /// `NotFound` when no backend server has that name.
    pub fn backend(&self, name: &str) -> Result<&MeshBackend, MeshError> {
        self.backends
            .get(name)
            .ok_or_else(|| backend_not_found(name))
    }

    /// Replaces the active faults of a backend server.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the server does not accept them.
    pub async fn set_backend_faults(
        &self,
        name: &str,
        faults: &BackendFaults,
    ) -> Result<(), MeshError> {
        let control = self.backend(name)?.addresses.control;
        self.client.put(control, "/faults", faults).await
    }

    /// Fetches the execution counters of a running backend server.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the server does not respond.
    pub async fn tally(&self, name: &str) -> Result<BackendTally, MeshError> {
        let control = self.backend(name)?.addresses.control;
        self.client.get(control, "/tally").await
    }

    /// Reads the journaled runs of all backend servers, including stopped ones, ordered by time.
    ///
    /// # Errors
    ///
    /// `LocalIo` when a journal cannot be read.
    pub fn runs(&self) -> Result<Vec<JournalEntry>, MeshError> {
        let mut entries = Vec::new();
        for name in self.backends.keys() {
            entries.extend(read_journal(self.journal_path(name))?);
        }
        entries.sort_by_key(|entry| entry.at);
        Ok(entries)
    }

    fn journal_path(&self, backend: &str) -> PathBuf {
        self.directory.path().join(format!("{backend}.journal"))
    }
}

impl MeshBackend {
    /// Returns the name of the node that the server is co-located with.
    #[must_use]
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Returns the addresses of the server.
    #[must_use]
    pub const fn addresses(&self) -> BackendAddresses {
        self.addresses
    }

    /// Returns the process of the server for control, such as pausing or killing it.
    pub const fn process(&mut self) -> &mut ChildProcess {
        &mut self.process
    }
}

fn backend_not_found(name: &str) -> MeshError {
    MeshError::new(
        ErrorKind::NotFound,
        format!("backend server {name:?} does not exist"),
    )
}
