use std::{collections::BTreeMap, fmt};

use compact_str::{CompactString, format_compact};

use crate::{
    clock::TimeBudget,
    config::{ConfigSnapshot, ProxySpec, RouteRule, RouteTraffic, ServiceSpec, ShareRatio},
    ids::{AttemptCount, DataCentre, RouteName, ServiceName, SlotCount},
};

/// Number of data centres that a mesh may have.
pub const MAX_DATA_CENTRES: usize = 64;

/// Longest timeout of a route.
const MAX_TIMEOUT: TimeBudget = TimeBudget::from_secs(3_600);

/// Number of services that a message lists.
const MAX_LISTED: usize = 5;

/// One mistake in a configuration: where it is, and what is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigProblem {
    /// Path of the mistaken field, such as `routes.landing.service`.
    pub path: CompactString,
    /// What is wrong, and what would be right.
    pub message: CompactString,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Checks a whole configuration and returns every mistake in it.
///
/// The list is empty when the configuration can be applied. The same checks run before a version
/// is published and on every node before it is used.
#[must_use]
pub fn check_snapshot(snapshot: &ConfigSnapshot) -> Vec<ConfigProblem> {
    let mut problems = Vec::new();
    if snapshot.proxies.is_empty() {
        push(
            &mut problems,
            "proxies",
            "at least one data centre is needed",
        );
    }
    if snapshot.proxies.len() > MAX_DATA_CENTRES {
        let message = format_compact!(
            "{} data centres are more than the limit of {MAX_DATA_CENTRES}",
            snapshot.proxies.len()
        );
        push(&mut problems, "proxies", message);
        return problems;
    }
    for (centre, spec) in &snapshot.proxies {
        check_proxy(snapshot, centre, spec, &mut problems);
    }
    for (name, spec) in &snapshot.services {
        check_service(name, spec, &mut problems);
    }
    for (name, rule) in &snapshot.routes {
        check_route(snapshot, name, rule, &mut problems);
    }
    check_duplicate_paths(snapshot, &mut problems);
    problems
}

fn push(
    problems: &mut Vec<ConfigProblem>,
    place: impl Into<CompactString>,
    message: impl Into<CompactString>,
) {
    problems.push(ConfigProblem {
        path: place.into(),
        message: message.into(),
    });
}

fn check_proxy(
    snapshot: &ConfigSnapshot,
    centre: &DataCentre,
    spec: &ProxySpec,
    problems: &mut Vec<ConfigProblem>,
) {
    for other in &spec.spill_order {
        let place = || format_compact!("proxies.{centre}.spill_order");
        if other == centre {
            push(
                problems,
                place(),
                format_compact!("data centre {other} lists itself"),
            );
        } else if !snapshot.proxies.contains_key(other) {
            let message = format_compact!("data centre \"{other}\" does not exist");
            push(problems, place(), message);
        }
    }
}

fn check_service(name: &ServiceName, spec: &ServiceSpec, problems: &mut Vec<ConfigProblem>) {
    if spec.slots == SlotCount::new(0) {
        let place = format_compact!("services.{name}.slots");
        push(
            problems,
            place,
            "a service without slots can run nothing; use 1 or more",
        );
    }
    if spec.connections == 0 {
        let place = format_compact!("services.{name}.connections");
        push(problems, place, "no connection is allowed; use 1 or more");
    }
    if spec.rollout.first_share == ShareRatio::NONE {
        let place = format_compact!("services.{name}.rollout.first_share");
        push(
            problems,
            place,
            "a first share of 0% never gives evidence; use more than 0%",
        );
    }
}

fn check_route(
    snapshot: &ConfigSnapshot,
    name: &RouteName,
    rule: &RouteRule,
    problems: &mut Vec<ConfigProblem>,
) {
    for service in rule.services() {
        if snapshot.services.contains_key(service) {
            continue;
        }
        let place = format_compact!("routes.{name}.service");
        let message = format_compact!(
            "service \"{service}\" does not exist; services are {}",
            list_services(snapshot)
        );
        push(problems, place, message);
    }
    check_traffic(name, &rule.traffic, problems);
    if !rule.path.starts_with('/') {
        let place = format_compact!("routes.{name}.path");
        push(
            problems,
            place,
            format_compact!("path {:?} does not start with \"/\"", rule.path),
        );
    }
    if rule.timeout == TimeBudget::ZERO {
        let place = format_compact!("routes.{name}.timeout");
        push(
            problems,
            place,
            "a timeout of zero refuses every request; use 1ms or more",
        );
    }
    if rule.timeout > MAX_TIMEOUT {
        let place = format_compact!("routes.{name}.timeout");
        let message = format_compact!(
            "timeout {} is longer than the limit of {MAX_TIMEOUT}",
            rule.timeout
        );
        push(problems, place, message);
    }
    if rule.max_body > RouteRule::MAX_BODY {
        let place = format_compact!("routes.{name}.max_body");
        let message = format_compact!(
            "{} bytes are more than the limit of {}",
            rule.max_body,
            RouteRule::MAX_BODY
        );
        push(problems, place, message);
    }
}

fn check_traffic(name: &RouteName, traffic: &RouteTraffic, problems: &mut Vec<ConfigProblem>) {
    let is_weightless = traffic.split.values().all(|weight| weight.get() == 0);
    if !traffic.split.is_empty() && is_weightless {
        let place = format_compact!("routes.{name}.traffic.split");
        push(
            problems,
            place,
            "every weight is zero, so that no request can go anywhere; use 1 or more",
        );
    }
    if traffic.attempts == Some(AttemptCount::new(0)) {
        let place = format_compact!("routes.{name}.traffic.attempts");
        push(
            problems,
            place,
            "no attempt is allowed, so that no request can run; use 1 or more",
        );
    }
}

fn list_services(snapshot: &ConfigSnapshot) -> String {
    let names = snapshot.services.keys().map(ServiceName::as_str);
    let listed: Vec<_> = names.take(MAX_LISTED).collect();
    match snapshot.services.len().saturating_sub(MAX_LISTED) {
        0 if listed.is_empty() => "none".to_owned(),
        0 => listed.join(", "),
        hidden => format!("{} and {hidden} more", listed.join(", ")),
    }
}

fn check_duplicate_paths(snapshot: &ConfigSnapshot, problems: &mut Vec<ConfigProblem>) {
    let mut seen: BTreeMap<_, Vec<(&RouteName, &RouteRule)>> = BTreeMap::new();
    for (name, rule) in &snapshot.routes {
        let place = (rule.traffic.host.as_ref(), rule.path.as_str());
        let others = seen.entry(place).or_default();
        let twin = others.iter().find(|(_, other)| shares_method(other, rule));
        if let Some((twin_name, _)) = twin {
            let place = format_compact!("routes.{name}.path");
            let message = format_compact!(
                "path {:?} is already matched by route {twin_name}; use another path or method",
                rule.path
            );
            push(problems, place, message);
        } else {
            others.push((name, rule));
        }
    }
}

fn shares_method(left: &RouteRule, right: &RouteRule) -> bool {
    left.methods.is_empty()
        || right.methods.is_empty()
        || left
            .methods
            .iter()
            .any(|method| right.methods.contains(method))
}
