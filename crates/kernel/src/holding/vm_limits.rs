use crate::ids::{ByteCount, DescriptorCount};

/// Limits of the VM for the process of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLimits {
    /// Memory beyond which the process is ended.
    pub memory: ByteCount,
    /// Descriptors that the process may open.
    pub descriptors: DescriptorCount,
}
