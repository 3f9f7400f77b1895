use std::{collections::BTreeMap, future::Future, str::FromStr};

use bronzelb_kernel::error::MeshError;

/// Numeric parameter of an experiment, set on the command line as in `nodes=9`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SizeSetting {
    /// Name of the size.
    pub name: String,
    /// Value of the size.
    pub value: u64,
}

/// Seed of an experiment run and its sizes, the numeric parameters set on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentContext {
    seed: u64,
    sizes: BTreeMap<String, u64>,
}

impl ExperimentContext {
    /// Creates a context. A later setting of a size replaces an earlier one.
    pub fn new(seed: u64, sizes: impl IntoIterator<Item = SizeSetting>) -> Self {
        let sizes = sizes
            .into_iter()
            .map(|size| (size.name, size.value))
            .collect();
        Self { seed, sizes }
    }

    /// Returns the seed of the random number generators.
    #[must_use]
    pub const fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns the size `name`, or `default_value` if it is not set.
    #[must_use]
    pub fn size(&self, name: &str, default_value: u64) -> u64 {
        self.sizes.get(name).copied().unwrap_or(default_value)
    }

    /// Runs a future to completion on a new actix system.
    ///
    /// # Errors
    ///
    /// Returns the error of the future.
    pub fn block_on<T>(
        &self,
        future: impl Future<Output = Result<T, MeshError>>,
    ) -> Result<T, MeshError> {
        actix_web::rt::System::new().block_on(future)
    }
}

impl FromStr for SizeSetting {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let setting = text.split_once('=').and_then(|(name, value)| {
            let value = value.parse().ok()?;
            let name = name.to_owned();
            Some(Self { name, value })
        });
        setting.ok_or_else(|| {
            MeshError::invalid(format!(
                "size {text:?} does not have the form NAME=NUMBER, such as \"nodes=9\""
            ))
        })
    }
}
