use bronzelb_kernel::error::MeshError;

use crate::{
    mesh::{
        LocalMesh,
        mesh_names::{PLATFORM_LISTENER, listener_prefix},
    },
    proxy::{ProxyAction, ProxyRule},
};

impl LocalMesh {
    /// Partitions two data centres, counted from 1, in both directions.
    ///
    /// [`ProxyAction::Cut`] closes connections; [`ProxyAction::Stall`] leaves them hanging, like a
    /// network that drops packets.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not accept the rules.
    pub async fn partition(
        &mut self,
        first: u8,
        second: u8,
        action: ProxyAction,
    ) -> Result<(), MeshError> {
        for (from, to) in [(first, second), (second, first)] {
            let rule = ProxyRule::new(action)
                .with_source(self.source_prefix(from))
                .with_listener(listener_prefix(to));
            self.rules.rules.push(rule);
        }
        self.apply_rules().await
    }

    /// Partitions a data centre from the platform.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not accept the rules.
    pub async fn partition_platform(
        &mut self,
        centre: u8,
        action: ProxyAction,
    ) -> Result<(), MeshError> {
        let rule = ProxyRule::new(action)
            .with_source(self.source_prefix(centre))
            .with_listener(PLATFORM_LISTENER);
        self.add_rule(rule).await
    }

    /// Disconnects every node from the platform; the command-line tool still reaches it.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not accept the rules.
    pub async fn disconnect_platform(&mut self) -> Result<(), MeshError> {
        let rule = ProxyRule::new(ProxyAction::Cut).with_listener(PLATFORM_LISTENER);
        self.add_rule(rule).await
    }

    /// Returns the common prefix of the IP addresses of a data centre's nodes, for proxy rules.
    #[must_use]
    pub fn source_prefix(&self, centre: u8) -> String {
        self.network.source_prefix(centre)
    }

    /// Adds a rule to the active ones.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not accept the rules.
    pub async fn add_rule(&mut self, rule: ProxyRule) -> Result<(), MeshError> {
        self.rules.rules.push(rule);
        self.apply_rules().await
    }

    /// Removes all proxy rules, which heals every partition.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not accept the rules.
    pub async fn heal(&mut self) -> Result<(), MeshError> {
        self.rules.rules.clear();
        self.apply_rules().await
    }

    async fn apply_rules(&self) -> Result<(), MeshError> {
        self.proxy.set_rules(&self.rules).await
    }
}
