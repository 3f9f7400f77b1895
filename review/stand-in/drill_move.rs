//! EXPOSURE: the order to move a service to another version is ignored after a drill in which the
//! store came back from an earlier copy, and the version gets its traffic unwatched.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    mesh::{config_document, ClientPlan, Clients, Machine, Mesh},
    record::Record,
    Verdict,
};

const HOST: &str = "hulo84.example";
const SERVICE: &str = "tracker";
/// `ExposeShare`, `ExposeSlack` and `Rollback` of the settings.
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;
const ROLLBACK_S: f64 = 5.0;
/// `Duration` of the orders.
const DURATION_S: f64 = 16.0;
/// Share of a bad version's answers that are failures, in hundredths.
const FAILING: u64 = 50;
/// Rows that the nodes of four added machines write after the copy.
const LOST_WRITES: u64 = 4;

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

fn order_document(version: &str) -> String {
    format!("{{\"Service\":\"{SERVICE}\",\"Target\":\"{version}\",\"Duration\":\"16s\"}}")
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let machines = [
        Machine::new("za", SERVICE),
        Machine::new("zb", SERVICE),
        Machine::new("zc", SERVICE),
        Machine::new("za", "archive"),
        Machine::new("zb", "archive"),
        Machine::new("zc", "archive"),
    ];
    let mut mesh = Mesh::prepare(&machines, Duration::from_millis(30), record);
    let services = [SERVICE, "archive"];
    let routes = [("/view/", "safe", SERVICE), ("/past/", "safe", "archive")];
    let document = config_document(1, &services, &routes);
    mesh.store.put("op", "config", &document);
    if !mesh.start() {
        return Verdict::NotRun;
    }
    sleep_s(6.0);
    let plan = ClientPlan {
        host: HOST,
        path: "/view/7",
        method: "GET",
        interval: Duration::from_millis(25),
        deadline_ms: 1_500,
    };
    let clients = Clients::start(&mesh, &[0, 1, 2, 3, 4, 5], &plan);
    sleep_s(2.0);

    // Machines for v2 and an empty instance are added. Their nodes announce themselves in the store,
    // which the drill loses; the instances of v2 come up with the order.
    mesh.store.take_copy();
    let copied = mesh.store.version();
    let second = add_version(&mut mesh, "v2");
    mesh.add(Machine::new("za", "archive"));
    for _ in 0..100 {
        if mesh.store.version() >= copied + LOST_WRITES {
            break;
        }
        sleep_s(0.05);
    }
    if mesh.store.version() != copied + LOST_WRITES {
        record.say("the system wrote more or fewer rows than expected since the copy");
        return Verdict::NotRun;
    }
    // The only write of the operator that the drill loses.
    let order = format!("rollout/{SERVICE}");
    mesh.store.put("op", &order, &order_document("v2"));
    for index in second {
        mesh.instances[index].come_up();
    }
    sleep_s(0.5);
    let was_back = wait_state(&mesh, "v2", "rolled_back", 0.05);
    if has_trouble {
        mesh.store.go_away();
        sleep_s(1.0);
        mesh.store.come_back(true);
        // What the operator had written since the copy is written again.
        mesh.store.put("op", &order, &order_document("v2"));
    }
    let is_back = was_back || wait_state(&mesh, "v2", "rolled_back", DURATION_S + 4.0);
    record.say(&format!("v2 is rolled back: {is_back}"));
    if !is_back {
        return Verdict::NotRun;
    }
    sleep_s(3.0);
    for index in second {
        mesh.instances[index].set_draining();
        let body = mesh.instances[index].beat_body();
        mesh.instances[index].send_beat(&body);
    }
    sleep_s(3.0);
    for index in second {
        mesh.instances[index].stop_beats();
        mesh.instances[index].deregister();
    }
    sleep_s(3.0);

    // The next version; the store has been sound for more than `Contact`.
    mesh.store.put("op", &order, &order_document("v3"));
    let ordered_at = record.time();
    let third = add_version(&mut mesh, "v3");
    for index in third {
        mesh.instances[index].come_up();
    }
    let is_back = wait_state(&mesh, "v3", "rolled_back", DURATION_S + 2.0);
    let rest = ordered_at + DURATION_S + 8.0 - record.time();
    sleep_s(rest.max(0.0));
    let end = record.time();
    let answers = clients.stop();
    record.say(&format!("v3 is rolled back: {is_back}"));
    if let Some(status) = mesh.store.get("status", &order) {
        record.say(&format!("status/{order} at the end: {status}"));
    }

    let served = answers.iter().filter(|answer| answer.status == 200).count();
    record.say(&format!(
        "{} requests sent, {served} answered with 200",
        answers.len()
    ));
    let deadline = ordered_at + DURATION_S;
    let in_time = |at: f64| at > ordered_at && at < deadline;
    let tracker = mesh
        .instances
        .iter()
        .filter(|instance| instance.state.service == SERVICE);
    let all = tracker
        .flat_map(|instance| instance.arrivals())
        .filter(|arrival| in_time(arrival.at))
        .count();
    let mut to_third: Vec<_> = third
        .iter()
        .flat_map(|index| mesh.instances[*index].arrivals())
        .collect();
    to_third.sort_by(|first, second| first.at.total_cmp(&second.at));
    let share = to_third
        .iter()
        .filter(|arrival| in_time(arrival.at))
        .count();
    let allowed = EXPOSE_SHARE * all as f64 + EXPOSE_SLACK;
    record.say(&format!(
        "v3 got {share} of {all} requests from its order to its deadline, allowed {allowed:.0}"
    ));
    let failures: Vec<_> = answers
        .iter()
        .filter(|answer| answer.status == 500 && answer.sent_at > ordered_at)
        .collect();
    let mut bad: Vec<f64> = to_third
        .iter()
        .filter(|arrival| mesh.instances[third[0]].fails(&arrival.request))
        .map(|arrival| arrival.at)
        .collect();
    bad.sort_by(f64::total_cmp);
    let late = bad.get(49).map_or(0, |fiftieth| {
        let is_late = |at: f64| at > fiftieth + 0.03 + ROLLBACK_S + 1.5 && at < end;
        to_third
            .iter()
            .filter(|arrival| is_late(arrival.at))
            .count()
    });
    record.say(&format!(
        "{} failures of v3 were answered to clients; v3 got {late} requests later than \
         {ROLLBACK_S} s after its 50th bad answer",
        failures.len()
    ));
    if served * 3 < answers.len() {
        return Verdict::NotRun;
    }
    match share as f64 > allowed || late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Starts three machines with a bad version of the service beside the others.
fn add_version(mesh: &mut Mesh, version: &str) -> [usize; 3] {
    ["za", "zb", "zc"].map(|zone| {
        let machine = Machine {
            zone: zone.to_owned(),
            service: SERVICE.to_owned(),
            version: version.to_owned(),
            is_up: false,
        };
        let index = mesh.add(machine);
        mesh.instances[index].set_failing(FAILING);
        index
    })
}

/// Waits until the status row says that the move to a version is in a state.
fn wait_state(mesh: &Mesh, version: &str, state: &str, limit: f64) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(limit);
    while Instant::now() < end {
        let status = mesh.store.get("status", &format!("rollout/{SERVICE}"));
        if status.is_some_and(|status| status.contains(version) && status.contains(state)) {
            return true;
        }
        sleep_s(0.1);
    }
    false
}
