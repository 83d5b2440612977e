//! How often heartbeats are sent, and how long dials take.
//!
//! A link must send frames often enough that the peer doesn't close it as silent, while all heartbeats together must
//! stay within a byte rate. Heartbeats are therefore sent as often as the rate allows, and empty frames in between keep
//! the link alive.

use std::time::Duration;

use crate::message::LENGTH_BYTES;

/// The minimum interval between heartbeats on a link.
pub const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// A link that has sent nothing for this long sends an empty frame. Two of these intervals fit into the 1 s after which
/// a silent link is closed, with 200 ms to spare for scheduling and the network.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);

/// The minimum share of the byte rate for heartbeats, however much of it empty frames take.
const MIN_HEARTBEAT_SHARE: f64 = 0.1;

/// Returns the interval between heartbeats of `size` bytes on each of `links` links that keeps all heartbeats and empty
/// frames together under `bytes_per_second`, as long as empty frames take at most 90 % of it.
pub fn heartbeat_interval(links: usize, size: usize, bytes_per_second: u32) -> Duration {
    let rate = f64::from(bytes_per_second.max(1));
    let keep_alives = (links * LENGTH_BYTES) as f64 / KEEP_ALIVE_INTERVAL.as_secs_f64();
    let heartbeat_rate = (rate - keep_alives).max(rate * MIN_HEARTBEAT_SHARE);
    let bytes_per_round = (links * (size + LENGTH_BYTES)) as f64;
    Duration::from_secs_f64(bytes_per_round / heartbeat_rate).max(MIN_HEARTBEAT_INTERVAL)
}

/// The time after which the first dial of a peer is given up. A packet to an instance without power is lost, and the kernel
/// sends it again only after a second, while instances that lose power together are back within a fraction of one.
const FIRST_DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns the timeout of a dial after `failures` failed ones in a row. It grows, so that distant peers are reached as well.
pub fn dial_timeout(failures: u32, silence_limit: Duration) -> Duration {
    FIRST_DIAL_TIMEOUT.saturating_mul(2_u32.saturating_pow(failures)).min(silence_limit)
}
