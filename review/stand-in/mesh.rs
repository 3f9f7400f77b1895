//! A small deployment on loopback addresses: one node beside each instance, a store and clients.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    instance::{Instance, InstancePlace},
    record::Record,
    store::Store,
};

pub const INBOUND: u16 = 8_300;
pub const APP: u16 = 8_301;
pub const READY: u16 = 8_302;
pub const OUTBOUND: u16 = 8_304;
pub const CONTROL: u16 = 8_306;
const STORE: u16 = 8_309;
const PEERS: u16 = 7_620;
const OPERATORS: u16 = 7_635;

/// Where a machine stands and which instance runs on it.
#[derive(Clone)]
pub struct Machine {
    pub zone: String,
    pub service: String,
    pub version: String,
    /// Whether its instance is up from the start.
    pub is_up: bool,
}

impl Machine {
    pub fn new(zone: &str, service: &str) -> Machine {
        Machine {
            zone: zone.to_owned(),
            service: service.to_owned(),
            version: "v1".to_owned(),
            is_up: true,
        }
    }
}

pub struct Mesh {
    network: [u8; 2],
    pub machines: Vec<Machine>,
    pub store: Store,
    pub instances: Vec<Instance>,
    nodes: Vec<Option<Child>>,
    folder: PathBuf,
    pub record: Record,
    work: Duration,
    /// When each node's process was last started or harmed, in seconds of the record.
    pub touched_at: Vec<f64>,
}

/// Outcome of a client's request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub sent_at: f64,
    pub request: String,
    /// 0 if there was no answer.
    pub status: u16,
}

impl Mesh {
    pub fn prepare(machines: &[Machine], work: Duration, record: &Record) -> Mesh {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let network = free_network(machines.len() + 8);
        let store_address =
            SocketAddr::from((Ipv4Addr::new(127, network[0], network[1], 250), STORE));
        Mesh {
            network,
            machines: machines.to_vec(),
            store: Store::start(store_address, record.clone()),
            instances: Vec::new(),
            nodes: Vec::new(),
            folder,
            record: record.clone(),
            work,
            touched_at: Vec::new(),
        }
    }

    /// Starts the instances and the nodes of all machines, and waits until the nodes are ready.
    pub fn start(&mut self) -> bool {
        for index in 0..self.machines.len() {
            self.start_instance(index);
            let child = self.spawn_node(index, true);
            self.nodes.push(Some(child));
            self.touched_at.push(self.record.time());
        }
        let machines: Vec<_> = (0..self.machines.len()).collect();
        self.wait_ready(&machines, Duration::from_secs(20))
    }

    /// Adds a machine with its node and instance.
    pub fn add(&mut self, machine: Machine) -> usize {
        self.machines.push(machine);
        let index = self.machines.len() - 1;
        self.start_instance(index);
        let child = self.spawn_node(index, false);
        self.nodes.push(Some(child));
        self.touched_at.push(self.record.time());
        index
    }

    fn start_instance(&mut self, index: usize) {
        let machine = &self.machines[index];
        let name = format!("i-{}-{index}", machine.service);
        let place = InstancePlace {
            name: &name,
            service: &machine.service,
            version: &machine.version,
            zone: &machine.zone,
            address: self.address(index, APP),
            control: self.address(index, CONTROL),
            is_up: machine.is_up,
        };
        let instance = Instance::start(&place, self.work, &self.record);
        self.instances.push(instance);
    }

    pub fn address(&self, index: usize, port: u16) -> SocketAddr {
        let last = u8::try_from(index + 1).expect("there are few machines");
        SocketAddr::from((
            Ipv4Addr::new(127, self.network[0], self.network[1], last),
            port,
        ))
    }

    fn store_address(&self) -> SocketAddr {
        SocketAddr::from((
            Ipv4Addr::new(127, self.network[0], self.network[1], 250),
            STORE,
        ))
    }

    /// Writes the settings that the template of the deploy file gives for a machine.
    fn write_settings(&self, index: usize, is_first: bool) -> PathBuf {
        let machine = &self.machines[index];
        let mut zones: Vec<_> = self.machines.iter().map(|m| m.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let seeds: Vec<_> = (0..3.min(self.machines.len()))
            .map(|seed| format!("\"{}\"", self.address(seed, CONTROL)))
            .collect();
        let text = format!(
            "mesh: bronzelb\nnode: sidecar-{index}\ndata_centre: {zone}\ndata_centres: [{zones}]\n\
             dialect: users\nmesh_key: bronzelb-on-{store}\n\
             callers:\n  listen: \"{outbound}\"\n  origin: {service}\n\
             peers:\n  listen: \"{peers}\"\n  first: [{seeds}]\n  first_port: {PEERS}\n\
             operators:\n  listen: \"{operators}\"\n\
             local:\n  announcements: \"{control}\"\n  ready: \"{ready}\"\n  lease: 6s\n\
             platform:\n  kind: tables\n  address: \"{store}\"\n\
             retries:\n  ratio: 0.2\n  window: 10s\n  slack: 56\n\
             max_exposure: 0.1\nshutdown: 6s\nfirst_start: {is_first}\n",
            zone = machine.zone,
            zones = zones.join(","),
            store = self.store_address(),
            outbound = self.address(index, OUTBOUND),
            service = machine.service,
            peers = self.address(index, PEERS),
            seeds = seeds.join(","),
            operators = self.address(index, OPERATORS),
            control = self.address(index, CONTROL),
            ready = self.address(index, READY),
        );
        let path = self.folder.join(format!("sidecar-{index}.yaml"));
        fs::write(&path, text).expect("the temporary folder is writable");
        path
    }

    fn spawn_node(&self, index: usize, is_first: bool) -> Child {
        let settings = self.write_settings(index, is_first);
        let output = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("sidecar-{index}.log")))
            .expect("the temporary folder is writable");
        let errors = output.try_clone().expect("the log is open");
        let child = Command::new("target/release/bronzelbd")
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("target/release/bronzelbd starts");
        self.record
            .line(&format!("node {index} starts, process {}", child.id()));
        child
    }

    /// Kills a node's process with SIGKILL.
    pub fn kill_node(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.touched_at[index] = self.record.time();
        self.record.line(&format!("node {index} is killed"));
    }

    pub fn start_node(&mut self, index: usize) {
        let child = self.spawn_node(index, false);
        self.nodes[index] = Some(child);
        self.touched_at[index] = self.record.time();
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let bytes = http::request(
            "GET",
            "/bronzelb/ready",
            &[("Host", "x"), ("Connection", "close")],
            b"",
        );
        let answer = http::call(self.address(index, READY), &bytes, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, machines: &[usize], limit: Duration) -> bool {
        let end = Instant::now() + limit;
        for machine in machines {
            while !self.is_ready(*machine) {
                if Instant::now() > end {
                    self.record
                        .say(&format!("node {machine} does not get ready"));
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }

    /// Ends every process that this run has started.
    pub fn stop(&mut self) {
        for child in self.nodes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Finds a loopback network of which all ports that a mesh uses are free.
fn free_network(count: usize) -> [u8; 2] {
    let mut seed = std::process::id().wrapping_mul(2_654_435_761);
    for _ in 0..50 {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let network = [((seed >> 24) % 200 + 20) as u8, (seed >> 16) as u8];
        let is_free = (0..count).all(|index| {
            let ip = Ipv4Addr::new(127, network[0], network[1], index as u8 + 1);
            [
                INBOUND, APP, READY, OUTBOUND, CONTROL, STORE, PEERS, OPERATORS,
            ]
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return network;
        }
    }
    [77, 77]
}

/// Clients that send requests to the nodes of some machines at a steady rate.
pub struct Clients {
    answers: Arc<Mutex<Vec<Answer>>>,
    is_stopped: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

pub struct ClientPlan<'a> {
    pub host: &'a str,
    pub path: &'a str,
    pub method: &'a str,
    pub interval: Duration,
    pub deadline_ms: u64,
}

static REQUESTS: AtomicU64 = AtomicU64::new(0);

impl Clients {
    pub fn start(mesh: &Mesh, machines: &[usize], plan: &ClientPlan<'_>) -> Clients {
        let answers = Arc::new(Mutex::new(Vec::new()));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let threads = machines.iter().map(|machine| {
            let (machine, address) = (*machine, mesh.address(*machine, OUTBOUND));
            let (host, path) = (plan.host.to_owned(), plan.path.to_owned());
            let (method, interval) = (plan.method.to_owned(), plan.interval);
            let deadline_ms = plan.deadline_ms;
            let (answers, is_stopped) = (Arc::clone(&answers), Arc::clone(&is_stopped));
            let record = mesh.record.clone();
            thread::spawn(move || {
                let mut seed = 0x2545_f491_u64.wrapping_mul(machine as u64 + 1);
                while !is_stopped.load(Ordering::SeqCst) {
                    let (answers, record) = (Arc::clone(&answers), record.clone());
                    let (host, path, method) = (host.clone(), path.clone(), method.clone());
                    thread::spawn(move || {
                        let answer = send(
                            &record,
                            machine,
                            address,
                            &host,
                            &path,
                            &method,
                            deadline_ms,
                        );
                        answers.lock().unwrap().push(answer);
                    });
                    // Between a fifth and nine fifths of the mean interval.
                    seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    thread::sleep(interval * (20 + (seed >> 33) as u32 % 161) / 100);
                }
            })
        });
        Clients {
            threads: threads.collect(),
            answers,
            is_stopped,
        }
    }

    /// Stops sending, waits for the last answers and returns all of them.
    pub fn stop(self) -> Vec<Answer> {
        self.is_stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        thread::sleep(Duration::from_millis(2_500));
        self.answers.lock().unwrap().clone()
    }
}

/// Sends one request as a client does and returns its outcome.
pub fn send(
    record: &Record,
    machine: usize,
    address: SocketAddr,
    host: &str,
    path: &str,
    method: &str,
    deadline_ms: u64,
) -> Answer {
    let number = REQUESTS.fetch_add(1, Ordering::SeqCst);
    let request = format!("{number:08x}{:08x}", std::process::id());
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", host),
        ("X-Request-Id", request.as_str()),
        ("X-Deadline-Ms", deadline.as_str()),
        ("Connection", "close"),
    ];
    let body: &[u8] = if method == "POST" { b"order" } else { b"" };
    let bytes = http::request(method, path, &headers, body);
    let sent_at = record.time();
    let result = http::call(address, &bytes, Duration::from_millis(deadline_ms));
    let (status, has_seal, body) = match &result {
        Ok(answer) => (
            answer.status(),
            !answer.header("x-server-seal").is_empty(),
            String::from_utf8_lossy(&answer.body).into_owned(),
        ),
        Err(_) => (0, false, String::new()),
    };
    record.line(&format!(
        "request {request} sent to node {machine} at {sent_at:.3}: {status}{} {body}",
        if has_seal { " with seal" } else { "" }
    ));
    Answer {
        sent_at,
        request,
        status,
    }
}

/// Returns a configuration document with one route for each of some services.
pub fn config_document(version: u64, services: &[&str], routes: &[(&str, &str, &str)]) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}")
        })
        .collect();
    let routes: Vec<_> = routes
        .iter()
        .map(|(prefix, kind, service)| {
            let name = prefix.trim_matches('/');
            format!("{{\"Name\":\"r-{name}\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"Timeout\":\"1500ms\",\"TargetLatency\":\"400ms\",\"Priority\":2,\"Service\":\"{service}\",\"Attempts\":2}}")
        })
        .collect();
    format!(
        "{{\"Version\":\"r{version}\",\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1000000,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}},\"VirtualHosts\":[{{\"Host\":\"hulo84.example\",\"Paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    )
}
