/// Returns the name of data centre `centre`, counted from 1.
#[must_use]
pub fn data_centre_name(centre: u8) -> String {
    format!("dc{centre}")
}

/// Returns the name of node `node` of data centre `centre`, both counted from 1.
#[must_use]
pub fn node_name(centre: u8, node: u8) -> String {
    format!("dc{centre}-n{node}")
}

/// Returns the common name prefix of a data centre's proxy listeners.
pub(crate) fn listener_prefix(centre: u8) -> String {
    format!("dc{centre}/")
}

/// Returns the name of the proxy listener in front of a node's peer listener.
pub(crate) fn peer_listener(centre: u8, node: u8) -> String {
    format!("dc{centre}/{}/peers", node_name(centre, node))
}

/// Name of the proxy listener in front of the platform.
pub(crate) const PLATFORM_LISTENER: &str = "platform";
