//! Tests, in virtual time, that clients of the platform's services time out in time when a service
//! accepts connections but doesn't answer.

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

/// Longest time that a read waits for a record; the default of the settings.
const POLL: Duration = Duration::from_secs(2);
/// Time within which a changed configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(7);
/// Time after which a leaving host must get no more work.
const LEAVE_LIMIT: Duration = Duration::from_secs(5);
/// Period of reads of the list of hosts; the default of the settings.
const HOSTS_PERIOD: Duration = Duration::from_secs(1);

/// Starts a service that accepts connections and never answers.
async fn unresponsive_service() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a local port can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    let server = tokio::spawn(async move {
        let mut open: Vec<TcpStream> = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    (address, server)
}

/// Guards against an old configuration that stays in force because a read without an answer hangs.
#[tokio::test(start_paused = true)]
async fn a_hanging_read_of_the_log_fails_before_a_configuration_must_be_in_force() {
    let (address, server) = unresponsive_service().await;
    let client = log::open(&format!("http://{address}"));
    let started = Instant::now();

    let answer = client.read("config", 1, 10, POLL).await;

    assert!(answer.is_err());
    assert!(started.elapsed() < APPLY_LIMIT);
    server.abort();
}

/// Guards against work that is sent to a leaving host because a read without an answer hangs.
#[tokio::test(start_paused = true)]
async fn a_hanging_read_of_the_hosts_fails_before_a_leaving_host_must_get_no_more_work() {
    let (address, server) = unresponsive_service().await;
    let client = hosts::open(&format!("http://{address}"));
    let started = Instant::now();

    let answer = client.refresh(&mut List::default()).await;

    assert!(answer.is_err());
    assert!(started.elapsed() + HOSTS_PERIOD < LEAVE_LIMIT);
    server.abort();
}
