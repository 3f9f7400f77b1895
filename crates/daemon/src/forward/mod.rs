//! Running a request on a backend server, here or beside another node.

mod backend_client;
mod hop_headers;
mod planned_request;
mod request_forwarder;

pub use backend_client::BackendClient;
pub use hop_headers::is_hop_header;
pub use planned_request::PlannedRequest;
pub use request_forwarder::RequestForwarder;
