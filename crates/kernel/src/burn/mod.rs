//! Service-level burn: how fast the routes spend the errors that their objectives allow.

mod burn_report;
mod burn_table;

pub use burn_report::{BurnLine, BurnReport, BurnSpend, BurnWindow};
pub use burn_table::{BurnCell, BurnKey, BurnRow, BurnTable, NodeBurn};
