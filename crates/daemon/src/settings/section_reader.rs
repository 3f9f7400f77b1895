use std::net::{Ipv4Addr, SocketAddr};

use bronzelb_kernel::error::MeshError;
use bronzelb_yaml::reader::{FieldNode, MapReader, parse_with};
use compact_str::CompactString;

use crate::settings::{
    CallerSettings, NodeSettings, OperatorSettings, PeerSettings, PlatformSettings, SpreadSettings,
};

const DEFAULT_WORKERS: usize = 1;
const MAX_WORKERS: usize = 64;
const ADDRESS_EXAMPLE: &str = "listen: 10.0.1.1:9000";

/// Reads every section, and notes each mistake on the way.
///
/// Returns `None` when something that has no default is missing or unreadable.
pub(super) fn read_sections(root: &FieldNode<'_>) -> Option<NodeSettings> {
    let mut reader = root.map()?;
    let mesh = reader.required("mesh", "mesh: hemelval", parse_with);
    let node = reader.required("node", "node: leuven-1", parse_with);
    let data_centre = reader.required("data_centre", "data_centre: leuven", parse_with);
    let mesh_key = reader.required("mesh_key", "mesh_key: A-LONG-RANDOM-TEXT", parse_with);
    let callers = read_section(
        &mut reader,
        "callers",
        "callers: {listen: 10.0.1.1:8080}",
        read_callers,
    );
    let peers = read_section(
        &mut reader,
        "peers",
        "peers: {listen: 10.0.1.1:9000}",
        read_peers,
    );
    let operators = read_operators(&mut reader);
    let platform = read_section(
        &mut reader,
        "platform",
        "platform: {kind: http, address: 10.1.0.4:8080}",
        read_platform,
    );
    let workers = reader.optional("workers", parse_workers);
    let spread = read_spread(&mut reader);
    reader.finish();
    Some(NodeSettings {
        mesh: mesh?,
        node: node?,
        data_centre: data_centre?,
        mesh_key: mesh_key?,
        callers: callers?,
        peers: peers?,
        operators: operators?,
        platform: platform?,
        workers: workers.unwrap_or(DEFAULT_WORKERS),
        spread,
    })
}

fn read_section<T>(
    reader: &mut MapReader<'_>,
    key: &'static str,
    example: &str,
    read: impl FnOnce(&mut MapReader<'_>) -> Option<T>,
) -> Option<T> {
    let Some(field) = reader.take(key) else {
        reader.refuse_missing(key, example);
        return None;
    };
    let mut section = field.map()?;
    let settings = read(&mut section);
    section.finish();
    settings
}

fn read_callers(section: &mut MapReader<'_>) -> Option<CallerSettings> {
    let listen = section.required("listen", ADDRESS_EXAMPLE, parse_address);
    Some(CallerSettings { listen: listen? })
}

fn read_peers(section: &mut MapReader<'_>) -> Option<PeerSettings> {
    let listen = section.required("listen", ADDRESS_EXAMPLE, parse_address);
    let advertise = section.optional("advertise", parse_remote_address);
    let items = section.take("first").and_then(|field| field.list());
    let first = items
        .unwrap_or_default()
        .iter()
        .filter_map(|item| item.value(parse_remote_address))
        .collect();
    Some(PeerSettings {
        listen: listen?,
        advertise,
        first,
    })
}

fn read_operators(reader: &mut MapReader<'_>) -> Option<OperatorSettings> {
    let default_listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let Some(field) = reader.take("operators") else {
        return Some(OperatorSettings {
            listen: default_listen,
            token: None,
        });
    };
    let mut section = field.map()?;
    let listen = section.optional("listen", parse_address);
    let token = section.optional("token", parse_with);
    section.finish();
    Some(OperatorSettings {
        listen: listen.unwrap_or(default_listen),
        token,
    })
}

fn read_platform(section: &mut MapReader<'_>) -> Option<PlatformSettings> {
    let kind = section.required("kind", "kind: http", |text| Ok(CompactString::from(text)));
    let address = section.required("address", "address: 10.1.0.4:8080", parse_remote_address);
    Some(PlatformSettings {
        kind: kind?,
        address: address?,
    })
}

fn read_spread(reader: &mut MapReader<'_>) -> SpreadSettings {
    let section = reader.take("spread").and_then(|field| field.map());
    let Some(mut section) = section else {
        return SpreadSettings::default();
    };
    let mode = section.optional("mode", parse_with);
    section.finish();
    SpreadSettings {
        mode: mode.unwrap_or_default(),
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, MeshError> {
    text.parse().map_err(|_| {
        MeshError::invalid(format!(
            "address {text:?} is not an IP number with a port, such as \"10.0.1.1:9000\""
        ))
    })
}

/// Parses an address to connect to, which needs a host and a port.
fn parse_remote_address(text: &str) -> Result<SocketAddr, MeshError> {
    let address = parse_address(text)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err(MeshError::invalid(format!(
            "address {text:?} cannot be connected to; name one IP number and a port above 0"
        )));
    }
    Ok(address)
}

fn parse_workers(text: &str) -> Result<usize, MeshError> {
    let count = text.parse().ok();
    count
        .filter(|count| (1..=MAX_WORKERS).contains(count))
        .ok_or_else(|| {
            MeshError::invalid(format!(
                "{text:?} is not a number of workers between 1 and {MAX_WORKERS}"
            ))
        })
}
