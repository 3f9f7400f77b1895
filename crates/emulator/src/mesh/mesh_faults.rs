use bronzelb_kernel::error::MeshError;

use crate::{
    mesh::{
        LocalMesh,
        mesh_names::{PLATFORM_LISTENER, listener_prefix},
    },
    proxy::{ProxyAction, ProxyRule},
};

impl LocalMesh {
    /// Separates two data centres, counted from 1, in both directions.
    ///
    /// [`ProxyAction::Cut`] closes connections; [`ProxyAction::Stall`] lets them hang, as a
    /// network that drops packets does.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not take the rules.
    pub async fn partition(
        &mut self,
        left: u8,
        right: u8,
        action: ProxyAction,
    ) -> Result<(), MeshError> {
        for (from, to) in [(left, right), (right, left)] {
            let rule = ProxyRule::new(action)
                .with_source(self.source_prefix(from))
                .with_listener(listener_prefix(to));
            self.rules.rules.push(rule);
        }
        self.apply_rules().await
    }

    /// Separates a data centre from the platform.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not take the rules.
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

    /// Separates every node from the platform; the command-line tool still reaches it.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not take the rules.
    pub async fn disconnect_platform(&mut self) -> Result<(), MeshError> {
        let rule = ProxyRule::new(ProxyAction::Cut).with_listener(PLATFORM_LISTENER);
        self.add_rule(rule).await
    }

    /// Returns the prefix that the IP numbers of a data centre's nodes share, for proxy rules.
    #[must_use]
    pub fn source_prefix(&self, centre: u8) -> String {
        self.network.source_prefix(centre)
    }

    /// Adds a rule to those in force.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not take the rules.
    pub async fn add_rule(&mut self, rule: ProxyRule) -> Result<(), MeshError> {
        self.rules.rules.push(rule);
        self.apply_rules().await
    }

    /// Removes every rule of the proxy.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the proxy does not take the rules.
    pub async fn heal(&mut self) -> Result<(), MeshError> {
        self.rules.rules.clear();
        self.apply_rules().await
    }

    async fn apply_rules(&self) -> Result<(), MeshError> {
        self.proxy.set_rules(&self.rules).await
    }
}
