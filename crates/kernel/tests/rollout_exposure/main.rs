//! Limited moves of whole fleets: how many requests a faulty version gets.

mod move_fleet;

use bronzelb_kernel::clock::TimeBudget;

use self::move_fleet::{FleetPlan, VersionFault};

/// Watershed service of the probe network: two routes, three servers, 75 requests per second.
const WATERSHED: FleetPlan = FleetPlan {
    nodes: 12,
    data_centres: 3,
    servers: 3,
    rates: &[16.0, 59.0],
    work_ms: 100.0,
    span: TimeBudget::from_secs(16),
    fault: VersionFault::Good,
    burst: 1.0,
};

/// Guards against a version that is called done because no server of it had its later load.
#[test]
fn version_that_fails_under_load_keeps_to_the_exposure_and_is_never_done() {
    let mut broken = Vec::new();
    for seed in 0..20 {
        let plan = FleetPlan {
            fault: VersionFault::UnderLoad(0.2),
            ..WATERSHED
        };
        let result = plan.run(seed);
        if result.breaks_limit() || result.done_after.is_some() {
            broken.push((seed, result));
        }
    }
    assert!(
        broken.is_empty(),
        "{} of 20 seeds: {broken:#?}",
        broken.len()
    );
}
