//! DRAIN: an instance deregisters and is acknowledged, every node is killed and started again, and a
//! ping that the instance had sent before arrives late.

use std::{
    io,
    sync::{atomic::Ordering, Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    mesh::{Instance, Journal, Mesh, Record, StopGuard},
    Verdict,
};

/// Bounds of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time after a kill at which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time for which the ping was under way.
const PING_DELAY: Duration = Duration::from_millis(4_000);
/// Time for which the instance goes on serving after its acknowledgement.
const LINGER: Duration = Duration::from_millis(9_000);
const WORK: Duration = Duration::from_millis(160);
const DEADLINE: Duration = Duration::from_millis(2_000);
const GAP: Duration = Duration::from_millis(25);

const CONFIG: &str = concat!(
    r#"{"Version":"r7","Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":110},"#,
    r#"{"Name":"wuno96b","HealthPath":"/health","MaxConns":110}],"#,
    r#""Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","#,
    r#""IdleTimeout":"15000ms"},"BaseVersion":"r5","VirtualHosts":[{"Host":"hulo84.example","#,
    r#""Paths":[{"Name":"r-view","Prefix":"/view/","Kind":"safe","Timeout":"800ms","#,
    r#""TargetLatency":"400ms","Priority":2,"Service":"huvo11a","Attempts":2},"#,
    r#"{"Name":"r-order","Prefix":"/order/","Kind":"unsafe","Timeout":"2000ms","#,
    r#""TargetLatency":"500ms","Priority":1,"Service":"wuno96b","Attempts":2}]}]}"#
);

/// One client attempt.
struct Attempt {
    id: String,
    sent_at: Instant,
    /// Status of the answer; 0 if the connection ended without one.
    status: u16,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let services = ["wuno96b", "wuno96b", "wuno96b", "huvo11a", "huvo11a", "huvo11a"];
    let mesh = Arc::new(Mesh::prepare(&services, record)?);
    let _guard = StopGuard(&mesh);
    play(&mesh, record, &services, has_trouble)
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
    // Every machine is in touch from here on.
    thread::sleep(CONTACT + Duration::from_secs(2));
    let first: Vec<_> = send_for(&mesh, Duration::from_secs(1));
    let served = first.iter().filter(|attempt| attempt.status == 200).count();
    record.line(format!("{served} of {} orders are served", first.len()));
    if served * 10 < first.len() * 9 {
        return Err(io::Error::other("the quiet mesh does not serve"));
    }

    let leaving = &instances[0];
    leaving.is_beating.store(false, Ordering::SeqCst);
    let late_ping = leaving.next_beat("ready");
    let ping_sent_at = Instant::now();
    record.line(format!("i-0 sends a ping that the network delays: {late_ping}"));
    thread::sleep(Duration::from_millis(300));
    let status = leaving.deregister();
    let acknowledged_at = Instant::now();
    record.line(format!("i-0 deregisters, answer {status}; it goes on serving"));
    if status != 200 {
        return Err(io::Error::other("the leaving was not acknowledged"));
    }
    let mut calm_since = acknowledged_at;
    if has_trouble {
        thread::sleep(Duration::from_millis(300));
        (0..services.len()).for_each(|index| mesh.kill_node(index));
        thread::sleep(RESTART_DELAY);
        for index in 0..services.len() {
            mesh.start_node(index, false)?;
        }
        calm_since = Instant::now();
        if !mesh.wait_ready(Duration::from_secs(20)) {
            return Err(io::Error::other("the nodes did not become ready again"));
        }
        record.line("all nodes are ready again");
    }
    thread::sleep((ping_sent_at + PING_DELAY).saturating_duration_since(Instant::now()));
    let status = leaving.send_beat(&late_ping);
    record.line(format!("the delayed ping arrives, answer {status}"));
    // All machines are in touch again once this time has passed.
    let bound_from = (acknowledged_at + DRAIN).max(calm_since + CONTACT);
    thread::sleep((bound_from + Duration::from_millis(200)).saturating_duration_since(Instant::now()));
    record.line("all machines are in touch; the clients send orders");
    let end = acknowledged_at + LINGER;
    let sender = {
        let mesh = Arc::clone(mesh);
        let left = end.saturating_duration_since(Instant::now());
        thread::spawn(move || send_for(&mesh, left))
    };
    thread::sleep(end.saturating_duration_since(Instant::now()));
    leaving.is_gone.store(true, Ordering::SeqCst);
    record.line("i-0 ends");
    let attempts = sender.join().expect("the clients do not panic");

    let runs = journal.lock().unwrap().clone();
    let ran_at = |id: &str| runs.iter().find(|run| run.request == id);
    let mut late = 0;
    let mut lost = 0;
    for attempt in &attempts {
        let Some(run) = ran_at(&attempt.id).filter(|run| run.instance == "i-0") else {
            continue;
        };
        late += 1;
        lost += u32::from(attempt.status != 200);
        record.line(format!(
            "order {} sent {} ms after the ack ran at i-0 {} ms after the ack, answer {}",
            attempt.id,
            (attempt.sent_at - acknowledged_at).as_millis(),
            (run.at - acknowledged_at).as_millis(),
            attempt.status
        ));
    }
    let served = attempts.iter().filter(|attempt| attempt.status == 200).count();
    record.line(format!(
        "{} orders sent, {served} served; {late} reached i-0 later than Drain after its ack, and {lost} \
         of these were not answered by it",
        attempts.len()
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends orders from every machine in turn for some time.
fn send_for(mesh: &Arc<Mesh>, time: Duration) -> Vec<Attempt> {
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let end = Instant::now() + time;
    let mut clients = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        let (mesh, attempts) = (Arc::clone(mesh), Arc::clone(&attempts));
        let index = number % mesh.machines.len();
        number += 1;
        clients.push(thread::spawn(move || {
            let id = mesh.next_request();
            let sent_at = Instant::now();
            let answer = mesh.send(index, "POST", "/order/2f", &id, b"one car", DEADLINE);
            let status = answer.map_or(0, |answer| answer.status());
            attempts.lock().unwrap().push(Attempt { id, sent_at, status });
        }));
        thread::sleep(GAP);
    }
    for client in clients {
        let _ = client.join();
    }
    let mut attempts = attempts.lock().unwrap();
    std::mem::take(&mut *attempts)
}
