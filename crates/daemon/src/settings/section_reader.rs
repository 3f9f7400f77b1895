use std::net::{Ipv4Addr, SocketAddr};

use bronzelb_kernel::{
    account::UsageBound,
    clock::TimeBudget,
    config::ShareRatio,
    error::MeshError,
    holding::{HoldingLimits, LimitOverrides, VmLimits},
    ids::{ByteCount, ConnectionCount, DescriptorCount},
    plugin::WireDialect,
    request::RetryPolicy,
    rollout::ExposureLimit,
};
use bronzelb_platform as _;
use bronzelb_yaml::reader::{FieldNode, MapReader, parse_byte_count, parse_from_str};
use compact_str::CompactString;

use crate::{
    backends::LEASE_DURATION,
    callers::NATIVE_DIALECT,
    settings::{
        CallerSettings, LimitSettings, LocalSettings, NodeSettings, OperatorSettings, PeerSettings,
        PlatformSettings, SpreadSettings,
    },
};

const DEFAULT_WORKERS: usize = 1;
const MAX_WORKERS: usize = 64;
/// Memory of the smallest VM that nodes run on.
const DEFAULT_MEMORY: ByteCount = ByteCount::new(160_000_000);
/// Fewest descriptors with which a node finds room for its own connections.
const MIN_DESCRIPTORS: u32 = 128;
const MIN_MEMORY: ByteCount = ByteCount::new(32_000_000);
/// Upper bound on the retry ratio; more retries than requests only add load.
const MAX_RETRY_RATIO: f64 = 1.0;
const ADDRESS_EXAMPLE: &str = "listen: 10.0.1.1:9000";

/// Reads every section and records each problem.
///
/// Returns `None` when a setting without a default is missing or unreadable.
pub(super) fn read_sections(root: &FieldNode<'_>) -> Option<NodeSettings> {
    let mut reader = root.read_map()?;
    let mesh = reader.required("mesh", "mesh: hemelval", parse_from_str);
    let node = reader.required("node", "node: leuven-1", parse_from_str);
    let data_centre = reader.required("data_centre", "data_centre: leuven", parse_from_str);
    let mesh_key = reader.required("mesh_key", "mesh_key: A-LONG-RANDOM-TEXT", parse_from_str);
    let vm = read_optional_section(&mut reader, "vm", read_vm).unwrap_or_default();
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
    let dialect = read_dialect(&mut reader);
    let data_centres = read_list(&mut reader, "data_centres", parse_from_str);
    let local = read_optional_section(&mut reader, "local", read_local);
    let metrics = read_optional_section(&mut reader, "metrics", |section| {
        section.required("listen", ADDRESS_EXAMPLE, parse_address)
    });
    let retries = read_optional_section(&mut reader, "retries", read_retries);
    let usage = read_optional_section(&mut reader, "usage", read_usage);
    let max_exposure = reader.optional("max_exposure", parse_share);
    let exposure_slack = reader.optional("exposure_slack", parse_request_count);
    let shutdown = reader.optional("shutdown", parse_duration);
    let is_first_start = reader.optional("first_start", parse_switch);
    let workers = reader.optional("workers", parse_workers);
    let spread = read_spread(&mut reader);
    reader.finish();
    Some(NodeSettings {
        mesh: mesh?,
        node: node?,
        data_centre: data_centre?,
        mesh_key: mesh_key?,
        dialect: dialect?,
        data_centres,
        local,
        metrics,
        retries,
        usage: usage.unwrap_or_default(),
        exposure_limit: max_exposure.map(|share| ExposureLimit {
            share,
            slack: exposure_slack.unwrap_or(0),
        }),
        shutdown,
        is_first_start: is_first_start.unwrap_or(false),
        holding: holding_limits(&vm),
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
        reader.push_missing_key(key, example);
        return None;
    };
    let mut section = field.read_map()?;
    let settings = read(&mut section);
    section.finish();
    settings
}

fn read_optional_section<T>(
    reader: &mut MapReader<'_>,
    key: &'static str,
    read: impl FnOnce(&mut MapReader<'_>) -> Option<T>,
) -> Option<T> {
    let mut section = reader.take(key)?.read_map()?;
    let settings = read(&mut section);
    section.finish();
    settings
}

fn read_list<T>(
    reader: &mut MapReader<'_>,
    key: &'static str,
    parse: impl Fn(&str) -> Result<T, MeshError>,
) -> Vec<T> {
    let items = reader.take(key).and_then(|field| field.read_list());
    let items = items.unwrap_or_default();
    items
        .iter()
        .filter_map(|item| item.read_value(&parse))
        .collect()
}

fn read_dialect(reader: &mut MapReader<'_>) -> Option<&'static WireDialect> {
    match reader.take("dialect") {
        Some(field) => field.read_value(WireDialect::find),
        None => WireDialect::find(NATIVE_DIALECT).ok(),
    }
}

fn read_callers(section: &mut MapReader<'_>) -> Option<CallerSettings> {
    let listen = section.required("listen", ADDRESS_EXAMPLE, parse_address);
    let origin = section.optional("origin", parse_from_str);
    let limits = LimitSettings {
        max_header: section.optional("max_header", parse_byte_count),
        header_timeout: section.optional("header_timeout", parse_duration),
        idle_timeout: section.optional("idle_timeout", parse_duration),
    };
    Some(CallerSettings {
        listen: listen?,
        origin,
        limits,
    })
}

/// Limits of the VM and of its clients, as far as they are stated.
#[derive(Default)]
struct VmSection {
    memory: Option<ByteCount>,
    descriptors: Option<DescriptorCount>,
    overrides: LimitOverrides,
}

fn read_vm(section: &mut MapReader<'_>) -> Option<VmSection> {
    Some(VmSection {
        memory: section.optional("memory", parse_memory),
        descriptors: section.optional("descriptors", parse_descriptors),
        overrides: LimitOverrides {
            held: section.optional("client_memory", parse_byte_count),
            callers: section.optional("caller_connections", parse_connections),
            others: section.optional("other_connections", parse_connections),
        },
    })
}

/// Without stated descriptors, the limit of the process applies.
fn holding_limits(section: &VmSection) -> HoldingLimits {
    let vm = VmLimits {
        memory: section.memory.unwrap_or(DEFAULT_MEMORY),
        descriptors: section
            .descriptors
            .unwrap_or(DescriptorCount::new(u32::MAX)),
    };
    HoldingLimits::new(vm, section.overrides)
}

fn read_local(section: &mut MapReader<'_>) -> Option<LocalSettings> {
    let example = "announcements: 10.0.1.1:9300";
    let announcements = section.required("announcements", example, parse_address);
    let ready = section.required("ready", "ready: 10.0.1.1:9301", parse_address);
    let lease = section.optional("lease", parse_duration);
    let is_silent_when_full = section.optional("silent_when_full", parse_switch);
    Some(LocalSettings {
        announcements: announcements?,
        ready: ready?,
        lease: lease.unwrap_or(LEASE_DURATION),
        is_silent_when_full: is_silent_when_full.unwrap_or(false),
    })
}

fn read_retries(section: &mut MapReader<'_>) -> Option<RetryPolicy> {
    let ratio = section.required("ratio", "ratio: 0.2", parse_ratio);
    let window = section.required("window", "window: 10s", parse_duration);
    let slack = section.required("slack", "slack: 50", parse_retry_count);
    Some(RetryPolicy {
        ratio: ratio?,
        window: window?,
        slack: slack?,
    })
}

fn read_usage(section: &mut MapReader<'_>) -> Option<UsageBound> {
    let window = section.required("window", "window: 5s", parse_window);
    let overage = section.required("overage", "overage: 0.1", parse_ratio);
    let slack = section.required("slack", "slack: 20", parse_request_count);
    Some(UsageBound {
        window: window?,
        overage: overage?,
        slack: slack?,
    })
}

fn read_peers(section: &mut MapReader<'_>) -> Option<PeerSettings> {
    let listen = section.required("listen", ADDRESS_EXAMPLE, parse_address);
    let advertise = section.optional("advertise", parse_remote_address);
    let mut seeds = read_list(section, "first", parse_remote_address);
    if let Some(port) = section.optional("first_port", parse_port) {
        seeds.iter_mut().for_each(|address| address.set_port(port));
    }
    Some(PeerSettings {
        listen: listen?,
        advertise,
        seeds,
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
    let mut section = field.read_map()?;
    let listen = section.optional("listen", parse_address);
    let token = section.optional("token", parse_from_str);
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
    let section = reader.take("spread").and_then(|field| field.read_map());
    let Some(mut section) = section else {
        return SpreadSettings::default();
    };
    let mode = section.optional("mode", parse_from_str);
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

/// Parses an address to connect to, which needs a specific IP address and a nonzero port.
fn parse_remote_address(text: &str) -> Result<SocketAddr, MeshError> {
    let address = parse_address(text)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err(MeshError::invalid(format!(
            "address {text:?} cannot be connected to; name one IP number and a port above 0"
        )));
    }
    Ok(address)
}

fn parse_port(text: &str) -> Result<u16, MeshError> {
    let port = text.parse().ok().filter(|port| *port > 0);
    port.ok_or_else(|| MeshError::invalid(format!("{text:?} is not a port between 1 and 65535")))
}

fn parse_retry_count(text: &str) -> Result<u32, MeshError> {
    parse_count(text, "retries")
}

fn parse_request_count(text: &str) -> Result<u32, MeshError> {
    parse_count(text, "requests")
}

/// Parses a number of retries or requests; a fraction is rounded down.
fn parse_count(text: &str, what: &str) -> Result<u32, MeshError> {
    let count: Option<f64> = text.parse().ok();
    count
        .filter(|count| (0.0..=f64::from(u32::MAX)).contains(count))
        .map(|count| count as u32)
        .ok_or_else(|| {
            MeshError::invalid(format!(
                "{text:?} is not a number of {what} of 0 or more, such as 50"
            ))
        })
}

/// Parses a span in which requests are counted, which must not be zero.
fn parse_window(text: &str) -> Result<TimeBudget, MeshError> {
    let window = parse_duration(text)?;
    match window.is_zero() {
        true => Err(MeshError::invalid(
            "a window of zero holds no request; write one such as 5s",
        )),
        false => Ok(window),
    }
}

/// Parses a share of all requests, as a number between 0 and 1.
fn parse_share(text: &str) -> Result<ShareRatio, MeshError> {
    let ratio = parse_ratio(text)?;
    Ok(ShareRatio::from_ppm(
        (ratio * f64::from(ShareRatio::ALL.as_ppm())) as u32,
    ))
}

fn parse_ratio(text: &str) -> Result<f64, MeshError> {
    let ratio = text.parse().ok();
    ratio
        .filter(|ratio| (0.0..=MAX_RETRY_RATIO).contains(ratio))
        .ok_or_else(|| {
            MeshError::invalid(format!(
                "{text:?} is not a ratio between 0 and {MAX_RETRY_RATIO}, such as 0.2"
            ))
        })
}

/// Parses a duration with a unit and an optional fraction, such as `2.5s`.
fn parse_duration(text: &str) -> Result<TimeBudget, MeshError> {
    let Some((whole, rest)) = text.split_once('.') else {
        return text.parse();
    };
    let split = rest.find(|c: char| !c.is_ascii_digit());
    let (fraction, unit) = rest.split_at(split.unwrap_or(rest.len()));
    let share: f64 = format!("0.{fraction}0").parse().unwrap_or(0.0);
    let whole: TimeBudget = format!("{whole}{unit}").parse()?;
    let one: TimeBudget = format!("1{unit}").parse()?;
    let part = (one.as_micros() as f64 * share) as u64;
    Ok(TimeBudget::from_micros(whole.as_micros() + part))
}

fn parse_memory(text: &str) -> Result<ByteCount, MeshError> {
    let memory = parse_byte_count(text)?;
    match memory < MIN_MEMORY {
        true => Err(MeshError::invalid(format!(
            "a node needs {MIN_MEMORY} bytes of memory or more, such as 160MB"
        ))),
        false => Ok(memory),
    }
}

fn parse_descriptors(text: &str) -> Result<DescriptorCount, MeshError> {
    let count: DescriptorCount = text.parse()?;
    match count.get() < MIN_DESCRIPTORS {
        true => Err(MeshError::invalid(format!(
            "a node needs {MIN_DESCRIPTORS} descriptors or more, such as 4096"
        ))),
        false => Ok(count),
    }
}

fn parse_connections(text: &str) -> Result<ConnectionCount, MeshError> {
    let count: ConnectionCount = text.parse()?;
    match count.get() {
        0 => Err(MeshError::invalid(
            "a listener without connections serves nobody; write 1 or more",
        )),
        _ => Ok(count),
    }
}

fn parse_switch(text: &str) -> Result<bool, MeshError> {
    text.parse()
        .map_err(|_| MeshError::invalid(format!("{text:?} is neither true nor false")))
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
