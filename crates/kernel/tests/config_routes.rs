//! Compares the route index with a linear scan, and tests the transfer of large changes between
//! nodes.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{ConfigSnapshot, ConfigVersion, HttpMethod, RouteRule},
    ids::{MeshName, RouteName, VersionNumber},
    spread::{
        CompressedBytes, InstallOutcome, PeerHeader, SnapshotReply, SnapshotRequest, VersionStore,
    },
};
use proptest::{collection, option, prelude::*, sample};
use rand::SeedableRng;
use serde_json::{Value, json};

const PATHS: [&str; 9] = [
    "/", "/a", "/a/", "/a/b", "/a/b/", "/ab/", "/b/", "/b/a/", "/a/b/c",
];
const HOSTS: [&str; 2] = ["one.example", "two.example"];
const METHODS: [&str; 2] = ["GET", "POST"];
/// Routes that one change adds in a deployment of the planned size.
const ADDED_ROUTES: usize = 1_640;
/// Routes before that change.
const BASE_ROUTES: usize = 800;
/// Bytes that a link of 10 Mbit/s carries in the 2.5 s within which a change must be applied,
/// divided by the three hops between nodes and four concurrent transfers.
const MAX_TRANSFER_BYTES: usize = 260_000;

fn route(host: Option<&str>, path: &str, methods: &[&str]) -> Value {
    json!({
        "path": path, "methods": methods, "service": "tracker", "priority": "urgent",
        "idempotent": true, "timeout": "1s", "max_body": 1024,
        "objective": {"success": "99%", "latency": "100ms"},
        "traffic": {"host": host, "split": {}, "attempts": 2},
    })
}

fn snapshot(routes: impl IntoIterator<Item = (String, Value)>) -> ConfigSnapshot {
    let routes: serde_json::Map<_, _> = routes.into_iter().collect();
    let value = json!({
        "mesh": "m",
        "proxies": {"dc1": {"spill_order": []}},
        "services": {"tracker": {
            "crew": null, "slots": 12, "connections": 110, "report_format": "plain",
            "slow_start": "5s", "drain": "10s",
            "rollout": {"first_share": "5%", "min_requests": 50, "hold": "30s"}
        }},
        "routes": routes,
    });
    serde_json::from_value(value).expect("the snapshot is well-formed")
}

/// Reference implementation: scans all routes and picks the match with the longest prefix.
fn scan_routes<'a>(
    snapshot: &'a ConfigSnapshot,
    host: &str,
    method: HttpMethod,
    path: &str,
) -> Option<(&'a RouteName, &'a RouteRule)> {
    let has_host = |rule: &RouteRule| {
        let wanted = rule.traffic.host.as_ref();
        wanted.is_none_or(|wanted| wanted.as_str().eq_ignore_ascii_case(host))
    };
    let has_path = |rule: &RouteRule| {
        let rest = path.strip_prefix(rule.path.as_str());
        rest.is_some_and(|rest| {
            rest.is_empty() || rule.path.ends_with('/') || rest.starts_with('/')
        })
    };
    let rules = snapshot.routes.iter();
    rules
        .filter(|(_, rule)| rule.methods.is_empty() || rule.methods.contains(&method))
        .filter(|(_, rule)| has_host(rule) && has_path(rule))
        .max_by_key(|(_, rule)| rule.path.len())
}

proptest! {
    #[test]
    fn index_agrees_with_linear_scan(
        routes in collection::vec(
            (option::of(sample::select(&HOSTS[..])), sample::select(&PATHS[..]),
             sample::subsequence(&METHODS[..], 0..=2)),
            0..8,
        ),
        host in sample::select(&["one.example", "ONE.example", "three.example", ""][..]),
        method in sample::select(&METHODS[..]),
        path in "(/|/a|/a/|/a/b|/ab|/ab/c|/b|/b/a/c|/a/b/|/a//b|/a/b/c/d|\\*)",
    ) {
        let named = routes.into_iter().enumerate().map(|(number, (host, path, methods))| {
            (format!("r{number}"), route(host, path, &methods))
        });
        let snapshot = snapshot(named);
        let method: HttpMethod = method.parse().expect("is a method");
        let Ok(version) = ConfigVersion::from_snapshot(VersionNumber::new(1), snapshot.clone())
        else {
            // Two routes match the same requests; validation rejects such a configuration.
            return Ok(());
        };
        prop_assert_eq!(
            version.route(host, method, &path),
            scan_routes(&snapshot, host, method, &path)
        );
        let port = format!("{host}:8080");
        prop_assert_eq!(
            version.route(&port, method, &path),
            scan_routes(&snapshot, host, method, &path)
        );
    }
}

/// Builds version `number` with `count` routes whose names and paths are pseudo-random hex digits.
fn version(number: u64, count: usize) -> ConfigVersion {
    let named = (0..count).map(|number| {
        let word = u64::try_from(number + 1)
            .expect("is small")
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let rule = route(Some("vole43.example"), &format!("/{:x}/", word >> 28), &[]);
        (format!("r-{word:x}"), rule)
    });
    let snapshot = snapshot(named);
    ConfigVersion::from_snapshot(VersionNumber::new(number), snapshot).expect("is valid")
}

fn empty_store() -> VersionStore {
    let mesh: MeshName = "m".parse().expect("is a name");
    VersionStore::new(mesh)
}

fn peer() -> PeerHeader {
    PeerHeader {
        node: "n1".parse().expect("is a name"),
        data_centre: "dc1".parse().expect("is a name"),
        stamp: None,
        platform_seen_at: None,
        orders_seen_at: None,
    }
}

#[test]
fn large_change_is_small_on_its_way_and_arrives_whole() {
    let (base, target) = (
        version(1, BASE_ROUTES),
        version(2, BASE_ROUTES + ADDED_ROUTES),
    );
    let (mut sender, mut receiver) = (empty_store(), empty_store());
    for version in [&base, &target] {
        sender.offer_version(version.clone());
    }
    receiver.offer_version(base.clone());
    let request = |base| SnapshotRequest {
        from: peer(),
        stamp: target.stamp(),
        base,
    };
    let SnapshotReply::Delta(compressed) = sender.build_reply(&request(Some(base.stamp()))) else {
        panic!("expected a delta for a peer that holds the base");
    };
    assert!(
        compressed.len() < MAX_TRANSFER_BYTES,
        "{} bytes",
        compressed.len()
    );
    let bytes = compressed.decompress().expect("is well-formed");
    let outcome = receiver.offer_delta(target.stamp(), &bytes);
    assert_eq!(outcome, InstallOutcome::Installed(target.stamp()));
    let SnapshotReply::Compressed(compressed) = sender.build_reply(&request(None)) else {
        panic!("expected the whole content for a peer without the base");
    };
    assert!(
        compressed.len() < MAX_TRANSFER_BYTES,
        "{} bytes",
        compressed.len()
    );
    let mut empty = empty_store();
    let body = compressed.decompress().expect("is well-formed");
    let outcome = empty.offer_snapshot(target.stamp(), body);
    assert_eq!(outcome, InstallOutcome::Installed(target.stamp()));
}

/// Guards against decompressing data whose length prefix exceeds the limit or is incomplete.
#[test]
fn compressed_bytes_with_invalid_length_are_rejected() {
    let compressed = CompressedBytes::compress(b"content");
    assert_eq!(compressed.decompress().expect("is well-formed"), "content");
    let text = serde_json::to_value(&compressed).expect("is serializable");
    let mut bytes: Vec<u8> = serde_json::from_value(text).expect("is a list of bytes");
    bytes[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    let value = serde_json::to_value(&bytes).expect("is serializable");
    let huge: CompressedBytes = serde_json::from_value(value).expect("is a list of bytes");
    assert!(huge.decompress().is_err());
    let short: CompressedBytes = serde_json::from_value(json!([1, 2])).expect("is a list of bytes");
    assert!(short.decompress().is_err());
}

#[test]
fn transfer_limiter_limits_concurrent_large_transfers() {
    let mut limiter = bronzelb_kernel::spread::TransferLimiter::new(4);
    let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    let now = ClockInstant::from_millis(1);
    let size = bronzelb_kernel::ids::ByteCount::new(150_000);
    let mut permits = (0..10).map(|_| limiter.try_acquire(size, now, &mut rng));
    let granted = permits.by_ref().take_while(Result::is_ok).count();
    assert_eq!(granted, 4);
    let wait = limiter
        .try_acquire(size, now, &mut rng)
        .expect_err("is busy");
    assert!(wait <= TimeBudget::from_secs(1), "{wait}");
}
