use serde::{Deserialize, Serialize};

use crate::ids::DataCentre;

/// The part of a configuration that differs between the proxies of different data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySpec {
    /// Other data centres in the order in which load spills to them, nearest first.
    pub spill_order: Vec<DataCentre>,
}
