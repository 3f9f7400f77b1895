use bronzelb_kernel::{config::ShareRatio, error::MeshError};

const PPM_OF_ALL: u64 = 1_000_000;

/// Returns the share of busy slots, at most all of them.
///
/// # Errors
///
/// `Invalid` when the report claims zero slots.
pub(crate) fn slot_share(busy: u32, slots: u32) -> Result<ShareRatio, MeshError> {
    let ppm = (u64::from(busy) * PPM_OF_ALL)
        .checked_div(u64::from(slots))
        .ok_or_else(|| MeshError::invalid("report claims zero slots"))?;
    Ok(ShareRatio::from_ppm(u32::try_from(ppm).unwrap_or(u32::MAX)))
}
