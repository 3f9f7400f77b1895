use std::{fmt, str::FromStr};

use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{
    clock::TimeBudget,
    config::{RequestPriority, RouteTraffic},
    error::MeshError,
    ids::{ByteCount, ServiceName},
};

/// A route: the requests that it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// Path prefix that the route matches; the longest matching prefix wins.
    pub path: CompactString,
    /// Methods that the route matches; empty matches every method.
    pub methods: Vec<HttpMethod>,
    /// Service that handles the requests.
    pub service: ServiceName,
    /// Priority of the requests under load.
    pub priority: RequestPriority,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Timeout of a request that carries no deadline.
    pub timeout: TimeBudget,
    /// Size limit of a request's body.
    pub max_body: ByteCount,
    /// Service-level objective of the route.
    pub objective: RouteObjective,
    /// Host that the route matches, and how it distributes its requests.
    #[serde(default, skip_serializing_if = "RouteTraffic::is_default")]
    pub traffic: RouteTraffic,
}

impl RouteRule {
    /// Upper bound of `max_body`; nodes buffer request bodies in memory.
    pub const MAX_BODY: ByteCount = ByteCount::new(8 * 1024 * 1024);

    /// Returns the service that handles a request; `random` is uniformly distributed.
    #[must_use]
    pub fn choose_service(&self, random: u64) -> &ServiceName {
        self.traffic.choose(random).unwrap_or(&self.service)
    }

    /// Returns every service that may handle the route's requests.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let is_split = !self.traffic.split.is_empty();
        let single = (!is_split).then_some(&self.service);
        single.into_iter().chain(self.traffic.split.keys())
    }
}

/// Service-level objective of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteObjective {
    /// Share of requests that must succeed within the latency.
    pub success: ShareRatio,
    /// Latency within which a request counts as successful.
    pub latency: TimeBudget,
}

impl RouteObjective {
    /// Builds an objective with a latency and the default success share.
    #[must_use]
    pub const fn with_latency(latency: TimeBudget) -> Self {
        Self {
            success: DEFAULT_SUCCESS_SHARE,
            latency,
        }
    }
}

/// Success share of an objective that does not state one.
const DEFAULT_SUCCESS_SHARE: ShareRatio = ShareRatio::from_ppm(999_000);

/// HTTP method that a route matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum HttpMethod {
    /// `GET`
    Get,
    /// `HEAD`
    Head,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `PATCH`
    Patch,
    /// `DELETE`
    Delete,
    /// `OPTIONS`
    Options,
}

impl HttpMethod {
    /// Every method that a route can match.
    pub const ALL: [Self; 7] = [
        Self::Get,
        Self::Head,
        Self::Post,
        Self::Put,
        Self::Patch,
        Self::Delete,
        Self::Options,
    ];

    /// Returns the method's name in HTTP requests.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Patch => "PATCH",
            Self::Delete => "DELETE",
            Self::Options => "OPTIONS",
        }
    }
}

impl fmt::Display for HttpMethod {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for HttpMethod {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|method| method.name() == text)
            .ok_or_else(|| {
                MeshError::invalid(format!(
                    "method {text:?} is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"
                ))
            })
    }
}

/// A share between 0% and 100%, in parts per million.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::config::ShareRatio;
///
/// let share: ShareRatio = "99.9%".parse()?;
/// assert_eq!(share.as_ppm(), 999_000);
/// assert_eq!(share.to_string(), "99.9%");
/// # Ok::<(), bronzelb_kernel::error::MeshError>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareRatio(u32);

impl ShareRatio {
    /// 0%.
    pub const NONE: Self = Self(0);
    /// 100%.
    pub const ALL: Self = Self(PPM_PER_WHOLE);

    /// Builds a share from parts per million, at most [`ShareRatio::ALL`].
    #[must_use]
    pub const fn from_ppm(ppm: u32) -> Self {
        Self(if ppm > PPM_PER_WHOLE {
            PPM_PER_WHOLE
        } else {
            ppm
        })
    }

    /// Returns the share in parts per million.
    #[must_use]
    pub const fn as_ppm(self) -> u32 {
        self.0
    }

    /// Returns the share as a number between zero and one.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(PPM_PER_WHOLE)
    }
}

const PPM_PER_WHOLE: u32 = 1_000_000;
const PPM_PER_PERCENT: f64 = 10_000.0;

impl fmt::Display for ShareRatio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / PPM_PER_PERCENT)
    }
}

impl FromStr for ShareRatio {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let percent = text
            .strip_suffix('%')
            .and_then(|digits| digits.parse::<f64>().ok())
            .filter(|percent| (0.0..=100.0).contains(percent))
            .ok_or_else(|| {
                MeshError::invalid(format!(
                    "share {text:?} is not a percentage between 0% and 100%, such as \"99.9%\""
                ))
            })?;
        Ok(Self((percent * PPM_PER_PERCENT).round() as u32))
    }
}

impl Serialize for ShareRatio {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_u32(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for ShareRatio {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = CompactString::deserialize(deserializer)?;
            text.parse().map_err(de::Error::custom)
        } else {
            u32::deserialize(deserializer).map(Self::from_ppm)
        }
    }
}
