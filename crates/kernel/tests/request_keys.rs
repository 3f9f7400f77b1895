//! Idempotency keys, tickets and records of crashes.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::ErrorKind,
    ids::{ContentHash, IdempotencyKey, IncarnationNumber, NodeName},
    request::{
        CrashRecord, CrashSuspicion, KEY_MEMORY, KeyEnd, KeyLedger, KeyVerdict, RequestTicket,
        ServerLife,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

type Ledger = KeyLedger<u32, &'static str>;

fn now() -> ClockInstant {
    ClockInstant::from_millis(1_000_000)
}

fn node() -> NodeName {
    "leuven-1".parse().expect("name is valid")
}

fn key(text: &str) -> IdempotencyKey {
    text.parse().expect("key is valid")
}

fn print(text: &str) -> ContentHash {
    ContentHash::of(text.as_bytes())
}

#[test]
fn key_runs_once_and_then_replays() {
    let mut ledger = Ledger::default();
    let order = key("order-1");
    let first = ledger.begin(now(), &order, print("a"), 1);
    assert_eq!(
        first,
        Ok(KeyVerdict::Run {
            is_known_idle: false
        })
    );
    let second = ledger.begin(now(), &order, print("a"), 2);
    assert_eq!(second, Ok(KeyVerdict::Join(1)));
    ledger.end(now(), &order, KeyEnd::Ended("done"));
    let third = ledger.begin(now(), &order, print("a"), 3);
    assert_eq!(third, Ok(KeyVerdict::Replay("done")));
}

#[test]
fn key_of_another_request_is_a_conflict() {
    let mut ledger = Ledger::default();
    let order = key("order-1");
    let _ = ledger.begin(now(), &order, print("a"), 1);
    let error = ledger
        .begin(now(), &order, print("b"), 2)
        .expect_err("the request differs");
    assert_eq!(error.kind(), ErrorKind::Conflict);
}

#[test]
fn key_that_did_not_run_runs_again() {
    let mut ledger = Ledger::default();
    let order = key("order-1");
    let _ = ledger.begin(now(), &order, print("a"), 1);
    ledger.end(now(), &order, KeyEnd::NotRun);
    let again = ledger.begin(now(), &order, print("a"), 2);
    assert_eq!(
        again,
        Ok(KeyVerdict::Run {
            is_known_idle: true
        })
    );
}

#[test]
fn lapsed_or_invented_tickets_never_run() {
    let mut ledger = Ledger::default();
    let run = IncarnationNumber::new(7);
    let ticket = ledger.issue(now(), &node(), run).expect("there is room");
    let later = now().after(KEY_MEMORY);
    let _ = ledger.issue(later, &node(), run).expect("there is room");
    let lapsed = ledger.begin(later, &ticket.to_key(), print("a"), 1);
    assert_eq!(lapsed, Ok(KeyVerdict::Unknown));
    let invented = key("bz~leuven-1~7~900");
    let verdict = ledger.begin(later, &invented, print("a"), 1);
    assert_eq!(verdict, Ok(KeyVerdict::Unknown));
}

#[test]
fn running_key_is_never_forgotten() {
    let mut ledger = Ledger::default();
    let order = key("order-1");
    let _ = ledger.begin(now(), &order, print("a"), 1);
    let later = now().after(KEY_MEMORY).after(TimeBudget::from_secs(1));
    let _ = ledger.begin(later, &key("order-2"), print("b"), 2);
    let again = ledger.begin(later, &order, print("a"), 3);
    assert_eq!(again, Ok(KeyVerdict::Join(1)));
}

#[test]
fn random_histories_never_run_a_key_twice() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ledger = Ledger::default();
        let mut may_have_run = [false; 4];
        let mut running = [false; 4];
        for step in 0..500 {
            let index = rng.random_range(0..4);
            let order = key(&format!("order-{index}"));
            let at = now().after(TimeBudget::from_millis(step));
            if running[index] && rng.random_bool(0.5) {
                running[index] = false;
                let end = match rng.random_range(0..3) {
                    0 => KeyEnd::NotRun,
                    1 => KeyEnd::Ended("done"),
                    _ => KeyEnd::Unknown,
                };
                may_have_run[index] |= end != KeyEnd::NotRun;
                ledger.end(at, &order, end);
                continue;
            }
            let verdict = ledger
                .begin(at, &order, print("a"), 0)
                .expect("same request");
            if matches!(verdict, KeyVerdict::Run { .. }) {
                assert!(
                    !running[index] && !may_have_run[index],
                    "seed {seed} step {step}"
                );
                running[index] = true;
            }
        }
    }
}

#[test]
fn ticket_text_is_checked() {
    for text in ["bz~a~1", "bz~a~1~2~3", "bz~~1~2", "bz~a~x~2", "x~a~1~2"] {
        assert!(text.parse::<RequestTicket>().is_err(), "{text:?}");
    }
}

fn life(backend: &str, deaths: u32) -> ServerLife {
    ServerLife {
        backend: backend.parse().expect("name is valid"),
        incarnation: IncarnationNumber::new(1),
        deaths,
    }
}

#[test]
fn second_death_quarantines_and_an_answer_clears() {
    let mut record = CrashRecord::default();
    assert_eq!(record.suspicion(now()), CrashSuspicion::Clear);
    record.add_death(life("a", 0), now());
    record.add_death(life("a", 0), now());
    assert_eq!(record.suspicion(now()), CrashSuspicion::Suspect);
    let mut innocent = record.clone();
    innocent.clear();
    innocent.add_death(life("b", 0), now());
    assert_eq!(innocent.suspicion(now()), CrashSuspicion::Suspect);
    record.add_death(life("a", 1), now());
    assert_eq!(record.suspicion(now()), CrashSuspicion::Quarantined);
}

#[test]
fn crash_records_merge_in_any_order() {
    let mut one = CrashRecord::default();
    one.add_death(life("a", 0), now());
    let mut cleared = one.clone();
    cleared.clear();
    let mut two = CrashRecord::default();
    two.add_death(life("b", 0), now());
    let parts = [one, cleared, two];
    let merged = |order: [usize; 4]| {
        let mut all = CrashRecord::default();
        for index in order {
            all.merge(parts[index].clone());
        }
        all
    };
    assert_eq!(merged([0, 1, 2, 0]), merged([2, 0, 1, 2]));
    assert_eq!(
        merged([0, 1, 2, 0]).suspicion(now()),
        CrashSuspicion::Suspect
    );
}
