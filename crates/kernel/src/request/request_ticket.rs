use std::{fmt, str::FromStr};

use crate::{
    error::MeshError,
    ids::{IdempotencyKey, IncarnationNumber, NodeName, RequestNumber},
};

const PREFIX: &str = "bz";
const SEPARATOR: char = '~';

/// Idempotency key issued by a node; only the incarnation of the node that it names may run it.
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
    /// Incarnation of the node that issued the ticket.
    pub incarnation: IncarnationNumber,
    /// Sequence number of the ticket within the incarnation.
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

    /// Converts the ticket to the idempotency key that callers send.
    ///
    /// # Panics
    ///
    /// Never: node names and numbers are visible ASCII, and together shorter than the limit of a
    /// key.
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
                "ticket {text:?} does not consist of {PREFIX}, node, incarnation and number, \
                 separated by {SEPARATOR:?}"
            )));
        };
        Ok(Self {
            node: node.parse()?,
            incarnation: incarnation.parse()?,
            number: number.parse()?,
        })
    }
}
