use std::net::IpAddr;

use bronzelb_kernel::error::{ErrorKind, MeshError};
use compact_str::CompactString;

use crate::client::{EraTracker, PlatformCalls};

/// Address of a platform and the options for connecting to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformTarget {
    /// Address in the notation of the platform kind, such as `10.1.0.4:8080`.
    pub address: CompactString,
    /// Local address to bind outgoing connections to.
    pub local_address: Option<IpAddr>,
}

impl PlatformTarget {
    /// Creates a target without a local address to bind to.
    pub fn new(address: impl Into<CompactString>) -> Self {
        Self {
            address: address.into(),
            local_address: None,
        }
    }

    /// Sets the local address to bind outgoing connections to.
    #[must_use]
    pub const fn with_local_address(mut self, address: IpAddr) -> Self {
        self.local_address = Some(address);
        self
    }
}

/// Platform kind, registered with `inventory::submit!`.
#[derive(Clone, Copy, Debug)]
pub struct PlatformKind {
    /// Name that selects the kind in the settings.
    pub name: &'static str,
    /// Creates the calls for a target; the first call opens the first connection.
    ///
    /// The calls record the platform's eras in the tracker and use nothing of an earlier one.
    pub connect: fn(&PlatformTarget, EraTracker) -> Result<PlatformCalls, MeshError>,
}

inventory::collect!(PlatformKind);

impl PlatformKind {
    /// Returns the kind registered under `name`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] if no kind has that name.
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
