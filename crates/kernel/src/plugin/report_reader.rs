use crate::{
    config::ShareRatio,
    error::{ErrorKind, MeshError},
};

/// Health and load that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Whether the server reports itself healthy.
    pub is_healthy: bool,
    /// Share of its slots that are in use.
    pub load: ShareRatio,
}

/// Reader of one vendor's format of health and load reports.
///
/// Each vendor's module registers its reader with `inventory::submit!`.
#[derive(Clone, Copy, Debug)]
pub struct ReportReader {
    /// Name that a service's `report_format` selects.
    pub name: &'static str,
    /// Path at which the vendor's servers serve the report.
    pub path: &'static str,
    /// Decodes the body of a report.
    pub read: fn(&[u8]) -> Result<LoadReport, MeshError>,
}

inventory::collect!(ReportReader);

impl ReportReader {
    /// Returns the reader that is registered under `name`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] when no reader has that name.
    pub fn find(name: &str) -> Result<&'static Self, MeshError> {
        Self::all()
            .find(|reader| reader.name == name)
            .ok_or_else(|| {
                MeshError::new(
                    ErrorKind::NotFound,
                    format!("report format {name:?} does not exist"),
                )
            })
    }

    /// Returns every registered reader.
    pub fn all() -> impl Iterator<Item = &'static Self> {
        inventory::iter::<Self>.into_iter()
    }
}
