//! EVAC: the order to evacuate a zone is ignored after a drill in which the store came back from
//! an earlier copy.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    mesh::{ClientPlan, Clients, Machine, Mesh, config_document},
    record::Record,
};

const HOST: &str = "hulo84.example";
/// `Evacuate` of the settings of the installation that has evacuations.
const EVACUATE_S: f64 = 5.0;
const ZONE: &str = "za";
const ORDER: &str = "evacuate/za";
/// Configurations that are written in the seconds after the copy.
const CONFIGS: u64 = 12;

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
    let routes = [("/view/", "safe", "tracker"), ("/past/", "safe", "archive")];
    let document = |version| config_document(version, &services, &routes);
    mesh.store.put("op", "config", &document(1));
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
    let clients = Clients::start(&mesh, &[1, 2, 3, 4, 5], &plan);
    sleep_s(2.0);

    // A first evacuation, which the nodes obey, and its end.
    mesh.store.put("op", ORDER, "{}");
    let ordered_at = record.time();
    sleep_s(8.0);
    mesh.store.take_copy();
    let mut version = 1;
    for _ in 0..CONFIGS {
        sleep_s(0.25);
        version += 1;
        mesh.store.put("op", "config", &document(version));
    }
    sleep_s(0.5);
    mesh.store.remove("op", ORDER);
    let taken_back_at = record.time();
    sleep_s(2.5);
    let before = arrivals_in_zone(&mesh, taken_back_at + 1.0, record.time());

    if has_trouble {
        mesh.store.go_away();
        sleep_s(1.0);
        mesh.store.come_back(true);
        // What the operator had written since the copy is written again.
        mesh.store.remove("op", ORDER);
        mesh.store.put("op", "config", &document(version));
    }
    sleep_s(8.0);

    // The second evacuation comes when the store has been sound for more than `Contact`.
    mesh.store.put("op", ORDER, "{}");
    let second_at = record.time();
    sleep_s(12.0);
    let end = record.time();
    let answers = clients.stop();

    let served = answers.iter().filter(|answer| answer.status == 200).count();
    record.say(&format!("{} requests sent, {served} answered with 200", answers.len()));
    let first = arrivals_in_zone(&mesh, ordered_at + EVACUATE_S, taken_back_at);
    record.say(&format!(
        "first evacuation: {first} requests reached zone {ZONE} later than {EVACUATE_S} s after it"
    ));
    record.say(&format!("after its end: {before} requests reached zone {ZONE}"));
    let late = arrivals_in_zone(&mesh, second_at + EVACUATE_S, end);
    record.say(&format!(
        "second evacuation: {late} requests reached zone {ZONE} from {EVACUATE_S} s to 12 s after it"
    ));
    if served * 2 < answers.len() || before == 0 {
        return Verdict::NotRun;
    }
    match first + late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn arrivals_in_zone(mesh: &Mesh, from: f64, to: f64) -> usize {
    let instances = mesh.instances.iter();
    let in_zone = instances.filter(|instance| instance.state.zone == ZONE);
    in_zone
        .flat_map(|instance| instance.arrivals())
        .filter(|arrival| arrival.at > from && arrival.at < to)
        .count()
}
