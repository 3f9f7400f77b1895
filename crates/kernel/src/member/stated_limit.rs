use serde::{Deserialize, Serialize};

use crate::ids::RequestRate;

/// What is known of the rate limit that a backend server states in its responses.
///
/// The limit applies to the requests of all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StatedLimit {
    /// No response has been read, or its statement was unreadable.
    #[default]
    Unknown,
    /// The latest response stated no limit.
    Unlimited,
    /// The latest response stated this limit.
    Limited(RequestRate),
}

impl StatedLimit {
    /// Reads the value of the response header that states the limit; `None` if it is absent.
    #[must_use]
    pub fn from_header(value: Option<&[u8]>) -> Self {
        let Some(value) = value else {
            return Self::Unlimited;
        };
        let text = std::str::from_utf8(value).ok();
        let rate = text.and_then(|text| text.parse().ok());
        rate.map_or(Self::Unknown, Self::Limited)
    }

    /// Returns the rate, if a limit is stated.
    #[must_use]
    pub const fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unknown | Self::Unlimited => None,
        }
    }
}
