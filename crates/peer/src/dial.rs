//! Dials one peer and redials it with jittered backoff.

use std::{sync::Arc, time::Duration};

use async_std::{future, net::TcpStream};
use rand::Rng as _;

use crate::{
    hub::{HubConfig, Peer, Shared},
    link::{self, Dialled},
};

/// Keeps a link to a peer until the peer is taken out of the set.
pub(crate) async fn run(shared: Arc<Shared>, peer: Peer, dialled: Dialled) {
    let mut limit = first_limit(&shared.cfg);
    while !dialled.stop.is_closed() {
        if shared.is_linked(&peer.id) {
            // The peer has opened the link; this side opens it if the peer no longer wants it.
            let _ = future::timeout(shared.cfg.silence, dialled.stop.recv()).await;
            continue;
        }
        let dial = future::timeout(shared.cfg.silence, TcpStream::connect(peer.address)).await;
        let was_up = match dial {
            Ok(Ok(stream)) => link::run(&shared, stream, Some(&dialled)).await,
            _ => false,
        };
        limit = match was_up {
            true => first_limit(&shared.cfg),
            false => (limit * 2).min(shared.cfg.max_backoff),
        };
        let pause = pause(shared.cfg.min_backoff, limit);
        // Either the pause passes, or the channel closes; the loop sees which.
        let _ = future::timeout(pause, dialled.stop.recv()).await;
    }
}

fn first_limit(cfg: &HubConfig) -> Duration {
    (cfg.min_backoff * 2).min(cfg.max_backoff)
}

/// Returns a random pause, so that peers don't redial a restarted instance in step.
fn pause(min: Duration, limit: Duration) -> Duration {
    match limit > min {
        true => rand::rng().random_range(min..limit),
        false => min,
    }
}
