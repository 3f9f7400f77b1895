//! DRAIN: an instance that has deregistered gets requests again, after a restart of the node
//! beside it and a ping that arrives late.

use std::{thread, time::Duration};

use crate::{
    mesh::{config_document, ClientPlan, Clients, Machine, Mesh},
    record::Record,
    Verdict,
};

const HOST: &str = "hulo84.example";
/// `Drain` of the settings.
const DRAIN_S: f64 = 2.0;
/// `Contact` of the settings.
const CONTACT_S: f64 = 3.0;
/// Time for which the instance serves after its acknowledgement.
const SERVES_S: f64 = 6.5;
/// Machine whose instance leaves.
const LEAVING: usize = 0;

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
    let mut mesh = Mesh::prepare(&machines, Duration::from_millis(120), record);
    let services = ["tracker", "archive"];
    let routes = [
        ("/view/", "safe", "tracker"),
        ("/book/", "unsafe", "tracker"),
    ];
    mesh.store
        .put("op", "config", &config_document(1, &services, &routes));
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
    let order_plan = ClientPlan {
        path: "/book/7",
        method: "POST",
        ..plan
    };
    let order_clients = Clients::start(&mesh, &[1, 2, 3, 4, 5], &order_plan);
    sleep_s(3.0);
    if mesh.instances[LEAVING].arrivals().is_empty() {
        record.say("the instance gets no request before it leaves");
        return Verdict::NotRun;
    }

    // This ping is on its way for some seconds. The instance gets no acknowledgement within a
    // second and sends the next one.
    let instance = mesh.instances[LEAVING].clone();
    let late_body = instance.beat_body();
    let late_sent_at = record.time();
    record.say(&format!(
        "instance {} sends a ping that is late: {late_body}",
        instance.name()
    ));
    sleep_s(1.0);
    if !instance.send_beat(&instance.beat_body()) {
        return Verdict::NotRun;
    }
    record.line("the next ping is acknowledged");

    instance.stop_beats();
    sleep_s(0.2);
    if !instance.deregister() {
        return Verdict::NotRun;
    }
    let left_at = record.time();
    record.say(&format!(
        "instance {} deregisters and gets its acknowledgement",
        instance.name()
    ));
    sleep_s(0.3);
    if has_trouble {
        mesh.kill_node(LEAVING);
        record.say("the node beside it is killed");
        sleep_s(0.5);
        mesh.start_node(LEAVING);
        record.say("the node beside it starts again");
    }
    let wait = late_sent_at + 3.0 - record.time();
    sleep_s(wait.max(0.0));
    let is_acknowledged = instance.send_beat(&late_body);
    record.say(&format!(
        "the late ping arrives {:.1} s after it was sent; acknowledged: {is_acknowledged}",
        record.time() - late_sent_at
    ));
    // The instance serves for some seconds more than `Drain` and exits.
    let wait = left_at + SERVES_S - record.time();
    sleep_s(wait.max(0.0));
    instance.exit();
    sleep_s(2.0);
    let mut answers = clients.stop();
    let orders = order_clients.stop();

    let in_touch_from = mesh.touched_at[LEAVING] + CONTACT_S;
    let late: Vec<_> = instance
        .arrivals()
        .into_iter()
        .filter(|arrival| arrival.at > left_at + DRAIN_S && arrival.at > in_touch_from)
        .collect();
    let cut: Vec<_> = orders
        .iter()
        .filter(|answer| matches!(answer.status, 0 | 502 | 504))
        .filter(|answer| late.iter().any(|arrival| arrival.request == answer.request))
        .collect();
    answers.extend(orders.iter().cloned());
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    record.say(&format!(
        "{} requests sent, {served} answered with 200",
        answers.len()
    ));
    record.say(&format!(
        "{} requests reached {} later than {DRAIN_S} s after its acknowledgement",
        late.len(),
        instance.name()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(&format!(
            "the first {:.2} s and the last {:.2} s after it",
            first.at - left_at,
            last.at - left_at
        ));
    }
    record.say(&format!(
        "{} of these were orders that were running when the instance exited and are lost",
        cut.len()
    ));
    if served * 2 < answers.len() {
        return Verdict::NotRun;
    }
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
