//! Operators' orders on where requests may be placed.

mod evacuation_order;
mod evacuation_table;

pub use evacuation_order::{EVACUATION_KIND, EvacuationOrder};
pub use evacuation_table::{EvacuationEntry, EvacuationTable};
