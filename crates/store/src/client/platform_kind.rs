use std::net::IpAddr;

use bronzelb_kernel::error::{ErrorKind, MeshError};
use compact_str::CompactString;

use crate::client::PlatformCalls;

/// Where a platform is, and how to reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformTarget {
    /// Address in the kind's own notation, such as `10.1.0.4:8080`.
    pub address: CompactString,
    /// Local address that outgoing connections bind to.
    pub local_address: Option<IpAddr>,
}

impl PlatformTarget {
    /// Builds a target that binds no local address.
    pub fn new(address: impl Into<CompactString>) -> Self {
        Self {
            address: address.into(),
            local_address: None,
        }
    }

    /// Sets the local address that outgoing connections bind to.
    #[must_use]
    pub const fn with_local_address(mut self, address: IpAddr) -> Self {
        self.local_address = Some(address);
        self
    }
}

/// Kind of platform that registered itself with `inventory::submit!`.
#[derive(Clone, Copy, Debug)]
pub struct PlatformKind {
    /// Name by which the settings choose the kind.
    pub name: &'static str,
    /// Builds the calls for a target; no connection is opened before the first call.
    pub connect: fn(&PlatformTarget) -> Result<PlatformCalls, MeshError>,
}

inventory::collect!(PlatformKind);

impl PlatformKind {
    /// Returns the kind that registered under `name`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] when no kind has that name.
    pub fn find(name: &str) -> Result<&'static Self, MeshError> {
        inventory::iter::<Self>
            .into_iter()
            .find(|kind| kind.name == name)
            .ok_or_else(|| {
                MeshError::new(
                    ErrorKind::NotFound,
                    format!("platform kind {name:?} does not exist"),
                )
            })
    }
}
