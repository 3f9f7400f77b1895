//! Status that a node reports to operators at `GET /v1/status`.

mod account_status;
mod evacuation_status;
mod member_status;
mod node_status;
mod refused_version;

pub use account_status::AccountStatus;
pub use evacuation_status::EvacuationStatus;
pub use member_status::MemberStatus;
pub use node_status::NodeStatus;
pub use refused_version::RefusedVersion;
