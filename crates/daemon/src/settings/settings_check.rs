use std::net::SocketAddr;

use bronzelb_store::PlatformKind;
use bronzelb_yaml::{
    node::{LocationIndex, YamlNode},
    problem::ProblemList,
};
use compact_str::{CompactString, format_compact};

use crate::settings::NodeSettings;

/// Records problems that involve more than one setting.
pub(super) fn check_settings(settings: &NodeSettings, root: &YamlNode, problems: &ProblemList) {
    let index = LocationIndex::new(root);
    let report = |field: &str, message: CompactString| {
        problems.push(index.nearest(field), field, message);
    };
    check_operators(settings, &report);
    check_peers(settings, &report);
    check_platform(settings, &report);
    check_listeners(settings, &report);
}

fn check_operators(settings: &NodeSettings, report: &impl Fn(&str, CompactString)) {
    let operators = &settings.operators;
    if !operators.listen.ip().is_loopback() && operators.token.is_none() {
        report(
            "operators.listen",
            format_compact!(
                "a listener on {} can be reached from other machines and needs `token`; use \
                 127.0.0.1 to do without one",
                operators.listen.ip()
            ),
        );
    }
}

fn check_peers(settings: &NodeSettings, report: &impl Fn(&str, CompactString)) {
    let peers = &settings.peers;
    if peers.listen.ip().is_unspecified() && peers.advertise.is_none() {
        report(
            "peers.listen",
            format_compact!(
                "other nodes cannot connect to {}; listen on one IP number, or set `advertise`",
                peers.listen.ip()
            ),
        );
    }
}

fn check_platform(settings: &NodeSettings, report: &impl Fn(&str, CompactString)) {
    if let Err(error) = PlatformKind::find(&settings.platform.kind) {
        let kinds: Vec<_> = inventory::iter::<PlatformKind>
            .into_iter()
            .map(|kind| kind.name)
            .collect();
        let message = format_compact!("{}; kinds are {}", error.message(), kinds.join(", "));
        report("platform.kind", message);
    }
}

/// Records a port used by two listeners; port 0 is exempt, as the system assigns a free port.
fn check_listeners(settings: &NodeSettings, report: &impl Fn(&str, CompactString)) {
    let listeners = [
        ("callers.listen", settings.callers.listen),
        ("peers.listen", settings.peers.listen),
        ("operators.listen", settings.operators.listen),
    ];
    for (number, (field, address)) in listeners.iter().enumerate() {
        let conflict = listeners[..number]
            .iter()
            .find(|(_, other)| addresses_overlap(*address, *other));
        if let Some((other_field, other)) = conflict {
            report(
                field,
                format_compact!("port {} is already used by {other_field}", other.port()),
            );
        }
    }
}

fn addresses_overlap(left: SocketAddr, right: SocketAddr) -> bool {
    let same_ip = left.ip() == right.ip();
    let covers = left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() == right.port() && left.port() != 0 && (same_ip || covers)
}
