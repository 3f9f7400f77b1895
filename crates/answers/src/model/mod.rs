//! Answers as parsed, before defaults are applied: every field that may be omitted is optional.

mod centre_latencies;
mod route_answers;
mod service_answers;

pub(crate) use centre_latencies::CentreLatencies;
pub(crate) use route_answers::{ObjectiveAnswers, RouteAnswers};
pub(crate) use service_answers::{RolloutAnswers, ServiceAnswers};
