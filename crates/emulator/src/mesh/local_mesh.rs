use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    status::NodeStatus,
};
use tempfile::TempDir;

use crate::{
    http::{CallRequest, CallResponse, CallerClient, JsonClient},
    mesh::{
        MeshBackend, MeshBuilder, MeshNode, PlatformStandIn, ProxyStandIn,
        mesh_names::{PLATFORM_LISTENER, node_name, peer_listener},
        mesh_network::MeshNetwork,
    },
    process::{ChildProcess, program_path},
    proxy::ProxyRules,
    server::local_error,
};

const COMMAND_TIMEOUT: TimeBudget = TimeBudget::from_secs(60);
const MAX_FIRST_PEERS: usize = 8;

/// A running mesh; dropping it kills every process.
pub struct LocalMesh {
    pub(crate) proxy: ProxyStandIn,
    pub(crate) rules: ProxyRules,
    pub(super) platform: PlatformStandIn,
    pub(super) nodes: BTreeMap<String, MeshNode>,
    pub(super) backends: BTreeMap<String, MeshBackend>,
    pub(super) backend_count: usize,
    pub(super) programs: MeshPrograms,
    pub(super) network: MeshNetwork,
    pub(super) client: JsonClient,
    caller: CallerClient,
    // Must be the last field: fields drop in declaration order, and the processes that write to the
    // directory have to end before it is removed.
    pub(super) directory: TempDir,
}

/// Result of running the command-line tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code; `None` if a signal terminated the process.
    pub exit_code: Option<i32>,
    /// Interleaved standard output and standard error.
    pub text: String,
}

pub(super) struct MeshPrograms {
    daemon: PathBuf,
    tool: PathBuf,
    pub(super) emulator: PathBuf,
}

impl MeshPrograms {
    fn find() -> Result<Self, MeshError> {
        Ok(Self {
            daemon: program_path("bronzelbd")?,
            tool: program_path("bronzelb")?,
            emulator: program_path("bronzelb-emulator")?,
        })
    }
}

impl LocalMesh {
    /// Returns a builder with the default settings.
    #[must_use]
    pub fn builder() -> MeshBuilder {
        MeshBuilder::new()
    }

    pub(crate) async fn start(builder: MeshBuilder) -> Result<Self, MeshError> {
        let programs = MeshPrograms::find()?;
        let directory =
            tempfile::tempdir().map_err(|error| local_error("temporary directory", &error))?;
        let platform = PlatformStandIn::start(&programs.emulator, directory.path()).await?;
        let proxy = ProxyStandIn::start(&programs.emulator, directory.path()).await?;
        let mut mesh = Self {
            proxy,
            rules: ProxyRules::default(),
            platform,
            nodes: BTreeMap::new(),
            backends: BTreeMap::new(),
            backend_count: 0,
            programs,
            network: MeshNetwork::claim()?,
            client: JsonClient::new(),
            caller: CallerClient::new(),
            directory,
        };
        mesh.add_nodes(&builder).await?;
        for name in mesh.node_names() {
            mesh.start_node(&name).await?;
        }
        for name in mesh.node_names() {
            for spec in &builder.backends {
                mesh.add_backend(&name, spec).await?;
            }
        }
        Ok(mesh)
    }

    async fn add_nodes(&mut self, builder: &MeshBuilder) -> Result<(), MeshError> {
        let mut platform = self.platform.address();
        if builder.is_proxied {
            platform = self.proxy.listen(PLATFORM_LISTENER, Some(platform)).await?;
        }
        for centre in 1..=builder.centres {
            for number in 1..=builder.nodes_per_centre {
                let mut advertised = None;
                if builder.is_proxied {
                    let listener = peer_listener(centre, number);
                    advertised = Some(self.proxy.listen(listener, None).await?);
                }
                let numbers = (centre, number);
                let directory = self.directory.path();
                let ip = self.network.node_ip(centre, number);
                let mesh = &builder.mesh;
                let mut node = MeshNode::new(numbers, ip, advertised, platform, mesh, directory);
                node.extra_settings.clone_from(&builder.extra_settings);
                self.nodes.insert(node_name(centre, number), node);
            }
        }
        self.set_first_peers(|node| node.advertised);
        Ok(())
    }

    /// Sets every node's initial peers to the known addresses of the first nodes of each data
    /// centre.
    fn set_first_peers(&mut self, address: impl Fn(&MeshNode) -> Option<SocketAddr>) {
        let mut ordered: Vec<_> = self.nodes.values().collect();
        ordered.sort_by_key(|node| (node.number, node.centre));
        let first_peers: Vec<SocketAddr> = ordered
            .into_iter()
            .filter_map(&address)
            .take(MAX_FIRST_PEERS)
            .collect();
        for node in self.nodes.values_mut() {
            let own = address(node);
            node.first_peers = first_peers
                .iter()
                .copied()
                .filter(|peer| Some(*peer) != own)
                .collect();
        }
    }

    /// Returns the directory that holds settings, answers, journals and process output.
    #[must_use]
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Returns the platform stand-in.
    pub const fn platform(&mut self) -> &mut PlatformStandIn {
        &mut self.platform
    }

    /// Returns the address of the platform stand-in itself, which bypasses the fault proxy.
    #[must_use]
    pub const fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Returns the fault proxy.
    #[must_use]
    pub const fn proxy(&self) -> &ProxyStandIn {
        &self.proxy
    }

    /// Returns the names of all nodes in lexical order.
    #[must_use]
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns a node.
    ///
    /// # Errors
    ///
    /// `NotFound` when no node has that name.
    pub fn node(&self, name: &str) -> Result<&MeshNode, MeshError> {
        self.nodes.get(name).ok_or_else(|| node_not_found(name))
    }

    /// Returns a mutable reference to a node, which gives access to its process.
    ///
    /// # Errors
    ///
    /// `NotFound` when no node has that name.
    pub fn node_mut(&mut self, name: &str) -> Result<&mut MeshNode, MeshError> {
        self.nodes.get_mut(name).ok_or_else(|| node_not_found(name))
    }

    /// Starts a stopped node on the addresses of its previous start, if any.
    ///
    /// # Errors
    ///
    /// `LocalIo` when it does not start.
    pub async fn start_node(&mut self, name: &str) -> Result<(), MeshError> {
        let daemon = self.programs.daemon.clone();
        let node = self.node_mut(name)?;
        node.start(&daemon).await?;
        let listener = node.peer_listener();
        let peers = node.addresses().peers;
        if node.advertised.is_some() {
            return self.proxy.set_target(listener, peers).await;
        }
        // Without the proxy, a node's address is known only after its start, so each node gets the
        // addresses of the nodes started before it.
        self.set_first_peers(|node| node.known_addresses().map(|addresses| addresses.peers));
        Ok(())
    }

    /// Shuts a node down gracefully and waits for its process to exit.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process does not exit within `limit`.
    pub async fn stop_node(&mut self, name: &str, limit: TimeBudget) -> Result<(), MeshError> {
        self.node_mut(name)?.stop(limit).await
    }

    /// Fetches a node's status from its operator listener.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the node does not respond.
    pub async fn status(&self, name: &str) -> Result<NodeStatus, MeshError> {
        let operators = self.node(name)?.addresses().operators;
        self.client.get(operators, "/v1/status").await
    }

    /// Sends a caller's request to a node.
    ///
    /// # Errors
    ///
    /// `LocalIo` when no complete response arrives in time.
    pub async fn call(&self, node: &str, request: &CallRequest) -> Result<CallResponse, MeshError> {
        let callers = self.node(node)?.addresses().callers;
        self.caller.call(callers, request).await
    }

    /// Runs the command-line tool and waits for it to exit.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the tool does not start or does not exit in time.
    pub async fn run_tool(&self, args: &[&str]) -> Result<CommandOutput, MeshError> {
        let tool = &self.programs.tool;
        let mut process = ChildProcess::start("bronzelb", tool, args, self.directory.path())?;
        let status = process.wait(COMMAND_TIMEOUT).await?;
        Ok(CommandOutput {
            exit_code: status.code(),
            text: process.output_text(),
        })
    }

    /// Publishes answers with the command-line tool, bypassing the fault proxy.
    ///
    /// # Errors
    ///
    /// `Invalid` with the tool's output when it rejects the answers.
    pub async fn publish(&self, answers: &str) -> Result<CommandOutput, MeshError> {
        let path = self.directory.path().join("answers.yaml");
        fs::write(&path, answers)
            .map_err(|error| local_error(&path.display().to_string(), &error))?;
        let path = path.display().to_string();
        let platform = self.platform.address().to_string();
        let output = self
            .run_tool(&["publish", &path, "--platform", &platform])
            .await?;
        if output.exit_code == Some(0) {
            return Ok(output);
        }
        Err(MeshError::invalid(format!(
            "bronzelb publish failed: {}",
            output.text
        )))
    }
}

fn node_not_found(name: &str) -> MeshError {
    MeshError::new(ErrorKind::NotFound, format!("node {name:?} does not exist"))
}
