//! Ordering of backend servers' announcements by incarnation and sequence number.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::SlotCount,
    member::{
        BackendAnnouncement, BackendHeartbeat, BackendIncarnation, BackendMessage, BackendState,
        StatedCold,
    },
};
use bronzelbd::backends::BackendTable;

const LEASE: TimeBudget = TimeBudget::from_secs(6);
const NOW: ClockInstant = ClockInstant::from_millis(1_000_000);

fn incarnation(started_at_ms: u64) -> BackendIncarnation {
    BackendIncarnation {
        started_at: ClockInstant::from_millis(started_at_ms),
    }
}

fn heartbeat(name: &str, started_at_ms: u64, sequence: u64, state: BackendState) -> BackendMessage {
    BackendMessage::Heartbeat(BackendHeartbeat {
        name: name.parse().expect("is a name"),
        incarnation: incarnation(started_at_ms),
        sequence,
        cold_left: StatedCold::Left(TimeBudget::ZERO),
        announcement: BackendAnnouncement {
            service: "tracker".parse().expect("is a name"),
            version: "v1".parse().expect("is a version"),
            address: "127.0.0.1:9".parse().expect("is an address"),
            slots: SlotCount::new(4),
            connections: 110,
            state,
        },
    })
}

fn leaving(name: &str, started_at_ms: Option<u64>) -> BackendMessage {
    BackendMessage::Leaving {
        name: name.parse().expect("is a name"),
        incarnation: started_at_ms.map(incarnation),
    }
}

/// Applies the messages in order and returns the remaining servers with their states.
fn apply_messages(
    messages: impl IntoIterator<Item = BackendMessage>,
) -> Vec<(String, BackendState)> {
    let mut table = BackendTable::new(LEASE);
    for message in messages {
        table.handle_message(NOW, message);
    }
    let entries = table.iter();
    entries
        .map(|(name, entry)| (name.to_string(), entry.announcement.state))
        .collect()
}

#[test]
fn late_heartbeat_does_not_undo_draining() {
    use BackendState::{Draining, Serving};
    let servers = apply_messages([
        heartbeat("a", 10, 5, Serving),
        heartbeat("a", 10, 7, Draining),
        heartbeat("a", 10, 6, Serving),
    ]);
    assert_eq!(servers, [("a".to_owned(), Draining)]);
}

#[test]
fn late_heartbeat_does_not_restore_a_server_that_left() {
    use BackendState::Serving;
    let first = heartbeat("a", 10, 5, Serving);
    let late = heartbeat("a", 10, 9, Serving);
    assert!(apply_messages([first.clone(), leaving("a", Some(10)), late.clone()]).is_empty());
    assert!(apply_messages([first, leaving("a", None), late]).is_empty());
}

#[test]
fn new_incarnation_of_the_same_name_restarts_the_sequence() {
    use BackendState::{Draining, Serving};
    let servers = apply_messages([
        heartbeat("a", 10, 90, Draining),
        leaving("a", Some(10)),
        heartbeat("a", 20, 1, Serving),
        leaving("a", Some(10)),
    ]);
    assert_eq!(servers, [("a".to_owned(), Serving)]);
}

#[test]
fn later_server_permanently_replaces_an_earlier_one_at_its_address() {
    use BackendState::Serving;
    let servers = apply_messages([
        heartbeat("a", 10, 90, Serving),
        heartbeat("b", 20, 1, Serving),
        heartbeat("a", 10, 91, Serving),
    ]);
    assert_eq!(servers, [("b".to_owned(), Serving)]);
}

#[test]
fn announcement_expires_with_its_lease() {
    let mut table = BackendTable::new(LEASE);
    table.handle_message(NOW, heartbeat("a", 10, 1, BackendState::Serving));
    assert!(table.expire(NOW.after(TimeBudget::from_secs(5))).is_empty());
    assert_eq!(table.expire(NOW.after(LEASE)).len(), 1);
}

#[test]
fn late_heartbeat_does_not_restore_a_server_that_left_a_node_that_had_just_started() {
    let started_at = NOW.as_millis() - 30_000;
    let late = heartbeat("a", started_at, 9, BackendState::Serving);
    let servers = apply_messages([leaving("a", None), late.clone()]);
    assert!(servers.is_empty(), "{servers:?}");
    let restarted = heartbeat("a", NOW.as_millis() + 3_000, 0, BackendState::Serving);
    let servers = apply_messages([leaving("a", None), late, restarted]);
    assert_eq!(servers.len(), 1, "a new incarnation is used");
}
