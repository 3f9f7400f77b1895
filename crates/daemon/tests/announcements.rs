//! Ordering of backend servers' announcements by incarnation and sequence number.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::WarmUpRule,
    ids::{RequestRate, SlotCount},
    member::{
        BackendAnnouncement, BackendHeartbeat, BackendIncarnation, BackendMessage, BackendState,
        DepartureNotice, StatedCold,
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

/// Guards against one message with an absurd time of birth that shuts out a server for good.
#[test]
fn message_from_the_far_future_does_not_shut_out_a_server() {
    let future = NOW.after(TimeBudget::from_secs(86_400)).as_millis();
    for absurd in [future, u64::MAX] {
        let first = heartbeat("a", 10, 1, BackendState::Serving);
        let next = heartbeat("a", 10, 2, BackendState::Draining);
        let odd = heartbeat("a", absurd, 1, BackendState::Serving);
        let servers = apply_messages([first.clone(), odd, next.clone()]);
        assert_eq!(servers, [("a".to_owned(), BackendState::Draining)]);
        let servers = apply_messages([first, leaving("a", Some(absurd)), next]);
        assert_eq!(servers, [("a".to_owned(), BackendState::Draining)]);
        let elsewhere = heartbeat("b", absurd, 1, BackendState::Serving);
        let own = heartbeat("a", 10, 1, BackendState::Serving);
        let servers = apply_messages([elsewhere, own]);
        assert_eq!(servers, [("a".to_owned(), BackendState::Serving)]);
    }
}

fn cold_heartbeat(sequence: u64, cold_left: StatedCold) -> BackendMessage {
    match heartbeat("a", 10, sequence, BackendState::Serving) {
        BackendMessage::Heartbeat(heartbeat) => BackendMessage::Heartbeat(BackendHeartbeat {
            cold_left,
            ..heartbeat
        }),
        message => message,
    }
}

/// Guards against a cold time that is ignored because it is not the first of the incarnation, and
/// against a message to every node for each heartbeat.
#[test]
fn later_heartbeat_may_state_a_new_cold_time() {
    let mut table = BackendTable::new(LEASE);
    let left = |millis| StatedCold::Left(TimeBudget::from_millis(millis));
    let at = |millis| NOW.after(TimeBudget::from_millis(millis));
    let cold_until = |table: &BackendTable| table.rows()[0].cold_until;
    table.handle_message(NOW, cold_heartbeat(1, left(3_000)));
    assert_eq!(cold_until(&table), Some(at(3_000)));
    let is_changed = table.handle_message(at(1_600), cold_heartbeat(2, left(1_500)));
    assert!(!is_changed, "repeats the same instant");
    let is_changed = table.handle_message(at(3_100), cold_heartbeat(3, left(0)));
    assert!(!is_changed, "is warm as expected");
    table.handle_message(at(4_600), cold_heartbeat(4, StatedCold::Refused));
    assert_eq!(cold_until(&table), Some(at(3_000)), "changes nothing");
    assert!(table.handle_message(at(6_100), cold_heartbeat(5, left(2_000))));
    assert_eq!(cold_until(&table), Some(at(8_100)));
    table.handle_message(at(6_200), cold_heartbeat(4, left(9_000)));
    assert_eq!(
        cold_until(&table),
        Some(at(8_100)),
        "an outdated one changes nothing"
    );
}

/// Guards against a server that counts as warm when its node learns of it, or after a gap in its
/// heartbeats, and against limits where the configuration declares none.
#[test]
fn unknown_and_silent_servers_count_as_cold_where_a_rate_is_declared() {
    let (service, name) = (
        "tracker".parse().expect("is a name"),
        "a".parse().expect("is a name"),
    );
    let rule = WarmUpRule {
        time: TimeBudget::from_secs(3),
        rate: RequestRate::from_millis(15_000),
    };
    let at = |millis| NOW.after(TimeBudget::from_millis(millis));
    let warm = StatedCold::Left(TimeBudget::ZERO);
    let mut table = BackendTable::new(LEASE);
    table.handle_message(NOW, cold_heartbeat(1, warm));
    assert_eq!(table.cold_limit(&name), None);
    table.set_warm_up_rules([(service, rule)].into());
    let limit = table.cold_limit(&name).expect("is declared");
    assert_eq!((limit.cold_until, limit.known_from), (at(3_000), NOW));
    assert_eq!(table.take_probes(at(10)).len(), 1);
    table.record_cold(at(20), &name, at(10), TimeBudget::ZERO);
    assert_eq!(
        table.cold_limit(&name).map(|limit| limit.cold_until),
        Some(at(20))
    );
    assert!(table.take_probes(at(2_000)).is_empty(), "is not in doubt");
    table.handle_message(at(1_500), cold_heartbeat(2, warm));
    table.handle_message(at(4_500), cold_heartbeat(3, warm));
    assert_eq!(
        table.cold_limit(&name).map(|limit| limit.cold_until),
        Some(at(7_500))
    );
}

/// Guards against heartbeats that take effect before the departures are known that the predecessor of
/// the node's process has acknowledged.
#[test]
fn held_heartbeat_takes_effect_only_if_no_departure_voids_it() {
    let name = "a".parse().expect("is a name");
    let cases = [
        (None, 1),
        (Some(DepartureNotice::of_gone(incarnation(10), NOW)), 0),
        (
            Some(DepartureNotice::of_draining(incarnation(10), 5, NOW)),
            0,
        ),
        (
            Some(DepartureNotice::of_draining(incarnation(10), 4, NOW)),
            1,
        ),
        (Some(DepartureNotice::of_gone(incarnation(9), NOW)), 1),
    ];
    for (notice, servers) in cases {
        let mut table = BackendTable::held(LEASE);
        assert!(!table.handle_message(NOW, heartbeat("a", 10, 5, BackendState::Serving)));
        assert_eq!(table.iter().count(), 0);
        if let Some(notice) = notice {
            table.record_notice(&name, notice);
        }
        assert_eq!(table.release(NOW), servers == 1, "{notice:?}");
        assert_eq!(table.iter().count(), servers, "{notice:?}");
    }
}
