//! Detects connections that went silent for good.

use std::io;
use std::time::Duration;

use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Time without a byte after which the kernel probes the other end, and between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection counts as broken.
const MAX_LOST_PROBES: u32 = 2;

/// Time that sent bytes may stay without acknowledgement.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// Lets the kernel break a connection whose other end no longer answers.
///
/// Something between the two ends may lose track of an open connection; without this, a reader would wait for ever.
///
/// # Errors
///
/// Fails if the operating system refuses the option.
pub fn enable(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_LOST_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
