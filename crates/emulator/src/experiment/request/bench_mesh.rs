use std::net::SocketAddr;

use bronzelb_kernel::{clock::TimeBudget, config::RequestPriority, error::MeshError};

use crate::mesh::{BackendSpec, LocalMesh, MeshAnswers, MeshBuilder, RouteAnswers};

/// Name of the service that the experiments call.
pub(crate) const SERVICE: &str = "work";
/// Routes of the service, one per priority.
pub(crate) const ROUTES: [BenchRoute; 3] = [
    BenchRoute::new("/urgent", RequestPriority::URGENT),
    BenchRoute::new("/normal", RequestPriority::NORMAL),
    BenchRoute::new("/deferrable", RequestPriority::DEFERRABLE),
];
const START_TIMEOUT: TimeBudget = TimeBudget::from_secs(30);
const SETTLE_TIME: TimeBudget = TimeBudget::from_secs(2);

/// Route that the experiments call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BenchRoute {
    pub(crate) path: &'static str,
    pub(crate) priority: RequestPriority,
}

impl BenchRoute {
    const fn new(path: &'static str, priority: RequestPriority) -> Self {
        Self { path, priority }
    }
}

/// Starts a mesh, publishes its configuration, and waits until all nodes know the backend servers
/// and their slow start is over.
pub(crate) async fn start_mesh(
    builder: MeshBuilder,
    data_centres: u8,
    backends: &[(&str, BackendSpec)],
) -> Result<LocalMesh, MeshError> {
    let slots = backends.first().map_or(1, |(_, spec)| spec.slots);
    let answers = answers(data_centres, slots);
    start_mesh_with(builder.data_centres(data_centres), &answers, backends).await
}

/// Like [`start_mesh`], with the given answers.
pub(crate) async fn start_mesh_with(
    builder: MeshBuilder,
    answers: &MeshAnswers,
    backends: &[(&str, BackendSpec)],
) -> Result<LocalMesh, MeshError> {
    let mut mesh = builder.start().await?;
    for (node, spec) in backends {
        mesh.add_backend(node, spec).await?;
    }
    mesh.publish(&answers.to_string()).await?;
    mesh.wait_version(1, START_TIMEOUT).await?;
    mesh.wait_backends(SERVICE, backends.len(), START_TIMEOUT)
        .await?;
    // Wait for the end of the servers' slow start.
    tokio::time::sleep(SETTLE_TIME.to_std()).await;
    Ok(mesh)
}

/// Returns the addresses of the backend servers, for calls that bypass the mesh.
pub(crate) fn backend_targets(mesh: &LocalMesh) -> Result<Vec<SocketAddr>, MeshError> {
    let names = mesh.backend_names();
    names
        .iter()
        .map(|name| Ok(mesh.backend(name)?.addresses().address))
        .collect()
}

/// Returns the addresses of the callers' listeners of all nodes.
pub(crate) fn node_targets(mesh: &LocalMesh) -> Result<Vec<SocketAddr>, MeshError> {
    let names = mesh.node_names();
    names
        .iter()
        .map(|name| Ok(mesh.node(name)?.addresses().callers))
        .collect()
}

/// Builds the answers of a mesh whose service has one route per priority.
pub(crate) fn answers(data_centres: u8, slots: u32) -> MeshAnswers {
    let mut answers =
        MeshAnswers::new(data_centres).service_line(SERVICE, format!("slots: {slots}"));
    for route in ROUTES {
        let rule = RouteAnswers::new(route.path, SERVICE).with_priority(route.priority);
        answers = answers.route(&route.path[1..], rule);
    }
    answers
}
