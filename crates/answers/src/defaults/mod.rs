//! Built-in defaults for omitted answers.
//!
//! Slots, connections and the report format describe a team's own servers and have no default.

use bronzelb_kernel::{
    clock::TimeBudget,
    config::{RequestPriority, ShareRatio},
    ids::ByteCount,
};

/// Time over which the load of a new backend server ramps up to its full share.
pub const SLOW_START: TimeBudget = TimeBudget::from_secs(10);

/// Time that a draining backend server has to finish its requests in flight.
pub const DRAIN: TimeBudget = TimeBudget::from_secs(30);

/// Share of the traffic that an unverified version receives.
pub const FIRST_SHARE: ShareRatio = ShareRatio::from_ppm(10_000);

/// Requests per route that are required before the share of a new version rises.
pub const MIN_REQUESTS: u32 = 100;

/// Time for which a version must stay healthy at full share before the move is done.
pub const HOLD: TimeBudget = TimeBudget::from_secs(30);

/// Priority of a route's requests under load.
pub const PRIORITY: RequestPriority = RequestPriority::NORMAL;

/// Timeout of a request that carries no deadline.
pub const TIMEOUT: TimeBudget = TimeBudget::from_secs(2);

/// Size limit of a request's body.
pub const MAX_BODY: ByteCount = ByteCount::new(64 * 1024);

/// Share of requests that must succeed within [`LATENCY`].
pub const SUCCESS: ShareRatio = ShareRatio::from_ppm(999_000);

/// Latency within which a request counts as successful.
pub const LATENCY: TimeBudget = TimeBudget::from_millis(500);
