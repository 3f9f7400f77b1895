//! Return of the platform from an older copy, which has lost the nodes' lease rows.

use crate::fixture::MeshFixture;

const SETTLE_MS: u64 = 30_000;
/// Time within which the rows are back, by which nodes that start find each other.
const REWRITE_MS: u64 = 3_500;
const STEP_MS: u64 = 1_000;
/// Nodes of each data centre that have a row.
const ROWS_PER_CENTRE: u64 = 8;
/// Writes per second that the platform accepts from a mesh of 12 nodes, half of which are to spare.
const WRITE_RATE: u64 = 400;

/// Guards against nodes that can't be found for a minute after a restore, and against a burst of
/// writes that the platform refuses.
#[test]
fn lost_lease_rows_are_written_again_soon_and_within_the_platforms_rate() {
    for (centres, per_centre) in [(3, 4), (2, 37), (5, 59)] {
        let mut mesh = MeshFixture::new(49, centres, per_centre);
        let number = mesh.publish("first");
        mesh.run_until(SETTLE_MS, |mesh| mesh.all_have(number));
        mesh.run_for(SETTLE_MS);
        let rows = mesh.platform.lease_rows.len();
        let expected = u64::from(centres) * ROWS_PER_CENTRE.min(u64::from(per_centre));
        assert!(
            rows as u64 >= expected,
            "{rows} rows of {centres} data centres"
        );
        mesh.platform.lease_rows.clear();
        let (now, mut rng) = (mesh.now, mesh.rng.clone());
        for node in mesh.names() {
            mesh.apply(&node, |gossip| gossip.rewrite_lease_row(now, &mut rng));
        }
        let before = mesh.platform.lease_row_writes;
        let mut last = before;
        let mut busiest = 0;
        for _ in 0..REWRITE_MS.div_ceil(STEP_MS) {
            mesh.run_for(STEP_MS);
            busiest = busiest.max(mesh.platform.lease_row_writes - last);
            last = mesh.platform.lease_row_writes;
        }
        let written = mesh.platform.lease_rows.len();
        assert!(
            written as u64 >= expected,
            "{written} of {expected} rows are back"
        );
        assert!(busiest * 2 <= WRITE_RATE, "{busiest} writes in a second");
        assert!(last - before <= 2 * expected, "{} writes", last - before);
    }
}
