use std::net::SocketAddr;

use bronzelb_kernel::error::MeshError;
use clap::{Arg, ArgAction, ArgMatches};

/// Address of a node's operators' listener.
pub(crate) type NodeAddress = SocketAddr;

const NODE: &str = "node";
const TOKEN: &str = "token";

/// Options for the addresses of nodes and the operators' token.
pub(crate) struct NodeArgs;

impl NodeArgs {
    /// Builds the options.
    pub(crate) fn args() -> [Arg; 2] {
        [
            Arg::new(NODE)
                .long("node")
                .value_name("ADDRESS")
                .action(ArgAction::Append)
                .value_parser(parse_address)
                .help("Operators' address of a node to ask, such as 10.0.1.1:9200; repeatable"),
            Arg::new(TOKEN)
                .long("token")
                .value_name("FILE")
                .help("File with the operators' token, needed for nodes on other machines"),
        ]
    }

    /// Returns the addresses in the order given.
    pub(crate) fn addresses(matches: &ArgMatches) -> Vec<NodeAddress> {
        let addresses = matches.get_many::<NodeAddress>(NODE);
        addresses.into_iter().flatten().copied().collect()
    }

    /// Returns the path of the token file.
    pub(crate) fn token_path(matches: &ArgMatches) -> Option<&str> {
        matches.get_one::<String>(TOKEN).map(String::as_str)
    }
}

fn parse_address(text: &str) -> Result<NodeAddress, MeshError> {
    text.parse().map_err(|_| {
        MeshError::invalid(format!(
            "{text:?} is not an IP address with a port, such as 10.0.1.1:9200"
        ))
    })
}
