use std::sync::{Arc, Mutex, PoisonError};

use bronzelb_kernel::{
    error::{ErrorKind, MeshError},
    ids::ByteCount,
    request::ResponseBudget,
};
use bytes::Bytes;

/// Body of a response that waits until its caller has read it, within the node's budget.
struct HeldBody {
    body: Bytes,
    budget: Arc<Mutex<ResponseBudget>>,
}

/// Counts a body in the budget until its last copy is dropped.
///
/// # Errors
///
/// [`ErrorKind::BackendFailed`] if the bodies that wait for slow callers leave no room for it.
pub(crate) fn hold_body(
    budget: &Arc<Mutex<ResponseBudget>>,
    body: Bytes,
) -> Result<Bytes, MeshError> {
    let size = ByteCount::new(body.len() as u64);
    let fits = {
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_grow(ByteCount::new(0), size)
    };
    if !fits {
        let message = format!("no room for a response of {size} beside those not read by callers");
        return Err(MeshError::new(ErrorKind::BackendFailed, message));
    }
    let budget = Arc::clone(budget);
    Ok(Bytes::from_owner(HeldBody { body, budget }))
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let size = ByteCount::new(self.body.len() as u64);
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.release(size);
    }
}
