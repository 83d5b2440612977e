//! TCP keepalive and user timeout, which break connections whose other end no longer answers.

use std::io;
use std::time::Duration;

use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Time without a byte after which the kernel probes the other end, and interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes the kernel break a connection whose other end has acknowledged neither bytes nor probes for `limit`.
///
/// A network device between the two ends, such as a NAT or a firewall, may drop the state of an open connection.
/// Without keepalive a reader would then wait forever.
///
/// # Errors
///
/// Fails if the operating system refuses the option.
pub fn enable(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(limit.div_duration_f64(PROBE_INTERVAL).max(2.0) as u32 - 1);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit))
}
