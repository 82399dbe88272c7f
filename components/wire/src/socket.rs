//! Socket options of connections whose calls may wait for a long time.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time for which sent data may stay unacknowledged before the connection is closed as dead.
const USER_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle time before the first keepalive probe, and the interval between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection is closed as dead.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sets a connection to send small messages without delay and to close when its peer becomes
/// unreachable.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}
