//! A node's forwarder with scripted backend servers.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc};

use bronzelb_kernel::{
    account::CheckedKey,
    clock::{ClockInstant, TimeBudget},
    config::{
        CallerLimits, ConfigSnapshot, ConfigVersion, HttpMethod, ProxySpec, RequestPriority,
        RolloutRule, RouteObjective, RouteRule, RouteTraffic, ServiceSpec, ShareRatio,
    },
    error::{MeshError, RunState},
    ids::{ByteCount, SlotCount, VersionNumber},
    member::{BackendState, StatedLimit},
    spread::{FetchSource, SnapshotReply, VersionFetch},
};
use bronzelb_wire::peer::{ForwardRequest, ForwardResponse};
use bronzelbd::{
    backends::BackendAnnouncement,
    forward::{RequestForwarder, RoutedRequest, fingerprint},
    log::{LineBatch, NodeLogger},
    node::{NodeAddresses, NodeState},
    settings::parse_settings,
};
use bytes::Bytes;
use compact_str::format_compact;

pub(crate) const NATIVE_DIALECT: &str = "bronzelb";
pub(crate) const USERS_DIALECT: &str = "users";

fn snapshot(idempotent: bool) -> ConfigSnapshot {
    let service = ServiceSpec {
        crew: None,
        slots: SlotCount::new(4),
        connections: 110,
        report_format: "plain-status".into(),
        slow_start: TimeBudget::ZERO,
        drain: TimeBudget::from_secs(1),
        rollout: RolloutRule {
            first_share: ShareRatio::from_ppm(10_000),
            min_requests: 100,
            hold: TimeBudget::from_secs(1),
        },
        warm_up: None,
        health_path: None,
    };
    let route = RouteRule {
        path: "/".into(),
        methods: Vec::new(),
        service: "tracker".parse().expect("a valid name"),
        priority: RequestPriority::NORMAL,
        idempotent,
        timeout: TimeBudget::from_millis(500),
        max_body: ByteCount::new(1_000),
        objective: RouteObjective {
            success: ShareRatio::from_ppm(999_000),
            latency: TimeBudget::from_millis(100),
        },
        traffic: RouteTraffic::default(),
    };
    ConfigSnapshot {
        mesh: "test".parse().expect("a valid name"),
        proxies: [(
            "leuven".parse().expect("a valid name"),
            ProxySpec::default(),
        )]
        .into(),
        services: [("tracker".parse().expect("a valid name"), service)].into(),
        routes: [("all".parse().expect("a valid name"), route)].into(),
        accounts: BTreeMap::new(),
        limits: CallerLimits::default(),
    }
}

fn node(dialect: &str) -> Arc<NodeState> {
    let text = format!(
        "{{mesh: test, node: leuven-1, data_centre: leuven, dialect: {dialect}, \
         mesh_key: 0123456789abcdef, callers: {{listen: '127.0.0.1:0'}}, \
         peers: {{listen: '127.0.0.1:0'}}, platform: {{kind: http, address: '127.0.0.1:9'}}}}"
    );
    let settings = parse_settings("node.yaml", &text).expect("valid settings");
    let unused_address: SocketAddr = "127.0.0.1:9".parse().expect("a valid address");
    let addresses = NodeAddresses {
        callers: unused_address,
        peers: unused_address,
        operators: unused_address,
    };
    let lines = LineBatch::start(io::stdout()).expect("the log's thread starts");
    let logger = NodeLogger::build(&settings.node, &settings.data_centre, Arc::new(lines));
    NodeState::new(settings, addresses, logger)
}

/// Applies a version as if the node had fetched it from the platform.
fn apply_version(state: &NodeState, version: ConfigVersion) {
    let now = state.now();
    let fetch = VersionFetch {
        stamp: version.stamp(),
        base: None,
        source: FetchSource::Store("version-1".into()),
        deadline: now.after(TimeBudget::from_secs(1)),
    };
    let body = SnapshotReply::Whole(version.body().clone());
    state.gossip.step(|node, rng| {
        node.handle_version_row(Ok(None), now, rng);
        node.handle_fetch_reply(&fetch, Ok(body), now, rng);
    });
    state.apply_config(Arc::new(version));
}

pub(crate) struct ForwarderHarness {
    pub(crate) forwarder: RequestForwarder,
    idempotent: bool,
    pub(crate) version_draw: u64,
}

impl ForwarderHarness {
    pub(crate) fn new(servers: &[SocketAddr], idempotent: bool) -> Self {
        Self::with_slots(servers, idempotent, 4)
    }

    pub(crate) fn with_slots(servers: &[SocketAddr], idempotent: bool, slots: u32) -> Self {
        Self::with_dialect(servers, idempotent, slots, NATIVE_DIALECT)
    }

    pub(crate) fn with_dialect(
        servers: &[SocketAddr],
        idempotent: bool,
        slots: u32,
        dialect: &str,
    ) -> Self {
        let state = node(dialect);
        let number = VersionNumber::new(1);
        let version = ConfigVersion::from_snapshot(number, snapshot(idempotent));
        apply_version(&state, version.expect("a valid configuration"));
        for (index, address) in servers.iter().enumerate() {
            let announcement = BackendAnnouncement {
                service: "tracker".parse().expect("a valid name"),
                version: "v1".parse().expect("a valid version"),
                address: *address,
                slots: SlotCount::new(slots),
                connections: 110,
                state: BackendState::Serving,
            };
            let name = format!("tracker-{index}").parse().expect("a valid name");
            state.backends().announce(state.now(), name, announcement);
        }
        state.publish_backends();
        Self {
            forwarder: RequestForwarder::new(state),
            idempotent,
            version_draw: 0,
        }
    }

    pub(crate) async fn get(&self, number: usize) -> Result<ForwardResponse, MeshError> {
        let now = self.forwarder.state().now();
        self.get_with_deadline(number, now.after(TimeBudget::from_millis(500)))
            .await
    }

    pub(crate) async fn get_with_deadline(
        &self,
        number: usize,
        deadline: ClockInstant,
    ) -> Result<ForwardResponse, MeshError> {
        self.forwarder.run(self.request(number, deadline)).await
    }

    pub(crate) fn request(&self, number: usize, deadline: ClockInstant) -> RoutedRequest {
        let target = format_compact!("/item/{number}");
        RoutedRequest {
            service: "tracker".parse().expect("a valid name"),
            deadline,
            idempotent: self.idempotent,
            max_deliveries: None,
            version_draw: self.version_draw,
            is_nested_retry: false,
            message: ForwardRequest {
                request_id: format_compact!("request-{number}"),
                route: "all".parse().expect("a valid name"),
                backend: None,
                limit: StatedLimit::Unknown,
                key: None,
                fingerprint: fingerprint("all", "GET", &target, b""),
                key_check: CheckedKey {
                    digest: None,
                    version: VersionNumber::new(1),
                },
                account: None,
                priority: RequestPriority::NORMAL,
                origin: None,
                run_rank: None,
                waited: TimeBudget::ZERO,
                may_hand_on: false,
                attempt: 1,
                method: HttpMethod::Get,
                target,
                headers: Vec::new(),
                body: Bytes::new(),
            },
        }
    }
}

pub(crate) fn run_state(result: &Result<ForwardResponse, MeshError>) -> RunState {
    match result {
        Ok(_) => RunState::Ran,
        Err(error) => error.kind().response().run_state,
    }
}
