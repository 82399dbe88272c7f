//! Options of connections whose calls may wait for long.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Longest time for which data may stay unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED: Duration = Duration::from_millis(700);
/// Time without data after which a connection is probed, and between two probes.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection counts as dead.
const PROBES: u32 = 2;

/// Sends small messages at once, and ends a connection whose other side went dark.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let keepalive = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
