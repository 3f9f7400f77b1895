use std::{net::SocketAddr, time::Duration};

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
};
use tokio::net::TcpStream;

use crate::{
    experiment::{ExperimentContext, ExperimentEntry, ExperimentReport, request::bench_mesh},
    load::{LoadPlan, LoadRoute, run_load},
    mesh::{BackendSpec, LocalMesh, RouteAnswers},
    process::ProcessUsage,
};

inventory::submit! {
    ExperimentEntry {
        name: "request-cost",
        about: "CPU time per call and memory of a node, by routes, servers and connections",
        run,
    }
}

const SERVER_NODE: &str = "dc1-n1";
const ENTRY_NODE: &str = "dc1-n2";
const DEFAULT_RATE: u64 = 500;
const DEFAULT_SECONDS: u64 = 6;
const WARM_UP: TimeBudget = TimeBudget::from_secs(1);
const IDLE_TIME: Duration = Duration::from_secs(3);
const SLOTS: u32 = 64;
const MICROS_PER_SECOND: f64 = 1_000_000.0;
const BYTES_PER_MB: f64 = 1_000_000.0;
const SHAPES: [CostShape; 7] = [
    CostShape::base("base"),
    CostShape::base("100 routes").routes(100),
    CostShape::base("1000 routes").routes(1_000),
    CostShape::base("10 servers").servers(10),
    CostShape::base("30 servers").servers(30),
    CostShape::base("200 idle connections").connections(200),
    CostShape::base("2000 idle connections").connections(2_000),
];

/// Sizes of a measured mesh.
#[derive(Clone, Copy, Debug)]
struct CostShape {
    name: &'static str,
    routes: usize,
    servers: usize,
    connections: usize,
}

/// CPU time per call and memory of one node.
struct NodeCost {
    us_per_call: f64,
    idle_percent: f64,
    resident_mb: f64,
}

impl CostShape {
    const fn base(name: &'static str) -> Self {
        Self {
            name,
            routes: 0,
            servers: 1,
            connections: 0,
        }
    }

    const fn routes(mut self, routes: usize) -> Self {
        self.routes = routes;
        self
    }

    const fn servers(mut self, servers: usize) -> Self {
        self.servers = servers;
        self
    }

    const fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }
}

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let rate = context.size("rate", DEFAULT_RATE);
    let seconds = context.size("seconds", DEFAULT_SECONDS);
    let columns = [
        "shape",
        "entry_us_per_call",
        "server_us_per_call",
        "calls_per_core_s",
        "entry_idle_percent",
        "entry_resident_mb",
        "server_resident_mb",
    ];
    let mut report = ExperimentReport::new("request-cost", context.seed(), columns)
        .with_size("rate", rate)
        .with_size("seconds", seconds);
    for shape in SHAPES {
        let (entry, server) =
            context.block_on(measure_shape(context.seed(), shape, rate, seconds))?;
        let both = entry.us_per_call + server.us_per_call;
        report.add_row([
            shape.name.into(),
            entry.us_per_call.into(),
            server.us_per_call.into(),
            (MICROS_PER_SECOND / both).into(),
            entry.idle_percent.into(),
            entry.resident_mb.into(),
            server.resident_mb.into(),
        ]);
    }
    report.add_remark("CPU time of the node's process, less its CPU time while idle");
    report.add_remark(
        "calls_per_core_s is based on the sum of the entry node's and the serving node's CPU time",
    );
    Ok(report)
}

async fn measure_shape(
    seed: u64,
    shape: CostShape,
    rate: u64,
    seconds: u64,
) -> Result<(NodeCost, NodeCost), MeshError> {
    let spec = BackendSpec::new(bench_mesh::SERVICE, "v1")
        .with_slots(SLOTS)
        .with_service_time("0ms");
    let backends = vec![(SERVER_NODE, spec); shape.servers];
    let mut answers = bench_mesh::answers(1, SLOTS);
    for number in 0..shape.routes {
        let rule = RouteAnswers::new(format!("/more/{number}"), bench_mesh::SERVICE);
        answers = answers.route(format!("more-{number}"), rule);
    }
    let builder = LocalMesh::builder().nodes(2).without_proxy();
    let mut mesh =
        bench_mesh::start_mesh_with(builder.data_centres(1), &answers, &backends).await?;
    let entry_address = mesh.node(ENTRY_NODE)?.addresses().callers;
    let _connections = open_connections(entry_address, shape.connections).await?;
    let idle_from = read_usages(&mut mesh)?;
    tokio::time::sleep(IDLE_TIME).await;
    let idle_until = read_usages(&mut mesh)?;
    let plan = LoadPlan::new([entry_address])
        .with_seed(seed)
        .with_rate(rate as f64)
        .with_route(LoadRoute::get(bench_mesh::ROUTES[0].path));
    run_load(&plan.clone().with_duration(WARM_UP)).await?;
    let before = read_usages(&mut mesh)?;
    let plan = plan.with_duration(TimeBudget::from_secs(seconds));
    let load = run_load(&plan).await?;
    let after = read_usages(&mut mesh)?;
    if load.total.in_time < load.total.sent {
        return Err(MeshError::new(
            ErrorKind::LocalIo,
            format!("some calls failed or missed their deadline: {load}"),
        ));
    }
    let cost = |index: usize| {
        let idle = cpu_seconds(&idle_from, &idle_until, index) / IDLE_TIME.as_secs_f64();
        let busy = cpu_seconds(&before, &after, index) - idle * seconds as f64;
        NodeCost {
            us_per_call: busy * MICROS_PER_SECOND / load.total.sent.max(1) as f64,
            idle_percent: idle * 100.0,
            resident_mb: after[index].resident_bytes as f64 / BYTES_PER_MB,
        }
    };
    Ok((cost(0), cost(1)))
}

/// Opens connections that stay idle during the measurement.
async fn open_connections(address: SocketAddr, count: usize) -> Result<Vec<TcpStream>, MeshError> {
    let mut streams = Vec::new();
    for _ in 0..count {
        let stream = TcpStream::connect(address).await.map_err(|error| {
            MeshError::new(ErrorKind::LocalIo, format!("connect to {address}: {error}"))
        })?;
        streams.push(stream);
    }
    Ok(streams)
}

/// Reads the resource usage of the entry node and of the serving node.
fn read_usages(mesh: &mut LocalMesh) -> Result<[ProcessUsage; 2], MeshError> {
    let entry = mesh.node_mut(ENTRY_NODE)?.process()?.id();
    let server = mesh.node_mut(SERVER_NODE)?.process()?.id();
    Ok([ProcessUsage::read(entry)?, ProcessUsage::read(server)?])
}

fn cpu_seconds(from: &[ProcessUsage; 2], until: &[ProcessUsage; 2], index: usize) -> f64 {
    let used = until[index].cpu_time - from[index].cpu_time;
    used.as_secs_f64()
}
