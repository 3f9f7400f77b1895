//! Instants and budgets of time.

mod clock_instant;
mod time_budget;

pub use clock_instant::ClockInstant;
pub use time_budget::TimeBudget;
