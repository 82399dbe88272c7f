//! The agent of the users' platform as a real process.
//!
//! Pattern: settings that change, told by a signal, while requests wait.

mod support;

use std::net::TcpListener;

use serde_json::json;
use support::Process;

/// A port of which the next one is free too.
fn ports() -> u16 {
    loop {
        let first = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let port = first.local_addr().expect("it has an address").port();
        if TcpListener::bind(("127.0.0.1", port.saturating_add(1))).is_ok() {
            return port;
        }
    }
}

fn agent() -> Process {
    let port = ports();
    support::admission(&json!({
        "node_name": "side-1", "ip": "127.0.0.1", "internal_port_range": [port, port + 1],
    }))
}

#[tokio::test]
async fn a_signal_that_the_settings_changed_ends_no_agent() {
    let agent = agent();
    let address = agent.address("address");

    agent.signal("HUP");
    agent.signal("HUP");

    for _ in 0..20 {
        let taken = wire::admission::connect(address).await;
        assert!(taken.is_ok(), "it takes no connection any more");
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_signal_to_stop_ends_an_agent() {
    let agent = agent();

    agent.signal("TERM");

    assert!(agent.wait().success());
}
