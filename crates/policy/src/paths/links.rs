//! Which direct links of this instance to targets are lost.
//!
//! A link is lost if this instance cannot open a connection to an address that another daemon reaches at the same time. What no daemon reaches
//! is a matter of the target and is not recorded here.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rand::Rng as _;
use stdx::{Rng, Timestamp, value_type};

value_type! {
    /// How new connections on a lost link fail.
    #[derive(Copy)]
    pub enum LinkFault {
        /// They are not open in time, so that packets seem to be lost, also those of open connections.
        Hangs,
        /// They are refused or break at once, which says nothing about open connections.
        Refused,
    }
}

value_type! {
    /// The path of a request to its target.
    #[derive(Copy)]
    pub enum Path {
        /// A direct connection, open or new.
        Direct,
        /// An open direct connection, or else another daemon.
        OpenConnectionOrPeer,
        /// Another daemon.
        Peer,
    }
}

/// The lost links, and what is known of those that were lost lately.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: HashMap<SocketAddr, Link>,
    lost_count: usize,
    /// When a link was last lost.
    last_loss: Option<Timestamp>,
}

#[derive(Debug, Default)]
struct Link {
    loss: Option<Loss>,
    /// When the link was last regained, and how long it was kept unchecked before.
    regained: Option<(Timestamp, Duration)>,
    /// When a connection was last opened, or tried.
    checked_at: Option<Timestamp>,
    /// Until then, no other daemon is asked whether it reaches the target.
    unreached_until: Timestamp,
}

#[derive(Debug)]
struct Loss {
    since: Timestamp,
    fault: LinkFault,
    /// The time from the loss to its first check.
    hold: Duration,
    next_check: Timestamp,
    interval: Duration,
}

/// How long ago something must have arrived on a link that counts as alive when another one is lost.
pub const RECENT_CONTACT: Duration = Duration::from_millis(200);

/// The time from a loss to the first check of the link, if it was not lost shortly before.
const MIN_HOLD: Duration = Duration::from_millis(250);
/// The same time if the link is lost again soon; it doubles with each such loss.
const MIN_REPEATED_HOLD: Duration = Duration::from_secs(1);
const MAX_HOLD: Duration = Duration::from_secs(8);
/// A loss within this time after the link was regained counts as a repeated one.
const FLAP_WINDOW: Duration = Duration::from_secs(10);
/// The interval between two checks of a lost link grows up to this.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
const INTERVAL_GROWTH: f64 = 1.5;
/// Without jitter, instances that lost their links together would check them together.
const MAX_JITTER: f64 = 0.2;
/// How long the answer that no daemon reaches a target holds for other requests.
const UNREACHED_VALIDITY: Duration = Duration::from_millis(500);
/// The shortest time between two checks of a link that is not lost.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl LinkTable {
    /// Returns the path to an address from which something last arrived `heard_ago`; `None` for never.
    pub fn path(&self, now: Timestamp, address: SocketAddr, heard_ago: Option<Duration>) -> Path {
        let link = self.links.get(&address);
        match link.and_then(|it| it.loss.as_ref()) {
            Some(Loss { fault: LinkFault::Refused, .. }) => Path::OpenConnectionOrPeer,
            // What arrives during a loss shows that open connections live.
            Some(loss) if heard_ago.is_some_and(|it| now.since(loss.since) > it) => {
                Path::OpenConnectionOrPeer
            }
            Some(_) => Path::Peer,
            None if self.is_doubtful(now, address, heard_ago) => Path::Peer,
            None => Path::Direct,
        }
    }

    /// Returns whether another link was lost after this one was last heard of or checked.
    pub fn is_doubtful(
        &self,
        now: Timestamp,
        address: SocketAddr,
        heard_ago: Option<Duration>,
    ) -> bool {
        let Some(lost_at) = self.last_loss.filter(|_| self.lost_count > 0) else { return false };
        let link = self.links.get(&address);
        let is_lost = link.is_some_and(|it| it.loss.is_some());
        let is_checked = link.and_then(|it| it.checked_at).is_some_and(|it| it >= lost_at);
        let is_alive = heard_ago.is_some_and(|it| it < now.since(lost_at) + RECENT_CONTACT);
        !is_lost && !is_checked && !is_alive
    }

    /// Returns whether another daemon is to be asked if it reaches an address.
    pub fn may_ask(&self, now: Timestamp, address: SocketAddr) -> bool {
        self.links.get(&address).is_none_or(|it| now >= it.unreached_until)
    }

    /// Returns whether a link on which an answer is overdue is to be checked, and counts it as checked then.
    pub fn is_overdue(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let link = self.links.entry(address).or_default();
        let is_due = link.loss.is_none()
            && link.checked_at.is_none_or(|it| now.since(it) >= MIN_CHECK_INTERVAL);
        if is_due {
            link.checked_at = Some(now);
        }
        is_due
    }

    /// Counts a link as checked that is doubtful because another one was lost.
    pub fn begin_doubt_check(&mut self, now: Timestamp, address: SocketAddr) {
        self.links.entry(address).or_default().checked_at = Some(now);
    }

    /// Returns the lost links that are due for a check, and schedules the next one.
    pub fn take_due_checks(&mut self, now: Timestamp, rng: &mut Rng) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, link) in &mut self.links {
            let Some(loss) = &mut link.loss else { continue };
            if now < loss.next_check {
                continue;
            }
            loss.interval = loss.interval.mul_f64(INTERVAL_GROWTH).min(MAX_CHECK_INTERVAL);
            loss.next_check = now + with_jitter(loss.interval, rng);
            due.push(*address);
        }
        due
    }

    /// Records that this instance cannot open a connection to an address that another daemon reaches; returns whether the link was not lost
    /// before.
    pub fn on_lost(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        fault: LinkFault,
        rng: &mut Rng,
    ) -> bool {
        let link = self.links.entry(address).or_default();
        link.checked_at = Some(now);
        if let Some(loss) = &mut link.loss {
            loss.fault = fault;
            return false;
        }
        let hold = match link.regained {
            Some((at, hold)) if now.since(at) < FLAP_WINDOW => {
                (hold * 2).clamp(MIN_REPEATED_HOLD, MAX_HOLD)
            }
            _ => MIN_HOLD,
        };
        let next_check = now + with_jitter(hold, rng);
        link.loss = Some(Loss { since: now, fault, hold, next_check, interval: MIN_HOLD });
        self.lost_count += 1;
        self.last_loss = Some(now);
        true
    }

    /// Records that no other daemon reaches an address either.
    pub fn on_unreached(&mut self, now: Timestamp, address: SocketAddr) {
        self.links.entry(address).or_default().unreached_until = now + UNREACHED_VALIDITY;
    }

    /// Records that a connection to an address was opened; returns how long its link had been lost, if it was.
    pub fn on_connected(&mut self, now: Timestamp, address: SocketAddr) -> Option<Duration> {
        let link = self.links.get_mut(&address)?;
        link.checked_at = Some(now);
        link.unreached_until = Timestamp::ZERO;
        let loss = link.loss.take()?;
        link.regained = Some((now, loss.hold));
        self.lost_count -= 1;
        Some(now.since(loss.since))
    }

    /// Returns how new connections to an address fail, if its link is lost.
    pub fn fault(&self, address: SocketAddr) -> Option<LinkFault> {
        self.links.get(&address)?.loss.as_ref().map(|it| it.fault)
    }

    /// Returns the number of lost links.
    pub fn lost_count(&self) -> usize {
        self.lost_count
    }

    /// Forgets the addresses that no target has any more.
    pub fn retain(&mut self, is_known: impl Fn(SocketAddr) -> bool) {
        self.links.retain(|address, _| is_known(*address));
        self.lost_count = self.links.values().filter(|it| it.loss.is_some()).count();
    }

    /// Returns the number of addresses of which something is known.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Returns whether nothing is known of any address.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}

fn with_jitter(duration: Duration, rng: &mut Rng) -> Duration {
    duration.mul_f64(1.0 + rng.random_range(0.0..MAX_JITTER))
}
