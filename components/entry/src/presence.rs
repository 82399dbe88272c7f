//! What live processes have applied, asked of the agents that keep their reports.

use std::{net::SocketAddr, sync::Arc};

use api::Presence;
use follower::{relay::Choice, report::Keepers};
use futures::future::BoxFuture;
use model::{id::HostName, resource::Target};
use scheduler::{config, presence};
use tokio::sync::{oneshot, watch};

use crate::control;

/// Gives a function that asks all keepers.
pub fn gatherer(
    control: &control::Handle,
    listed: watch::Receiver<u32>,
) -> Box<dyn Fn() -> BoxFuture<'static, Presence> + Send + Sync> {
    let control = control.clone();
    Box::new(move || {
        let control = control.clone();
        let listed = *listed.borrow();
        Box::pin(async move {
            let keepers = addresses(control, presence::keepers).await;
            let gathered = follower::gather(keepers).await;
            Presence { reported: gathered.summary, silent: gathered.silent, listed }
        })
    })
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
