use std::net::SocketAddr;

use bronzelb_store::PlatformKind;
use bronzelb_yaml::{
    node::{LocationIndex, YamlNode},
    problem::ProblemList,
};
use compact_str::{CompactString, format_compact};

use crate::settings::NodeSettings;

/// Notes mistakes that only show when several settings are seen together.
pub(super) fn check_settings(settings: &NodeSettings, root: &YamlNode, problems: &ProblemList) {
    let index = LocationIndex::new(root);
    let refuse = |field: &str, message: CompactString| {
        problems.push(index.nearest(field), field, message);
    };
    check_operators(settings, &refuse);
    check_peers(settings, &refuse);
    check_platform(settings, &refuse);
    check_listeners(settings, &refuse);
}

fn check_operators(settings: &NodeSettings, refuse: &impl Fn(&str, CompactString)) {
    let operators = &settings.operators;
    if !operators.listen.ip().is_loopback() && operators.token.is_none() {
        refuse(
            "operators.listen",
            format_compact!(
                "a listener on {} can be reached from other machines and needs `token`; use \
                 127.0.0.1 to do without one",
                operators.listen.ip()
            ),
        );
    }
}

fn check_peers(settings: &NodeSettings, refuse: &impl Fn(&str, CompactString)) {
    let peers = &settings.peers;
    if peers.listen.ip().is_unspecified() && peers.advertise.is_none() {
        refuse(
            "peers.listen",
            format_compact!(
                "other nodes cannot connect to {}; listen on one IP number, or set `advertise`",
                peers.listen.ip()
            ),
        );
    }
}

fn check_platform(settings: &NodeSettings, refuse: &impl Fn(&str, CompactString)) {
    if let Err(error) = PlatformKind::find(&settings.platform.kind) {
        let kinds: Vec<_> = inventory::iter::<PlatformKind>
            .into_iter()
            .map(|kind| kind.name)
            .collect();
        let message = format_compact!("{}; kinds are {}", error.message(), kinds.join(", "));
        refuse("platform.kind", message);
    }
}

/// Notes a port that two listeners would share; port 0 is a fresh one for each.
fn check_listeners(settings: &NodeSettings, refuse: &impl Fn(&str, CompactString)) {
    let listeners = [
        ("callers.listen", settings.callers.listen),
        ("peers.listen", settings.peers.listen),
        ("operators.listen", settings.operators.listen),
    ];
    for (number, (field, address)) in listeners.iter().enumerate() {
        let twin = listeners[..number]
            .iter()
            .find(|(_, other)| overlap(*address, *other));
        if let Some((other_field, other)) = twin {
            refuse(
                field,
                format_compact!("port {} is already used by {other_field}", other.port()),
            );
        }
    }
}

fn overlap(left: SocketAddr, right: SocketAddr) -> bool {
    let same_ip = left.ip() == right.ip();
    let covers = left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() == right.port() && left.port() != 0 && (same_ip || covers)
}
