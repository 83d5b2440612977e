//! Dials one peer and redials it with jittered backoff.

use std::{sync::Arc, time::Duration};

use async_std::{future, net::TcpStream};
use rand::Rng as _;

use crate::{
    hub::{HubConfig, Peer, Shared},
    link::{self, DialledPeer},
};

/// Keeps a link to a peer until the peer is taken out of the set.
pub(crate) async fn run(shared: Arc<Shared>, peer: Peer, dialled: DialledPeer) {
    let mut max_delay = initial_max_delay(&shared.cfg);
    while !dialled.stop.is_closed() {
        if shared.is_linked(&peer.id) {
            // The peer has opened the link; this side opens it if the peer no longer wants it.
            let _ = future::timeout(shared.cfg.silence_limit, dialled.stop.recv()).await;
            continue;
        }
        let dial =
            future::timeout(shared.cfg.silence_limit, TcpStream::connect(peer.address)).await;
        let was_up = match dial {
            Ok(Ok(stream)) => link::run(&shared, stream, Some(&dialled)).await,
            _ => false,
        };
        max_delay = match was_up {
            true => initial_max_delay(&shared.cfg),
            false => (max_delay * 2).min(shared.cfg.max_backoff),
        };
        let delay = random_delay(shared.cfg.min_backoff, max_delay);
        // Either the pause passes, or the channel closes; the loop sees which.
        let _ = future::timeout(delay, dialled.stop.recv()).await;
    }
}

fn initial_max_delay(cfg: &HubConfig) -> Duration {
    (cfg.min_backoff * 2).min(cfg.max_backoff)
}

/// Returns a random pause, so that peers don't redial a restarted instance in step.
fn random_delay(min: Duration, max: Duration) -> Duration {
    match max > min {
        true => rand::rng().random_range(min..max),
        false => min,
    }
}
