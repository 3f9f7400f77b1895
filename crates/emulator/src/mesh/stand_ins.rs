use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
};

use bronzelb_kernel::error::MeshError;

use crate::{
    http::JsonClient,
    platform::{PlatformAddresses, PlatformCounters, PlatformFaults},
    process::ChildProcess,
    proxy::{ListenerBody, ProxyAddresses, ProxyCounters, ProxyRules, TargetBody},
};

/// A running platform stand-in.
pub struct PlatformStandIn {
    process: ChildProcess,
    addresses: PlatformAddresses,
    client: JsonClient,
}

/// A running fault proxy.
pub struct ProxyStandIn {
    process: ChildProcess,
    addresses: ProxyAddresses,
    client: JsonClient,
}

impl PlatformStandIn {
    /// Starts a platform stand-in that writes its output to `directory`.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process does not start.
    pub async fn start(emulator: &Path, directory: &Path) -> Result<Self, MeshError> {
        let mut process = ChildProcess::start("platform", emulator, ["platform"], directory)?;
        Ok(Self {
            addresses: process.wait_listening().await?,
            process,
            client: JsonClient::new(),
        })
    }

    /// Returns the address of the table service and object store, which bypasses the fault proxy.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.addresses.address
    }

    /// Returns the process for control, such as pausing or killing it.
    pub const fn process(&mut self) -> &mut ChildProcess {
        &mut self.process
    }

    /// Replaces the active faults.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the stand-in does not accept them.
    pub async fn set_faults(&self, faults: &PlatformFaults) -> Result<(), MeshError> {
        self.client
            .put(self.addresses.control, "/faults", faults)
            .await
    }

    /// Returns the stand-in's request counters.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the stand-in does not respond.
    pub async fn counters(&self) -> Result<PlatformCounters, MeshError> {
        self.client.get(self.addresses.control, "/counters").await
    }

    /// Resets all counters to zero.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the stand-in does not respond.
    pub async fn reset_counters(&self) -> Result<(), MeshError> {
        self.client
            .delete(self.addresses.control, "/counters")
            .await
    }
}

impl ProxyStandIn {
    /// Starts a proxy that writes its output to `directory`.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process does not start.
    pub async fn start(emulator: &Path, directory: &Path) -> Result<Self, MeshError> {
        let mut process = ChildProcess::start("proxy", emulator, ["fault-proxy"], directory)?;
        Ok(Self {
            addresses: process.wait_listening().await?,
            process,
            client: JsonClient::new(),
        })
    }

    /// Returns the process for control, such as pausing or killing it.
    pub const fn process(&mut self) -> &mut ChildProcess {
        &mut self.process
    }

    /// Opens a listener and returns its address.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not open it.
    pub async fn listen(
        &self,
        name: impl Into<String>,
        target: Option<SocketAddr>,
    ) -> Result<SocketAddr, MeshError> {
        let body = ListenerBody {
            name: name.into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            target,
        };
        let answer: TargetBody = self
            .client
            .post(self.addresses.control, "/listeners", &body)
            .await?;
        Ok(answer.address)
    }

    /// Sets the target address of a listener's connections.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not know the listener.
    pub async fn set_target(
        &self,
        name: impl Into<String>,
        address: SocketAddr,
    ) -> Result<(), MeshError> {
        let body = TargetBody {
            name: name.into(),
            address,
        };
        self.client
            .put(self.addresses.control, "/targets", &body)
            .await
    }

    /// Replaces the active rules.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not accept them.
    pub async fn set_rules(&self, rules: &ProxyRules) -> Result<(), MeshError> {
        self.client
            .put(self.addresses.control, "/rules", rules)
            .await
    }

    /// Returns the active rules; a rule with a limited number of uses holds the remaining number.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not respond.
    pub async fn rules(&self) -> Result<ProxyRules, MeshError> {
        self.client.get(self.addresses.control, "/rules").await
    }

    /// Returns the traffic counters of each listener.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not respond.
    pub async fn counters(&self) -> Result<ProxyCounters, MeshError> {
        self.client.get(self.addresses.control, "/counters").await
    }
}
