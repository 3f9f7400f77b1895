use std::time::Instant;

use bronzelb_kernel::{clock::TimeBudget, error::MeshError};
use bronzelb_store::{
    PlatformClient, PlatformTarget,
    table::{RowKey, RowWrite},
};

use crate::{
    experiment::{ExperimentContext, ExperimentEntry, ExperimentReport},
    mesh::PlatformStandIn,
    process::program_path,
    server::{local_error, wall_clock},
};

inventory::submit! {
    ExperimentEntry {
        name: "platform-calls",
        about: "Sequential calls per second of one client to the platform stand-in",
        run,
    }
}

const DEFAULT_CALLS: u64 = 1_000;
const CALL_TIMEOUT: TimeBudget = TimeBudget::from_secs(5);

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let calls = context.size("calls", DEFAULT_CALLS);
    let mut report =
        ExperimentReport::new("platform-calls", context.seed(), ["call", "per_second"])
            .with_size("calls", calls);
    context.block_on(async {
        let directory =
            tempfile::tempdir().map_err(|error| local_error("temporary directory", &error))?;
        let emulator = program_path("bronzelb-emulator")?;
        let platform = PlatformStandIn::start(&emulator, directory.path()).await?;
        let target = PlatformTarget::new(platform.address().to_string());
        let client = PlatformClient::connect("http", &target)?;
        let writes = measure_writes(&client, calls).await?;
        let reads = measure_reads(&client, calls).await?;
        report.add_row(["transact".into(), writes.into()]);
        report.add_row(["get-row".into(), reads.into()]);
        Ok(())
    })?;
    Ok(report)
}

async fn measure_writes(client: &PlatformClient, calls: u64) -> Result<f64, MeshError> {
    let started_at = Instant::now();
    for call in 0..calls {
        let write = RowWrite::put(row_key(call)?, "value");
        client
            .transact(vec![write], wall_clock().after(CALL_TIMEOUT))
            .await?;
    }
    Ok(calls as f64 / started_at.elapsed().as_secs_f64())
}

async fn measure_reads(client: &PlatformClient, calls: u64) -> Result<f64, MeshError> {
    let started_at = Instant::now();
    for call in 0..calls {
        let key = row_key(call)?;
        client
            .get_row(&key, wall_clock().after(CALL_TIMEOUT))
            .await?;
    }
    Ok(calls as f64 / started_at.elapsed().as_secs_f64())
}

fn row_key(call: u64) -> Result<RowKey, MeshError> {
    format!("experiment/{call}").parse()
}
