use std::{net::SocketAddr, time::Duration};

use awc::{
    Client, Connector,
    error::{PayloadError, SendRequestError},
    http::{
        Method, StatusCode,
        header::{CONTENT_LENGTH, HeaderMap},
    },
};
use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
};
use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::{client::PlatformTarget, http::wall_clock};

/// Longer than a round trip between regions; a platform that is cut off does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Below the 15 s and more for which servers usually keep idle connections open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_CONNECTIONS: usize = 16;

/// HTTP/1.1 exchanges with one platform, each ended by its deadline.
///
/// A failed connection, a passed deadline, a status of 429 or above 499 and a body that was cut
/// short are [`ErrorKind::PlatformAway`].
pub struct HttpExchange {
    client: Client,
    address: SocketAddr,
}

/// A whole answer of the platform.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Whole body of the answer.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Returns the body of an answer with success.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] when the platform refused the request.
    pub fn into_body(self) -> Result<Bytes, MeshError> {
        if self.status.is_success() {
            return Ok(self.body);
        }
        Err(MeshError::invalid(format!(
            "platform refused the request with status {}",
            self.status
        )))
    }
}

/// Decodes the JSON body of an answer.
///
/// # Errors
///
/// [`ErrorKind::Invalid`] when it is malformed.
pub fn decode_answer<T: DeserializeOwned>(body: &[u8]) -> Result<T, MeshError> {
    serde_json::from_slice(body)
        .map_err(|error| MeshError::invalid(format!("answer of the platform: {error}")))
}

/// A request to the platform.
#[derive(Debug)]
pub struct HttpCall<'a> {
    /// Method of the request.
    pub method: Method,
    /// Path and query, percent-encoded.
    pub path: &'a str,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Whole body.
    pub body: Bytes,
    /// Size limit of the answer's body, in bytes.
    pub max_bytes: usize,
}

impl HttpExchange {
    /// Builds a client; no connection is opened before the first call.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] when the target's address is not an IP number with a port.
    pub fn new(target: &PlatformTarget) -> Result<Self, MeshError> {
        let address = target.address.parse().map_err(|_| {
            MeshError::invalid(format!(
                "platform address {:?} is not an IP address with a port, such as \"10.1.0.4:8080\"",
                target.address
            ))
        })?;
        let mut connector = Connector::new()
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

    /// Makes a call and returns its whole answer.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PlatformAway`] when the platform does not answer by `deadline`, and
    /// [`ErrorKind::TooLarge`] when the answer exceeds the call's limit.
    pub async fn call(
        &self,
        call: HttpCall<'_>,
        deadline: ClockInstant,
    ) -> Result<HttpAnswer, MeshError> {
        let left = deadline.remaining(wall_clock()).to_std();
        match tokio::time::timeout(left, self.call_unbounded(call)).await {
            Ok(result) => result,
            Err(_) => Err(self.away("no answer by the deadline")),
        }
    }

    async fn call_unbounded(&self, call: HttpCall<'_>) -> Result<HttpAnswer, MeshError> {
        let url = format!("http://{}{}", self.address, call.path);
        let max_bytes = call.max_bytes;
        let mut response = self
            .client
            .request(call.method, url)
            .content_type(call.content_type)
            .send_body(call.body)
            .await
            .map_err(|error| self.send_error(&error))?;
        let status = response.status();
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            return Err(self.away(status.as_str()));
        }
        let length = content_length(response.headers());
        let body = response
            .body()
            .limit(max_bytes)
            .await
            .map_err(|error| self.body_error(&error, max_bytes))?;
        // The client library passes a body that ends early as a whole one.
        if length.is_some_and(|length| length != body.len()) {
            return Err(self.away("the answer's body is cut short"));
        }
        Ok(HttpAnswer { status, body })
    }

    fn send_error(&self, error: &SendRequestError) -> MeshError {
        match error {
            SendRequestError::Url(_) | SendRequestError::Http(_) => {
                MeshError::invalid(format!("request to platform {}: {error}", self.address))
            }
            _ => self.away(&error.to_string()),
        }
    }

    fn body_error(&self, error: &PayloadError, max_bytes: usize) -> MeshError {
        if matches!(error, PayloadError::Overflow) {
            return MeshError::new(
                ErrorKind::TooLarge,
                format!(
                    "answer of platform {} exceeds {max_bytes} bytes",
                    self.address
                ),
            );
        }
        self.away(&error.to_string())
    }

    fn away(&self, reason: &str) -> MeshError {
        MeshError::new(
            ErrorKind::PlatformAway,
            format!("platform {}: {reason}", self.address),
        )
    }
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
