//! What live processes have applied, asked of the agents that keep their reports.

use std::{net::SocketAddr, sync::Arc};

use api::Presence;
use follower::report::Keepers;
use futures::future::BoxFuture;
use model::id::HostName;
use scheduler::presence;
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
            let keepers = all_keepers(&control).await;
            let gathered = follower::gather(keepers).await;
            Presence { reported: gathered.summary, silent: gathered.silent, listed }
        })
    })
}

/// Gives the keepers of a host in the order to try them.
pub fn keepers(control: &control::Handle, host: HostName) -> Keepers {
    let control = control.clone();
    Arc::new(move || {
        let control = control.clone();
        let host = host.clone();
        Box::pin(async move {
            let (sender, answer) = oneshot::channel();
            control.inspect(Box::new(move |config| {
                let keepers = presence::keepers_for(config, &host);
                let _ = sender.send(keepers.into_iter().map(|target| target.control).collect());
            }));
            answer.await.unwrap_or_default()
        })
    })
}

async fn all_keepers(control: &control::Handle) -> Vec<SocketAddr> {
    let (sender, answer) = oneshot::channel();
    control.inspect(Box::new(move |config| {
        let keepers = presence::keepers(config);
        let _ = sender.send(keepers.into_iter().map(|target| target.control).collect());
    }));
    answer.await.unwrap_or_default()
}
