//! Mesh configuration: its types, validation and versions.

mod account_spec;
mod caller_limits;
mod config_check;
mod config_snapshot;
mod proxy_spec;
mod request_priority;
mod route_index;
mod route_rule;
mod route_traffic;
mod service_spec;
mod version_stamp;

pub use account_spec::{AccountSpec, UsageCap};
pub use caller_limits::CallerLimits;
pub use config_check::{ConfigProblem, MAX_DATA_CENTRES, check_snapshot};
pub use config_snapshot::{ConfigSnapshot, ConfigVersion, MAX_SNAPSHOT_BYTES};
pub(crate) use config_snapshot::{parse_snapshot, verify_content};
pub use proxy_spec::ProxySpec;
pub use request_priority::RequestPriority;
pub use route_index::RouteIndex;
pub use route_rule::{HttpMethod, RouteObjective, RouteRule, ShareRatio};
pub use route_traffic::RouteTraffic;
pub use service_spec::{RolloutRule, ServiceSpec, WarmUpRule};
pub use version_stamp::VersionStamp;
