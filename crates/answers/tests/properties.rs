//! Property tests of the answers reader with fixed seeds.

use std::path::Path;

use bronzelb_answers::{change::compare_snapshots, draft::MeshDraft, parse_answers};
use bronzelb_yaml::problem::FileError;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const CASES: u32 = 400;

fn config(seed: u64) -> Config {
    Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hemelval/answers.yaml");
    std::fs::read_to_string(path).expect("is readable")
}

/// Fragments of random texts: valid parts of answers, and YAML syntax that is hard to parse.
fn fragments() -> impl Strategy<Value = Vec<&'static str>> {
    let fragment = prop::sample::select(vec![
        "mesh",
        "data_centres",
        "services",
        "routes",
        "defaults",
        "crews",
        "latency",
        "slots",
        "tracker",
        "leuven",
        "path",
        "methods",
        "GET",
        "idempotent",
        "true",
        "12",
        "500us",
        "99.9%",
        "64KiB",
        ": ",
        ":",
        "\n",
        "\n  ",
        "\n    ",
        "\n\t",
        "- ",
        "{",
        "}",
        "[",
        "]",
        ", ",
        "#",
        "\"",
        "'",
        "|",
        ">",
        "&a ",
        "*a",
        "!!str ",
        "---\n",
        "...\n",
        "? ",
        "%YAML 1.2\n",
        "~",
        "null",
        "\r\n",
        "\u{feff}",
        "é",
        "\u{85}",
        "\\",
        "0x10",
        "-1",
        " ",
    ]);
    prop::collection::vec(fragment, 0..60)
}

/// Asserts that every problem has a message and a position within the text.
fn assert_located_problems(error: &FileError, text: &str) {
    let lines = text.split('\n').count();
    assert!(!error.problems().is_empty());
    for problem in error.problems() {
        assert!(!problem.message.is_empty());
        let location = problem.location.expect("a text has lines");
        assert!(
            location.line >= 1 && location.line <= lines + 1,
            "{problem}"
        );
        assert!(location.column >= 1, "{problem}");
    }
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn random_fragments_are_parsed_or_rejected_with_positions(parts in fragments()) {
        let text = parts.concat();
        if let Err(error) = parse_answers("answers.yaml", &text) {
            assert_located_problems(&error, &text);
        }
    }
}

proptest! {
    #![proptest_config(config(2))]

    #[test]
    fn damaged_answers_are_parsed_or_rejected_with_positions(
        start in any::<prop::sample::Index>(),
        length in 0_usize..40,
        parts in fragments(),
    ) {
        let text = example();
        let start = start.index(text.len());
        let end = (start + length).min(text.len());
        prop_assume!(text.is_char_boundary(start) && text.is_char_boundary(end));
        let damaged = [&text[..start], &parts.concat(), &text[end..]].concat();
        if let Err(error) = parse_answers("answers.yaml", &damaged) {
            assert_located_problems(&error, &damaged);
        }
    }
}

/// Answers of two services whose sections and keys are in random order.
fn shuffled_answers() -> impl Strategy<Value = String> {
    let shuffled = |parts: Vec<&'static str>| Just(parts).prop_shuffle();
    let centres = shuffled(vec![
        "  leuven: {latency: {ghent: 1ms}}\n",
        "  ghent: {latency: {antwerp: 1ms}}\n",
        "  antwerp: {latency: {leuven: 2ms}}\n",
    ]);
    let services = shuffled(vec![
        "  tracker: {slots: 12, drain: 9s}\n",
        "  archive: {drain: 9s, slots: 6}\n",
    ]);
    let methods = shuffled(vec!["GET", "HEAD", "PUT"]);
    let fields = shuffled(vec![
        "path: /positions",
        "idempotent: true",
        "service: tracker",
        "timeout: 1s",
    ]);
    let routes = shuffled(vec![
        "  archive: {service: archive, path: /archive, idempotent: true}\n",
        "  lookup: {path: /lookup, methods: [HEAD, GET], service: archive}\n",
    ]);
    let crews = shuffled(vec!["leuven-stratos", "delft"]);
    (centres, services, methods, fields, routes, crews)
        .prop_flat_map(|(centres, services, methods, fields, routes, crews)| {
            let methods = methods.join(", ");
            let fields = fields.join(", ");
            let position = format!("  positions: {{methods: [{methods}], {fields}}}\n");
            let sections = vec![
                "mesh: trial\n".to_owned(),
                format!("crews: [{}]\n", crews.join(", ")),
                format!("data_centres:\n{}", centres.concat()),
                "defaults: {services: {connections: 110, report_format: json-load}}\n".to_owned(),
                format!("services:\n{}", services.concat()),
                format!("routes:\n{position}{}", routes.concat()),
            ];
            Just(sections).prop_shuffle()
        })
        .prop_map(|sections| sections.concat())
}

proptest! {
    #![proptest_config(config(3))]

    #[test]
    fn key_order_does_not_change_canonical_bytes(
        left in shuffled_answers(),
        right in shuffled_answers(),
    ) {
        let left = parse_answers("left.yaml", &left).expect("is valid");
        let right = parse_answers("right.yaml", &right).expect("is valid");
        prop_assert_eq!(left.to_bytes(), right.to_bytes());
        prop_assert_eq!(compare_snapshots(&left, &right), vec![]);
    }
}

proptest! {
    #![proptest_config(config(4))]

    #[test]
    fn valid_mesh_names_round_trip_through_a_draft(name in prop_oneof![
        "[a-zA-Z0-9][a-zA-Z0-9._-]{0,50}",
        prop::sample::select(vec!["null", "true", "no", "12", "0x1f", "1e3", "2026-12-03"])
            .prop_map(str::to_owned),
    ]) {
        let text = MeshDraft::new(name.parse().expect("is a name")).to_yaml();
        let snapshot = parse_answers("answers.yaml", &text).expect("is valid");
        prop_assert_eq!(snapshot.mesh.as_str(), name);
    }
}

#[test]
fn sample_is_deterministic() {
    let sample = || MeshDraft::sample("trial".parse().expect("is a name"), 78).to_yaml();
    assert_eq!(sample(), sample());
    let snapshot = parse_answers("answers.yaml", &sample()).expect("is valid");
    assert_eq!(snapshot.services.len(), 78);
}

#[test]
fn too_many_data_centres_are_reported_as_one_problem() {
    let centres: String = (0..20_000)
        .map(|number| format!("  dc{number}: {{}}\n"))
        .collect();
    let text = format!("mesh: trial\nservices: {{}}\nroutes: {{}}\ndata_centres:\n{centres}");
    let error = parse_answers("answers.yaml", &text).expect_err("is refused");
    assert_eq!(error.problems().len(), 1, "{error}");
}
