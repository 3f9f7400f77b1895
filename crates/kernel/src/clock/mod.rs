//! Instants and durations.

mod clock_instant;
mod time_budget;

pub use clock_instant::ClockInstant;
pub use time_budget::TimeBudget;
