//! Checks that the example answers match the sizes of the real deployments.

use std::path::PathBuf;

use bronzelb_answers::read_answers;
use bronzelb_kernel::{
    config::{ConfigSnapshot, RequestPriority},
    ids::{ServiceName, SlotCount},
};

fn example(name: &str) -> ConfigSnapshot {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
        .join("answers.yaml");
    read_answers(path).unwrap_or_else(|error| panic!("{error}"))
}

fn assert_sizes(snapshot: &ConfigSnapshot, services: [&str; 4], slots: u32) {
    let names: Vec<_> = snapshot.services.keys().map(ServiceName::as_str).collect();
    assert_eq!(names, services);
    for spec in snapshot.services.values() {
        assert_eq!(spec.slots, SlotCount::new(slots));
        assert_eq!(spec.connections, 110);
    }
    assert_eq!(snapshot.proxies.len(), 3);
    for spec in snapshot.proxies.values() {
        assert_eq!(spec.spill_order.len(), 2);
    }
}

#[test]
fn hemelval_has_expected_sizes() {
    let snapshot = example("hemelval");
    assert_sizes(
        &snapshot,
        ["archive", "dispatcher", "replay", "tracker"],
        12,
    );
    let dispatches = &snapshot.routes["dispatches"];
    assert!(!dispatches.idempotent);
    assert_eq!(dispatches.priority, RequestPriority::URGENT);
}

#[test]
fn fraser_basin_has_expected_sizes() {
    let snapshot = example("fraser-basin");
    assert_sizes(
        &snapshot,
        ["archive", "fieldops", "readings", "watershed"],
        6,
    );
    assert!(!snapshot.routes["crew-orders"].idempotent);
}

#[test]
fn only_archive_routes_are_deferrable() {
    for name in ["hemelval", "fraser-basin"] {
        for rule in example(name).routes.values() {
            let is_deferrable = rule.priority == RequestPriority::DEFERRABLE;
            assert_eq!(is_deferrable, rule.service.as_str() == "archive");
        }
    }
}

#[test]
fn equidistant_data_centres_spill_to_different_targets() {
    let snapshot = example("hemelval");
    let mut first_choices: Vec<_> = snapshot
        .proxies
        .values()
        .map(|spec| spec.spill_order[0].as_str())
        .collect();
    first_choices.sort_unstable();
    assert_eq!(first_choices, ["antwerp", "brussels", "leuven"]);
}
