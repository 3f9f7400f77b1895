//! Properties of the reader of answers, tried on seeded random inputs.

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

/// Fragments of which random texts are made: what answers hold, and what upsets parsers.
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

/// A mistake names a line of the text and says something.
fn assert_useful(error: &FileError, text: &str) {
    let lines = text.split('\n').count();
    assert!(!error.problems().is_empty());
    for problem in error.problems() {
        assert!(!problem.message.is_empty());
        let place = problem.location.expect("a text has lines");
        assert!(place.line >= 1 && place.line <= lines + 1, "{problem}");
        assert!(place.column >= 1, "{problem}");
    }
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn random_fragments_are_read_or_refused_with_places(parts in fragments()) {
        let text = parts.concat();
        if let Err(error) = parse_answers("answers.yaml", &text) {
            assert_useful(&error, &text);
        }
    }
}

proptest! {
    #![proptest_config(config(2))]

    #[test]
    fn damaged_answers_are_read_or_refused_with_places(
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
            assert_useful(&error, &damaged);
        }
    }
}

/// Answers of two services as blocks whose order makes no difference.
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
    fn the_order_of_keys_does_not_change_a_byte(
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
    fn names_that_the_mesh_allows_survive_a_draft(name in prop_oneof![
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
fn a_sample_is_the_same_on_every_run() {
    let sample = || MeshDraft::sample("trial".parse().expect("is a name"), 78).to_yaml();
    assert_eq!(sample(), sample());
    let snapshot = parse_answers("answers.yaml", &sample()).expect("is valid");
    assert_eq!(snapshot.services.len(), 78);
}

#[test]
fn more_data_centres_than_a_mesh_may_have_are_refused_as_one_mistake() {
    let centres: String = (0..20_000)
        .map(|number| format!("  dc{number}: {{}}\n"))
        .collect();
    let text = format!("mesh: trial\nservices: {{}}\nroutes: {{}}\ndata_centres:\n{centres}");
    let error = parse_answers("answers.yaml", &text).expect_err("is refused");
    assert_eq!(error.problems().len(), 1, "{error}");
}
