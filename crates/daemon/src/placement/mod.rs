//! Operators' orders on where requests may be placed.

mod evacuation_orders;
mod placement_state;

pub(crate) use evacuation_orders::{
    accept_due_evacuations, apply_evacuation, apply_evacuation_record,
};
pub use placement_state::PlacementState;
