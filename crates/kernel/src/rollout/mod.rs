//! Version moves: gradual rollouts of a new version of a service.
//!
//! A move is a state machine driven by a share curve and by evidence from live requests. The
//! request path calls [`MoveTable::version_split`] to choose the version for a request and
//! [`MoveTable::record_outcome`] to report how the request ended.

mod cusum_detector;
mod decaying_counts;
mod exposure_limit;
mod judge_choice;
mod latency_histogram;
mod load_trial;
mod move_change;
mod move_evidence;
mod move_judge;
mod move_mark;
mod move_outlook;
mod move_record;
mod move_state;
mod move_table;
mod move_view;
mod order_history;
mod outcome_report;
mod route_judge;
mod sequential_test;
mod share_curve;
mod share_plan;
mod version_breaker;
mod version_split;

pub use cusum_detector::{CusumDetector, DetectorBaseline, DetectorShares};
pub use exposure_limit::ExposureLimit;
pub use judge_choice::{EvidenceReport, JUDGES_PER_DATA_CENTRE, choose_judges};
pub use latency_histogram::LatencyHistogram;
pub use load_trial::{LoadTrial, ServerGroup};
pub use move_change::{MoveChange, MoveRequest};
pub use move_evidence::{EvidenceCell, EvidenceKey, EvidenceSource, MoveEvidence, VersionSide};
pub use move_judge::{COMPARISON_INTERVAL, EVIDENCE_TIMEOUT, MoveJudge};
pub use move_mark::{MARK_KIND, MarkCause, MoveMark};
pub use move_outlook::{MoveOutlook, VersionCapacity};
pub use move_record::{MOVE_KIND, MoveRecord, MoveStatement};
pub use move_state::{MoveEvent, MoveState, MoveTransition};
pub use move_table::MoveTable;
pub use move_view::{MoveView, RouteTally, VIEW_KIND};
pub use order_history::{OrderHistory, OrderMatch};
pub use outcome_report::{OutcomeClass, OutcomeReport};
pub use route_judge::{RouteBin, RouteFault, RouteJudge};
pub use sequential_test::{EventBin, EventCount, SequentialTest};
pub use share_curve::{FULL_SHARE, MAX_PROPAGATION_TIME, ShareCurve};
pub use share_plan::SharePlan;
pub use version_breaker::VersionBreaker;
pub use version_split::{VersionChoice, VersionSplit};
