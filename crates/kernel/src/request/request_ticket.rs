use std::{fmt, str::FromStr};

use crate::{
    error::MeshError,
    ids::{IdempotencyKey, IncarnationNumber, NodeName, RequestNumber},
};

const PREFIX: &str = "bz";
const SEPARATOR: char = '~';

/// An idempotency key that a node issued, and that names the only run of a node that may use it.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::request::RequestTicket;
///
/// let ticket: RequestTicket = "bz~leuven-1~1700~42".parse()?;
/// assert_eq!(ticket.node.as_str(), "leuven-1");
/// assert_eq!(ticket.to_string(), "bz~leuven-1~1700~42");
/// # Ok::<(), bronzelb_kernel::error::MeshError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestTicket {
    /// Node that issued the ticket.
    pub node: NodeName,
    /// Run of the node that issued it.
    pub incarnation: IncarnationNumber,
    /// Number of the ticket within the run.
    pub number: RequestNumber,
}

impl RequestTicket {
    /// Returns whether `key` has the form of a ticket.
    #[must_use]
    pub fn is_ticket(key: &IdempotencyKey) -> bool {
        let text = key.as_str();
        text.strip_prefix(PREFIX)
            .is_some_and(|rest| rest.starts_with(SEPARATOR))
    }

    /// Returns the ticket as the key that a caller sends.
    ///
    /// # Panics
    ///
    /// Never: node names and numbers are visible ASCII and shorter than a key may be.
    #[must_use]
    pub fn to_key(&self) -> IdempotencyKey {
        self.to_string().parse().expect("a ticket is a valid key")
    }
}

impl fmt::Display for RequestTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            node,
            incarnation,
            number,
        } = self;
        write!(
            f,
            "{PREFIX}{SEPARATOR}{node}{SEPARATOR}{incarnation}{SEPARATOR}{number}"
        )
    }
}

impl FromStr for RequestTicket {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(SEPARATOR);
        let (Some(PREFIX), Some(node), Some(incarnation), Some(number), None) = (
            fields.next(),
            fields.next(),
            fields.next(),
            fields.next(),
            fields.next(),
        ) else {
            return Err(MeshError::invalid(format!(
                "ticket {text:?} is not {PREFIX}, node, incarnation and number, divided by \
                 {SEPARATOR:?}"
            )));
        };
        Ok(Self {
            node: node.parse()?,
            incarnation: incarnation.parse()?,
            number: number.parse()?,
        })
    }
}
