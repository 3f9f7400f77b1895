//! HTTP servers for operators, metrics and the VM's backend servers.

mod backend_endpoints;
mod limited_server;
mod local_server;
mod metric_server;
mod node_status;
mod operator_guard;
mod operator_server;
mod request_timeout;
mod status_endpoints;

pub use local_server::start_local_server;
pub use metric_server::start_metric_server;
pub use operator_guard::is_operator_allowed;
pub use operator_server::start_operator_server;
