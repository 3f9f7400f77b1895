use std::{collections::BTreeMap, time::Duration};

use bronzelb_kernel::error::{ErrorKind, MeshError};
use hdrhistogram::Histogram;
use serde::Deserialize;

use crate::{
    http::CallAnswer,
    load::{CallOutcome, LatencySummary, RouteReport},
};

const MAX_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Figures of one route while a load runs.
#[derive(Clone, Debug)]
pub(crate) struct RouteStats {
    pub(crate) sent: u64,
    pub(crate) unsent: u64,
    pub(crate) attempts: u64,
    pub(crate) in_time: u64,
    pub(crate) outcomes: BTreeMap<CallOutcome, u64>,
    pub(crate) errors: BTreeMap<String, u64>,
    pub(crate) builds: BTreeMap<String, u64>,
    done_micros: Histogram<u64>,
    refused_micros: Histogram<u64>,
}

/// What one call adds to a [`RouteTally`].
pub(crate) struct CallSample<'a> {
    pub(crate) outcome: CallOutcome,
    pub(crate) error: String,
    pub(crate) build: &'a str,
    pub(crate) latency: Duration,
    pub(crate) attempts: u64,
    pub(crate) deadline: Duration,
}

#[derive(Deserialize)]
struct ErrorBody {
    kind: ErrorKind,
}

impl RouteStats {
    pub(crate) fn new() -> Self {
        Self {
            sent: 0,
            unsent: 0,
            attempts: 0,
            in_time: 0,
            outcomes: BTreeMap::new(),
            errors: BTreeMap::new(),
            builds: BTreeMap::new(),
            done_micros: histogram(),
            refused_micros: histogram(),
        }
    }

    pub(crate) fn count(&mut self, figures: &CallSample<'_>) {
        let micros = u64::try_from(figures.latency.as_micros()).unwrap_or(MAX_MICROS);
        *self.outcomes.entry(figures.outcome).or_default() += 1;
        self.attempts += figures.attempts;
        if figures.outcome == CallOutcome::Done {
            self.done_micros.saturating_record(micros);
            *self.builds.entry(figures.build.to_owned()).or_default() += 1;
            if figures.latency <= figures.deadline {
                self.in_time += 1;
            }
        } else {
            self.refused_micros.saturating_record(micros);
            *self.errors.entry(figures.error.clone()).or_default() += 1;
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.unsent += other.unsent;
        self.attempts += other.attempts;
        self.in_time += other.in_time;
        add_counts(&mut self.outcomes, &other.outcomes);
        add_counts(&mut self.errors, &other.errors);
        add_counts(&mut self.builds, &other.builds);
        self.done_micros += &other.done_micros;
        self.refused_micros += &other.refused_micros;
    }

    pub(crate) fn report(&self, name: &str) -> RouteReport {
        RouteReport {
            name: name.to_owned(),
            sent: self.sent,
            unsent: self.unsent,
            attempts: self.attempts,
            in_time: self.in_time,
            outcomes: self.outcomes.clone(),
            errors: self.errors.clone(),
            builds: self.builds.clone(),
            done: LatencySummary::of(&self.done_micros),
            refused: LatencySummary::of(&self.refused_micros),
        }
    }
}

/// Names the error of a call: the mesh's kind, the status, or what the client said.
pub(crate) fn error_name(result: &Result<CallAnswer, MeshError>) -> String {
    match result {
        Ok(answer) => match serde_json::from_slice::<ErrorBody>(&answer.body) {
            Ok(body) => body.kind.to_string(),
            Err(_) => format!("status {}", answer.status),
        },
        Err(error) => error.message().to_owned(),
    }
}

pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn add_counts<K: Ord + Clone>(counts: &mut BTreeMap<K, u64>, other: &BTreeMap<K, u64>) {
    for (name, count) in other {
        *counts.entry(name.clone()).or_default() += count;
    }
}
