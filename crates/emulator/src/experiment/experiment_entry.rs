use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::experiment::{ExperimentContext, ExperimentReport};

/// Entry of an experiment in the registry, submitted with `inventory::submit!`.
#[derive(Clone, Copy, Debug)]
pub struct ExperimentEntry {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description of the measurement.
    pub about: &'static str,
    /// Function that runs the experiment.
    pub run: fn(&ExperimentContext) -> Result<ExperimentReport, MeshError>,
}

inventory::collect!(ExperimentEntry);

impl ExperimentEntry {
    /// Returns the experiment registered under `name`.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if no experiment has that name.
    pub fn find(name: &str) -> Result<&'static Self, MeshError> {
        Self::all()
            .into_iter()
            .find(|experiment| experiment.name == name)
            .ok_or_else(|| {
                MeshError::new(
                    ErrorKind::NotFound,
                    format!("experiment {name:?} does not exist"),
                )
            })
    }

    /// Returns all experiments, sorted by name.
    #[must_use]
    pub fn all() -> Vec<&'static Self> {
        let mut experiments: Vec<_> = inventory::iter::<Self>.into_iter().collect();
        experiments.sort_by_key(|experiment| experiment.name);
        experiments
    }
}
