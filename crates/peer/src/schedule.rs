//! How often heartbeats are sent.
//!
//! A link must carry something often enough that its peer doesn't close it for silence, while all heartbeats together
//! have to stay within a byte rate. Contents are therefore sent as often as the rate allows, and empty frames fill the gaps.

use std::time::Duration;

use crate::message::LENGTH_BYTES;

/// The shortest interval between heartbeats with contents.
pub const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// A link that sent nothing for this long sends an empty frame: two of them fit into the 1 s after which a silent link
/// is closed, with 200 ms to spare for scheduling and the network.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);

/// Empty frames may take this share of the rate at most before contents are slowed no further.
const MIN_HEARTBEAT_SHARE: f64 = 0.1;

/// Returns the interval between heartbeats with contents of `size` bytes on each of `links` links, so that all of them
/// stay under `bytes_per_second` sent.
pub fn heartbeat_interval(links: usize, size: usize, bytes_per_second: u32) -> Duration {
    let rate = f64::from(bytes_per_second.max(1));
    let keep_alives = (links * LENGTH_BYTES) as f64 / KEEP_ALIVE_INTERVAL.as_secs_f64();
    let heartbeat_rate = (rate - keep_alives).max(rate * MIN_HEARTBEAT_SHARE);
    let bytes_per_round = (links * (size + LENGTH_BYTES)) as f64;
    Duration::from_secs_f64(bytes_per_round / heartbeat_rate).max(MIN_HEARTBEAT_INTERVAL)
}
