//! CONFIG: a configuration is never put into force, after a drill in which the store came back from
//! an earlier copy and gave out the same versions again.

use std::{collections::BTreeSet, thread, time::Duration};

use crate::{
    mesh::{config_document, ClientPlan, Clients, Machine, Mesh},
    record::Record,
    Verdict,
};

const HOST: &str = "hulo84.example";
/// `Config` and `MaxStretch` of the settings.
const CONFIG_S: f64 = 2.0;
const MAX_STRETCH_S: f64 = 5.0;
/// Time for which the nodes are watched after the last configuration.
const WATCH_S: f64 = 20.0;

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let machines = [
        Machine::new("za", "tracker"),
        Machine::new("zb", "tracker"),
        Machine::new("zc", "tracker"),
        Machine::new("za", "archive"),
        Machine::new("zb", "archive"),
        Machine::new("zc", "archive"),
    ];
    let mut mesh = Mesh::prepare(&machines, Duration::from_millis(30), record);
    let services = ["tracker", "archive"];
    let document =
        |version, service| config_document(version, &services, &[("/view/", "safe", service)]);
    mesh.store.put("op", "config", &document(1, "tracker"));
    if !mesh.start() {
        return Verdict::NotRun;
    }
    sleep_s(6.0);
    let plan = ClientPlan {
        host: HOST,
        path: "/view/7",
        method: "GET",
        interval: Duration::from_millis(50),
        deadline_ms: 1_500,
    };
    let clients = Clients::start(&mesh, &[0, 1, 2, 3, 4, 5], &plan);
    sleep_s(2.0);

    // An empty instance is added. Its node announces itself in the store, which is the one write of
    // the system that the drill loses.
    mesh.store.take_copy();
    let copied = mesh.store.version();
    let added = mesh.add(Machine::new("za", "archive"));
    for _ in 0..80 {
        if mesh.store.version() > copied {
            break;
        }
        sleep_s(0.05);
    }
    if !mesh.wait_ready(&[added], Duration::from_secs(5)) {
        return Verdict::NotRun;
    }
    sleep_s(1.0);
    // The only write of the operator that the drill loses.
    let read = mesh.store.put("op", "config", &document(2, "tracker"));
    if read != copied + 2 {
        record.say("the system wrote more or less than one row since the copy");
        return Verdict::NotRun;
    }
    sleep_s(0.9);
    if has_trouble {
        mesh.store.fall_silent();
        sleep_s(1.0);
        mesh.store.come_back(true);
        // What the operator had written since the copy is written again.
        mesh.store.put("op", "config", &document(2, "tracker"));
    } else {
        sleep_s(1.0);
    }
    sleep_s(0.3);
    // The next configuration moves the route to the other service.
    mesh.store.put("op", "config", &document(3, "archive"));
    let moved_at = record.time();
    sleep_s(WATCH_S);
    let answers = clients.stop();

    let served = answers.iter().filter(|answer| answer.status == 200).count();
    record.say(&format!(
        "{} requests sent, {served} answered with 200",
        answers.len()
    ));
    let late: BTreeSet<_> = answers
        .iter()
        .filter(|answer| answer.sent_at > moved_at + CONFIG_S + MAX_STRETCH_S)
        .map(|answer| answer.request.clone())
        .collect();
    let tracker = mesh
        .instances
        .iter()
        .filter(|instance| instance.state.service == "tracker");
    let old = tracker
        .flat_map(|instance| instance.arrivals())
        .filter(|arrival| late.contains(&arrival.request))
        .count();
    record.say(&format!(
        "of {} requests that were sent later than {} s after the acknowledgement of r3, {old} were \
         run by the old service",
        late.len(),
        CONFIG_S + MAX_STRETCH_S
    ));
    if served * 2 < answers.len() || late.is_empty() {
        return Verdict::NotRun;
    }
    match old {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
