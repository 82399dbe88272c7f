//! Reservations of slots at the agents of targets.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use metrics::Gateway;
use model::{
    id::RequestId,
    refusal::Reason,
    reservation::{Ask, Id, Load},
    suspect::Body,
};
use scheduler::direct::{DenialReason, Event, Reservation, Ticket};
use tokio::task::AbortHandle;
use uuid::Uuid;
use wire::{
    AdmissionClient, admission,
    pool::{self, Pool, context},
};

/// Timeout of establishing a connection to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after a reservation's timeout for which this process still waits for the agent's answer.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// Maximum time for which a granted slot is held; longer than any request runs.
const MAX_HOLD: Duration = Duration::from_secs(3_600);

/// Callback that receives the event that a reservation was granted or denied.
pub type OnReservationEnded = Arc<dyn Fn(Event) + Send + Sync>;

/// Reservations that wait for a slot or hold one, and connections to the agents. Each reservation has a task
/// with one call to its agent in flight; aborting the task cancels the call, and so the agent ends the
/// reservation.
pub struct Reservations {
    pool: Arc<Pool<AdmissionClient>>,
    /// Number that differs with each start of a process: with the ticket it makes an ID for a request that no
    /// other process uses.
    incarnation: u64,
    tasks: HashMap<(Ticket, u32), AbortHandle>,
    on_ended: OnReservationEnded,
    metrics: Arc<Gateway>,
}

/// Returns a pool without connections to agents.
pub fn open_pool() -> Arc<Pool<AdmissionClient>> {
    Arc::new(pool::open(CONNECT_TIMEOUT, admission::connect))
}

/// Builds the set of reservations, empty. They use the connections of the pool.
pub fn open(
    incarnation: u64,
    pool: Arc<Pool<AdmissionClient>>,
    on_ended: OnReservationEnded,
    metrics: Arc<Gateway>,
) -> Reservations {
    Reservations { pool, incarnation, tasks: HashMap::new(), on_ended, metrics }
}

impl Reservations {
    /// Starts a reservation. A slot that is granted is held until the reservation is withdrawn.
    pub fn reserve(&mut self, reservation: Reservation) {
        let key = (reservation.ticket, reservation.number);
        let request = Uuid::from_u64_pair(self.incarnation, reservation.ticket);
        let (pool, on_ended) = (Arc::clone(&self.pool), Arc::clone(&self.on_ended));
        let metrics = Arc::clone(&self.metrics);
        let task = tokio::spawn(async move {
            let (ticket, number) = key;
            let id = Id { request, attempt: number };
            match reserve(&pool, &reservation, request).await {
                Ok((client, load)) => {
                    metrics.count_reservation("granted");
                    on_ended(Event::Granted { ticket, number, load });
                    // The call ends early if the agent becomes unreachable, which then holds no slot for the
                    // request; the request runs anyway.
                    let _ = client.hold(context(MAX_HOLD), id, reservation.address).await;
                }
                Err(reason) => {
                    metrics.count_reservation(denial_name(reason));
                    on_ended(Event::Denied { ticket, number, reason });
                }
            }
        });
        self.tasks.insert(key, task.abort_handle());
    }

    /// Cancels a reservation, or releases the slot that it was granted.
    pub fn withdraw(&mut self, ticket: Ticket, number: u32) {
        if let Some(task) = self.tasks.remove(&(ticket, number)) {
            task.abort();
        }
    }

    /// Removes a reservation that was denied and whose task therefore ended.
    pub fn remove_denied(&mut self, ticket: Ticket, number: u32) {
        self.tasks.remove(&(ticket, number));
    }
}

/// Waits for a slot at the target of a reservation; returns the agent's client, by which to hold the slot,
/// and the load that the agent reported.
async fn reserve(
    pool: &Pool<AdmissionClient>,
    reservation: &Reservation,
    request: RequestId,
) -> Result<(AdmissionClient, Load), DenialReason> {
    let client =
        pool.client(reservation.agent).await.map_err(|_| DenialReason::AgentUnreachable)?;
    let ask = Ask {
        id: Id { request, attempt: reservation.number },
        rank: reservation.rank,
        // This process decides when its request has waited for too long. Agents use this time only to order
        // the requests of a tier, the latest deadline first.
        remaining: reservation.timeout + reservation.recency_boost + ANSWER_GRACE,
        prefill: reservation.tokens.prompt,
        decode: reservation.tokens.max_output,
        prefix: Vec::new(),
        order: reservation.order,
        offset: 0,
        body: Body { fingerprint: reservation.fingerprint, alone: reservation.is_alone },
    };
    let Reservation { address, slots, is_local_agent, limit, incarnation, .. } = *reservation;
    let start = admission::start_number(&reservation.target, incarnation);
    let target = admission::Target { address, slots, beside: is_local_agent, start };
    let call_start = Instant::now();
    match client.reserve(context(reservation.timeout + ANSWER_GRACE), ask, target, limit).await {
        Ok(Ok(grant)) => Ok((client, grant.load)),
        Ok(Err(denial)) if denial.reason == Reason::NoTarget => {
            Err(DenialReason::TargetUnreachable)
        }
        Ok(Err(denial)) if denial.reason == Reason::Draining => Err(DenialReason::AgentUnreachable),
        Ok(Err(_)) => Err(DenialReason::TimedOut),
        Err(_) if call_start.elapsed() >= reservation.timeout => Err(DenialReason::TimedOut),
        Err(_) => Err(DenialReason::AgentUnreachable),
    }
}

/// Returns the name of a denial's reason in the metrics.
fn denial_name(reason: DenialReason) -> &'static str {
    match reason {
        DenialReason::AgentUnreachable => "agent_away",
        DenialReason::TargetUnreachable => "target_unreached",
        DenialReason::TimedOut => "late",
    }
}
