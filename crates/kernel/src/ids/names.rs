use std::{borrow::Borrow, fmt, str::FromStr};

use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, de};

use crate::error::MeshError;

const MAX_NAME_BYTES: usize = 64;
const MAX_KEY_BYTES: usize = 128;
const MAX_ACCOUNT_BYTES: usize = 128;
/// Longest host name that DNS allows (RFC 1035, section 2.3.4).
const MAX_HOST_BYTES: usize = 253;

macro_rules! text_newtype {
    ($(#[$meta:meta])* $name:ident, $label:literal, $check:path) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = MeshError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $check($label, text)?;
                Ok(Self(CompactString::from(text)))
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = CompactString::deserialize(deserializer)?;
                $check($label, &text).map_err(de::Error::custom)?;
                Ok(Self(text))
            }
        }
    };
}

text_newtype!(
    /// Name of a mesh, unique on one platform.
    MeshName, "mesh name", check_name
);
text_newtype!(
    /// Name of a crew, a team whose services the mesh runs.
    CrewName, "crew name", check_name
);
text_newtype!(
    /// Name of a data centre.
    DataCentre, "data centre", check_name
);
text_newtype!(
    /// Name of a node, unique in its mesh.
    NodeName, "node name", check_name
);
text_newtype!(
    /// Name of a client account, unique in its mesh.
    AccountName, "client account name", check_account
);
text_newtype!(
    /// Name of a service.
    ServiceName, "service name", check_name
);
text_newtype!(
    /// Name of a route, unique in its mesh.
    RouteName, "route name", check_name
);
text_newtype!(
    /// Name of a host in requests, in lower case and without a port.
    HostName, "host name", check_host
);
text_newtype!(
    /// Name of a backend server process, unique for its lifetime.
    BackendName, "backend server name", check_name
);
text_newtype!(
    /// Version of the software that a backend server runs.
    BuildVersion, "build version", check_name
);
text_newtype!(
    /// Idempotency key, under which a non-idempotent request runs at most once.
    IdempotencyKey, "idempotency key", check_key
);

fn check_name(label: &str, text: &str) -> Result<(), MeshError> {
    let starts_alphanumeric = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if starts_alphanumeric && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed) {
        return Ok(());
    }
    Err(MeshError::invalid(format!(
        "{label} {:?} is not 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes or underscores \
         that start with a letter or digit",
        truncate(text)
    )))
}

fn check_host(label: &str, text: &str) -> Result<(), MeshError> {
    let is_allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '.');
    if !text.is_empty() && text.len() <= MAX_HOST_BYTES && text.chars().all(is_allowed) {
        return Ok(());
    }
    Err(MeshError::invalid(format!(
        "{label} {:?} is not 1 to {MAX_HOST_BYTES} lower-case letters, digits, dots or dashes",
        truncate(text)
    )))
}

/// Accepts every text that a header can carry: operators choose the names of accounts freely.
fn check_account(label: &str, text: &str) -> Result<(), MeshError> {
    let is_printable = |c: char| c.is_ascii_graphic() || c == ' ';
    let has_limits = (1..=MAX_ACCOUNT_BYTES).contains(&text.len());
    if has_limits && text.trim() == text && text.chars().all(is_printable) {
        return Ok(());
    }
    Err(MeshError::invalid(format!(
        "{label} {:?} is not 1 to {MAX_ACCOUNT_BYTES} printable ASCII characters without spaces \
         at the ends",
        truncate(text)
    )))
}

fn check_key(label: &str, text: &str) -> Result<(), MeshError> {
    let is_visible = |c: char| c.is_ascii_graphic();
    if !text.is_empty() && text.len() <= MAX_KEY_BYTES && text.chars().all(is_visible) {
        return Ok(());
    }
    Err(MeshError::invalid(format!(
        "{label} {:?} is not 1 to {MAX_KEY_BYTES} visible ASCII characters",
        truncate(text)
    )))
}

/// Shortens a rejected text to `MAX_NAME_BYTES` characters for an error message.
fn truncate(text: &str) -> &str {
    match text.char_indices().nth(MAX_NAME_BYTES) {
        Some((end, _)) => &text[..end],
        None => text,
    }
}
