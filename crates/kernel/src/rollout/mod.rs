//! Version moves: the curve, the evidence, and the state machine.
//!
//! A request path asks [`MoveTable::version_split`] which version a request goes to, and tells
//! [`MoveTable::record_outcome`] how it ended. Everything else follows from these two.

mod doubt_watch;
mod fading_counts;
mod judge_choice;
mod latency_histogram;
mod move_change;
mod move_judge;
mod move_mark;
mod move_outlook;
mod move_record;
mod move_state;
mod move_table;
mod move_view;
mod node_evidence;
mod outcome_report;
mod quick_stop;
mod route_judge;
mod sequential_test;
mod share_curve;
mod share_plan;
mod version_split;

pub use doubt_watch::DoubtWatch;
pub use judge_choice::{EvidenceReport, JUDGES_PER_CENTRE, choose_judges};
pub use latency_histogram::LatencyHistogram;
pub use move_change::{MoveChange, MoveWish};
pub use move_judge::{HEARING_TIME, INTERVAL, MoveJudge};
pub use move_mark::{MARK_KIND, MarkCause, MoveMark};
pub use move_outlook::{MoveOutlook, VersionCapacity};
pub use move_record::{MOVE_KIND, MoveRecord, MoveStatement};
pub use move_state::{MoveEvent, MoveState, MoveTransition};
pub use move_table::MoveTable;
pub use move_view::{MoveView, RouteTally, VIEW_KIND};
pub use node_evidence::{EvidenceCell, EvidenceKey, NodeEvidence, NodeSlot, VersionSide};
pub use outcome_report::{OutcomeClass, OutcomeReport};
pub use quick_stop::QuickStop;
pub use route_judge::{RouteBin, RouteFault, RouteJudge};
pub use sequential_test::{EventBin, EventCount, SequentialTest};
pub use share_curve::{SETTLE, ShareCurve, WHOLE_SHARE};
pub use share_plan::SharePlan;
pub use version_split::{VersionChoice, VersionSplit};
