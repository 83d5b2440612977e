//! Targets that are cold: slow for some seconds after their start, and apt to crash if they get many requests meanwhile.
//!
//! All instances together keep to a bound on the requests of any second, without agreement: each computes its part from the list of
//! registered instances. An instance sends nothing to cold targets while that list may lack others or lack this instance in theirs.

use std::{collections::BTreeMap, time::Duration};

use fleet::QualifiedName;
use stdx::{Name, Timestamp, value_type};
use twox_hash::XxHash64;

use super::{
    allowance::{BATCH_SHARE, ColdShare},
    dispatcher::{Dispatcher, clamp_retry_after},
    evacuation::MAX_PAUSE,
    event::TargetInfo,
    request::{Action, Class, Reason},
    target::Target,
};

/// The part of the bound that is used; the rest covers instances whose lists differ for a moment.
const USED_PART: f64 = 0.8;
/// How long an instance must have been registered before it sends to cold targets, so that the others have counted it in.
const JOIN_TIME: Duration = Duration::from_secs(2);
/// How long after a renewal of its registration an instance counts on being in the lists of the others. The registration lasts 15 s from
/// then, and renewals are sent every 5 s.
const REGISTRATION_VALIDITY: Duration = Duration::from_secs(10);
/// How long the targets of a failure domain count as cold after its evacuation. By then, each instance has read of those that turned
/// cold shortly before.
const RETURN_TIME: Duration = Duration::from_secs(3);

value_type! {
    /// The bound on the requests that a cold target gets in any second, from all instances together.
    #[derive(Copy)]
    pub struct ColdBound {
        /// The part that grows with the rate that the target tolerates, in thousandths of the rate.
        pub factor_millis: u64,
        /// The further requests, in thousandths.
        pub extra_millis: u64,
    }
}

/// How the requests to a cold target are divided between instances. The sum of all bursts and of a second of all rates is at most the used
/// part of the bound, also if an instance is wrong about which class may use its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPlan {
    /// The number of instances that send online requests.
    pub online_holders: usize,
    /// The tokens for online requests that each of them gets per second and saves up.
    pub online: (f64, f64),
    /// The number of instances that send batch requests.
    pub batch_holders: usize,
    /// The tokens for batch requests that each of them gets per second and saves up.
    pub batch: (f64, f64),
}

/// What this instance knows that cold targets depend on.
#[derive(Debug)]
pub(super) struct ColdStart {
    bound: Option<ColdBound>,
    /// Since when the list of instances has been current and has contained this one.
    current_since: Option<Timestamp>,
    /// Until when the registration of this instance is certainly valid.
    registered_until: Timestamp,
    last_call: Option<Timestamp>,
    may_send: bool,
    /// The failure domains whose evacuation has ended lately, and until when their targets count as cold.
    returned: BTreeMap<Name, Timestamp>,
}

impl ColdBound {
    /// Divides the bound between instances of which `online` send online requests and `batch` batch requests.
    pub fn plan(self, rate_per_s: f64, online: usize, batch: usize) -> ColdPlan {
        let bound = rate_per_s * self.factor_millis as f64 / 1_000.0;
        let used = USED_PART * (bound + self.extra_millis as f64 / 1_000.0);
        // Each holder saves up at least one token, since it could send nothing otherwise.
        let batch_holders = match (online, batch) {
            (0, _) => batch.min((used - rate_per_s.min(used - 1.0)).max(0.0) as usize),
            (_, 0) => 0,
            (_, _) => usize::from(used >= 3.0),
        };
        if online == 0 {
            let per_s = rate_per_s.min(used - batch_holders as f64).max(0.0);
            let burst = (used - per_s) / batch_holders.max(1) as f64;
            let batch = (per_s / batch_holders.max(1) as f64, burst);
            return ColdPlan { online_holders: 0, online: (0.0, 0.0), batch_holders, batch };
        }
        let for_bursts = used - batch_holders as f64;
        let per_s = rate_per_s.min(for_bursts - 1.0).max(0.0);
        let online_holders = online.min((for_bursts - per_s).max(0.0) as usize);
        let batch_share = if batch_holders > 0 { BATCH_SHARE } else { 0.0 };
        let each = online_holders.max(1) as f64;
        ColdPlan {
            online_holders,
            online: (per_s * (1.0 - batch_share) / each, (for_bursts - per_s) / each),
            batch_holders,
            batch: (per_s * batch_share, 1.0),
        }
    }
}

impl ColdStart {
    pub fn new(bound: Option<ColdBound>) -> Self {
        Self {
            bound,
            current_since: None,
            registered_until: Timestamp::ZERO,
            last_call: None,
            may_send: false,
            returned: BTreeMap::new(),
        }
    }

    /// Records whether the list of instances is current and contains this one.
    pub fn set_current(&mut self, now: Timestamp, is_current: bool) {
        self.current_since = is_current.then(|| self.current_since.unwrap_or(now));
    }

    /// Records that the registration of this instance was renewed by a call that was sent at `renewed_at`, or that it has ended.
    fn set_registration(&mut self, now: Timestamp, renewed_at: Option<Timestamp>) {
        if now >= self.registered_until {
            self.current_since = self.current_since.map(|_| now);
        }
        self.registered_until = renewed_at.map_or(now, |it| it + REGISTRATION_VALIDITY);
    }

    /// Records that the evacuation of a failure domain has ended.
    pub fn record_return(&mut self, now: Timestamp, domain: Name) {
        if self.bound.is_some() {
            self.returned.insert(domain, now + RETURN_TIME);
        }
    }

    /// Takes the time of a call; returns whether it has changed whether this instance may send to cold targets.
    fn observe(&mut self, now: Timestamp) -> bool {
        if self.bound.is_none() {
            return false;
        }
        let last_call = self.last_call.replace(now);
        if last_call.is_some_and(|it| now.since(it) > MAX_PAUSE) {
            // The others may have removed this instance from their lists meanwhile.
            self.current_since = self.current_since.map(|_| now);
        }
        self.returned.retain(|_, until| now < *until);
        let is_registered = now < self.registered_until;
        let has_joined = self.current_since.is_some_and(|it| now.since(it) >= JOIN_TIME);
        let may_send = is_registered && has_joined;
        std::mem::replace(&mut self.may_send, may_send) != may_send
    }
}

impl Dispatcher {
    /// Takes the time of a call before anything is decided in it.
    pub(super) fn observe_cold(&mut self, now: Timestamp) {
        if self.cold_start.observe(now) {
            (0..self.services.len()).for_each(|it| self.share_limits(now, it));
        }
    }

    /// Takes when the registration of this instance was renewed; `None` if it has ended.
    pub(super) fn on_registration(&mut self, now: Timestamp, renewed_at: Option<Timestamp>) {
        self.cold_start.set_registration(now, renewed_at);
        self.observe_cold(now);
    }

    /// Limits the targets of a service that are cold, and ends the limits of those that no longer are.
    pub(super) fn refresh_cold(&mut self, now: Timestamp, service: usize) {
        if self.cold_start.bound.is_none() {
            return;
        }
        let cold_until = |it: &Target| {
            let returned = self.cold_start.returned.get(&it.info.failure_domain).copied();
            let until =
                it.info.cold_until.max(it.cold_answer_until).max(returned.unwrap_or_default());
            (it.info.cold_rate_millis > 0 && now < until).then_some(until)
        };
        let targets = self.services[service].targets.values().enumerate();
        let concerned: Vec<_> = targets
            .map(|(at, it)| (at, it, cold_until(it)))
            .filter(|(_, it, until)| until.is_some() || it.allowance.is_cold())
            .map(|(at, _, until)| (at, until))
            .collect();
        let mut changed = Vec::new();
        for (at, until) in concerned {
            let target = &mut self.services[service].targets[at];
            if target.allowance.set_cold(now, until) {
                changed.push((target.info.name.clone(), until.map(|it| it.since(now))));
            }
        }
        if changed.is_empty() {
            return;
        }
        self.share_limits(now, service);
        for (target, cold_for) in changed {
            let service = self.services[service].name.clone();
            self.actions.push(Action::ColdChanged { service, target, cold_for });
        }
    }

    /// Returns whether a waiting request would be late because all targets that take work are cold and give no token in time.
    pub(super) fn is_too_cold(&self, now: Timestamp, id: u64) -> bool {
        let held = &self.requests[&id];
        self.cold_wait(held.service).is_some_and(|it| it > held.request.due.since(now))
    }

    pub(super) fn refuse_cold(&mut self, now: Timestamp, id: u64) {
        let held = &self.requests[&id];
        let until_any = self.services[held.service].wait_model(&self.settings, now).behind(0);
        let tokens = self.cold_wait(held.service).filter(|it| *it < Duration::MAX);
        let wait = tokens.max(until_any);
        self.refuse_waiting(id, Reason::WaitTooLong, clamp_retry_after(wait));
    }

    /// Estimates how long the last waiting online request of a service waits for a token; `None` if a target takes work that is not cold.
    fn cold_wait(&self, service: usize) -> Option<Duration> {
        let state = &self.services[service];
        let mut usable = state.targets.values().filter(|it| it.takes_work()).peekable();
        usable.peek()?;
        let mut per_s = 0.0;
        for target in usable {
            if !target.allowance.is_cold() {
                return None;
            }
            per_s += target.allowance.per_s(Class::Online).unwrap_or(0.0);
        }
        let seconds = state.online.queue.len() as f64 / per_s;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Takes how long a target says in an answer that it stays cold.
    pub(super) fn on_target_cold(
        &mut self,
        now: Timestamp,
        (service, target): (&QualifiedName, &Name),
        left: Duration,
    ) {
        let Some((index, state)) = self.target_mut(service, target) else { return };
        // What several sources say differs for a moment; the longest time is on the safe side.
        state.cold_answer_until = state.cold_answer_until.max(now + left);
        self.refresh_cold(now, index);
    }

    /// Computes this instance's parts of the requests to the cold targets of a service.
    pub(super) fn share_cold_limits(&mut self, now: Timestamp, service: usize) {
        let targets = self.services[service].targets.values();
        let cold: Vec<_> = targets.filter(|it| it.allowance.is_cold()).map(|it| &it.info).collect();
        if cold.is_empty() {
            return;
        }
        let bound = self.cold_start.bound.filter(|_| self.cold_start.may_send);
        let runners: Vec<&Name> = self.instances.runners.iter().collect();
        let mut online_users = BTreeMap::new();
        for info in &cold {
            let domain = &info.failure_domain;
            online_users.entry(domain).or_insert_with(|| self.online_users(domain));
        }
        let own = &self.settings.instance;
        let share = |info: &&TargetInfo| {
            let online = &online_users[&info.failure_domain];
            let rate_per_s = info.cold_rate_millis as f64 / 1_000.0;
            let plan = bound.map(|it| it.plan(rate_per_s, online.len(), runners.len()));
            let part = |instances: &[&Name], holders, part| match is_holder(
                instances, own, &info.name, holders,
            ) {
                true => part,
                false => (0.0, 0.0),
            };
            let share = plan.map(|it| ColdShare {
                online: part(online, it.online_holders, it.online),
                batch: part(&runners, it.batch_holders, it.batch),
            });
            (info.name.clone(), share.unwrap_or_default())
        };
        let shares: Vec<(Name, ColdShare)> = cold.iter().map(share).collect();
        for (target, share) in shares {
            self.services[service].targets[&target].allowance.set_cold_share(now, share);
        }
    }
}

/// Returns whether `own` is among the instances that send to a cold target. They are chosen by rendezvous hashing, so that little changes
/// if an instance comes or goes, and nothing if another target does: until all instances know of a change, both the old and the new
/// ones send.
fn is_holder(instances: &[&Name], own: &Name, target: &Name, holders: usize) -> bool {
    let seed = XxHash64::oneshot(0, target.as_bytes());
    let score = |it: &Name| XxHash64::oneshot(seed, it.as_bytes());
    let own_score = score(own);
    instances.contains(&own)
        && instances.iter().filter(|it| score(it) > own_score).count() < holders
}
