//! What live processes have applied, asked of the agents that keep their reports.

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

/// Time for which an answer is shared, for each keeper that was asked for it: with 157 keepers,
/// operators who wait make 167 calls a second together, however many they are.
const SHARE_PER_KEEPER: Duration = Duration::from_millis(6);

/// What the keepers said last.
#[derive(Default)]
struct Shared {
    presence: Presence,
    /// Until when it is shared; nothing was asked yet where it is absent.
    until: Option<Instant>,
}

/// Gives a function that asks all keepers, or shares what they said to another a moment ago. An
/// old answer tells too low offsets, never too high ones.
pub fn gatherer(
    control: &control::Handle,
    listed: watch::Receiver<u32>,
) -> Box<dyn Fn() -> BoxFuture<'static, Presence> + Send + Sync> {
    let control = control.clone();
    let shared = Arc::new(Mutex::new(Shared::default()));
    Box::new(move || {
        let (control, shared) = (control.clone(), Arc::clone(&shared));
        let listed = *listed.borrow();
        Box::pin(async move {
            let mut shared = shared.lock().await;
            if shared.until.is_none_or(|until| until <= Instant::now()) {
                *shared = ask(control, listed).await;
            }
            shared.presence.clone()
        })
    })
}

async fn ask(control: control::Handle, listed: u32) -> Shared {
    let keepers = addresses(control, presence::keepers).await;
    let count = u32::try_from(keepers.len()).unwrap_or(u32::MAX);
    let gathered = follower::gather(keepers).await;
    let presence = Presence { reported: gathered.summary, silent: gathered.silent, listed };
    Shared { presence, until: Some(Instant::now() + SHARE_PER_KEEPER.saturating_mul(count)) }
}

/// Gives the keepers of a host in the order to try them.
pub fn keepers(control: &control::Handle, host: HostName) -> Keepers {
    let control = control.clone();
    Arc::new(move || {
        let host = host.clone();
        Box::pin(addresses(control.clone(), move |config| presence::keepers_for(config, &host)))
    })
}

/// Gives the agents that relay records to a host.
pub fn relays(control: &control::Handle, host: HostName) -> Choice {
    let control = control.clone();
    Arc::new(move || {
        let host = host.clone();
        Box::pin(addresses(control.clone(), move |config| {
            presence::relays_for(config, &host, None)
        }))
    })
}

async fn addresses(
    control: control::Handle,
    choose: impl FnOnce(&config::State) -> Vec<&Target> + Send + 'static,
) -> Vec<SocketAddr> {
    let (sender, answer) = oneshot::channel();
    control.inspect(Box::new(move |config| {
        let chosen = choose(config).into_iter().map(|target| target.control);
        // Whoever asked may have gone, and needs no answer then.
        let _ = sender.send(chosen.collect());
    }));
    answer.await.unwrap_or_default()
}
