//! Tests for publishing a version: lost responses and racing publishers.

use bronzelb_kernel::{
    clock::ClockInstant,
    config::ConfigSnapshot,
    ids::{AttemptToken, VersionNumber},
    spread::{
        CurrentRow, MAX_ACCEPTED_ATTEMPTS, PublishAttempt, PublishOutcome, PublishPlan,
        PublishStep, VersionRow, WriteOutcome,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn snapshot() -> ConfigSnapshot {
    let text = r#"{"mesh":"m","proxies":{"dc1":{"spill_order":[]}},"services":{},"routes":{}}"#;
    serde_json::from_str(text).expect("the snapshot is well-formed")
}

fn plan(current: Option<&CurrentRow>, token: u128) -> PublishPlan {
    let attempt = PublishAttempt {
        token: AttemptToken::new(token),
        publisher: format!("operator-{token}").into(),
        started_at: ClockInstant::from_millis(5),
    };
    PublishPlan::new(current, snapshot(), attempt).expect("the snapshot is valid")
}

/// Fake platform table with a single row and compare-and-set.
#[derive(Default)]
struct FakeTable {
    current: Option<CurrentRow>,
    accepted: Vec<(VersionNumber, AttemptToken)>,
}

impl FakeTable {
    fn write(&mut self, plan: &PublishPlan) -> WriteOutcome {
        let revision = self.current.as_ref().map(|current| current.revision);
        if revision != plan.expected_revision() {
            return WriteOutcome::Conflict;
        }
        let row = VersionRow::from_json(&plan.row().to_json())
            .expect("a version row can be decoded from its own JSON");
        self.accepted.push((row.number, row.attempt));
        self.current = Some(CurrentRow {
            row,
            revision: revision.unwrap_or_default().next().next().next(),
        });
        WriteOutcome::Written
    }
}

#[test]
fn lost_response_of_an_accepted_write_is_read_back_as_accepted() {
    let mut table = FakeTable::default();
    let own = plan(None, 1);
    table.write(&own);
    assert_eq!(
        own.after_write(&WriteOutcome::Unknown),
        PublishStep::ReadBack
    );
    let accepted = PublishOutcome::Accepted(own.version().stamp());
    let step = own.after_read(table.current.as_ref());
    assert_eq!(step, PublishStep::Finished(accepted));
}

#[test]
fn lost_response_is_resolved_as_accepted_after_a_later_version() {
    let mut table = FakeTable::default();
    let own = plan(None, 1);
    table.write(&own);
    let later = plan(table.current.as_ref(), 2);
    table.write(&later);
    let accepted = PublishOutcome::Accepted(own.version().stamp());
    let step = own.after_read(table.current.as_ref());
    assert_eq!(step, PublishStep::Finished(accepted));
}

#[test]
fn loser_of_a_race_learns_which_version_won() {
    let mut table = FakeTable::default();
    let (own, other) = (plan(None, 1), plan(None, 2));
    table.write(&other);
    let outcome = table.write(&own);
    assert_eq!(own.after_write(&outcome), PublishStep::ReadBack);
    let outcome = PublishOutcome::Lost {
        number: VersionNumber::new(1),
        publisher: "operator-2".into(),
    };
    let step = own.after_read(table.current.as_ref());
    assert_eq!(step, PublishStep::Finished(outcome.clone()));
    let error = own.report(&outcome).expect_err("a lost race is an error");
    assert_eq!(
        error.to_string(),
        "conflict: version 1 was published by operator-2 first"
    );
}

#[test]
fn lost_write_is_sent_again() {
    let table = FakeTable::default();
    let own = plan(None, 1);
    assert_eq!(own.after_read(table.current.as_ref()), PublishStep::Write);
}

#[test]
fn outcome_is_unknown_when_the_row_no_longer_lists_the_number() {
    let mut table = FakeTable::default();
    let own = plan(None, 1);
    table.write(&own);
    for token in 2..=(MAX_ACCEPTED_ATTEMPTS as u128 + 2) {
        let later = plan(table.current.as_ref(), token);
        table.write(&later);
    }
    let step = own.after_read(table.current.as_ref());
    assert_eq!(step, PublishStep::Finished(PublishOutcome::Unknown));
}

#[test]
fn every_reported_outcome_matches_the_table() {
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = FakeTable::default();
        let mut open: Vec<(PublishPlan, PublishStep)> = Vec::new();
        for token in 1..=12 {
            open.push((plan(table.current.as_ref(), token), PublishStep::Write));
            for _ in 0..rng.random_range(0..6) {
                let index = rng.random_range(0..open.len());
                advance(&mut open[index], &mut table, &mut rng);
            }
        }
        for publisher in &mut open {
            while !matches!(publisher.1, PublishStep::Finished(_)) {
                advance(publisher, &mut table, &mut rng);
            }
        }
        for (own, step) in &open {
            let is_accepted = table
                .accepted
                .contains(&(own.row().number, own.row().attempt));
            let says_accepted = matches!(step, PublishStep::Finished(PublishOutcome::Accepted(_)));
            assert_eq!(says_accepted, is_accepted, "seed {seed}");
        }
        let numbers: Vec<_> = table.accepted.iter().map(|(number, _)| *number).collect();
        assert!(
            numbers.is_sorted_by(|a, b| a < b),
            "seed {seed}: {numbers:?}"
        );
    }
}

fn advance(publisher: &mut (PublishPlan, PublishStep), table: &mut FakeTable, rng: &mut StdRng) {
    let (own, step) = publisher;
    *step = match step {
        PublishStep::Write => {
            let outcome = match rng.random_range(0..3) {
                0 => WriteOutcome::Unknown,
                1 => {
                    table.write(own);
                    WriteOutcome::Unknown
                }
                _ => table.write(own),
            };
            own.after_write(&outcome)
        }
        PublishStep::ReadBack => own.after_read(table.current.as_ref()),
        PublishStep::Finished(outcome) => PublishStep::Finished(outcome.clone()),
    };
}
