use std::{collections::BTreeMap, fmt};

use compact_str::{CompactString, format_compact};

use crate::{
    clock::TimeBudget,
    config::{ConfigSnapshot, ProxySpec, RouteRule, RouteTraffic, ServiceSpec, ShareRatio},
    ids::{AttemptCount, DataCentre, KeyDigest, RouteName, ServiceName, SlotCount},
};

/// Largest number of data centres in a mesh.
pub const MAX_DATA_CENTRES: usize = 64;

/// Longest timeout of a route.
const MAX_TIMEOUT: TimeBudget = TimeBudget::from_secs(3_600);

/// Number of service names that an error message lists.
const MAX_LISTED_SERVICES: usize = 5;

/// A problem that the validation of a configuration found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigProblem {
    /// Path of the invalid field, such as `routes.landing.service`.
    pub path: CompactString,
    /// Description of the problem and how to fix it.
    pub message: CompactString,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Validates a whole configuration and returns every problem in it.
///
/// The list is empty when the configuration is valid. The same checks run before a version is
/// published and on every node before the version is applied.
#[must_use]
pub fn check_snapshot(snapshot: &ConfigSnapshot) -> Vec<ConfigProblem> {
    let mut problems = Vec::new();
    if snapshot.proxies.is_empty() {
        add_problem(
            &mut problems,
            "proxies",
            "at least one data centre is required",
        );
    }
    if snapshot.proxies.len() > MAX_DATA_CENTRES {
        let message = format_compact!(
            "{} data centres are more than the limit of {MAX_DATA_CENTRES}",
            snapshot.proxies.len()
        );
        add_problem(&mut problems, "proxies", message);
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
    check_accounts(snapshot, &mut problems);
    problems
}

fn add_problem(
    problems: &mut Vec<ConfigProblem>,
    path: impl Into<CompactString>,
    message: impl Into<CompactString>,
) {
    problems.push(ConfigProblem {
        path: path.into(),
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
        let path = || format_compact!("proxies.{centre}.spill_order");
        if other == centre {
            add_problem(
                problems,
                path(),
                format_compact!("data centre {other} is in its own spill order"),
            );
        } else if !snapshot.proxies.contains_key(other) {
            let message = format_compact!("data centre \"{other}\" does not exist");
            add_problem(problems, path(), message);
        }
    }
}

fn check_service(name: &ServiceName, spec: &ServiceSpec, problems: &mut Vec<ConfigProblem>) {
    if spec.slots == SlotCount::new(0) {
        let path = format_compact!("services.{name}.slots");
        add_problem(
            problems,
            path,
            "a service without slots can run nothing; use 1 or more",
        );
    }
    if spec.connections == 0 {
        let path = format_compact!("services.{name}.connections");
        add_problem(problems, path, "no connection is allowed; use 1 or more");
    }
    if spec.rollout.first_share == ShareRatio::NONE {
        let path = format_compact!("services.{name}.rollout.first_share");
        add_problem(
            problems,
            path,
            "a first share of 0% gives the new version no requests to judge; use more than 0%",
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
        let path = format_compact!("routes.{name}.service");
        let message = format_compact!(
            "service \"{service}\" does not exist; services are {}",
            format_service_names(snapshot)
        );
        add_problem(problems, path, message);
    }
    check_traffic(name, &rule.traffic, problems);
    if !rule.path.starts_with('/') {
        let path = format_compact!("routes.{name}.path");
        add_problem(
            problems,
            path,
            format_compact!("path {:?} does not start with \"/\"", rule.path),
        );
    }
    if rule.timeout == TimeBudget::ZERO {
        let path = format_compact!("routes.{name}.timeout");
        add_problem(
            problems,
            path,
            "a timeout of zero refuses every request; use 1ms or more",
        );
    }
    if rule.timeout > MAX_TIMEOUT {
        let path = format_compact!("routes.{name}.timeout");
        let message = format_compact!(
            "timeout {} is longer than the limit of {MAX_TIMEOUT}",
            rule.timeout
        );
        add_problem(problems, path, message);
    }
    if rule.max_body > RouteRule::MAX_BODY {
        let path = format_compact!("routes.{name}.max_body");
        let message = format_compact!(
            "{} bytes are more than the limit of {}",
            rule.max_body,
            RouteRule::MAX_BODY
        );
        add_problem(problems, path, message);
    }
}

fn check_traffic(name: &RouteName, traffic: &RouteTraffic, problems: &mut Vec<ConfigProblem>) {
    let has_only_zero_weights = traffic.split.values().all(|weight| weight.get() == 0);
    if !traffic.split.is_empty() && has_only_zero_weights {
        let path = format_compact!("routes.{name}.traffic.split");
        add_problem(
            problems,
            path,
            "every weight is zero, so that no service gets requests; use 1 or more",
        );
    }
    if traffic.attempts == Some(AttemptCount::new(0)) {
        let path = format_compact!("routes.{name}.traffic.attempts");
        add_problem(
            problems,
            path,
            "zero attempts allow no request to run; use 1 or more",
        );
    }
}

fn format_service_names(snapshot: &ConfigSnapshot) -> String {
    let names = snapshot.services.keys().map(ServiceName::as_str);
    let listed: Vec<_> = names.take(MAX_LISTED_SERVICES).collect();
    match snapshot.services.len().saturating_sub(MAX_LISTED_SERVICES) {
        0 if listed.is_empty() => "none".to_owned(),
        0 => listed.join(", "),
        hidden => format!("{} and {hidden} more", listed.join(", ")),
    }
}

fn check_duplicate_paths(snapshot: &ConfigSnapshot, problems: &mut Vec<ConfigProblem>) {
    let mut routes_by_match: BTreeMap<_, Vec<(&RouteName, &RouteRule)>> = BTreeMap::new();
    for (name, rule) in &snapshot.routes {
        let matched = (rule.traffic.host.as_ref(), rule.path.as_str());
        let others = routes_by_match.entry(matched).or_default();
        let duplicate = others
            .iter()
            .find(|(_, other)| methods_overlap(other, rule));
        if let Some((other_name, _)) = duplicate {
            let path = format_compact!("routes.{name}.path");
            let message = format_compact!(
                "path {:?} is already matched by route {other_name}; use another path or method",
                rule.path
            );
            add_problem(problems, path, message);
        } else {
            others.push((name, rule));
        }
    }
}

/// Checks the client accounts; no message contains a key or its digest.
fn check_accounts(snapshot: &ConfigSnapshot, problems: &mut Vec<ConfigProblem>) {
    let empty_key = KeyDigest::of(b"");
    let mut owners = BTreeMap::new();
    for (name, spec) in &snapshot.accounts {
        let path = || format_compact!("accounts.{name}.keys");
        for key in &spec.keys {
            if *key == empty_key {
                add_problem(problems, path(), "a key is empty");
            }
            if let Some(other) = owners.insert(*key, name) {
                let message = format_compact!(
                    "account {other} has one of these keys too; a key belongs to one account"
                );
                add_problem(problems, path(), message);
            }
        }
        if spec.cap.is_some_and(|cap| cap.rate.interval().is_none()) {
            let path = format_compact!("accounts.{name}.cap.rate");
            add_problem(
                problems,
                path,
                "a rate of zero allows no request to run; leave the cap out for no limit",
            );
        }
    }
}

fn methods_overlap(left: &RouteRule, right: &RouteRule) -> bool {
    left.methods.is_empty()
        || right.methods.is_empty()
        || left
            .methods
            .iter()
            .any(|method| right.methods.contains(method))
}
