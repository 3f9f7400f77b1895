use std::{
    fmt::Write,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
};
use serde::{Deserialize, Serialize};

use crate::{
    mesh::mesh_names::{data_centre_name, node_name, peer_listener},
    process::ChildProcess,
    server::local_error,
};

/// Shared key of every local mesh.
const MESH_KEY: &str = "key of a local mesh";

/// Listener addresses that a node prints once it is listening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
}

/// A node of a local mesh.
pub struct MeshNode {
    pub(crate) centre: u8,
    pub(crate) number: u8,
    pub(crate) advertised: Option<SocketAddr>,
    pub(crate) first_peers: Vec<SocketAddr>,
    pub(crate) platform: SocketAddr,
    pub(crate) mesh: String,
    pub(crate) mesh_key: String,
    pub(crate) extra_settings: String,
    ip: Ipv4Addr,
    directory: PathBuf,
    addresses: Option<NodeAddresses>,
    process: Option<ChildProcess>,
}

impl MeshNode {
    pub(crate) fn new(
        (centre, number): (u8, u8),
        ip: Ipv4Addr,
        advertised: Option<SocketAddr>,
        platform: SocketAddr,
        mesh: &str,
        directory: &Path,
    ) -> Self {
        Self {
            centre,
            number,
            advertised,
            first_peers: Vec::new(),
            platform,
            mesh: mesh.to_owned(),
            mesh_key: MESH_KEY.to_owned(),
            extra_settings: String::new(),
            ip,
            directory: directory.to_owned(),
            addresses: None,
            process: None,
        }
    }

    /// Returns the name of the node.
    #[must_use]
    pub fn name(&self) -> String {
        node_name(self.centre, self.number)
    }

    /// Returns the number of the node's data centre, counted from 1.
    #[must_use]
    pub const fn centre(&self) -> u8 {
        self.centre
    }

    /// Returns the IP address that the node listens on and binds its outgoing connections to.
    #[must_use]
    pub const fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Returns the name of the proxy listener in front of the node's peer listener.
    #[must_use]
    pub fn peer_listener(&self) -> String {
        peer_listener(self.centre, self.number)
    }

    /// Returns the addresses of the node's listeners.
    ///
    /// # Panics
    ///
    /// Panics if the node has never been started.
    #[must_use]
    pub const fn addresses(&self) -> NodeAddresses {
        self.addresses.expect("node must have been started")
    }

    /// Returns the addresses of the node's listeners, or `None` if it has never been started.
    pub(crate) const fn known_addresses(&self) -> Option<NodeAddresses> {
        self.addresses
    }

    /// Returns whether the node's process has not exited; a paused process counts as running.
    pub fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(ChildProcess::is_running)
    }

    /// Returns the node's process.
    ///
    /// # Errors
    ///
    /// `NotFound` when the node has never been started.
    pub fn process(&mut self) -> Result<&mut ChildProcess, MeshError> {
        let name = self.name();
        self.process.as_mut().ok_or_else(|| {
            MeshError::new(ErrorKind::NotFound, format!("node {name} was not started"))
        })
    }

    /// Starts the node's process on the addresses of its previous start, if any.
    pub(crate) async fn start(&mut self, daemon: &Path) -> Result<(), MeshError> {
        let path = self.write_settings()?;
        let args = ["--settings".into(), path.into_os_string()];
        let mut process = ChildProcess::start(self.name(), daemon, args, &self.directory)?;
        self.addresses = Some(process.wait_listening().await?);
        self.process = Some(process);
        Ok(())
    }

    pub(crate) async fn stop(&mut self, limit: TimeBudget) -> Result<(), MeshError> {
        let process = self.process()?;
        process.terminate()?;
        process.wait(limit).await.map(|_| ())
    }

    pub(crate) fn tail(&self) -> String {
        let process = self.process.as_ref();
        process.map_or_else(String::new, ChildProcess::tail)
    }

    /// Returns the complete output of the node's current process.
    #[must_use]
    pub fn log_text(&self) -> String {
        let process = self.process.as_ref();
        process.map_or_else(String::new, ChildProcess::output_text)
    }

    fn write_settings(&self) -> Result<PathBuf, MeshError> {
        let path = self.directory.join(format!("{}.yaml", self.name()));
        fs::write(&path, self.settings_text())
            .map_err(|error| local_error(&path.display().to_string(), &error))?;
        Ok(path)
    }

    fn settings_text(&self) -> String {
        let any_port = SocketAddr::new(IpAddr::V4(self.ip), 0);
        let addresses = self.addresses.unwrap_or(NodeAddresses {
            callers: any_port,
            peers: any_port,
            operators: any_port,
        });
        let mut first = String::new();
        let advertise = self.advertised.map_or_else(String::new, |address| {
            format!("  advertise: \"{address}\"\n")
        });
        for peer in &self.first_peers {
            write!(first, "\"{peer}\",").expect("writing to a string succeeds");
        }
        format!(
            "mesh: {mesh}\n\
             node: {node}\n\
             data_centre: {centre}\n\
             mesh_key: {key:?}\n\
             callers: {{listen: \"{callers}\"}}\n\
             peers:\n  listen: \"{peers}\"\n{advertise}  first: [{first}]\n\
             operators: {{listen: \"{operators}\"}}\n\
             platform: {{kind: http, address: \"{platform}\"}}\n\
             {extra}",
            mesh = self.mesh,
            node = self.name(),
            centre = data_centre_name(self.centre),
            key = self.mesh_key,
            callers = addresses.callers,
            peers = addresses.peers,
            operators = addresses.operators,
            platform = self.platform,
            extra = self.extra_settings,
        )
    }
}
