use std::{net::SocketAddr, time::Duration};

use awc::{
    Client,
    error::SendRequestError,
    http::{Method, StatusCode, header::HeaderMap},
};
use bronzelb_http::{BodyError, read_body, strict_connector};
use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
};
use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::{client::PlatformTarget, http::wall_clock};

/// Longer than a round trip between regions; needed because an unreachable platform never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Shorter than the 15 s or more for which servers usually keep idle connections open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_CONNECTIONS: usize = 16;

/// HTTP/1.1 client for one platform; every request has a deadline.
///
/// A connection failure, an expired deadline, a status of 429 or above 499, and a malformed or
/// truncated response all result in [`ErrorKind::PlatformAway`].
pub struct HttpClient {
    client: Client,
    address: SocketAddr,
}

/// A complete response from the platform.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] if the status is not a success.
    pub fn into_body(self) -> Result<Bytes, MeshError> {
        if self.status.is_success() {
            return Ok(self.body);
        }
        Err(MeshError::invalid(format!(
            "platform rejected the request with status {}",
            self.status
        )))
    }
}

/// Deserializes the JSON body of a response.
///
/// # Errors
///
/// [`ErrorKind::Invalid`] if the body is malformed.
pub fn decode_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, MeshError> {
    serde_json::from_slice(body)
        .map_err(|error| MeshError::invalid(format!("malformed platform response: {error}")))
}

/// A request to the platform.
#[derive(Debug)]
pub struct HttpRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query, percent-encoded.
    pub path: &'a str,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Complete request body.
    pub body: Bytes,
    /// Maximum size of the response body in bytes.
    pub max_bytes: usize,
}

impl HttpClient {
    /// Creates a client; the first request opens the first connection.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] if the target's address is not an IP address with a port.
    pub fn new(target: &PlatformTarget) -> Result<Self, MeshError> {
        let address = target.address.parse().map_err(|_| {
            MeshError::invalid(format!(
                "platform address {:?} is not an IP address with a port, such as \"10.1.0.4:8080\"",
                target.address
            ))
        })?;
        let mut connector = strict_connector()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(IDLE_TIMEOUT)
            .limit(MAX_CONNECTIONS);
        if let Some(local_address) = target.local_address {
            connector = connector.local_address(local_address);
        }
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Ok(Self { client, address })
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PlatformAway`] if the platform does not respond by `deadline`, and
    /// [`ErrorKind::TooLarge`] if the response body exceeds the request's limit.
    pub async fn send(
        &self,
        request: HttpRequest<'_>,
        deadline: ClockInstant,
    ) -> Result<HttpResponse, MeshError> {
        let remaining = deadline.remaining(wall_clock()).to_std();
        match tokio::time::timeout(remaining, self.send_without_deadline(request)).await {
            Ok(result) => result,
            Err(_) => Err(self.unavailable("no response before the deadline")),
        }
    }

    async fn send_without_deadline(
        &self,
        request: HttpRequest<'_>,
    ) -> Result<HttpResponse, MeshError> {
        let url = format!("http://{}{}", self.address, request.path);
        let (method, max_bytes) = (request.method, request.max_bytes);
        let mut response = self
            .client
            .request(method.clone(), url)
            .content_type(request.content_type)
            .send_body(request.body)
            .await
            .map_err(|error| self.send_error(&error))?;
        let status = response.status();
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            return Err(self.unavailable(status.as_str()));
        }
        let headers = response.headers().clone();
        let body = read_body(&method, &mut response, max_bytes)
            .await
            .map_err(|error| self.body_error(&error))?;
        Ok(HttpResponse {
            status,
            headers,
            body,
        })
    }

    fn send_error(&self, error: &SendRequestError) -> MeshError {
        match error {
            SendRequestError::Url(_) | SendRequestError::Http(_) => {
                MeshError::invalid(format!("request to platform {}: {error}", self.address))
            }
            _ => self.unavailable(&error.to_string()),
        }
    }

    fn body_error(&self, error: &BodyError) -> MeshError {
        match error {
            BodyError::TooLarge { .. } => MeshError::new(
                ErrorKind::TooLarge,
                format!("platform {}: {error}", self.address),
            ),
            _ => self.unavailable(&error.to_string()),
        }
    }

    fn unavailable(&self, reason: &str) -> MeshError {
        MeshError::new(
            ErrorKind::PlatformAway,
            format!("platform {}: {reason}", self.address),
        )
    }
}
