use serde::{Deserialize, Serialize};

use crate::ids::DataCentre;

/// Settings of the proxies in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySpec {
    /// Other data centres in the order of spillover, nearest first.
    pub spill_order: Vec<DataCentre>,
}
