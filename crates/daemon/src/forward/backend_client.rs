use std::{net::SocketAddr, sync::Arc};

use actix_web::http::{Method, header::HeaderName};
use awc::{Client, Connector, error::SendRequestError};
use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
    ids::BackendName,
};
use bronzelb_wire::peer::{ForwardAnswer, ForwardRequest, HeaderPair};
use bytes::Bytes;

use crate::{forward::is_hop_header, node::NodeState};

const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
const REQUEST_HEADER: &str = "x-bronzelb-request";
const DEADLINE_HEADER: &str = "x-bronzelb-deadline-ms";

/// Client of the backend servers beside this node.
pub struct BackendClient {
    state: Arc<NodeState>,
    client: Client,
}

impl BackendClient {
    /// Builds a client with a connection pool of its own, for one thread.
    #[must_use]
    pub fn new(state: Arc<NodeState>) -> Self {
        let client = Client::builder()
            .connector(Connector::new())
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish();
        Self { state, client }
    }

    /// Runs a request on the backend server `name` and returns its whole answer.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoBackend`] when the server is not beside this node or refuses connections,
    /// [`ErrorKind::BackendFailed`] when it breaks off or answers for another request, and
    /// [`ErrorKind::OutcomeUnknown`] when the deadline passes while it runs.
    pub async fn run(
        &self,
        name: &BackendName,
        deadline: ClockInstant,
        message: &ForwardRequest,
    ) -> Result<ForwardAnswer, MeshError> {
        let address = self.address(name)?;
        let left = deadline.left(self.state.now());
        if left.is_zero() {
            return Err(MeshError::new(
                ErrorKind::DeadlinePassed,
                "the deadline passed before the request ran",
            ));
        }
        let exchange = self.exchange(address, left.as_millis(), message);
        match tokio::time::timeout(left.to_std(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(MeshError::new(
                ErrorKind::OutcomeUnknown,
                format!("backend server {name} did not answer before the deadline"),
            )),
        }
    }

    fn address(&self, name: &BackendName) -> Result<SocketAddr, MeshError> {
        let backends = self.state.backends();
        let now = self.state.now();
        let entry = backends
            .get(name)
            .filter(|entry| !entry.lease_deadline.has_passed(now));
        let entry = entry.ok_or_else(|| {
            MeshError::new(
                ErrorKind::NoBackend,
                format!("backend server {name} is not beside this node"),
            )
        })?;
        Ok(entry.announcement.address)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        left_ms: u64,
        message: &ForwardRequest,
    ) -> Result<ForwardAnswer, MeshError> {
        let method = Method::from_bytes(message.method.name().as_bytes())
            .expect("the method names are valid");
        let uri = format!("http://{address}{}", message.target);
        let mut request = self.client.request(method, uri);
        for pair in &message.headers {
            request = request.append_header((pair.name.as_str(), pair.value.as_ref()));
        }
        request = request
            .insert_header((REQUEST_HEADER, message.request_id.as_str()))
            .insert_header((DEADLINE_HEADER, left_ms.to_string()));
        let mut response = request
            .send_body(message.body.clone())
            .await
            .map_err(|error| send_error(&error))?;
        let echoed = response.headers().get(REQUEST_HEADER);
        if echoed.is_some_and(|echo| echo.as_bytes() != message.request_id.as_bytes()) {
            return Err(MeshError::new(
                ErrorKind::BackendFailed,
                "the backend server answered for another request",
            ));
        }
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| !is_hop_header(name.as_str()))
            .map(|(name, value)| header_pair(name, value.as_bytes()))
            .collect();
        let status = response.status().as_u16();
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|error| {
                MeshError::new(ErrorKind::BackendFailed, format!("answer body: {error}"))
            })?;
        Ok(ForwardAnswer {
            status,
            headers,
            body,
        })
    }
}

fn header_pair(name: &HeaderName, value: &[u8]) -> HeaderPair {
    HeaderPair {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value),
    }
}

fn send_error(error: &SendRequestError) -> MeshError {
    match error {
        SendRequestError::Connect(_) => MeshError::new(
            ErrorKind::NoBackend,
            format!("backend server does not accept the connection: {error}"),
        ),
        _ => MeshError::new(
            ErrorKind::BackendFailed,
            format!("backend server broke off: {error}"),
        ),
    }
}
