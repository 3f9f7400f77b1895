use std::{
    net::{Ipv4Addr, TcpListener},
    process,
};

use bronzelb_kernel::error::{ErrorKind, MeshError};

/// Port whose listener claims a network; below the range that the kernel gives out by itself.
const CLAIM_PORT: u16 = 20_117;
/// Networks `127.1.0.0/16` to `127.254.0.0/16`; the first one belongs to ordinary programs.
const NETWORKS: u8 = 254;

/// Loopback network of one mesh, which no other mesh on the machine uses while the value lives.
///
/// A node that is restarted listens on the ports that it had before. In a network that several
/// meshes share, another mesh may have been given such a port in the meantime.
#[derive(Debug)]
pub(crate) struct MeshNetwork {
    number: u8,
    _claim: TcpListener,
}

impl MeshNetwork {
    /// Claims a network that no running mesh uses.
    ///
    /// # Errors
    ///
    /// `LocalIo` when all of them are in use.
    pub(crate) fn claim() -> Result<Self, MeshError> {
        // Meshes of parallel processes begin at different networks, so that few claims collide.
        let first = process::id() % u32::from(NETWORKS);
        let numbers = (0..u32::from(NETWORKS)).map(|step| (first + step) % u32::from(NETWORKS) + 1);
        numbers
            .filter_map(|number| u8::try_from(number).ok())
            .find_map(|number| {
                let address = Ipv4Addr::new(127, number, 0, 1);
                // A claim that fails belongs to another mesh, and the next network is tried.
                let claim = TcpListener::bind((address, CLAIM_PORT)).ok()?;
                Some(Self {
                    number,
                    _claim: claim,
                })
            })
            .ok_or_else(|| {
                MeshError::new(
                    ErrorKind::LocalIo,
                    format!("all {NETWORKS} loopback networks are in use by other meshes"),
                )
            })
    }

    /// Returns the IP number of node `node` of data centre `centre`, both counted from 1.
    pub(crate) const fn node_ip(&self, centre: u8, node: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.number, centre, node)
    }

    /// Returns the prefix that the IP numbers of a data centre's nodes share.
    pub(crate) fn source_prefix(&self, centre: u8) -> String {
        format!("127.{}.{centre}.", self.number)
    }
}
