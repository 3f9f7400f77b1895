use crate::clock::ClockInstant;

/// Decision of an entry node on one request of an account with a usage cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageDecision {
    /// The account has no cap; the request may run and is not counted.
    Uncapped,
    /// The request may run and has used one token.
    Admitted,
    /// The owner is to be asked; decided anew after its reply.
    Ask,
    /// There will be room soon; decided anew at this instant.
    WaitUntil(ClockInstant),
    /// The account has used up its cap; there will be room at this instant.
    Refused(ClockInstant),
}
