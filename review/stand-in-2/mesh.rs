//! A small deployment on loopback: nodes as processes, instances and clients as stand-ins.

use std::{
    fs,
    io::{self, Write},
    net::{IpAddr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    net::{call_once, Connection, Message},
    store::Store,
};

/// Ports of a machine; the same on all machines.
pub const OUTBOUND: u16 = 0;
pub const READY: u16 = 1;
pub const CONTROL: u16 = 2;
pub const PEERS: u16 = 3;
pub const OPERATORS: u16 = 4;
pub const METRICS: u16 = 5;
pub const APP: u16 = 6;
const PORTS: u16 = 7;

pub const ZONES: [&str; 3] = ["be-central-a", "be-central-b", "be-central-c"];

/// Writes what happened, with the time since the start, to `record.txt`.
pub struct Record {
    file: Mutex<fs::File>,
    started_at: Instant,
}

impl Record {
    pub fn create(folder: &str) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            file: Mutex::new(fs::File::create(format!("{folder}/record.txt"))?),
            started_at: Instant::now(),
        }))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let millis = self.started_at.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{millis:>7} ms {}", text.as_ref());
    }
}

/// One run of a request at an instance.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub instance: String,
    pub request: String,
    pub is_answered: bool,
}

/// Runs of all instances.
pub type Journal = Arc<Mutex<Vec<Run>>>;

/// A sound instance of a service.
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    pub sequence: AtomicU64,
    pub is_beating: AtomicBool,
    pub is_gone: AtomicBool,
    pub work: Duration,
    running: AtomicUsize,
    control: SocketAddr,
    journal: Journal,
}

const SLOTS: usize = 12;
const QUEUE: usize = 48;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

impl Instance {
    pub fn start(
        id: &str,
        service: &str,
        ip: IpAddr,
        base: u16,
        work: Duration,
        journal: &Journal,
    ) -> io::Result<Arc<Self>> {
        let address = SocketAddr::new(ip, base + APP);
        let listener = TcpListener::bind(address)?;
        let instance = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            born: unix_millis(),
            sequence: AtomicU64::new(0),
            is_beating: AtomicBool::new(true),
            is_gone: AtomicBool::new(false),
            work,
            running: AtomicUsize::new(0),
            control: SocketAddr::new(ip, base + CONTROL),
            journal: Arc::clone(journal),
        });
        let server = Arc::clone(&instance);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let instance = Arc::clone(&server);
                thread::spawn(move || instance.serve(Connection::new(stream)));
            }
        });
        let beater = Arc::clone(&instance);
        thread::spawn(move || loop {
            if beater.is_beating.load(Ordering::SeqCst) {
                let body = beater.next_beat("ready");
                let _ = beater.send_beat(&body);
            }
            thread::sleep(HEARTBEAT);
        });
        Ok(instance)
    }

    /// Returns the body of a ping that is sent now.
    pub fn next_beat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            concat!(
                r#"{{"Address":"{}","Info":{{"Service":"{}","Version":"v1","Zone":"be-central-a","#,
                r#""Slots":{}}},"Status":{{"State":"{}","Seq":{},"ColdLeft":"0ms"}},"born":{}}}"#
            ),
            self.address, self.service, SLOTS, state, sequence, self.born
        )
    }

    pub fn send_beat(&self, body: &str) -> u16 {
        self.tell("instances.heartbeat", body)
    }

    pub fn deregister(&self) -> u16 {
        self.tell("instances.deregister", &format!(r#"{{"born":{}}}"#, self.born))
    }

    fn tell(&self, call: &str, body: &str) -> u16 {
        let first = format!("POST /bronzelb/rpc?call={call}&of={} HTTP/1.1", self.id);
        let host = self.control.to_string();
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
        ];
        let timeout = Duration::from_secs(1);
        call_once(self.control, &first, &headers, body.as_bytes(), timeout)
            .map_or(0, |answer| answer.status())
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            if self.is_gone.load(Ordering::SeqCst) || self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Instance-Id", self.id.as_str()), ("X-Request-Id", &id)];
            return connection.write("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if request.path() == "/health" {
            let headers = [("X-Instance-Id", self.id.as_str())];
            return connection.write("HTTP/1.1 200 OK", &headers, b"");
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        if running >= SLOTS + QUEUE {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [("X-Not-Executed", "1"), ("X-Request-Id", &id)];
            return connection.write("HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        let number = {
            let mut journal = self.journal.lock().unwrap();
            journal.push(Run {
                at: Instant::now(),
                instance: self.id.clone(),
                request: id.clone(),
                is_answered: false,
            });
            journal.len() - 1
        };
        let deadline = request.header("x-deadline-ms");
        let deadline: u64 = deadline.and_then(|text| text.parse().ok()).unwrap_or(60_000);
        thread::sleep(self.work.min(Duration::from_millis(deadline)));
        let left = self.running.fetch_sub(1, Ordering::SeqCst);
        if self.is_gone.load(Ordering::SeqCst) {
            return Err(io::Error::other("the instance has ended"));
        }
        let seal = format!("{}.{number}", self.id);
        let load = format!("{},0,{SLOTS}", left - 1);
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Server-Seal", &seal),
            ("X-Server-Load", &load),
            ("Keep-Alive", "timeout=10"),
        ];
        let body = format!("answer of {} to {id}", self.id);
        connection.write("HTTP/1.1 200 OK", &headers, body.as_bytes())?;
        self.journal.lock().unwrap()[number].is_answered = true;
        Ok(())
    }
}

pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}

/// A machine with its node.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    zone: &'static str,
    service: String,
    child: Mutex<Option<Child>>,
}

pub struct Mesh {
    pub machines: Vec<Machine>,
    pub base: u16,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    folder: PathBuf,
    clients: AtomicU64,
}

impl Mesh {
    /// Prepares machines in three zones; machine `i` is in zone `i % 3` and runs the instance of
    /// `services[i]`.
    pub fn prepare(services: &[&str], record: &Arc<Record>) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let ip = |index: usize| -> IpAddr {
            format!("127.0.{}.{}", index % 3 + 1, index / 3 + 11)
                .parse()
                .unwrap()
        };
        let ips: Vec<IpAddr> = (0..services.len()).map(ip).collect();
        let base = free_base(&ips)?;
        let store_address = free_address()?;
        let store = Store::start(store_address)?;
        let machines = services.iter().zip(&ips).enumerate();
        let machines = machines.map(|(index, (service, ip))| Machine {
            name: format!("sidecar-{}-{}", ZONES[index % 3], index / 3 + 1),
            ip: *ip,
            zone: ZONES[index % 3],
            service: (*service).to_owned(),
            child: Mutex::new(None),
        });
        Ok(Self {
            machines: machines.collect(),
            base,
            store,
            record: Arc::clone(record),
            folder,
            clients: AtomicU64::new(0),
        })
    }

    pub fn address(&self, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.machines[index].ip, self.base + port)
    }

    /// Starts a node with the settings that the template of the deploy file gives.
    pub fn start_node(&self, index: usize, is_first: bool) -> io::Result<()> {
        let machine = &self.machines[index];
        let seeds = (0..self.machines.len().min(3)).map(|seed| self.address(seed, CONTROL));
        let seeds: Vec<_> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        let at = |port| self.address(index, port);
        let text = format!(
            "mesh: bronzelb\nnode: {name}\ndata_centre: {zone}\ndata_centres: [{zones}]\n\
             dialect: users\nmesh_key: bronzelb-on-{store}\n\
             callers:\n  listen: \"{outbound}\"\n  origin: {service}\n\
             peers:\n  listen: \"{peers}\"\n  first: [{seeds}]\n  first_port: {peer_port}\n\
             operators:\n  listen: \"{operators}\"\n\
             local:\n  announcements: \"{control}\"\n  ready: \"{ready}\"\n  lease: 6s\n\
             metrics:\n  listen: \"{metrics}\"\n\
             platform:\n  kind: tables\n  address: \"{store}\"\n\
             retries:\n  ratio: 0.2\n  window: 10s\n  slack: 56\n\
             max_exposure: 0.1\nexposure_slack: 50\nshutdown: 6s\nfirst_start: {is_first}\n",
            name = machine.name,
            zone = machine.zone,
            zones = ZONES.join(","),
            store = self.store.address,
            outbound = at(OUTBOUND),
            service = machine.service,
            peers = at(PEERS),
            seeds = seeds.join(","),
            peer_port = self.base + PEERS,
            operators = at(OPERATORS),
            control = at(CONTROL),
            ready = at(READY),
            metrics = at(METRICS),
        );
        let path = self.folder.join(format!("{}.yaml", machine.name));
        fs::write(&path, text)?;
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new("target/release/bronzelbd")
            .arg("--settings")
            .arg(&path)
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| matches!(name.as_str(), "PATH" | "HOME" | "LANG")))
            // One arena keeps the memory of freed buffers low.
            .env("MALLOC_ARENA_MAX", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .line(format!("node {} starts, process {}", machine.name, child.id()));
        *machine.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Kills a node without notice.
    pub fn kill_node(&self, index: usize) {
        let machine = &self.machines[index];
        if let Some(mut child) = machine.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("node {} is killed", machine.name));
        }
    }

    pub fn process(&self, index: usize) -> Option<u32> {
        let child = self.machines[index].child.lock().unwrap();
        child.as_ref().map(Child::id)
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let address = self.address(index, READY);
        let host = address.to_string();
        let headers = [("Host", host.as_str())];
        let timeout = Duration::from_millis(800);
        call_once(address, "GET /bronzelb/ready HTTP/1.1", &headers, b"", timeout)
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until every node is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if (0..self.machines.len()).all(|index| self.is_ready(index)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns a new request identifier.
    pub fn next_request(&self) -> String {
        let number = self.clients.fetch_add(1, Ordering::SeqCst);
        format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + number)
    }

    /// Sends one client attempt on a new connection.
    pub fn send(
        &self,
        index: usize,
        method: &str,
        path: &str,
        id: &str,
        body: &[u8],
        deadline: Duration,
    ) -> io::Result<Message> {
        let millis = deadline.as_millis().to_string();
        let headers = [
            ("Host", "hulo84.example"),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", &millis),
        ];
        let first = format!("{method} {path} HTTP/1.1");
        call_once(self.address(index, OUTBOUND), &first, &headers, body, deadline)
    }
}

impl Mesh {
    /// Ends every node and removes the temporary folder.
    pub fn stop(&self) {
        for index in 0..self.machines.len() {
            self.kill_node(index);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Ends the nodes of a mesh when a case is over, also by a panic.
pub struct StopGuard<'a>(pub &'a Mesh);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.stop();
    }
}

/// Returns a first port from which on all ports of a machine are free at every address.
fn free_base(ips: &[IpAddr]) -> io::Result<u16> {
    for _ in 0..200 {
        let probe = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        let Some(last) = probe.checked_add(PORTS) else {
            continue;
        };
        let ports = || probe..last;
        let are_free = ips.iter().all(|ip| {
            ports().all(|port| TcpListener::bind(SocketAddr::new(*ip, port)).is_ok())
        });
        if are_free {
            return Ok(probe);
        }
    }
    Err(io::Error::other("no free ports"))
}

pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
