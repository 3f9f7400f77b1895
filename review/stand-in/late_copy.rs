//! TWICE: an order runs at two instances, after a second copy of a rejection arrived late on a
//! connection that was in use again.

use std::{collections::BTreeMap, thread, time::Duration};

use crate::{
    instance::Shedding,
    mesh::{config_document, ClientPlan, Clients, Machine, Mesh},
    record::Record,
    Verdict,
};

const HOST: &str = "jepu9.example";
/// Instance that rejects some requests.
const FAULTY: usize = 0;
/// Shares in hundredths, within the largest doses of `srv_grey` (shed) and `garble` (extra late).
const SHED: u64 = 20;
const DOUBLED: u64 = 3;
const COPY_DELAY: Duration = Duration::from_millis(25);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let machines = [
        Machine::new("za", "dispatcher"),
        Machine::new("zb", "dispatcher"),
        Machine::new("zc", "dispatcher"),
        Machine::new("za", "archive"),
        Machine::new("zb", "archive"),
        Machine::new("zc", "archive"),
    ];
    let mut mesh = Mesh::prepare(&machines, Duration::from_millis(60), record);
    let services = ["dispatcher", "archive"];
    let routes = [
        ("/book/", "unsafe", "dispatcher"),
        ("/past/", "safe", "archive"),
    ];
    let document = config_document(1, &services, &routes).replace("hulo84.example", HOST);
    mesh.store.put("op", "config", &document);
    if !mesh.start() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(6));
    let plan = ClientPlan {
        host: HOST,
        path: "/book/7",
        method: "POST",
        interval: Duration::from_millis(25),
        deadline_ms: 1_500,
    };
    let clients = Clients::start(&mesh, &[0, 1, 2, 3, 4, 5], &plan);
    thread::sleep(Duration::from_secs(3));
    let doubled = if has_trouble { DOUBLED } else { 0 };
    for instance in &mesh.instances[FAULTY..=FAULTY] {
        instance.set_shedding(Shedding {
            share: SHED,
            doubled,
            delay: COPY_DELAY,
        });
    }
    record.say(&format!(
        "from now on {} rejects {SHED} in 100 requests as not executed; after {doubled} in 100 of \
         these a second copy follows {COPY_DELAY:?} later",
        mesh.instances[FAULTY].name()
    ));
    thread::sleep(Duration::from_secs(60));
    mesh.instances[FAULTY].set_shedding(Shedding::default());
    thread::sleep(Duration::from_secs(1));
    let answers = clients.stop();

    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for arrival in mesh
        .instances
        .iter()
        .flat_map(|instance| instance.arrivals())
    {
        let text = format!("{} at {:.3}", arrival.instance, arrival.at);
        runs.entry(arrival.request).or_default().push(text);
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    record.say(&format!(
        "{} orders sent, {served} answered with 200",
        answers.len()
    ));
    let twice: Vec<_> = runs.iter().filter(|(_, places)| places.len() > 1).collect();
    for (request, places) in &twice {
        record.say(&format!("order {request} ran at {}", places.join(" and ")));
    }
    let refused: Vec<_> = answers
        .iter()
        .filter(|answer| matches!(answer.status, 408 | 421 | 429 | 503))
        .filter(|answer| runs.contains_key(&answer.request))
        .collect();
    for answer in &refused {
        let places = runs[&answer.request].join(" and ");
        record.say(&format!(
            "order {} was answered {} and ran at {places}",
            answer.request, answer.status
        ));
    }
    record.say(&format!(
        "{} orders ran twice, {} were answered as not run and ran",
        twice.len(),
        refused.len()
    ));
    if served * 2 < answers.len() {
        return Verdict::NotRun;
    }
    match twice.is_empty() && refused.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
