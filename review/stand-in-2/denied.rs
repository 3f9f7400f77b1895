//! DENIED: clients send orders with long bodies, well within the operator's limit.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    mesh::{Instance, Journal, Mesh, Record},
    Verdict,
};

const CONTACT: Duration = Duration::from_millis(3_000);
const WORK: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Orders of one machine, one after the other.
const ORDERS: usize = 20;
/// One in so many orders is long.
const LONG_PERIOD: usize = 5;
/// A seventh of `MaxBodyBytes`, which is 64 MiB.
const LONG_BYTES: usize = 9 * 1024 * 1024;
const USUAL_BYTES: usize = 1_200;
/// The rule: 5 and one in 500 of all requests.
const MAX_DENIED: usize = 5;
const DENIED_DIVISOR: usize = 500;

const CONFIG: &str = concat!(
    r#"{"Version":"r7","Services":[{"Name":"wuno96b","HealthPath":"/health","MaxConns":110}],"#,
    r#""Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","#,
    r#""IdleTimeout":"15000ms"},"BaseVersion":"r5","VirtualHosts":[{"Host":"hulo84.example","#,
    r#""Paths":[{"Name":"r-order","Prefix":"/order/","Kind":"unsafe","Timeout":"4000ms","#,
    r#""TargetLatency":"500ms","Priority":1,"Service":"wuno96b","Attempts":2}]}]}"#
);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let services = ["wuno96b"; 6];
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
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..services.len())
        .map(|index| {
            let (mesh, statuses) = (Arc::clone(mesh), Arc::clone(&statuses));
            thread::spawn(move || {
                for number in 0..ORDERS {
                    let is_long = has_trouble && number % LONG_PERIOD == 0;
                    let size = if is_long { LONG_BYTES } else { USUAL_BYTES };
                    let id = mesh.next_request();
                    let body = vec![b'x'; size];
                    let answer = mesh.send(index, "POST", "/order/2f", &id, &body, DEADLINE);
                    let (status, is_own) = answer.map_or((0, true), |answer| {
                        (answer.status(), answer.header("x-server-seal").is_none())
                    });
                    mesh.record.line(format!(
                        "order {id} of {size} bytes at {}, answer {status}",
                        mesh.machines[index].name
                    ));
                    statuses.lock().unwrap().push((status, is_own));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let statuses = statuses.lock().unwrap();
    let is_denied = |(status, is_own): &&(u16, bool)| {
        *is_own && (300..500).contains(status) && !matches!(status, 408 | 421 | 429)
    };
    let denied = statuses.iter().filter(is_denied).count();
    let served = statuses.iter().filter(|(status, _)| *status == 200).count();
    if served == 0 {
        return Err(io::Error::other("the quiet mesh does not serve"));
    }
    let bound = MAX_DENIED + statuses.len() / DENIED_DIVISOR;
    record.line(format!(
        "{} orders sent, {served} served, {denied} ended with a 3xx or 4xx of a node; allowed {bound}; {} \
         ran",
        statuses.len(),
        journal.lock().unwrap().len()
    ));
    Ok(if denied > bound { Verdict::Broken } else { Verdict::Held })
}
