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
    /// Starts a backend server beside a node and returns its name.
    ///
    /// # Errors
    ///
    /// `LocalIo` when it does not start.
    pub async fn add_backend(
        &mut self,
        node: &str,
        spec: &BackendSpec,
    ) -> Result<String, MeshError> {
        self.backend_count += 1;
        let name = format!("{}-{}-{}", spec.service, spec.version, self.backend_count);
        let addresses = self.node(node)?.addresses();
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
            &addresses.operators.to_string(),
            "--callers",
            &addresses.callers.to_string(),
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

    /// Returns the names of all backend servers that were started, in order.
    #[must_use]
    pub fn backend_names(&self) -> Vec<String> {
        self.backends.keys().cloned().collect()
    }

    /// Returns a backend server, to freeze or kill its process.
    ///
    /// # Errors
    ///
    /// `NotFound` when no backend server has that name.
    pub fn backend_mut(&mut self, name: &str) -> Result<&mut MeshBackend, MeshError> {
        self.backends.get_mut(name).ok_or_else(|| no_backend(name))
    }

    /// Returns a backend server.
    ///
    /// # Errors
    ///
    /// `NotFound` when no backend server has that name.
    pub fn backend(&self, name: &str) -> Result<&MeshBackend, MeshError> {
        self.backends.get(name).ok_or_else(|| no_backend(name))
    }

    /// Replaces the faults of a backend server.
    ///
    /// # Errors
    ///
    /// `LocalIo` when it does not take them.
    pub async fn set_backend_faults(
        &self,
        name: &str,
        faults: &BackendFaults,
    ) -> Result<(), MeshError> {
        let control = self.backend(name)?.addresses.control;
        self.client.put(control, "/faults", faults).await
    }

    /// Reads what a running backend server ran.
    ///
    /// # Errors
    ///
    /// `LocalIo` when it does not answer.
    pub async fn tally(&self, name: &str) -> Result<BackendTally, MeshError> {
        let control = self.backend(name)?.addresses.control;
        self.client.get(control, "/tally").await
    }

    /// Reads every run of every backend server, also of those that have ended.
    ///
    /// # Errors
    ///
    /// `LocalIo` when a journal is unreadable.
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
    /// Returns the node that the server is beside.
    #[must_use]
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Returns the addresses of the server.
    #[must_use]
    pub const fn addresses(&self) -> BackendAddresses {
        self.addresses
    }

    /// Returns the process of the server, to freeze or kill it.
    pub const fn process(&mut self) -> &mut ChildProcess {
        &mut self.process
    }
}

fn no_backend(name: &str) -> MeshError {
    MeshError::new(
        ErrorKind::NotFound,
        format!("backend server {name:?} does not exist"),
    )
}
