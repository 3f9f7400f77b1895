//! Client accounts of a configuration version: their checks, and which keys a request may present.

use bronzelb_kernel::{
    account::CheckedKey,
    config::{ConfigSnapshot, ConfigVersion, check_snapshot},
    error::{ErrorKind, MeshError},
    ids::{KeyDigest, RouteName, VersionNumber},
    request::AccountRank,
    spread::ConfigDelta,
};
use serde_json::{Value, json};

/// Builds a snapshot with the routes `closed` and `open`, of which the latter is public.
fn snapshot(accounts: &[(&str, u8, &[&str])]) -> ConfigSnapshot {
    let route = |path: &str, is_public: bool| {
        json!({
            "path": path, "methods": [], "service": "tracker", "priority": "urgent",
            "idempotent": true, "timeout": "1s", "max_body": 1024,
            "objective": {"success": "99%", "latency": "100ms"},
            "traffic": {"is_public": is_public},
        })
    };
    let accounts = accounts.iter().map(|(name, priority, keys)| {
        let keys: Vec<_> = keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect();
        let spec = json!({"keys": keys, "priority": priority.to_string()});
        ((*name).to_owned(), spec)
    });
    let value = json!({
        "mesh": "m",
        "proxies": {"dc1": {"spill_order": []}},
        "services": {"tracker": {
            "crew": null, "slots": 12, "connections": 110, "report_format": "plain",
            "slow_start": "5s", "drain": "10s",
            "rollout": {"first_share": "5%", "min_requests": 50, "hold": "30s"}
        }},
        "routes": {"closed": route("/closed/", false), "open": route("/open/", true)},
        "accounts": accounts.collect::<serde_json::Map<String, Value>>(),
    });
    serde_json::from_value(value).expect("the snapshot is well-formed")
}

fn version(number: u64, accounts: &[(&str, u8, &[&str])]) -> ConfigVersion {
    let snapshot = snapshot(accounts);
    ConfigVersion::from_snapshot(VersionNumber::new(number), snapshot).expect("is valid")
}

fn route(name: &str) -> RouteName {
    name.parse().expect("is a name")
}

fn digest(key: &str) -> Option<KeyDigest> {
    Some(KeyDigest::of(key.as_bytes()))
}

fn checked(digest: Option<KeyDigest>, number: u64) -> CheckedKey {
    let version = VersionNumber::new(number);
    CheckedKey { digest, version }
}

/// Returns the account's name and priority, `-` without an account, or the kind of the error.
fn describe(result: Result<Option<AccountRank>, MeshError>) -> String {
    match result {
        Ok(Some(rank)) => format!("{} {}", rank.account, rank.priority.rank()),
        Ok(None) => "-".to_owned(),
        Err(error) => error.kind().to_string(),
    }
}

/// Guards against requests that run without a key, and against public routes that need one.
#[test]
fn only_a_known_key_or_a_public_route_lets_a_request_pass() {
    let with = version(1, &[("acme", 3, &["k1", "k2"]), ("left", 0, &[])]);
    let without = version(1, &[]);
    let cases = [
        (&with, "closed", digest("k2"), "acme 3"),
        (&with, "closed", digest("k3"), "unauthorized"),
        (&with, "closed", digest(""), "unauthorized"),
        (&with, "closed", None, "unauthorized"),
        (&with, "removed", None, "unauthorized"),
        (&with, "open", None, "-"),
        (&with, "open", digest("k3"), "-"),
        (&with, "open", digest("k1"), "acme 3"),
        (&without, "closed", None, "-"),
        (&without, "closed", digest("k1"), "-"),
    ];
    for (config, name, key, expected) in cases {
        let result = CheckedKey::check(config, &route(name), key);
        assert_eq!(describe(result), expected, "{name} {expected}");
    }
}

/// Guards against revoked keys that are served from a queue.
#[test]
fn key_revoked_during_a_wait_is_refused_by_the_newer_version() {
    let before = version(4, &[("acme", 1, &["k1"]), ("other", 0, &["k2"])]);
    let account = CheckedKey::check(&before, &route("closed"), digest("k1")).expect("is known");
    let later = [
        version(5, &[("acme", 1, &[]), ("other", 0, &["k2"])]),
        version(5, &[("other", 0, &["k2"])]),
        version(5, &[("acme", 1, &["k3"]), ("other", 0, &["k2"])]),
    ];
    for config in later {
        let result = checked(digest("k1"), 4).recheck(&config, &route("closed"), account.as_ref());
        assert_eq!(describe(result), "unauthorized");
    }
    let raised = version(5, &[("acme", 0, &["k1"])]);
    let mut key = checked(digest("k1"), 4);
    let result = key.recheck(&raised, &route("closed"), account.as_ref());
    assert_eq!(describe(result), "acme 0");
    assert_eq!(key.version, VersionNumber::new(5));
}

/// Guards against valid requests that a host refuses because it has not received the version that
/// added their key.
#[test]
fn node_with_an_older_version_relies_on_the_check_of_the_newer_one() {
    let older = version(4, &[("other", 0, &["k2"])]);
    let newer = version(5, &[("acme", 1, &["k1"])]);
    let account = CheckedKey::check(&newer, &route("closed"), digest("k1")).expect("is known");
    let mut key = checked(digest("k1"), 5);
    let result = key.recheck(&older, &route("closed"), account.as_ref());
    assert_eq!(describe(result), "acme 1");
    assert_eq!(key.version, VersionNumber::new(5));
}

/// Guards against versions whose accounts contradict each other coming into force, and against
/// error messages that disclose a key.
#[test]
fn contradicting_accounts_are_refused_with_place_and_reason_but_without_the_key() {
    let cases = [
        (
            snapshot(&[("acme", 0, &["k1"]), ("other", 0, &["k2", "k1"])]),
            "accounts.other.keys: account acme has one of these keys too",
        ),
        (
            snapshot(&[("acme", 0, &[""])]),
            "accounts.acme.keys: a key is empty",
        ),
    ];
    let key = serde_json::to_string(&digest("k1")).expect("is serializable");
    for (snapshot, expected) in cases {
        let problems = check_snapshot(&snapshot);
        let text = problems
            .first()
            .map(ToString::to_string)
            .unwrap_or_default();
        assert!(text.starts_with(expected), "{text}");
        assert!(!text.contains(key.trim_matches('"')), "{text}");
        let error = ConfigVersion::from_snapshot(VersionNumber::new(1), snapshot);
        assert_eq!(error.expect_err("is refused").kind(), ErrorKind::Invalid);
    }
    let mut snapshot = snapshot(&[("acme", 0, &["k1"])]);
    let spec = snapshot.accounts.values_mut().next().expect("is present");
    spec.cap = serde_json::from_value(json!({"rate": 0, "burst": 1})).expect("is a cap");
    let problems = check_snapshot(&snapshot);
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].path, "accounts.acme.cap.rate");
}

/// Guards against keys that show up in debug output, as of a message in a panic.
#[test]
fn debug_output_shows_neither_a_key_nor_its_digest() {
    let text = format!("{:?}", checked(digest("k1"), 1));
    assert!(text.contains("KeyDigest(..)"), "{text}");
}

/// Guards against nodes that take accounts into force apart from the rest of a version: the hash of
/// a version covers them, and a change of accounts alone reaches a node as a change.
#[test]
fn change_of_accounts_alone_is_another_version_and_travels_as_a_small_change() {
    let before = version(1, &[("acme", 0, &["k1"]), ("other", 0, &["k2"])]);
    let after = version(2, &[("acme", 0, &[]), ("other", 0, &["k2"])]);
    assert_ne!(before.stamp().hash, after.stamp().hash);
    let delta = ConfigDelta::between(&before, &after);
    assert_eq!(delta.accounts.put.len(), 1);
    let sent = ConfigDelta::from_bytes(&delta.to_bytes()).expect("is whole");
    assert_eq!(sent.apply(before.snapshot()), **after.snapshot());
    let received = ConfigVersion::from_bytes(after.stamp(), after.body().clone());
    let received = received.expect("is whole");
    let result = CheckedKey::check(&received, &route("closed"), digest("k1"));
    assert_eq!(describe(result), "unauthorized");
    let result = CheckedKey::check(&received, &route("closed"), digest("k2"));
    assert_eq!(describe(result), "other 0");
}
