//! Control calls that an agent serves.

use model::{
    id::TargetName,
    reservation::{Ask, Denial, Fate, Grant, Id, Load},
};
use serde::{Deserialize, Serialize};

/// Who answers at an address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The target that the agent stands beside.
    pub target: TargetName,
    /// Whether it takes no new reservations.
    pub draining: bool,
    /// Its load.
    pub load: Load,
}

/// Calls from an entry process to an agent.
#[tarpc::service]
pub trait Agent {
    /// Waits for room; dropping the call cancels the reservation.
    async fn reserve(ask: Ask) -> Result<Grant, Denial>;
    /// Gives up a reservation that hasn't started, and tells what became of it.
    async fn cancel(id: Id) -> Fate;
    /// Tells whether a reservation started; one that hasn't never will after this question.
    async fn settle(id: Id) -> Fate;
    /// Tells who the agent is and how loaded.
    async fn status() -> Status;
}
