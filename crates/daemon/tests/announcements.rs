//! Announcements of backend servers in their own order.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::SlotCount,
    member::{
        BackendAnnouncement, BackendHeartbeat, BackendIncarnation, BackendMessage, BackendState,
    },
};
use bronzelbd::backends::BackendTable;

const LEASE: TimeBudget = TimeBudget::from_secs(6);
const NOW: ClockInstant = ClockInstant::from_millis(1_000_000);

fn lifetime(born: u64) -> BackendIncarnation {
    BackendIncarnation {
        started_at: ClockInstant::from_millis(born),
    }
}

fn heartbeat(name: &str, born: u64, sequence: u64, state: BackendState) -> BackendMessage {
    BackendMessage::Heartbeat(BackendHeartbeat {
        name: name.parse().expect("is a name"),
        incarnation: lifetime(born),
        sequence,
        warm_up: TimeBudget::ZERO,
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

fn leaving(name: &str, born: Option<u64>) -> BackendMessage {
    BackendMessage::Leaving {
        name: name.parse().expect("is a name"),
        incarnation: born.map(lifetime),
    }
}

/// Takes in news one after another and returns the servers that remain, with their states.
fn after(news: impl IntoIterator<Item = BackendMessage>) -> Vec<(String, BackendState)> {
    let mut table = BackendTable::new(LEASE);
    for news in news {
        table.handle_message(NOW, news);
    }
    let entries = table.iter();
    entries
        .map(|(name, entry)| (name.to_string(), entry.announcement.state))
        .collect()
}

#[test]
fn late_heartbeat_does_not_undo_draining() {
    use BackendState::{Draining, Serving};
    let held = after([
        heartbeat("a", 10, 5, Serving),
        heartbeat("a", 10, 7, Draining),
        heartbeat("a", 10, 6, Serving),
    ]);
    assert_eq!(held, [("a".to_owned(), Draining)]);
}

#[test]
fn server_that_left_is_not_brought_back_by_a_late_heartbeat() {
    use BackendState::Serving;
    let first = heartbeat("a", 10, 5, Serving);
    let late = heartbeat("a", 10, 9, Serving);
    assert!(after([first.clone(), leaving("a", Some(10)), late.clone()]).is_empty());
    assert!(after([first, leaving("a", None), late]).is_empty());
}

#[test]
fn next_run_under_the_same_name_counts_from_the_beginning() {
    use BackendState::{Draining, Serving};
    let held = after([
        heartbeat("a", 10, 90, Draining),
        leaving("a", Some(10)),
        heartbeat("a", 20, 1, Serving),
        leaving("a", Some(10)),
    ]);
    assert_eq!(held, [("a".to_owned(), Serving)]);
}

#[test]
fn later_server_replaces_an_earlier_one_at_its_address_for_good() {
    use BackendState::Serving;
    let held = after([
        heartbeat("a", 10, 90, Serving),
        heartbeat("b", 20, 1, Serving),
        heartbeat("a", 10, 91, Serving),
    ]);
    assert_eq!(held, [("b".to_owned(), Serving)]);
}

#[test]
fn announcement_lapses_after_its_lease() {
    let mut table = BackendTable::new(LEASE);
    table.handle_message(NOW, heartbeat("a", 10, 1, BackendState::Serving));
    assert!(table.expire(NOW.after(TimeBudget::from_secs(5))).is_empty());
    assert_eq!(table.expire(NOW.after(LEASE)).len(), 1);
}
