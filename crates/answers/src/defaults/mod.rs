//! What holds for an answer that a team leaves out.
//!
//! Slots, connections and the report format describe a team's own servers and have no default.

use bronzelb_kernel::{
    clock::TimeBudget,
    config::{RequestPriority, ShareRatio},
    ids::ByteCount,
};

/// Time over which a new backend server's share of the load rises to its full share.
pub const SLOW_START: TimeBudget = TimeBudget::from_secs(10);

/// Time that a draining backend server gets for its requests in flight.
pub const DRAIN: TimeBudget = TimeBudget::from_secs(30);

/// Share of the traffic that an unproved version gets.
pub const FIRST_SHARE: ShareRatio = ShareRatio::from_ppm(10_000);

/// Requests per route that are needed before the share of a new version rises.
pub const MIN_REQUESTS: u32 = 100;

/// Time for which the evidence must hold at full share before a move is done.
pub const HOLD: TimeBudget = TimeBudget::from_secs(30);

/// What happens to a route's requests under load.
pub const PRIORITY: RequestPriority = RequestPriority::NORMAL;

/// Time that a request without a deadline of its own gets.
pub const TIMEOUT: TimeBudget = TimeBudget::from_secs(2);

/// Size limit of a request's body.
pub const MAX_BODY: ByteCount = ByteCount::new(64 * 1024);

/// Share of requests that must succeed within [`LATENCY`].
pub const SUCCESS: ShareRatio = ShareRatio::from_ppm(999_000);

/// Latency that a successful request stays under.
pub const LATENCY: TimeBudget = TimeBudget::from_millis(500);
