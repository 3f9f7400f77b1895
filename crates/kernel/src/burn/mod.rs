//! Error budget burn: how fast the routes spend the error budgets of their objectives.

mod burn_report;
mod burn_table;

pub use burn_report::{BurnLine, BurnReport, BurnSpend, BurnWindow};
pub use burn_table::{BurnCell, BurnKey, BurnRow, BurnTable, NodeBurn};
