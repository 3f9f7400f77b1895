use bronzelb_kernel::{
    clock::TimeBudget,
    config::{
        ConfigSnapshot, HttpMethod, ProxySpec, RequestPriority, RolloutRule, RouteObjective,
        RouteRule, RouteTraffic, ServiceSpec, ShareRatio,
    },
    error::MeshError,
    ids::{ByteCount, DataCentre, ServiceName, SlotCount},
};

use crate::mesh::data_centre_name;

const ROUTES_PER_SERVICE: u64 = 3;
const DATA_CENTRES: u8 = 5;

/// Builds a configuration of five data centres with `services` services of three routes each.
pub(super) fn sample_config(services: u64) -> Result<ConfigSnapshot, MeshError> {
    let mut snapshot = ConfigSnapshot {
        mesh: "sample".parse()?,
        proxies: (1..=DATA_CENTRES)
            .map(sample_proxy)
            .collect::<Result<_, _>>()?,
        services: Default::default(),
        routes: Default::default(),
        accounts: Default::default(),
        limits: Default::default(),
    };
    for service in 0..services {
        let name: ServiceName = format!("service-{service}").parse()?;
        for route in 0..ROUTES_PER_SERVICE {
            let key = format!("service-{service}-route-{route}").parse()?;
            let rule = sample_route(&name, service, route);
            snapshot.routes.insert(key, rule);
        }
        snapshot.services.insert(name, sample_service());
    }
    Ok(snapshot)
}

fn sample_proxy(centre: u8) -> Result<(DataCentre, ProxySpec), MeshError> {
    let others = (1..=DATA_CENTRES).filter(|other| *other != centre);
    let spill_order = others
        .map(|other| data_centre_name(other).parse())
        .collect::<Result<_, _>>()?;
    Ok((data_centre_name(centre).parse()?, ProxySpec { spill_order }))
}

fn sample_service() -> ServiceSpec {
    ServiceSpec {
        crew: None,
        slots: SlotCount::new(12),
        connections: 110,
        report_format: "json-load".into(),
        slow_start: TimeBudget::from_secs(10),
        drain: TimeBudget::from_secs(30),
        rollout: RolloutRule {
            first_share: ShareRatio::from_ppm(10_000),
            min_requests: 100,
            hold: TimeBudget::from_secs(30),
        },
        warm_up: None,
        health_path: None,
    }
}

fn sample_route(service: &ServiceName, number: u64, route: u64) -> RouteRule {
    RouteRule {
        path: format!("/service-{number}/route-{route}").into(),
        methods: vec![HttpMethod::Get],
        service: service.clone(),
        priority: RequestPriority::NORMAL,
        idempotent: true,
        timeout: TimeBudget::from_secs(2),
        max_body: ByteCount::new(65_536),
        objective: RouteObjective {
            success: ShareRatio::from_ppm(999_000),
            latency: TimeBudget::from_millis(250),
        },
        traffic: RouteTraffic::default(),
    }
}
