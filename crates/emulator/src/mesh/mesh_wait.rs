use bronzelb_kernel::{clock::TimeBudget, error::MeshError, ids::ServiceName, status::NodeStatus};

use crate::mesh::{LocalMesh, wait_until};

impl LocalMesh {
    /// Waits until every running node has applied configuration version `number` or a later one.
    ///
    /// # Errors
    ///
    /// `LocalIo`, with the name of the node, when a running node does not do so within `limit`.
    pub async fn wait_version(&mut self, number: u64, limit: TimeBudget) -> Result<(), MeshError> {
        let what = format!("version {number} applied on every node");
        self.wait_status(&what, limit, |status| status.version_number() >= number)
            .await
    }

    /// Waits until every running node knows `count` serving backend servers of `service`.
    ///
    /// # Errors
    ///
    /// `LocalIo`, with the name of the node, when a running node does not do so within `limit`.
    pub async fn wait_backends(
        &mut self,
        service: &str,
        count: usize,
        limit: TimeBudget,
    ) -> Result<(), MeshError> {
        let service: ServiceName = service.parse()?;
        let what = format!("{count} backend servers of {service} known to every node");
        self.wait_status(&what, limit, |status| {
            status.serving_backend_count(&service) == count
        })
        .await
    }

    /// Waits until the status of every running node satisfies `condition`.
    ///
    /// # Errors
    ///
    /// `LocalIo`, with the name of the node, when a running node does not satisfy it within
    /// `limit`; the node's status and last log lines are printed to standard error.
    pub async fn wait_status(
        &mut self,
        what: &str,
        limit: TimeBudget,
        condition: impl Fn(&NodeStatus) -> bool,
    ) -> Result<(), MeshError> {
        let running: Vec<_> = self
            .nodes
            .iter_mut()
            .filter_map(|(name, node)| node.is_running().then(|| name.clone()))
            .collect();
        for name in running {
            let is_met = async || {
                self.status(&name)
                    .await
                    .is_ok_and(|status| condition(&status))
            };
            let waited = wait_until(&format!("node {name}: {what}"), limit, is_met).await;
            if let Err(error) = waited {
                self.print_state(&name).await;
                return Err(error);
            }
        }
        Ok(())
    }

    /// Prints a node's status and its last log lines to standard error.
    pub async fn print_state(&self, name: &str) {
        match self.status(name).await {
            Ok(status) => eprintln!("--- {name}: {status:?}"),
            Err(error) => eprintln!("--- {name}: {error}"),
        }
        if let Ok(node) = self.node(name) {
            eprintln!("--- last log lines of {name}:\n{}", node.tail());
        }
    }
}
