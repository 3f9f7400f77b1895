//! Forwarding of requests to backend servers on this node and on other nodes.

mod account_gate;
mod backend_client;
mod backend_connection;
mod claim_table;
mod concurrency_limiter;
mod crash_registry;
mod drain_gate;
mod hop_headers;
mod keyed_request;
mod limit_monitor;
mod request_forwarder;
mod request_state;
mod routed_request;

pub(crate) use account_gate::{account_headers, account_name, recheck_account};
pub use backend_client::BackendClient;
pub use hop_headers::is_hop_header;
pub use request_forwarder::RequestForwarder;
pub use request_state::RequestState;
pub use routed_request::{RoutedRequest, fingerprint};
