//! Clients of the platform's services that get no answer, in virtual time.

use std::{net::SocketAddr, time::Duration};

use source::{
    hosts::{self, List},
    log,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::Instant,
};

/// Longest wait of a read for a record, as the settings have it where they don't say another.
const POLL: Duration = Duration::from_secs(2);
/// Time in which a configuration must be in force.
const APPLY: Duration = Duration::from_secs(7);
/// Time in which a host that leaves must get no more work.
const LEAVE: Duration = Duration::from_secs(5);
/// Period of reads of the list of hosts, as the settings have it where they don't say another.
const PERIOD: Duration = Duration::from_secs(1);

/// A service that takes connections and says nothing.
async fn mute() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    let serving = tokio::spawn(async move {
        let mut open: Vec<TcpStream> = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    (address, serving)
}

/// Guards against an old configuration in force while a read without an answer hangs.
#[tokio::test(start_paused = true)]
async fn a_read_that_hangs_is_given_up_before_a_configuration_must_be_in_force() {
    let (address, serving) = mute().await;
    let client = log::open(&format!("http://{address}"));
    let begun = Instant::now();

    let answer = client.read("config", 1, 10, POLL).await;

    assert!(answer.is_err());
    assert!(begun.elapsed() < APPLY);
    serving.abort();
}

/// Guards against work for a host that left while a read without an answer hangs.
#[tokio::test(start_paused = true)]
async fn a_read_of_the_hosts_that_hangs_is_given_up_before_one_that_leaves_must_get_no_more() {
    let (address, serving) = mute().await;
    let client = hosts::open(&format!("http://{address}"));
    let begun = Instant::now();

    let answer = client.refresh(&mut List::default()).await;

    assert!(answer.is_err());
    assert!(begun.elapsed() + PERIOD < LEAVE);
    serving.abort();
}
