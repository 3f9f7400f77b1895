use serde::{Deserialize, Serialize};

use crate::ids::DataCentre;

/// Settings of the proxies, the nodes of the mesh, in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySpec {
    /// Other data centres to which excess load spills over, nearest first.
    pub spill_order: Vec<DataCentre>,
}
