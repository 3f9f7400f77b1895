//! Fault and LOST: clients send bodies within the operator's limit, and nodes hold more memory than
//! their machines have.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    mesh::{resident_mb, Instance, Journal, Mesh, Record, OUTBOUND},
    net::Connection,
    Verdict,
};

/// `MemoryMb` of the machines: the platform kills a process that exceeds it.
const MEMORY_MB: u64 = 260;
const CONTACT: Duration = Duration::from_millis(3_000);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const WORK: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(6_000);
const MACHINES: usize = 12;
/// Clients of each machine; the site file has 129 clients on 12 machines.
const CLIENTS: usize = 10;
/// Time for which each client sends orders, one after the other.
const LOAD_TIME: Duration = Duration::from_secs(60);
/// Fault: processes end by themselves three times on a tenth of the machines, two at least.
const MAX_ENDS: u64 = 3;
const MIN_MACHINES: usize = 2;
/// LOST: requests of kept connections that may be passed on and end without an answer.
const MAX_LOST: usize = 3;
const LARGE_BYTES: usize = 8 * 1024 * 1024;
const SMALL_BYTES: usize = 1_200;

const CONFIG: &str = concat!(
    r#"{"Version":"r7","Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":110},"#,
    r#"{"Name":"wuno96b","HealthPath":"/health","MaxConns":110},"#,
    r#"{"Name":"kafi81c","HealthPath":"/health","MaxConns":110},"#,
    r#"{"Name":"lovo22d","HealthPath":"/health","MaxConns":110}],"#,
    r#""Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","#,
    r#""IdleTimeout":"15000ms"},"BaseVersion":"r5","VirtualHosts":[{"Host":"hulo84.example","#,
    r#""Paths":[{"Name":"r-order","Prefix":"/order/","Kind":"unsafe","Timeout":"5000ms","#,
    r#""TargetLatency":"500ms","Priority":1,"Service":"wuno96b","Attempts":2}]}]}"#
);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let names = ["wuno96b", "huvo11a", "kafi81c", "lovo22d"];
    let services: Vec<&str> = (0..MACHINES).map(|index| names[index / 3]).collect();
    let mesh = Arc::new(Mesh::prepare(&services, record)?);
    let result = play(&mesh, record, &services, has_trouble);
    mesh.stop();
    result
}

fn play(
    mesh: &Arc<Mesh>,
    record: &Arc<Record>,
    services: &[&str],
    has_trouble: bool,
) -> io::Result<Verdict> {
    mesh.store.put("op", "config", CONFIG);
    let journal: Journal = Arc::default();
    let mut instances = Vec::new();
    for (index, service) in services.iter().enumerate() {
        mesh.start_node(index, true)?;
        let (id, ip) = (format!("i-{index}"), mesh.machines[index].ip);
        instances.push(Instance::start(&id, service, ip, mesh.base, WORK, &journal)?);
    }
    if !mesh.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the nodes did not become ready"));
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    let is_over = Arc::new(AtomicBool::new(false));
    let kills: Arc<Vec<AtomicU64>> = Arc::new(services.iter().map(|_| AtomicU64::new(0)).collect());
    let platform = {
        let (mesh, is_over) = (Arc::clone(&mesh), Arc::clone(&is_over));
        let kills = Arc::clone(&kills);
        thread::spawn(move || watch_memory(&mesh, &is_over, &kills))
    };
    let size = if has_trouble { LARGE_BYTES } else { SMALL_BYTES };
    let lost = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS * services.len())
        .map(|client| {
            let (mesh, lost) = (Arc::clone(&mesh), Arc::clone(&lost));
            thread::spawn(move || send_orders(&mesh, client, size, &lost))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    let peak = platform.join().expect("the platform does not panic");
    let runs = journal.lock().unwrap().clone();
    let lost = lost.lock().unwrap();
    let has_run = |id: &&String| runs.iter().any(|run| run.request == **id);
    let run_and_lost = lost.iter().filter(has_run).count();
    let kills: Vec<u64> = kills.iter().map(|kills| kills.load(Ordering::SeqCst)).collect();
    record.line(format!(
        "{} orders ran; memory peak {peak} MB; ends over the limit by machine: {kills:?}; {} kept \
         connections ended without an answer, {run_and_lost} of them after the order ran",
        runs.len(),
        lost.len()
    ));
    let failing = kills.iter().filter(|kills| **kills >= MAX_ENDS).count();
    let is_broken = failing >= MIN_MACHINES || run_and_lost > MAX_LOST;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Kills and restarts nodes that exceed their memory, as the platform does; returns the peak.
fn watch_memory(mesh: &Mesh, is_over: &AtomicBool, kills: &[AtomicU64]) -> u64 {
    let mut peak = 0;
    while !is_over.load(Ordering::SeqCst) {
        for index in 0..mesh.machines.len() {
            let memory = mesh.process(index).map_or(0, resident_mb);
            peak = peak.max(memory);
            if memory > MEMORY_MB {
                mesh.record.line(format!(
                    "{} holds {memory} MB, more than {MEMORY_MB} MB",
                    mesh.machines[index].name
                ));
                mesh.kill_node(index);
                kills[index].fetch_add(1, Ordering::SeqCst);
                thread::sleep(RESTART_DELAY);
                let _ = mesh.start_node(index, false);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    peak
}

/// Sends orders one after the other on a kept connection to the client's machine.
fn send_orders(mesh: &Mesh, client: usize, size: usize, lost: &Mutex<Vec<String>>) {
    let address = mesh.address(client % mesh.machines.len(), OUTBOUND);
    let mut connection = None;
    let end = Instant::now() + LOAD_TIME;
    while Instant::now() < end {
        let id = mesh.next_request();
        let is_kept = connection.is_some();
        let mut open = match connection.take() {
            Some(open) => open,
            None => match Connection::open(address, Duration::from_secs(1)) {
                Ok(open) => open,
                Err(_) => {
                    thread::sleep(Duration::from_millis(200));
                    continue;
                }
            },
        };
        let millis = DEADLINE.as_millis().to_string();
        let headers = [
            ("Host", "hulo84.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", &millis),
        ];
        let body = vec![b'x'; size];
        let sent_at = Instant::now();
        let answer = open.call("POST /order/2f HTTP/1.1", &headers, &body, DEADLINE);
        let took = sent_at.elapsed().as_millis();
        match answer {
            Ok(answer) => {
                let status = answer.status();
                mesh.record.line(format!(
                    "client {client}: order {id} of {size} bytes, answer {status} after {took} ms"
                ));
                if answer.header("connection") != Some("close") {
                    connection = Some(open);
                }
            }
            Err(error) => {
                mesh.record.line(format!(
                    "client {client}: order {id} of {size} bytes, no answer after {took} ms: {error}"
                ));
                if is_kept {
                    lost.lock().unwrap().push(id);
                }
            }
        }
    }
}
