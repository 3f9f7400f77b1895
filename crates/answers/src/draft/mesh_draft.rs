use bronzelb_kernel::{
    clock::TimeBudget,
    ids::{DataCentre, MeshName, ServiceName, SlotCount},
};
use compact_str::{CompactString, format_compact};

use crate::draft::{ServiceDraft, draft_text};

const DEFAULT_SLOTS: SlotCount = SlotCount::new(12);
const DEFAULT_CONNECTIONS: u32 = 110;
const DEFAULT_REPORT_FORMAT: &str = "json-load";
const DEFAULT_LATENCY: TimeBudget = TimeBudget::from_micros(500);

const SAMPLE_FIRST_REGION_CENTRES: usize = 3;
const SAMPLE_REGION_LATENCY: TimeBudget = TimeBudget::from_millis(1);
const SAMPLE_CROSS_REGION_LATENCY: TimeBudget = TimeBudget::from_millis(40);
const SAMPLE_DEFERRABLE_INTERVAL: usize = 10;
const SAMPLE_NON_IDEMPOTENT_INTERVAL: usize = 4;

/// Latency between two data centres.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkLatency {
    /// One of the two data centres.
    pub from: DataCentre,
    /// The other data centre.
    pub to: DataCentre,
    /// Latency between them.
    pub latency: TimeBudget,
}

/// Input for the initial answers of a mesh, which [`MeshDraft::to_yaml`] generates.
///
/// # Examples
///
/// ```
/// use bronzelb_answers::{draft::MeshDraft, parse_answers};
///
/// let text = MeshDraft::new("trial".parse()?).to_yaml();
/// let snapshot = parse_answers("answers.yaml", &text).expect("a draft is valid");
/// assert_eq!(snapshot.mesh.as_str(), "trial");
/// # Ok::<(), bronzelb_kernel::error::MeshError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeshDraft {
    /// Name of the mesh.
    pub mesh: MeshName,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Latency of each pair of data centres.
    pub latencies: Vec<LinkLatency>,
    /// Requests that one backend server handles concurrently.
    pub slots: SlotCount,
    /// Connections that one backend server accepts.
    pub connections: u32,
    /// Format of the backend servers' health and load reports.
    pub report_format: CompactString,
    /// Services.
    pub services: Vec<ServiceDraft>,
}

impl MeshDraft {
    /// Builds a draft with three data centres and three services.
    #[must_use]
    pub fn new(mesh: MeshName) -> Self {
        let data_centres = data_centre_names(&["dc1", "dc2", "dc3"]);
        let latencies = all_pairs(&data_centres, |_, _| DEFAULT_LATENCY);
        let [tracker, dispatcher, archive] = ["tracker", "dispatcher", "archive"].map(service_name);
        Self {
            mesh,
            data_centres,
            latencies,
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            report_format: DEFAULT_REPORT_FORMAT.into(),
            services: vec![
                ServiceDraft::new(tracker),
                ServiceDraft::new(dispatcher).non_idempotent(true),
                ServiceDraft::new(archive).deferrable(true),
            ],
        }
    }

    /// Builds a draft with `count` services in five data centres of two regions, for measurements.
    #[must_use]
    pub fn sample(mesh: MeshName, count: usize) -> Self {
        let data_centres = data_centre_names(&["east1", "east2", "east3", "west1", "west2"]);
        let latencies = all_pairs(&data_centres, |from, to| {
            let is_same_region =
                (from < SAMPLE_FIRST_REGION_CENTRES) == (to < SAMPLE_FIRST_REGION_CENTRES);
            if is_same_region {
                SAMPLE_REGION_LATENCY
            } else {
                SAMPLE_CROSS_REGION_LATENCY
            }
        });
        let services = (1..=count).map(|number| {
            ServiceDraft::new(service_name(&format_compact!("service{number:03}")))
                .deferrable(number.is_multiple_of(SAMPLE_DEFERRABLE_INTERVAL))
                .non_idempotent(number.is_multiple_of(SAMPLE_NON_IDEMPOTENT_INTERVAL))
        });
        Self {
            data_centres,
            latencies,
            services: services.collect(),
            ..Self::new(mesh)
        }
    }

    /// Generates a commented file of answers.
    #[must_use]
    pub fn to_yaml(&self) -> String {
        draft_text::write_draft(self)
    }
}

fn data_centre_names(texts: &[&str]) -> Vec<DataCentre> {
    let parsed = texts.iter().map(|text| text.parse());
    parsed.map(|name| name.expect("is a valid name")).collect()
}

fn service_name(text: &str) -> ServiceName {
    text.parse().expect("is a valid name")
}

fn all_pairs(
    centres: &[DataCentre],
    latency: impl Fn(usize, usize) -> TimeBudget,
) -> Vec<LinkLatency> {
    let mut pairs = Vec::new();
    for (index, from) in centres.iter().enumerate() {
        for (offset, to) in centres[index + 1..].iter().enumerate() {
            pairs.push(LinkLatency {
                from: from.clone(),
                to: to.clone(),
                latency: latency(index, index + 1 + offset),
            });
        }
    }
    pairs
}
