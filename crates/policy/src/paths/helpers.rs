//! Through which other daemon a request goes to a target that this instance does not reach.

use std::{cmp::Ordering, collections::HashMap, time::Duration};

use rand::seq::SliceRandom as _;
use stdx::{Name, Rng, Timestamp, value_type};

value_type! {
    /// Another daemon that may carry out an exchange.
    pub struct Candidate {
        /// Its name.
        pub name: Name,
        /// Whether it is in the failure domain of this instance.
        pub is_local: bool,
        /// Its processor share in thousandths of a core; 0 if unknown.
        pub capacity: u32,
    }
}

/// What this instance knows of the other daemons as helpers.
#[derive(Debug, Default)]
pub struct HelperTable {
    helpers: HashMap<Name, Helper>,
}

#[derive(Debug, Default)]
struct Helper {
    /// The exchanges that it carries out for this instance.
    open: u32,
    /// The exchanges that it said it carries out for all, and when.
    reported: Option<(u32, Timestamp)>,
    left_out_until: Timestamp,
}

/// How many daemons of the own failure domain, and of others, are drawn for each choice.
const DRAWN_LOCAL: usize = 2;
const DRAWN_REMOTE: usize = 1;
/// Bytes between failure domains are priced, so exchanges with other domains count this much more.
const REMOTE_FACTOR: f64 = 1.5;
/// How long a report of a helper's load is used.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);
/// How long a helper is left out that has lost links to targets itself.
const LOST_LINKS_PAUSE: Duration = Duration::from_secs(2);
/// How long a helper is left out that did not carry out an exchange for another reason.
const DECLINED_PAUSE: Duration = Duration::from_millis(200);
/// How long a helper is left out that does not answer.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(1);
/// The processor share of a daemon that states none, in thousandths of a core.
const DEFAULT_CAPACITY: u32 = 250;

impl HelperTable {
    /// Chooses one of the candidates by load and failure domain; `None` if each is left out or among `excluded`.
    ///
    /// A few are drawn at random and the least loaded is taken. If the least loaded of all were taken, instances that heard the same reports would
    /// choose the same one.
    pub fn choose(
        &self,
        now: Timestamp,
        candidates: &[Candidate],
        excluded: &[Name],
        rng: &mut Rng,
    ) -> Option<Name> {
        let is_eligible =
            |it: &&Candidate| !excluded.contains(&it.name) && self.is_eligible(now, it);
        let eligible = candidates.iter().filter(is_eligible);
        let (mut local, mut remote): (Vec<_>, Vec<_>) = eligible.partition(|it| it.is_local);
        let (local, _) = local.partial_shuffle(rng, DRAWN_LOCAL);
        let (remote, _) = remote.partial_shuffle(rng, DRAWN_REMOTE);
        let drawn = local.iter().chain(remote.iter());
        let cost = |it: &Candidate| self.cost(now, it);
        let best = drawn.min_by(|a, b| cost(a).partial_cmp(&cost(b)).unwrap_or(Ordering::Equal));
        best.map(|it| it.name.clone())
    }

    /// Records that a helper begins an exchange.
    pub fn on_opened(&mut self, now: Timestamp, helper: &Name, load: u32) {
        let state = self.helpers.entry(helper.clone()).or_default();
        state.open += 1;
        state.reported = Some((load, now));
    }

    /// Records that an exchange has ended.
    pub fn on_closed(&mut self, helper: &Name) {
        if let Some(state) = self.helpers.get_mut(helper) {
            state.open = state.open.saturating_sub(1);
        }
    }

    /// Records that a helper has declined an exchange.
    pub fn on_declined(&mut self, now: Timestamp, helper: &Name, has_lost_links: bool) {
        let pause = if has_lost_links { LOST_LINKS_PAUSE } else { DECLINED_PAUSE };
        self.leave_out(helper, now + pause);
    }

    /// Records that a helper does not answer.
    pub fn on_unanswered(&mut self, now: Timestamp, helper: &Name) {
        self.leave_out(helper, now + UNANSWERED_PAUSE);
    }

    /// Forgets the daemons that are not registered any more.
    pub fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.helpers.retain(|name, it| it.open > 0 || is_known(name));
    }

    fn leave_out(&mut self, helper: &Name, until: Timestamp) {
        self.helpers.entry(helper.clone()).or_default().left_out_until = until;
    }

    fn is_eligible(&self, now: Timestamp, candidate: &Candidate) -> bool {
        self.helpers.get(&candidate.name).is_none_or(|it| now >= it.left_out_until)
    }

    fn cost(&self, now: Timestamp, candidate: &Candidate) -> f64 {
        let load = self.helpers.get(&candidate.name).map_or(0, |it| {
            let reported = it.reported.filter(|(_, at)| now.since(*at) < REPORT_VALIDITY);
            reported.map_or(0, |(load, _)| load).max(it.open)
        });
        let capacity = match candidate.capacity {
            0 => DEFAULT_CAPACITY,
            capacity => capacity,
        };
        let factor = if candidate.is_local { 1.0 } else { REMOTE_FACTOR };
        factor * f64::from(load + 1) / f64::from(capacity)
    }
}
