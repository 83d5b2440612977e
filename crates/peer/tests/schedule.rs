//! The timeouts of dials.

use std::time::Duration;

use peer::schedule;

const SILENCE_LIMIT: Duration = Duration::from_secs(1);

// Guards against instances that stay without links for a second after all of them lost power: the first packet of a dial was
// lost because the peer was not up yet, and the kernel sends it again only after a second. Meanwhile they do not know each
// other's requests.
#[test]
fn a_peer_that_comes_up_just_after_the_first_dial_is_dialled_again_within_half_a_second() {
    let max_backoff = Duration::from_millis(200);
    assert!(schedule::dial_timeout(0, SILENCE_LIMIT) + max_backoff <= Duration::from_millis(500));
}

// Guards against peers with a long round trip that are never reached.
#[test]
fn the_timeout_of_a_dial_grows_to_the_silence_limit() {
    let timeouts: Vec<_> = (0..40).map(|it| schedule::dial_timeout(it, SILENCE_LIMIT)).collect();
    assert!(timeouts.is_sorted());
    assert_eq!(timeouts[2..], vec![SILENCE_LIMIT; 38]);
}
