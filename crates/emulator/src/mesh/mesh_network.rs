use std::{
    net::{Ipv4Addr, TcpListener},
    process,
};

use bronzelb_kernel::error::{ErrorKind, MeshError};

/// Port whose listener reserves a network; below the kernel's ephemeral port range.
const CLAIM_PORT: u16 = 20_117;
/// Number of networks, `127.1.0.0/16` to `127.254.0.0/16`; ordinary programs use `127.0.0.0/16`.
const NETWORK_COUNT: u8 = 254;

/// Loopback network reserved for one mesh on this machine until the value is dropped.
///
/// A restarted node listens on its previous ports. If meshes shared a network, another mesh could
/// have been assigned such a port in the meantime.
#[derive(Debug)]
pub(crate) struct MeshNetwork {
    number: u8,
    _claim: TcpListener,
}

impl MeshNetwork {
    /// Reserves a network that no running mesh uses.
    ///
    /// # Errors
    ///
    /// `LocalIo` when all of them are in use.
    pub(crate) fn claim() -> Result<Self, MeshError> {
        // Each process starts its search at a different network to keep collisions rare.
        let first = process::id() % u32::from(NETWORK_COUNT);
        let numbers =
            (0..u32::from(NETWORK_COUNT)).map(|step| (first + step) % u32::from(NETWORK_COUNT) + 1);
        numbers
            .filter_map(|number| u8::try_from(number).ok())
            .find_map(|number| {
                let address = Ipv4Addr::new(127, number, 0, 1);
                // If the bind fails, another mesh holds the network; try the next one.
                let claim = TcpListener::bind((address, CLAIM_PORT)).ok()?;
                Some(Self {
                    number,
                    _claim: claim,
                })
            })
            .ok_or_else(|| {
                MeshError::new(
                    ErrorKind::LocalIo,
                    format!("all {NETWORK_COUNT} loopback networks are in use by other meshes"),
                )
            })
    }

    /// Returns the IP address of node `node` of data centre `centre`, both counted from 1.
    pub(crate) const fn node_ip(&self, centre: u8, node: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.number, centre, node)
    }

    /// Returns the common prefix of the IP addresses of a data centre's nodes.
    pub(crate) fn source_prefix(&self, centre: u8) -> String {
        format!("127.{}.{centre}.", self.number)
    }
}
