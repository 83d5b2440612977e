//! Dials one peer and redials it with a jittered exponential backoff.

use std::{sync::Arc, time::Duration};

use async_std::{future, net::TcpStream};
use rand::Rng as _;

use crate::{
    hub::{HubConfig, Peer, Shared},
    link::{self, DialledPeer},
    schedule::dial_timeout,
};

/// Keeps a link to a peer until the peer is removed from the set.
pub(crate) async fn run(shared: Arc<Shared>, peer: Peer, dialled: DialledPeer) {
    let mut failures = 0;
    let mut max_delay = initial_max_delay(&shared.cfg);
    while !dialled.stop.is_closed() {
        if shared.is_linked(&peer.id) {
            // The peer dialled the link. This side dials once that link has ended, which it checks at this interval.
            let _ = future::timeout(shared.cfg.silence_limit, dialled.stop.recv()).await;
            continue;
        }
        let limit = dial_timeout(failures, shared.cfg.silence_limit);
        let dial = future::timeout(limit, TcpStream::connect(peer.address)).await;
        let was_up = match dial {
            Ok(Ok(stream)) => link::run(&shared, stream, Some(&dialled)).await,
            _ => false,
        };
        (failures, max_delay) = match was_up {
            true => (0, initial_max_delay(&shared.cfg)),
            false => (failures + 1, (max_delay * 2).min(shared.cfg.max_backoff)),
        };
        let delay = random_delay(shared.cfg.min_backoff, max_delay);
        // Returns after the delay or when the channel closes; the loop condition tells them apart.
        let _ = future::timeout(delay, dialled.stop.recv()).await;
    }
}

fn initial_max_delay(cfg: &HubConfig) -> Duration {
    (cfg.min_backoff * 2).min(cfg.max_backoff)
}

/// Returns a random delay, so that peers don't redial a restarted instance all at the same time.
fn random_delay(min: Duration, max: Duration) -> Duration {
    match max > min {
        true => rand::rng().random_range(min..max),
        false => min,
    }
}
