use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::experiment::{ExperimentContext, ExperimentReport};

/// An experiment that registered itself with `inventory::submit!`.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// What it measures, in one line.
    pub about: &'static str,
    /// Runs it.
    pub run: fn(&ExperimentContext) -> Result<ExperimentReport, MeshError>,
}

inventory::collect!(Experiment);

impl Experiment {
    /// Returns the experiment that registered under `name`.
    ///
    /// # Errors
    ///
    /// `NotFound` when no experiment has that name.
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

    /// Returns every experiment in the order of names.
    #[must_use]
    pub fn all() -> Vec<&'static Self> {
        let mut experiments: Vec<_> = inventory::iter::<Self>.into_iter().collect();
        experiments.sort_by_key(|experiment| experiment.name);
        experiments
    }
}
