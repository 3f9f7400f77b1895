use std::{collections::BTreeMap, str::FromStr};

use bronzelb_kernel::{config::HttpMethod, error::MeshError};
use bytes::Bytes;

use crate::http::CallRequest;

/// Request template of a load, with its weight relative to other routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadRoute {
    /// Name shown in the report.
    pub name: String,
    /// Method of the requests.
    pub method: HttpMethod,
    /// Path of the requests; each request appends a unique query.
    pub path: String,
    /// Weight relative to the load's other routes.
    pub weight: u32,
    /// Whether each request carries a unique idempotency key.
    pub is_keyed: bool,
    /// Size of each request body in bytes.
    pub body_bytes: usize,
    /// Deadline sent with each request; a response by then counts as in time.
    pub deadline_ms: u64,
    /// Additional headers by name.
    pub headers: BTreeMap<String, String>,
}

impl LoadRoute {
    /// Creates a GET route with weight 1 and a deadline of 1 s.
    pub fn get(path: impl Into<String>) -> Self {
        let path = path.into();
        Self {
            name: path.clone(),
            method: HttpMethod::Get,
            path,
            weight: 1,
            is_keyed: false,
            body_bytes: 0,
            deadline_ms: 1_000,
            headers: BTreeMap::new(),
        }
    }

    /// Creates a POST route with idempotency keys and a body of 100 bytes.
    pub fn keyed_post(path: impl Into<String>) -> Self {
        Self {
            method: HttpMethod::Post,
            is_keyed: true,
            body_bytes: 100,
            ..Self::get(path)
        }
    }

    /// Sets the weight.
    #[must_use]
    pub const fn with_weight(mut self, weight: u32) -> Self {
        self.weight = weight;
        self
    }

    /// Sets the deadline.
    #[must_use]
    pub const fn with_deadline_ms(mut self, millis: u64) -> Self {
        self.deadline_ms = millis;
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.insert(name.into(), value.into());
        self
    }

    /// Builds a request that `token` makes unique.
    pub(crate) fn request(&self, token: &str, body: &Bytes) -> CallRequest {
        let mut request = CallRequest::new(self.method, format!("{}?load={token}", self.path));
        request.headers.clone_from(&self.headers);
        request.body = body.slice(..self.body_bytes.min(body.len()));
        if self.is_keyed {
            request = request.with_key(token);
        }
        request.with_deadline_ms(self.deadline_ms)
    }
}

impl FromStr for LoadRoute {
    type Err = MeshError;

    /// Parses `METHOD PATH`, `METHOD PATH WEIGHT` or `METHOD PATH WEIGHT DEADLINE_MS`; a POST
    /// carries idempotency keys.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<_> = text.split_whitespace().collect();
        let (method, path, numbers) = match parts.as_slice() {
            [method, path, numbers @ ..] if numbers.len() <= 2 => (method, path, numbers),
            _ => return Err(route_error(text)),
        };
        let method: HttpMethod = method.parse()?;
        let mut route = match method {
            HttpMethod::Post => Self::keyed_post(*path),
            _ => Self::get(*path),
        };
        route.method = method;
        if let Some(weight) = numbers.first() {
            route.weight = weight.parse().map_err(|_| route_error(text))?;
        }
        if let Some(deadline) = numbers.get(1) {
            route.deadline_ms = deadline.parse().map_err(|_| route_error(text))?;
        }
        Ok(route)
    }
}

fn route_error(text: &str) -> MeshError {
    MeshError::invalid(format!(
        "load route {text:?} is not \"METHOD PATH [WEIGHT [DEADLINE_MS]]\", such as \"GET /a 3\""
    ))
}
