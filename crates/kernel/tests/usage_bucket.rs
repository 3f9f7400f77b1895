//! The token bucket of one account at its owner, and tokens that come back.

use bronzelb_kernel::{
    account::{
        AccountGrant, AccountUsage, RelayStage, UsageBound, UsageBucket, UsageDecision, UsageLease,
        UsageNode, UsageReport,
    },
    clock::{ClockInstant, TimeBudget},
    config::UsageCap,
    ids::{IncarnationNumber, RequestRate, VersionNumber},
    member::{MemberRow, MemberState, MemberTable},
};

const RATE: u64 = 200;
const BURST: u64 = 100;
/// Requests that may run at once, so that those of the next 5 s fit into the bound too.
const LARGEST_BURST: u32 = (BURST + (RATE * 5 + BURST) / 10 + 20) as u32;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("name is valid")
}

fn cap(rate: u64, burst: u64) -> UsageCap {
    UsageCap {
        rate: RequestRate::from_millis(rate * 1_000),
        burst,
    }
}

fn full_bucket() -> UsageBucket {
    let created_at = ClockInstant::from_millis(0);
    UsageBucket::new(
        created_at,
        UsageBound::default(),
        cap(RATE, BURST),
        VersionNumber::new(1),
        1.0,
        false,
    )
}

fn report(node: usize) -> UsageReport {
    UsageReport {
        from: name(&format!("node-{node}")),
        incarnation: IncarnationNumber::new(1),
        version: VersionNumber::new(1),
        stage: RelayStage::Entry,
        usages: Vec::new(),
    }
}

fn usage(number: u64) -> AccountUsage {
    AccountUsage {
        account: name("account"),
        cap: cap(RATE, BURST),
        number,
        used: 0,
        recent: 0,
        held: 0,
        wanted: 0,
        expected: 0,
    }
}

/// Guards against a bucket that fills up again while entry nodes still hold tokens from it.
#[test]
fn unused_tokens_at_entry_nodes_count_as_content_of_the_bucket() {
    let mut bucket = full_bucket();
    let start = ClockInstant::from_millis(60_000);
    let grant = |bucket: &mut UsageBucket, now, node, usage: &AccountUsage| {
        let grant = bucket.report(now, &report(node), usage);
        grant.expect("is no late report").tokens
    };
    let expected = |number| AccountUsage {
        expected: 50,
        ..usage(number)
    };
    let held: Vec<u32> = (0..20)
        .map(|node| grant(&mut bucket, start, node, &expected(1)))
        .collect();
    let later = ClockInstant::from_millis(61_900);
    let mut spent = 0;
    for (node, held) in held.into_iter().enumerate() {
        let wanted = AccountUsage {
            held,
            wanted: 100,
            ..usage(2)
        };
        spent += held + grant(&mut bucket, later, node, &wanted);
    }
    assert!(spent <= LARGEST_BURST, "{spent} of {LARGEST_BURST}");
    assert!(u64::from(spent) >= BURST, "{spent}");
}

/// Guards against tokens granted twice when a message arrives twice or late.
#[test]
fn report_that_a_later_one_has_overtaken_gets_nothing() {
    let mut bucket = full_bucket();
    let now = ClockInstant::from_millis(60_000);
    let wanted = |number| AccountUsage {
        wanted: 5,
        ..usage(number)
    };
    let second = bucket.report(now, &report(0), &wanted(2));
    assert_eq!(second.map(|grant| grant.tokens), Some(5));
    assert_eq!(bucket.report(now, &report(0), &wanted(2)), None);
    assert_eq!(bucket.report(now, &report(0), &wanted(1)), None);
}

/// Guards against requests that did not run but count towards the cap.
#[test]
fn requests_that_did_not_run_leave_their_tokens_to_others() {
    let mut table = MemberTable::default();
    table.merge(MemberRow {
        node: name("node-0"),
        incarnation: IncarnationNumber::new(1),
        revision: 1,
        state: MemberState::Serving,
        data_centre: name("dc"),
        peer_address: "127.0.0.1:1".parse().expect("address is valid"),
        backends: Vec::new(),
    });
    let mut node = UsageNode::new(
        name("node-0"),
        IncarnationNumber::new(1),
        UsageBound::default(),
    );
    let account = name("account");
    let caps = [(&account, cap(1, 10))];
    let start = ClockInstant::from_millis(0);
    node.sync(
        start,
        IncarnationNumber::new(1),
        VersionNumber::new(1),
        &table,
        caps.into_iter(),
    );
    let now = ClockInstant::from_millis(60_000);
    let admit_all = |node: &mut UsageNode| {
        let mut admitted = 0;
        loop {
            let mut decision = node.admit(now, &account);
            if decision == UsageDecision::Ask {
                node.add_waiting(&account, 1);
                assert!(node.take_exchanges(now, &table).is_empty());
                node.add_waiting(&account, -1);
                decision = node.admit_again(now, &account);
            }
            match decision {
                UsageDecision::Admitted => admitted += 1,
                UsageDecision::Refused(retry_at) => {
                    assert!(retry_at > now);
                    return admitted;
                }
                other => panic!("{other:?}"),
            }
        }
    };
    let admitted = admit_all(&mut node);
    assert!(admitted >= 10, "{admitted}");
    for _ in 0..7 {
        node.give_back(now, &account);
    }
    assert_eq!(admit_all(&mut node), 7);
}

/// Guards against a request that waits for room again and again and is then told that no owner
/// answered: callers get another status for that, and a time to return that says nothing of the cap.
#[test]
fn request_that_got_no_room_in_time_is_refused_by_the_cap() {
    let start = ClockInstant::from_millis(1_000);
    let at = |millis| start.after(TimeBudget::from_millis(millis));
    let mut lease = UsageLease::new(UsageBound::default(), cap(20, 20));
    assert_eq!(lease.decide(start), UsageDecision::Ask);
    assert_eq!(lease.give_up(at(1_000), start), None, "no reply yet");
    lease.add_waiting(1);
    let report = lease.take_report(start, &name("account"));
    let grant = AccountGrant {
        account: name("account"),
        number: report.number,
        tokens: 0,
        lease: TimeBudget::from_secs(2),
        room_in: TimeBudget::from_millis(5),
        may_wait: true,
    };
    lease.finish(at(2), start, Some(&grant));
    assert_eq!(lease.decide(at(10)), UsageDecision::Ask);
    let retry_at = lease.give_up(at(1_000), start).expect("the owner replied");
    assert!(retry_at >= at(1_000));
    assert_eq!(lease.give_up(at(1_000), at(500)), None);
}
