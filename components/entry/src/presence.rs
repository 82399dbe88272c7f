//! Finds out how far live processes have applied the configuration, by asking the keepers: the
//! agents that keep the processes' reports.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use api::Presence;
use follower::{relay::Choice, report::Keepers};
use futures::future::BoxFuture;
use model::{id::HostName, resource::Target};
use scheduler::{config, presence};
use tokio::sync::{Mutex, oneshot, watch};

use crate::control;

/// Time for which the result is cached, per keeper that was asked for it. With 157 keepers, waiting
/// operators cause 167 calls per second in total, independent of their number.
const CACHE_TIME_PER_KEEPER: Duration = Duration::from_millis(6);

/// The last result of asking the keepers.
#[derive(Default)]
struct CachedPresence {
    presence: Presence,
    /// When the cached result expires; `None` before the keepers were first asked.
    valid_until: Option<Instant>,
}

/// Returns a function that asks all keepers, or returns the cached result if it hasn't expired. A
/// cached result may have offsets that are too low, never too high.
pub fn cached_gatherer(
    control: &control::Handle,
    live_hosts: watch::Receiver<u32>,
) -> Box<dyn Fn() -> BoxFuture<'static, Presence> + Send + Sync> {
    let control = control.clone();
    let cached = Arc::new(Mutex::new(CachedPresence::default()));
    Box::new(move || {
        let (control, cached) = (control.clone(), Arc::clone(&cached));
        let live_hosts = *live_hosts.borrow();
        Box::pin(async move {
            let mut cached = cached.lock().await;
            if cached.valid_until.is_none_or(|valid_until| valid_until <= Instant::now()) {
                *cached = ask_keepers(control, live_hosts).await;
            }
            cached.presence.clone()
        })
    })
}

async fn ask_keepers(control: control::Handle, live_hosts: u32) -> CachedPresence {
    let keepers = control_addresses(control, presence::keepers).await;
    let count = u32::try_from(keepers.len()).unwrap_or(u32::MAX);
    let answers = follower::gather(keepers).await;
    let presence =
        Presence { reported: answers.summary, silent: answers.silent, listed: live_hosts };
    CachedPresence {
        presence,
        valid_until: Some(Instant::now() + CACHE_TIME_PER_KEEPER.saturating_mul(count)),
    }
}

/// Returns a function that chooses the keepers of a host, in the order to try them.
pub fn keeper_choice(control: &control::Handle, host: HostName) -> Keepers {
    let control = control.clone();
    Arc::new(move || {
        let host = host.clone();
        Box::pin(control_addresses(control.clone(), move |config| {
            presence::keepers_for(config, &host)
        }))
    })
}

/// Returns a function that chooses the agents that relay configuration records to a host.
pub fn relay_choice(control: &control::Handle, host: HostName) -> Choice {
    let control = control.clone();
    Arc::new(move || {
        let host = host.clone();
        Box::pin(control_addresses(control.clone(), move |config| {
            presence::relays_for(config, &host, None)
        }))
    })
}

async fn control_addresses(
    control: control::Handle,
    choose: impl FnOnce(&config::State) -> Vec<&Target> + Send + 'static,
) -> Vec<SocketAddr> {
    let (sender, answer) = oneshot::channel();
    control.inspect(Box::new(move |config| {
        let chosen = choose(config).into_iter().map(|target| target.control);
        // Sending fails if the receiver was dropped, and then no answer is needed.
        let _ = sender.send(chosen.collect());
    }));
    answer.await.unwrap_or_default()
}
