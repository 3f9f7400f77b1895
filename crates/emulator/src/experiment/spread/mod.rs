//! Experiments on how configuration versions spread, with the ways that were weighed as baselines.

mod fleet_usage;
mod spread_cost;
mod spread_trial;
