use std::{fs, io, rc::Rc};

use awc::{
    Client,
    http::{Method, StatusCode},
};
use bronzelb_http::{read_body, strict_connector};
use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
    status::NodeStatus,
};
use futures::future::join_all;
use serde::de::DeserializeOwned;

use crate::{nodes::NodeAddress, platform::wall_clock};

/// Size limit of a node's response.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Size limit of the token file.
const MAX_TOKEN_BYTES: usize = 4 * 1024;

/// HTTP client of the operators' listeners of nodes.
#[derive(Clone)]
pub(crate) struct NodeClient {
    client: Client,
    token: Option<Rc<str>>,
}

impl NodeClient {
    /// Builds a client that authenticates with the token in the file at `token_path`.
    pub(crate) fn new(token_path: Option<&str>) -> Result<Self, MeshError> {
        let token = token_path.map(read_token).transpose()?;
        let client = Client::builder()
            .connector(strict_connector())
            .disable_timeout()
            .disable_redirects()
            .finish();
        Ok(Self { client, token })
    }

    /// Requests the status of every node concurrently; the results are in the order of `addresses`.
    pub(crate) async fn statuses(
        &self,
        addresses: &[NodeAddress],
        deadline: ClockInstant,
    ) -> Vec<Result<NodeStatus, MeshError>> {
        let requests = addresses
            .iter()
            .map(|address| self.get(*address, "/v1/status", deadline));
        join_all(requests).await
    }

    /// Reads the JSON document at `path` of a node.
    ///
    /// # Errors
    ///
    /// Returns `NoBackend` if the node does not respond by `deadline` or its response is oversized
    /// or incomplete, `Unauthorized` if the token is missing or wrong, and `Invalid` if the response
    /// is malformed or has another status than 200.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        address: NodeAddress,
        path: &str,
        deadline: ClockInstant,
    ) -> Result<T, MeshError> {
        self.exchange(Method::GET, address, path, deadline).await
    }

    /// Posts to `path` of a node without a body, and reads the JSON document in the response.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`NodeClient::get`].
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        address: NodeAddress,
        path: &str,
        deadline: ClockInstant,
    ) -> Result<T, MeshError> {
        self.exchange(Method::POST, address, path, deadline).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        address: NodeAddress,
        path: &str,
        deadline: ClockInstant,
    ) -> Result<T, MeshError> {
        let remaining = deadline.remaining(wall_clock()).to_std();
        let exchange = self.exchange_without_timeout(method, address, path);
        match tokio::time::timeout(remaining, exchange).await {
            Ok(result) => result,
            Err(_) => Err(unreachable_error(address, "no answer in time")),
        }
    }

    async fn exchange_without_timeout<T: DeserializeOwned>(
        &self,
        method: Method,
        address: NodeAddress,
        path: &str,
    ) -> Result<T, MeshError> {
        let url = format!("http://{address}{path}");
        let mut request = self.client.request(method.clone(), url);
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let mut response = request
            .send()
            .await
            .map_err(|error| unreachable_error(address, &error.to_string()))?;
        let body = read_body(&method, &mut response, MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| unreachable_error(address, &error.to_string()))?;
        match response.status() {
            StatusCode::OK => serde_json::from_slice(&body).map_err(|error| {
                MeshError::invalid(format!("node {address} sent a malformed response: {error}"))
            }),
            StatusCode::UNAUTHORIZED => Err(MeshError::new(
                ErrorKind::Unauthorized,
                format!("node {address} requires the operators' token; give it with --token FILE"),
            )),
            status => Err(MeshError::invalid(format!(
                "node {address} responded with status {status}"
            ))),
        }
    }
}

fn unreachable_error(address: NodeAddress, reason: &str) -> MeshError {
    MeshError::new(
        ErrorKind::NoBackend,
        format!("node {address} does not answer: {reason}"),
    )
}

fn read_token(path: &str) -> Result<Rc<str>, MeshError> {
    let text = read_limited(path).map_err(|error| {
        MeshError::new(ErrorKind::LocalIo, format!("token file {path:?}: {error}"))
    })?;
    let token = text.trim();
    if token.is_empty() || !token.chars().all(|c| c.is_ascii_graphic()) {
        return Err(MeshError::invalid(format!(
            "token file {path:?} does not hold one line of visible ASCII characters"
        )));
    }
    Ok(Rc::from(token))
}

fn read_limited(path: &str) -> io::Result<String> {
    use io::Read;
    let mut text = String::new();
    fs::File::open(path)?
        .take(MAX_TOKEN_BYTES as u64)
        .read_to_string(&mut text)?;
    Ok(text)
}
