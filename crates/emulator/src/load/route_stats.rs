use std::{collections::BTreeMap, time::Duration};

use bronzelb_kernel::error::{ErrorKind, MeshError};
use hdrhistogram::Histogram;
use serde::Deserialize;

use crate::{
    http::CallResponse,
    load::{CallOutcome, LatencySummary, RouteReport},
};

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Statistics of one route, accumulated while a load runs.
#[derive(Clone, Debug)]
pub(crate) struct RouteStats {
    pub(crate) sent: u64,
    pub(crate) unsent: u64,
    pub(crate) attempts: u64,
    pub(crate) in_time: u64,
    pub(crate) outcomes: BTreeMap<CallOutcome, u64>,
    pub(crate) errors: BTreeMap<String, u64>,
    pub(crate) builds: BTreeMap<String, u64>,
    done_latency_us: Histogram<u64>,
    refused_latency_us: Histogram<u64>,
}

/// What one call adds to a [`RouteStats`].
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
            done_latency_us: latency_histogram(),
            refused_latency_us: latency_histogram(),
        }
    }

    pub(crate) fn record(&mut self, sample: &CallSample<'_>) {
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        *self.outcomes.entry(sample.outcome).or_default() += 1;
        self.attempts += sample.attempts;
        if sample.outcome == CallOutcome::Done {
            self.done_latency_us.saturating_record(micros);
            *self.builds.entry(sample.build.to_owned()).or_default() += 1;
            if sample.latency <= sample.deadline {
                self.in_time += 1;
            }
        } else {
            self.refused_latency_us.saturating_record(micros);
            *self.errors.entry(sample.error.clone()).or_default() += 1;
        }
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.unsent += other.unsent;
        self.attempts += other.attempts;
        self.in_time += other.in_time;
        merge_counts(&mut self.outcomes, &other.outcomes);
        merge_counts(&mut self.errors, &other.errors);
        merge_counts(&mut self.builds, &other.builds);
        self.done_latency_us += &other.done_latency_us;
        self.refused_latency_us += &other.refused_latency_us;
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
            done: LatencySummary::of(&self.done_latency_us),
            refused: LatencySummary::of(&self.refused_latency_us),
        }
    }
}

/// Returns the error label of a call: the mesh's error kind, the HTTP status or the client's error.
pub(crate) fn error_name(result: &Result<CallResponse, MeshError>) -> String {
    match result {
        Ok(answer) => match serde_json::from_slice::<ErrorBody>(&answer.body) {
            Ok(body) => body.kind.to_string(),
            Err(_) => format!("status {}", answer.status),
        },
        Err(error) => error.message().to_owned(),
    }
}

pub(crate) fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn merge_counts<K: Ord + Clone>(counts: &mut BTreeMap<K, u64>, other: &BTreeMap<K, u64>) {
    for (name, count) in other {
        *counts.entry(name.clone()).or_default() += count;
    }
}
