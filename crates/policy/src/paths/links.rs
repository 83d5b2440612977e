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
    doubt: Option<Doubt>,
    last_regained: Option<Timestamp>,
}

/// The doubt about all other links after one was lost.
#[derive(Debug)]
struct Doubt {
    since: Timestamp,
    /// How many links are still to be checked because of it.
    checks_left: usize,
}

#[derive(Debug, Default)]
struct Link {
    loss: Option<Loss>,
    /// When the link was last regained, and how long it was kept unchecked before.
    regained: Option<(Timestamp, Duration)>,
    /// When a check last began.
    check_begun: Option<Timestamp>,
    /// When it last turned out whether the address is reached: a connection was opened, or no daemon could open one.
    settled_at: Option<Timestamp>,
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
/// How long a loss casts doubt on other links. If they are lost as well, their losses prolong the doubt.
const DOUBT_PERIOD: Duration = Duration::from_secs(1);
/// How many other links are checked after each loss, so that a few losses among many targets cost few checks.
const CHECKS_PER_LOSS: usize = 8;
/// How many lost links are checked at once: usually, and in the second after one was regained.
const CHECKS_AT_ONCE: usize = 1;
const CHECKS_AFTER_RETURN: usize = 8;
const RETURN_PERIOD: Duration = Duration::from_secs(1);
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

    /// Returns whether another link was lost just now, and nothing shows since then that this one works.
    pub fn is_doubtful(
        &self,
        now: Timestamp,
        address: SocketAddr,
        heard_ago: Option<Duration>,
    ) -> bool {
        let is_current = |it: &&Doubt| now.since(it.since) < DOUBT_PERIOD && self.lost_count > 0;
        let Some(lost_at) = self.doubt.as_ref().filter(is_current).map(|it| it.since) else {
            return false;
        };
        let link = self.links.get(&address);
        let is_lost = link.is_some_and(|it| it.loss.is_some());
        let is_settled = link.and_then(|it| it.settled_at).is_some_and(|it| it >= lost_at);
        let is_alive = heard_ago.is_some_and(|it| it < now.since(lost_at) + RECENT_CONTACT);
        !is_lost && !is_settled && !is_alive
    }

    /// Returns whether another daemon is to be asked if it reaches an address.
    pub fn may_ask(&self, now: Timestamp, address: SocketAddr) -> bool {
        self.links.get(&address).is_none_or(|it| now >= it.unreached_until)
    }

    /// Returns whether a link on which an answer is overdue is to be checked, and counts it as checked then.
    pub fn is_overdue(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let link = self.links.entry(address).or_default();
        let is_due = link.loss.is_none()
            && link.check_begun.is_none_or(|it| now.since(it) >= MIN_CHECK_INTERVAL);
        if is_due {
            link.check_begun = Some(now);
        }
        is_due
    }

    /// Returns whether a link that is doubtful is to be checked, and counts it as checked then. It stays doubtful until the check has ended.
    pub fn begin_doubt_check(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let Some(doubt) = self.doubt.as_mut().filter(|it| it.checks_left > 0) else { return false };
        let link = self.links.entry(address).or_default();
        if link.check_begun.is_some_and(|it| now.since(it) < MIN_CHECK_INTERVAL) {
            return false;
        }
        link.check_begun = Some(now);
        doubt.checks_left -= 1;
        true
    }

    /// Returns lost links that are due for a check, and schedules the next one of each. If many are due, the others follow with the next calls.
    pub fn take_due_checks(&mut self, now: Timestamp, rng: &mut Rng) -> Vec<SocketAddr> {
        let has_returned = self.last_regained.is_some_and(|it| now.since(it) < RETURN_PERIOD);
        let limit = if has_returned { CHECKS_AFTER_RETURN } else { CHECKS_AT_ONCE };
        let mut due: Vec<_> = self
            .links
            .iter_mut()
            .filter_map(|(address, link)| Some((*address, link.loss.as_mut()?)))
            .filter(|(_, loss)| now >= loss.next_check)
            .collect();
        // Those that wait longest go first, so that none is left out.
        due.sort_unstable_by_key(|(address, loss)| (loss.next_check, *address));
        due.truncate(limit);
        for (_, loss) in &mut due {
            loss.interval = loss.interval.mul_f64(INTERVAL_GROWTH).min(MAX_CHECK_INTERVAL);
            loss.next_check = now + with_jitter(loss.interval, rng);
        }
        due.into_iter().map(|(address, _)| address).collect()
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
        self.doubt = Some(Doubt { since: now, checks_left: CHECKS_PER_LOSS });
        true
    }

    /// Records that no other daemon reaches an address either, so that it is the target that fails. Ends the loss of its link.
    pub fn on_unreached(&mut self, now: Timestamp, address: SocketAddr) {
        let link = self.links.entry(address).or_default();
        link.settled_at = Some(now);
        link.unreached_until = now + UNREACHED_VALIDITY;
        self.lost_count -= usize::from(link.loss.take().is_some());
    }

    /// Records that a connection to an address was opened; returns how long its link had been lost, if it was.
    pub fn on_connected(&mut self, now: Timestamp, address: SocketAddr) -> Option<Duration> {
        let link = self.links.get_mut(&address)?;
        link.settled_at = Some(now);
        link.unreached_until = Timestamp::ZERO;
        let loss = link.loss.take()?;
        link.regained = Some((now, loss.hold));
        self.lost_count -= 1;
        self.last_regained = Some(now);
        // The others may have been lost and have returned with this one, unless they are known to come and go.
        let others = self.links.values_mut().filter_map(|it| it.loss.as_mut());
        others.filter(|it| it.hold == MIN_HOLD).for_each(|it| it.next_check = now);
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
