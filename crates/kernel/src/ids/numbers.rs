use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::error::MeshError;

macro_rules! number_newtype {
    ($(#[$meta:meta])* $name:ident, $repr:ty, $label:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($repr);

        impl $name {
            /// Builds a value from its number.
            #[must_use]
            pub const fn new(value: $repr) -> Self {
                Self(value)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> $repr {
                self.0
            }

            /// Returns the next number, saturating at the largest.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = MeshError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| {
                    MeshError::invalid(format!("{} {text:?} is not a whole number", $label))
                })
            }
        }
    };
}

number_newtype!(
    /// Number of a configuration version; a higher one replaces a lower one.
    VersionNumber, u64, "configuration version"
);
number_newtype!(
    /// Number of one run of a node; each start uses a higher one.
    IncarnationNumber, u64, "incarnation"
);
number_newtype!(
    /// Number of times that the platform's table service has returned from an older copy.
    StoreEra, u64, "era of the platform"
);
number_newtype!(
    /// Number of a request, unique per node and incarnation.
    RequestNumber, u64, "request number"
);
number_newtype!(
    /// Random token by which a writer recognises its own write after a lost response.
    AttemptToken, u128, "attempt token"
);
number_newtype!(
    /// Number of requests that a backend server handles concurrently.
    SlotCount, u32, "slot count"
);
number_newtype!(
    /// Weight of a service in a route that splits its requests.
    ServiceWeight, u32, "service weight"
);
number_newtype!(
    /// Number of backend servers that one request may be sent to.
    AttemptCount, u32, "attempt count"
);
number_newtype!(
    /// Size in bytes.
    ByteCount, u64, "byte count"
);
number_newtype!(
    /// Number of open descriptors of a process.
    DescriptorCount, u32, "descriptor count"
);
number_newtype!(
    /// Number of connections.
    ConnectionCount, u32, "connection count"
);
number_newtype!(
    /// Identifier of a connection in a node's account of what clients hold.
    HolderId, u64, "holder"
);
