use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use awc::{Client, http::Method};
use bronzelb_http::{read_body, strict_connector};
use bronzelb_kernel::{
    config::HttpMethod,
    error::{ErrorKind, MeshError},
};
use bytes::Bytes;

use crate::backend::ResponseBody;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const MAX_CONNECTIONS: usize = 4096;

/// HTTP request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Method of the request.
    pub method: HttpMethod,
    /// Path and query of the request.
    pub target: String,
    /// Headers by name.
    pub headers: BTreeMap<String, String>,
    /// Body of the request.
    pub body: Bytes,
    /// Time until the caller cancels the request.
    pub timeout: Duration,
}

/// Complete HTTP response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body of the response.
    pub body: Bytes,
}

/// HTTP client of a caller, for use on a single thread.
#[derive(Clone)]
pub struct CallerClient {
    client: Client,
}

impl CallRequest {
    /// Creates a request without headers or body.
    pub fn new(method: HttpMethod, target: impl Into<String>) -> Self {
        Self {
            method,
            target: target.into(),
            headers: BTreeMap::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Creates a GET request.
    pub fn get(target: impl Into<String>) -> Self {
        Self::new(HttpMethod::Get, target)
    }

    /// Creates a POST request with a body.
    pub fn post(target: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            body: body.into(),
            ..Self::new(HttpMethod::Post, target)
        }
    }

    /// Sets a header.
    #[must_use]
    pub fn with_header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.insert(name.into(), value.into());
        self
    }

    /// Sets the `idempotency-key` header.
    #[must_use]
    pub fn with_key(self, key: impl Into<String>) -> Self {
        self.with_header("idempotency-key", key)
    }

    /// Sets the remaining time until the caller's deadline, in milliseconds.
    #[must_use]
    pub fn with_deadline_ms(self, millis: u64) -> Self {
        self.with_header("x-bronzelb-deadline-ms", millis.to_string())
    }

    /// Sets the time until the caller cancels the request.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

impl CallResponse {
    /// Returns the value of a header, or an empty string if it is absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the run state that the mesh reports: `ran`, `not-run`, `outcome-unknown` or an empty
    /// string.
    #[must_use]
    pub fn run_state(&self) -> &str {
        self.header("x-bronzelb-run")
    }

    /// Decodes the response body of a backend stand-in.
    ///
    /// # Errors
    ///
    /// `Invalid` when the body has a different format.
    pub fn response_body(&self) -> Result<ResponseBody, MeshError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| MeshError::invalid(format!("response body {:?}: {error}", self.body)))
    }

    /// Returns whether this is the response of a backend stand-in to `request`.
    #[must_use]
    pub fn is_response_to(&self, request: &CallRequest) -> bool {
        self.response_body().is_ok_and(|body| {
            body.target == request.target
                && body.method == request.method.name()
                && body.body_bytes == request.body.len()
        })
    }
}

impl CallerClient {
    /// Creates a client with its own connection pool.
    #[must_use]
    pub fn new() -> Self {
        let connector = strict_connector()
            .timeout(CONNECT_TIMEOUT)
            .limit(MAX_CONNECTIONS);
        let client = Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self { client }
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the connection fails or no complete response arrives within the timeout.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &CallRequest,
    ) -> Result<CallResponse, MeshError> {
        match tokio::time::timeout(request.timeout, self.exchange(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(call_error(&format!(
                "no response within {:?}",
                request.timeout
            ))),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &CallRequest,
    ) -> Result<CallResponse, MeshError> {
        let method = Method::from_bytes(request.method.name().as_bytes())
            .expect("HTTP method name is valid");
        let url = format!("http://{address}{}", request.target);
        let mut message = self.client.request(method.clone(), url);
        for (name, value) in &request.headers {
            message = message.insert_header((name.as_str(), value.as_str()));
        }
        let mut response = message
            .send_body(request.body.clone())
            .await
            .map_err(|error| call_error(&error.to_string()))?;
        let headers: BTreeMap<_, _> = response
            .headers()
            .iter()
            .map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                (name.as_str().to_owned(), value)
            })
            .collect();
        let body = read_body(&method, &mut response, MAX_BODY_BYTES)
            .await
            .map_err(|error| call_error(&error.to_string()))?;
        Ok(CallResponse {
            status: response.status().as_u16(),
            headers,
            body,
        })
    }
}

impl Default for CallerClient {
    fn default() -> Self {
        Self::new()
    }
}

fn call_error(message: &str) -> MeshError {
    MeshError::new(ErrorKind::LocalIo, format!("call: {message}"))
}
