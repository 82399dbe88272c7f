//! Reservations at the agents of targets.

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

/// Longest wait for an agent to take a connection.
const CONNECT: Duration = Duration::from_millis(250);
/// Time beyond a reservation's wait after which an agent that said nothing counts as away.
const GRACE: Duration = Duration::from_secs(1);
/// Longest time for which room is held; longer than any request runs.
const HOLD: Duration = Duration::from_secs(3_600);

/// Takes in what becomes of a reservation.
pub type Report = Arc<dyn Fn(Event) + Send + Sync>;

/// Reservations that wait or hold room, each with a task.
pub struct Agents {
    pool: Arc<Pool<AdmissionClient>>,
    /// Differs with each start of this process, so that its requests differ from those of others.
    incarnation: u64,
    tasks: HashMap<(Ticket, u32), AbortHandle>,
    report: Report,
    metrics: Arc<Gateway>,
}

/// Gives a set without reservations.
pub fn open(incarnation: u64, report: Report, metrics: Arc<Gateway>) -> Agents {
    let pool = Arc::new(pool::open(CONNECT, admission::connect));
    Agents { pool, incarnation, tasks: HashMap::new(), report, metrics }
}

impl Agents {
    /// Reserves room; it is given up when the reservation is withdrawn.
    pub fn reserve(&mut self, reservation: Reservation) {
        let key = (reservation.ticket, reservation.number);
        let request = Uuid::from_u64_pair(self.incarnation, reservation.ticket);
        let (pool, report) = (Arc::clone(&self.pool), Arc::clone(&self.report));
        let metrics = Arc::clone(&self.metrics);
        let task = tokio::spawn(async move {
            let (ticket, number) = key;
            let id = Id { request, attempt: number };
            match reserve(&pool, &reservation, request).await {
                Ok((client, load)) => {
                    metrics.reserved("granted");
                    report(Event::Granted { ticket, number, load });
                    // An agent that is gone keeps no room; the request runs all the same.
                    let _ = client.hold(context(HOLD), id, reservation.address).await;
                }
                Err(reason) => {
                    metrics.reserved(name(reason));
                    report(Event::Denied { ticket, number, reason });
                }
            }
        });
        self.tasks.insert(key, task.abort_handle());
    }

    /// Gives a reservation up, or the room that it got.
    pub fn withdraw(&mut self, ticket: Ticket, number: u32) {
        if let Some(task) = self.tasks.remove(&(ticket, number)) {
            task.abort();
        }
    }

    /// Forgets a reservation that got no room.
    pub fn denied(&mut self, ticket: Ticket, number: u32) {
        self.tasks.remove(&(ticket, number));
    }
}

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
        // The process that reserves decides when its request has waited for too long; agents only order a
        // tier by this, the latest deadline first.
        remaining: reservation.timeout + reservation.recency_boost + GRACE,
        prefill: reservation.tokens.prompt,
        decode: reservation.tokens.max_output,
        prefix: Vec::new(),
        offset: 0,
        body: Body::default(),
    };
    let Reservation { address, slots, is_local_agent, limit, .. } = *reservation;
    let target = admission::Target { address, slots, beside: is_local_agent };
    let asked = Instant::now();
    match client.reserve(context(reservation.timeout + GRACE), ask, target, limit).await {
        Ok(Ok(grant)) => Ok((client, grant.load)),
        Ok(Err(denial)) if denial.reason == Reason::NoTarget => {
            Err(DenialReason::TargetUnreachable)
        }
        Ok(Err(denial)) if denial.reason == Reason::Draining => Err(DenialReason::AgentUnreachable),
        Ok(Err(_)) => Err(DenialReason::TimedOut),
        Err(_) if asked.elapsed() >= reservation.timeout => Err(DenialReason::TimedOut),
        Err(_) => Err(DenialReason::AgentUnreachable),
    }
}

/// Name of a denial's reason in logs and metrics.
pub fn name(reason: DenialReason) -> &'static str {
    match reason {
        DenialReason::AgentUnreachable => "agent_away",
        DenialReason::TargetUnreachable => "target_unreached",
        DenialReason::TimedOut => "late",
    }
}
