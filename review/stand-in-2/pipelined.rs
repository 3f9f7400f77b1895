//! LOST: a node gets SIGTERM while clients have several safe requests under way on one connection.

use std::{
    io::{self, Write},
    process::Command,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    mesh::{Instance, Journal, Mesh, Record, StopGuard, OUTBOUND},
    net::Connection,
    Verdict,
};

const CONTACT: Duration = Duration::from_millis(3_000);
const GRACE: Duration = Duration::from_millis(6_000);
/// Pause between two questions of the platform whether a node is ready.
const READY_PERIOD: Duration = Duration::from_secs(1);
/// Questions without a 200 in a row after which the clients of a machine get no new work.
const MAX_MISSES: u32 = 2;
const WORK: Duration = Duration::from_millis(120);
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Clients of the machine; the site file has 129 clients on 12 machines.
const CLIENTS: usize = 10;
/// Safe requests that a client sends before the first is answered.
const DEPTH: usize = 3;
/// Pause of a client between two such groups: the ten send some 22 requests a second, a twelfth of the
/// site's 260.
const PAUSE: Duration = Duration::from_millis(1_230);

const CONFIG: &str = concat!(
    r#"{"Version":"r7","Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":110}],"#,
    r#""Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","#,
    r#""IdleTimeout":"15000ms"},"BaseVersion":"r5","VirtualHosts":[{"Host":"hulo84.example","#,
    r#""Paths":[{"Name":"r-view","Prefix":"/view/","Kind":"safe","Timeout":"2500ms","#,
    r#""TargetLatency":"400ms","Priority":2,"Service":"huvo11a","Attempts":2}]}]}"#
);

/// One client attempt.
struct Attempt {
    id: String,
    sent_at: Instant,
    is_answered: bool,
    /// Why the connection ended for the client, if it has no answer.
    reason: String,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let services = ["huvo11a"; 6];
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
    thread::sleep(CONTACT + Duration::from_secs(1));

    let is_over = Arc::new(AtomicBool::new(false));
    let gets_work = Arc::new(AtomicBool::new(true));
    let platform = {
        let (mesh, is_over) = (Arc::clone(mesh), Arc::clone(&is_over));
        let gets_work = Arc::clone(&gets_work);
        thread::spawn(move || ask_readiness(&mesh, &is_over, &gets_work))
    };
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (mesh, attempts) = (Arc::clone(mesh), Arc::clone(&attempts));
            let (is_over, gets_work) = (Arc::clone(&is_over), Arc::clone(&gets_work));
            thread::spawn(move || {
                let mut connection = None;
                thread::sleep(PAUSE * client as u32 / CLIENTS as u32);
                while !is_over.load(Ordering::SeqCst) {
                    if gets_work.load(Ordering::SeqCst) {
                        send_views(&mesh, &mut connection, &attempts);
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let stopped_at = Instant::now();
    if has_trouble {
        let process = mesh.process(0).unwrap_or(0).to_string();
        Command::new("kill").args(["-TERM", &process]).status()?;
        record.line(format!("{} gets SIGTERM", mesh.machines[0].name));
    }
    thread::sleep(GRACE);
    if has_trouble {
        // The process has ended before; otherwise the platform sends SIGKILL.
        mesh.kill_node(0);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let _ = platform.join();

    let runs = journal.lock().unwrap();
    let attempts = attempts.lock().unwrap();
    let mut lost = 0;
    for attempt in attempts.iter().filter(|attempt| !attempt.is_answered) {
        let run = runs.iter().find(|run| run.request == attempt.id);
        let Some(run) = run.filter(|_| attempt.sent_at >= stopped_at) else {
            continue;
        };
        lost += 1;
        record.line(format!(
            "request {} sent {} ms after SIGTERM ran at {} {} ms after it; no answer for the client: {}",
            attempt.id,
            (attempt.sent_at - stopped_at).as_millis(),
            run.instance,
            (run.at - stopped_at).as_millis(),
            attempt.reason
        ));
    }
    let answered = attempts.iter().filter(|attempt| attempt.is_answered).count();
    if answered == 0 {
        return Err(io::Error::other("the mesh does not serve"));
    }
    record.line(format!(
        "{} requests sent, {answered} answered; {lost} were passed on and have no answer",
        attempts.len()
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Asks whether the node is ready, as the platform does, and gives its clients no work after two
/// misses.
fn ask_readiness(mesh: &Mesh, is_over: &AtomicBool, gets_work: &AtomicBool) {
    let mut misses = 0;
    while !is_over.load(Ordering::SeqCst) {
        misses = if mesh.is_ready(0) { 0 } else { misses + 1 };
        gets_work.store(misses < MAX_MISSES, Ordering::SeqCst);
        thread::sleep(READY_PERIOD);
    }
}

/// Sends some safe requests on a kept connection and reads their answers in order, up to one that
/// closes the connection.
fn send_views(mesh: &Mesh, kept: &mut Option<Connection>, attempts: &Mutex<Vec<Attempt>>) {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => match Connection::open(mesh.address(0, OUTBOUND), Duration::from_secs(1)) {
            Ok(connection) => connection,
            Err(_) => return,
        },
    };
    let _ = connection.stream.set_read_timeout(Some(DEADLINE));
    let ids: Vec<_> = (0..DEPTH).map(|_| mesh.next_request()).collect();
    let requests = ids.iter().map(|id| {
        format!(
            "GET /view/2f HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {}\r\n\r\n",
            DEADLINE.as_millis()
        )
    });
    let requests: String = requests.collect();
    let sent_at = Instant::now();
    let sent = connection.stream.write_all(requests.as_bytes());
    let mut end = sent.err().map(|error| error.to_string());
    for id in ids {
        let answer = match &end {
            None => connection.read().map_err(|error| error.to_string()),
            Some(reason) => Err(reason.clone()),
        };
        let (is_answered, reason) = match answer {
            Ok(answer) => {
                let is_last = answer
                    .header("connection")
                    .is_some_and(|value| value.eq_ignore_ascii_case("close"));
                end = is_last.then(|| "an earlier answer closes the connection".to_owned());
                (true, String::new())
            }
            Err(reason) => {
                end = Some(reason.clone());
                (false, reason)
            }
        };
        attempts.lock().unwrap().push(Attempt {
            id,
            sent_at,
            is_answered,
            reason,
        });
    }
    if end.is_none() {
        *kept = Some(connection);
    }
}
