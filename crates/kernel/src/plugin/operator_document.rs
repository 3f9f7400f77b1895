use crate::{
    clock::TimeBudget,
    config::ConfigSnapshot,
    error::MeshError,
    ids::{BuildVersion, DataCentre, MeshName, MoveNumber, ServiceName, VersionNumber},
    placement::EvacuationOrder,
};

/// Values that operators' documents do not state; the node that reads the documents supplies them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentContext {
    /// Mesh that the documents apply to.
    pub mesh: MeshName,
    /// Every data centre of the mesh, in the order in which load spills over.
    pub data_centres: Vec<DataCentre>,
}

/// A document that an operator wrote to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorDocument {
    /// A whole configuration.
    Config {
        /// Number of the version.
        number: VersionNumber,
        /// Content of the version.
        snapshot: Box<ConfigSnapshot>,
    },
    /// An order to move a service's traffic to a version.
    Move(MoveOrder),
    /// Whether a data centre is to be evacuated.
    Evacuation(EvacuationOrder),
    /// A document that could not be parsed; the active state stays unchanged.
    Unreadable(MeshError),
}

/// An operator's order to move a service's traffic to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveOrder {
    /// Service whose traffic is to move.
    pub service: ServiceName,
    /// Version that the traffic is moved to.
    pub target: BuildVersion,
    /// Time limit of the move, counted from the order.
    pub timeout: TimeBudget,
    /// Number of the move; a later order of the service has a higher one.
    pub number: MoveNumber,
}
