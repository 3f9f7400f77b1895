use std::{fs, io, rc::Rc};

use awc::{
    Client,
    http::{Method, StatusCode},
};
use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
    status::NodeStatus,
};
use futures::future::join_all;
use serde::de::DeserializeOwned;

use crate::{nodes::NodeAddress, platform::wall_clock};

/// Size limit of a node's answer.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Size limit of the file with the operators' token.
const MAX_TOKEN_BYTES: usize = 4 * 1024;

/// Client of the operators' listeners of nodes.
#[derive(Clone)]
pub(crate) struct NodeClient {
    client: Client,
    token: Option<Rc<str>>,
}

impl NodeClient {
    /// Builds a client that sends the token in the file at `token_path`.
    pub(crate) fn new(token_path: Option<&str>) -> Result<Self, MeshError> {
        let token = token_path.map(read_token).transpose()?;
        let client = Client::builder()
            .disable_timeout()
            .disable_redirects()
            .finish();
        Ok(Self { client, token })
    }

    /// Asks every node at once; the answers are in the order of `addresses`.
    pub(crate) async fn statuses(
        &self,
        addresses: &[NodeAddress],
        deadline: ClockInstant,
    ) -> Vec<Result<NodeStatus, MeshError>> {
        let asked = addresses
            .iter()
            .map(|address| self.get(*address, "/v1/status", deadline));
        join_all(asked).await
    }

    /// Reads the JSON document at `path` of a node.
    ///
    /// # Errors
    ///
    /// `NoBackend` when the node does not answer by `deadline`, `Unauthorized` when the token is
    /// missing or wrong, and `Invalid` for an answer that is malformed or oversized.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        address: NodeAddress,
        path: &str,
        deadline: ClockInstant,
    ) -> Result<T, MeshError> {
        self.exchange(Method::GET, address, path, deadline).await
    }

    /// Posts to `path` of a node, without a body, and reads the JSON document that it answers.
    ///
    /// # Errors
    ///
    /// As [`NodeClient::get`].
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
        let left = deadline.remaining(wall_clock()).to_std();
        let exchange = self.exchange_unbounded(method, address, path);
        match tokio::time::timeout(left, exchange).await {
            Ok(result) => result,
            Err(_) => Err(silent(address, "no answer in time")),
        }
    }

    async fn exchange_unbounded<T: DeserializeOwned>(
        &self,
        method: Method,
        address: NodeAddress,
        path: &str,
    ) -> Result<T, MeshError> {
        let url = format!("http://{address}{path}");
        let mut request = self.client.request(method, url);
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let mut response = request
            .send()
            .await
            .map_err(|error| silent(address, &error.to_string()))?;
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|error| silent(address, &error.to_string()))?;
        match response.status() {
            StatusCode::OK => serde_json::from_slice(&body).map_err(|error| {
                MeshError::invalid(format!("node {address} sent a malformed answer: {error}"))
            }),
            StatusCode::UNAUTHORIZED => Err(MeshError::new(
                ErrorKind::Unauthorized,
                format!("node {address} wants the operators' token; give it with --token FILE"),
            )),
            status => Err(MeshError::invalid(format!(
                "node {address} answered {status}"
            ))),
        }
    }
}

fn silent(address: NodeAddress, reason: &str) -> MeshError {
    MeshError::new(
        ErrorKind::NoBackend,
        format!("node {address} does not answer: {reason}"),
    )
}

fn read_token(path: &str) -> Result<Rc<str>, MeshError> {
    let text = read_small(path).map_err(|error| {
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

fn read_small(path: &str) -> io::Result<String> {
    use io::Read;
    let mut text = String::new();
    fs::File::open(path)?
        .take(MAX_TOKEN_BYTES as u64)
        .read_to_string(&mut text)?;
    Ok(text)
}
