use std::{fmt::Display, net::SocketAddr, time::Duration};

use awc::{Client, http::Method};
use bronzelb_http::{read_body, strict_connector};
use bronzelb_kernel::error::{ErrorKind, MeshError};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// HTTP client that sends and receives JSON, for use on a single thread.
#[derive(Clone)]
pub struct JsonClient {
    client: Client,
}

impl JsonClient {
    /// Creates a client with its own connection pool.
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: Client::builder()
                .connector(strict_connector())
                .timeout(REQUEST_TIMEOUT)
                .finish(),
        }
    }

    /// Sends a GET request for `path` and decodes the response.
    ///
    /// # Errors
    ///
    /// `LocalIo` for a failed request or an error status, `Invalid` for a malformed response.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, MeshError> {
        let body = self.send(Method::GET, address, path, Bytes::new()).await?;
        decode(&body, path)
    }

    /// Sends `body` to `path` in a PUT request and discards the response body.
    ///
    /// # Errors
    ///
    /// `LocalIo` for a failed request or an error status.
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), MeshError> {
        let body = encode(body, path)?;
        self.send(Method::PUT, address, path, body)
            .await
            .map(|_| ())
    }

    /// Sends `body` to `path` in a POST request and decodes the response.
    ///
    /// # Errors
    ///
    /// `LocalIo` for a failed request or an error status, `Invalid` for a malformed response.
    pub async fn post<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, MeshError> {
        let body = encode(body, path)?;
        let body = self.send(Method::POST, address, path, body).await?;
        decode(&body, path)
    }

    /// Sends a DELETE request for `path`.
    ///
    /// # Errors
    ///
    /// `LocalIo` for a failed request or an error status.
    pub async fn delete(&self, address: SocketAddr, path: &str) -> Result<(), MeshError> {
        let body = Bytes::new();
        self.send(Method::DELETE, address, path, body)
            .await
            .map(|_| ())
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, MeshError> {
        let request = self
            .client
            .request(method.clone(), format!("http://{address}{path}"))
            .content_type("application/json");
        let mut response = request
            .send_body(body)
            .await
            .map_err(|error| io_error(path, &error))?;
        let status = response.status();
        let body = read_body(&method, &mut response, MAX_BODY_BYTES)
            .await
            .map_err(|error| io_error(path, &error))?;
        if status.is_success() {
            return Ok(body);
        }
        let text = String::from_utf8_lossy(&body);
        Err(io_error(path, &format!("status {status}: {text}")))
    }
}

impl Default for JsonClient {
    fn default() -> Self {
        Self::new()
    }
}

fn encode(body: &impl Serialize, path: &str) -> Result<Bytes, MeshError> {
    let text = serde_json::to_vec(body)
        .map_err(|error| MeshError::invalid(format!("request body for {path}: {error}")))?;
    Ok(Bytes::from(text))
}

fn decode<T: DeserializeOwned>(body: &[u8], path: &str) -> Result<T, MeshError> {
    serde_json::from_slice(body)
        .map_err(|error| MeshError::invalid(format!("response to {path}: {error}")))
}

fn io_error(path: &str, error: &impl Display) -> MeshError {
    MeshError::new(ErrorKind::LocalIo, format!("{path}: {error}"))
}
