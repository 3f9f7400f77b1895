//! Idempotency keys, tickets and crash records.

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::ErrorKind,
    ids::{ContentHash, IdempotencyKey, IncarnationNumber, NodeName},
    request::{
        CrashRecord, CrashStatus, IdempotencyCache, KEY_RETENTION, KeyDecision, KeyOutcome,
        RequestTicket, ServerInstance,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

type Cache = IdempotencyCache<u32, &'static str>;

fn now() -> ClockInstant {
    ClockInstant::from_millis(1_000_000)
}

fn node() -> NodeName {
    "leuven-1".parse().expect("name is valid")
}

fn key(text: &str) -> IdempotencyKey {
    text.parse().expect("key is valid")
}

fn fingerprint(text: &str) -> ContentHash {
    ContentHash::of(text.as_bytes())
}

#[test]
fn key_runs_once_and_then_replays() {
    let mut cache = Cache::default();
    let order = key("order-1");
    let first = cache.begin(now(), &order, fingerprint("a"), 1);
    assert_eq!(
        first,
        Ok(KeyDecision::Run {
            is_known_not_run: false
        })
    );
    let second = cache.begin(now(), &order, fingerprint("a"), 2);
    assert_eq!(second, Ok(KeyDecision::Join(1)));
    cache.finish(now(), &order, KeyOutcome::Completed("done"));
    let third = cache.begin(now(), &order, fingerprint("a"), 3);
    assert_eq!(third, Ok(KeyDecision::Replay("done")));
}

#[test]
fn key_of_another_request_is_a_conflict() {
    let mut cache = Cache::default();
    let order = key("order-1");
    let _ = cache.begin(now(), &order, fingerprint("a"), 1);
    let error = cache
        .begin(now(), &order, fingerprint("b"), 2)
        .expect_err("the request differs");
    assert_eq!(error.kind(), ErrorKind::Conflict);
}

#[test]
fn key_that_did_not_run_may_run_again() {
    let mut cache = Cache::default();
    let order = key("order-1");
    let _ = cache.begin(now(), &order, fingerprint("a"), 1);
    cache.finish(now(), &order, KeyOutcome::NotRun);
    let again = cache.begin(now(), &order, fingerprint("a"), 2);
    assert_eq!(
        again,
        Ok(KeyDecision::Run {
            is_known_not_run: true
        })
    );
}

#[test]
fn expired_or_forged_tickets_never_run() {
    let mut cache = Cache::default();
    let incarnation = IncarnationNumber::new(7);
    let ticket = cache
        .issue_ticket(now(), &node(), incarnation)
        .expect("there is room");
    let later = now().after(KEY_RETENTION);
    let _ = cache
        .issue_ticket(later, &node(), incarnation)
        .expect("there is room");
    let expired = cache.begin(later, &ticket.to_key(), fingerprint("a"), 1);
    assert_eq!(expired, Ok(KeyDecision::Unknown));
    let forged = key("bz~leuven-1~7~900");
    let decision = cache.begin(later, &forged, fingerprint("a"), 1);
    assert_eq!(decision, Ok(KeyDecision::Unknown));
}

#[test]
fn running_key_is_never_forgotten() {
    let mut cache = Cache::default();
    let order = key("order-1");
    let _ = cache.begin(now(), &order, fingerprint("a"), 1);
    let later = now().after(KEY_RETENTION).after(TimeBudget::from_secs(1));
    let _ = cache.begin(later, &key("order-2"), fingerprint("b"), 2);
    let again = cache.begin(later, &order, fingerprint("a"), 3);
    assert_eq!(again, Ok(KeyDecision::Join(1)));
}

#[test]
fn random_histories_never_run_a_key_twice() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut cache = Cache::default();
        let mut may_have_run = [false; 4];
        let mut running = [false; 4];
        for step in 0..500 {
            let index = rng.random_range(0..4);
            let order = key(&format!("order-{index}"));
            let at = now().after(TimeBudget::from_millis(step));
            if running[index] && rng.random_bool(0.5) {
                running[index] = false;
                let end = match rng.random_range(0..3) {
                    0 => KeyOutcome::NotRun,
                    1 => KeyOutcome::Completed("done"),
                    _ => KeyOutcome::Unknown,
                };
                may_have_run[index] |= end != KeyOutcome::NotRun;
                cache.finish(at, &order, end);
                continue;
            }
            let decision = cache
                .begin(at, &order, fingerprint("a"), 0)
                .expect("same request");
            if matches!(decision, KeyDecision::Run { .. }) {
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

fn instance(backend: &str, prior_crashes: u32) -> ServerInstance {
    ServerInstance {
        backend: backend.parse().expect("name is valid"),
        incarnation: IncarnationNumber::new(1),
        prior_crashes,
    }
}

#[test]
fn second_crash_quarantines_and_an_answer_clears() {
    let mut record = CrashRecord::default();
    assert_eq!(record.status(now()), CrashStatus::Clear);
    record.add_crash(instance("a", 0), now());
    record.add_crash(instance("a", 0), now());
    assert_eq!(record.status(now()), CrashStatus::Suspect);
    let mut cleared = record.clone();
    cleared.clear();
    cleared.add_crash(instance("b", 0), now());
    assert_eq!(cleared.status(now()), CrashStatus::Suspect);
    record.add_crash(instance("a", 1), now());
    assert_eq!(record.status(now()), CrashStatus::Quarantined);
}

#[test]
fn crash_records_merge_in_any_order() {
    let mut one = CrashRecord::default();
    one.add_crash(instance("a", 0), now());
    let mut cleared = one.clone();
    cleared.clear();
    let mut two = CrashRecord::default();
    two.add_crash(instance("b", 0), now());
    let parts = [one, cleared, two];
    let merged = |order: [usize; 4]| {
        let mut all = CrashRecord::default();
        for index in order {
            all.merge(parts[index].clone());
        }
        all
    };
    assert_eq!(merged([0, 1, 2, 0]), merged([2, 0, 1, 2]));
    assert_eq!(merged([0, 1, 2, 0]).status(now()), CrashStatus::Suspect);
}
