//! Running a request on a backend server, here or beside another node.

mod backend_client;
mod backend_connection;
mod claim_table;
mod crash_watch;
mod gate_keeper;
mod hop_headers;
mod keyed_request;
mod planned_request;
mod request_forwarder;
mod request_state;

pub use backend_client::BackendClient;
pub use hop_headers::is_hop_header;
pub use planned_request::{PlannedRequest, fingerprint};
pub use request_forwarder::RequestForwarder;
pub use request_state::RequestState;
