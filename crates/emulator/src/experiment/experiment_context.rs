use std::{collections::BTreeMap, future::Future, str::FromStr};

use bronzelb_kernel::error::MeshError;

/// A size that was set on the command line, such as `nodes=9`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SizeSetting {
    /// Name of the size.
    pub name: String,
    /// Value of the size.
    pub value: u64,
}

/// Seed and sizes of an experiment's run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentContext {
    seed: u64,
    sizes: BTreeMap<String, u64>,
}

impl ExperimentContext {
    /// Builds a context; a later setting of a size replaces an earlier one.
    pub fn new(seed: u64, sizes: impl IntoIterator<Item = SizeSetting>) -> Self {
        let sizes = sizes
            .into_iter()
            .map(|size| (size.name, size.value))
            .collect();
        Self { seed, sizes }
    }

    /// Returns the seed of every random choice.
    #[must_use]
    pub const fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns the size `name`, or `default_value` if it was not set.
    #[must_use]
    pub fn size(&self, name: &str, default_value: u64) -> u64 {
        self.sizes.get(name).copied().unwrap_or(default_value)
    }

    /// Runs a future on an actix system of its own.
    ///
    /// # Errors
    ///
    /// Whatever the future returns.
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
                "size {text:?} is not a name and a whole number, such as \"nodes=9\""
            ))
        })
    }
}
