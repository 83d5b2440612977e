//! Takes requests and events and returns actions.

use std::{collections::BTreeSet, time::Duration};

use fleet::QualifiedName;
use indexmap::IndexMap;
use stdx::{Name, Rng, Timestamp, record_type};

use super::{
    capacity::{self, Belief},
    claims::ClaimTable,
    cold_start::ColdStart,
    evacuation::Evacuation,
    event::{Event, PeerLoad},
    fair::Entry,
    health::{HealthEvent, HealthState},
    leaving::LeavingTargets,
    limits::Instances,
    poison::{AttemptEnd, PoisonTable},
    prompt_parts::PartTable,
    request::{Action, Class, Execution, Fingerprint, Reason, Refusal, Request},
    service::{HeldRequest, Phase, Service},
    settings::{LearnedCapacity, Settings},
    target::{Counts, Target},
    target_subset::TargetSubset,
};

/// Decides which request goes to which target, and when.
///
/// Every call takes the current time, which must not decrease, and returns the actions to perform, in order.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) settings: Settings,
    pub(super) rng: Rng,
    pub(super) services: IndexMap<QualifiedName, Service>,
    pub(super) requests: IndexMap<u64, HeldRequest>,
    pub(super) poison: PoisonTable,
    pub(super) parts: PartTable,
    pub(super) claims: ClaimTable,
    /// The peers with an open link, whether or not their heartbeats are understood.
    pub(super) linked_peers: BTreeSet<Name>,
    /// Messages to peers that are to be repeated at the given time, in case the first one is lost.
    pub(super) pending_repeats: Vec<(Timestamp, Action)>,
    /// When the runs of suspects without a claim were last announced to peers.
    pub(super) last_run_announcement: Timestamp,
    pub(super) peers: IndexMap<Name, Peer>,
    /// The targets that announced their own shutdown.
    pub(super) leaving_targets: LeavingTargets,
    pub(super) last_prune: Timestamp,
    pub(super) evacuation: Evacuation,
    pub(super) cold_start: ColdStart,
    /// The registered instances.
    pub(super) instances: Instances,
    /// Determines the targets that this instance prefers; `None` for no preference.
    pub(super) target_subset: Option<TargetSubset>,
    /// Whether to send peers the requests in flight before the next regular heartbeat.
    pub(super) heartbeat_wanted: bool,
    last_early_heartbeat: Timestamp,
    /// The actions of the running call; empty between calls.
    pub(super) actions: Vec<Action>,
}

/// The last heartbeat of a peer.
#[derive(Debug)]
pub(super) struct Peer {
    pub last_heartbeat: Timestamp,
    pub failure_domain: Name,
    pub loads: Vec<PeerLoad>,
    pub waiting: Vec<QualifiedName>,
    pub batch_waiting: Vec<QualifiedName>,
}

record_type! {
    /// The state of a service for metrics and heartbeats.
    pub struct Snapshot {
        /// The service.
        pub service: QualifiedName,
        /// Waiting online requests.
        pub online_queued: usize,
        /// Waiting batch requests.
        pub batch_queued: usize,
        /// Waiting suspects of both classes.
        pub suspects_waiting: usize,
        /// Every target with its health, this instance's requests in flight and what is believed of it; the belief only if the
        /// choice among the targets follows it.
        pub targets: Vec<(Name, HealthState, PeerLoad, Option<Belief>)>,
        /// The targets that are limited because they are cold.
        pub cold_targets: Vec<Name>,
    }
}

/// The shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Limits the early heartbeats that a burst causes.
const MIN_EARLY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// The longest time after which a refused caller is told to retry, unless a verdict lasts longer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

impl Dispatcher {
    /// Creates a dispatcher without services; [`Event::TargetsChanged`] adds them.
    pub fn new(settings: Settings, rng: Rng) -> Self {
        Self {
            evacuation: Evacuation::new(settings.evacuation),
            cold_start: ColdStart::new(settings.cold_start),
            settings,
            rng,
            services: IndexMap::new(),
            requests: IndexMap::new(),
            poison: PoisonTable::default(),
            parts: PartTable::default(),
            claims: ClaimTable::default(),
            linked_peers: BTreeSet::new(),
            pending_repeats: Vec::new(),
            last_run_announcement: Timestamp::ZERO,
            peers: IndexMap::new(),
            leaving_targets: LeavingTargets::default(),
            instances: Instances::default(),
            target_subset: None,
            last_prune: Timestamp::ZERO,
            heartbeat_wanted: false,
            last_early_heartbeat: Timestamp::ZERO,
            actions: Vec::new(),
        }
    }

    /// Takes a request: dispatches it, queues it or refuses it at once.
    ///
    /// # Panics
    ///
    /// Panics if a request with the same id is held.
    pub fn submit(&mut self, now: Timestamp, request: Request) -> Vec<Action> {
        self.observe_time(now);
        let id = request.id;
        assert!(!self.requests.contains_key(&id), "request {id} is held already");
        let Some(service) = self.services.get_index_of(&request.service) else {
            return vec![refuse(id, Reason::NoTarget, Execution::NotRun, MIN_RETRY_AFTER)];
        };
        if let Some(expires) = self.poison.verdict(&request.fingerprint, now) {
            return vec![refuse(id, Reason::Poison, Execution::NotRun, expires.since(now))];
        }
        if let Some(retry_after) = self.parts.admit(now, id, &request.shared_parts) {
            return vec![refuse(id, Reason::PoisonPart, Execution::NotRun, retry_after)];
        }
        let class = request.class;
        let queue = &self.services[service].class_state(class).queue;
        let cost_ahead = queue.cost_ahead(&request.account, request.weight);
        let wait = self.services[service].wait_model(&self.settings, now).behind(cost_ahead);
        if let Some(reason) = self.make_room(service, &request) {
            self.parts.end_trial(id);
            return vec![refuse(id, reason, Execution::NotRun, clamp_retry_after(wait))];
        }
        let deadline = request.deadline;
        self.enqueue_new(service, request);
        if self.services[service].lacks_version(&self.requests[&id]) {
            self.refuse_waiting(id, Reason::NoTargetOfVersion, Duration::ZERO);
            return self.finish_call(now);
        }
        self.schedule(now, service);
        let waits = self.requests.get(&id).is_some_and(|it| it.phase == Phase::Queued);
        match wait {
            None if waits => {
                self.refuse_waiting(id, self.no_target_reason(service), MIN_RETRY_AFTER);
            }
            Some(_) if waits && class == Class::Online && self.is_too_cold(now, id) => {
                self.refuse_cold(now, id);
            }
            // Batch requests have no estimate, because they get only the slots that online requests leave free.
            Some(wait) if waits && class == Class::Online && now + wait >= deadline => {
                self.refuse_waiting(id, Reason::WaitTooLong, clamp_retry_after(Some(wait)));
            }
            _ => {}
        }
        self.finish_call(now)
    }

    /// Handles an event.
    pub fn on_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.observe_time(now);
        match event {
            Event::Started { id } => {
                if let Some(held) = self.in_flight_mut(id) {
                    held.sent = true;
                }
            }
            Event::AnsweredThroughPeer { id } => {
                if let Some(held) = self.in_flight_mut(id) {
                    held.expected = None;
                }
            }
            Event::FirstByte { id } => self.on_first_byte(now, id),
            Event::OutputBegun { id } => self.on_output_begun(id),
            Event::Completed { id, tokens } => self.on_completed(now, id, tokens),
            Event::FailedBeforeSend { id } => self.on_failed_before_send(now, id),
            Event::FailedAfterSend { id, cause } => self.on_failed_after_send(now, id, cause),
            Event::NotRun { id, cause } => self.on_not_run(now, id, cause),
            Event::Yielded { id } => self.on_yielded(now, id),
            Event::CallerGone { id } => self.on_caller_gone(now, id),
            Event::LoadReport { service, target, load, sent_at } => {
                let off = self.settings.learned_capacity == LearnedCapacity::Off;
                if let Some((index, state)) = self.target_mut(&service, &target) {
                    if off || !capacity::is_old(now, sent_at) {
                        state.record_report(now, load.in_flight());
                    }
                    self.learn_report(now, index, &target, load, sent_at);
                    self.schedule(now, index);
                }
            }
            Event::TargetsChanged { service, targets } => {
                self.on_targets_changed(now, service, targets);
            }
            Event::EventGap { service, target, gap } => {
                if let Some((_, target)) = self.target_mut(&service, &target) {
                    target.pace.record_own(now, gap);
                    let Target { info, own, peers, learned, .. } = target;
                    learned.record_own_gap(now, gap, info.concurrency, *own, *peers);
                }
            }
            Event::TargetLeaving { service, target } => {
                self.on_target_leaving(now, &service, &target);
            }
            Event::Probed { service, target, ok } => {
                let event = if ok { HealthEvent::ProbeOk } else { HealthEvent::ProbeFailed };
                if let Some(index) = self.services.get_index_of(&service) {
                    self.apply_health_event(now, index, &target, event);
                    self.schedule(now, index);
                }
            }
            Event::PeerHeartbeat { peer, failure_domain, loads, waiting, batch_waiting } => {
                self.remove_peer(&peer);
                self.on_peer_heartbeat(
                    now,
                    peer,
                    Peer { last_heartbeat: now, failure_domain, loads, waiting, batch_waiting },
                );
            }
            Event::PoisonVerdict { fingerprint } => {
                if self.poison.add_verdict(&self.settings, now, fingerprint) {
                    self.refuse_fingerprint(now, &fingerprint);
                }
            }
            Event::PartCrash { target, parts } => self.on_part_crash(now, &target, &parts),
            Event::PartVerdict { part, lifetime } => self.on_part_verdict(now, part, lifetime),
            Event::ClearedParts(parts) => self.parts.clear(&parts),
            Event::PoisonSuspicion(suspicion) => self.on_suspicion(now, &suspicion),
            Event::SuspectClaim { peer, claim } => self.on_claim(now, peer, &claim),
            Event::AnswerLimit { service, target, limit, sent_at } => {
                self.on_answer_limit(now, (service, target), limit, sent_at);
            }
            Event::Registration { renewed_at } => self.on_registration(now, renewed_at),
            Event::TargetCold { service, target, left } => {
                self.on_target_cold(now, (&service, &target), left);
            }
            Event::LimitNews(news) => self.on_limit_news(now, &news),
            Event::Instances(instances) => {
                let Settings { instance, failure_domain, .. } = &self.settings;
                let admitting = instances.admitting.iter();
                let local = admitting.filter(|(name, it)| {
                    *it == failure_domain && !instances.leaving.contains(*name)
                });
                let local = local.map(|(name, _)| name.clone()).collect();
                self.target_subset = TargetSubset::of(instance, &local);
                self.set_instances(now, instances);
            }
            Event::Evacuations { domains, confirmed_at } => {
                self.on_evacuations(now, domains, confirmed_at);
            }
            Event::PeerLink { peer, up } => {
                if up {
                    self.announce_limits_to(now, &peer);
                    self.linked_peers.insert(peer);
                } else {
                    self.linked_peers.remove(&peer);
                }
            }
            Event::KeyWithdrawn { account, key } => {
                self.refuse_matching(now, Reason::KeyWithdrawn, MIN_RETRY_AFTER, |it| {
                    let req = &it.request;
                    req.account == account && req.key.is_some() && (key.is_none() || req.key == key)
                });
            }
        }
        self.finish_call(now)
    }

    /// Returns whether [`Self::tick`] has nothing to do: no request waits, no target recovers and no decision is pending.
    pub fn is_quiescent(&self) -> bool {
        let is_quiescent = |it: &Service| {
            it.online.queue.len() + it.batch.queue.len() + it.suspects.len() == 0
                && it.targets.totals().unsettled == 0
        };
        self.services.values().all(is_quiescent)
            && !self.heartbeat_wanted
            && self.pending_repeats.is_empty()
            && self.claims.own_claims().next().is_none()
            && !self.poison.has_pending_verdict()
    }

    /// Performs what is due by now. Must be called at least every 50 ms, or every 20 ms with peers, unless
    /// [`Self::is_quiescent`].
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.observe_time(now);
        self.perform_due_work(now);
        self.finish_call(now)
    }

    /// Returns this instance's requests in flight, for heartbeats to peers.
    pub fn in_flight_loads(&self, now: Timestamp) -> Vec<PeerLoad> {
        let in_use = |it: &&Target| it.own.total() + it.allowance.recent_starts() > 0;
        let loads = self.services.values().flat_map(|service| {
            let load = own_load(service, now);
            service.targets.in_use().into_iter().filter(in_use).map(load)
        });
        loads.collect()
    }

    /// Returns the services for which online requests wait, for heartbeats to peers.
    pub fn waiting_services(&self) -> Vec<QualifiedName> {
        let waiting = self.services.values().filter(|it| it.has_waiting(Class::Online));
        waiting.map(|it| it.name.clone()).collect()
    }

    /// Returns the services for which batch requests wait, for heartbeats to peers.
    pub fn batch_waiting_services(&self) -> Vec<QualifiedName> {
        let waiting = self.services.values().filter(|it| it.has_waiting(Class::Batch));
        waiting.map(|it| it.name.clone()).collect()
    }

    /// Returns the state of every service, for metrics.
    pub fn snapshot(&self, now: Timestamp) -> Vec<Snapshot> {
        let snapshot = |service: &Service| Snapshot {
            service: service.name.clone(),
            online_queued: service.online.queue.len(),
            batch_queued: service.batch.queue.len(),
            suspects_waiting: service.suspects.len(),
            targets: {
                let load = own_load(service, now);
                let learns = self.learns(now, service);
                let belief =
                    |it: &Target| it.learned.belief(now, &service.usual, it.info.concurrency);
                let target = |it: &Target| {
                    let belief = learns.then(|| belief(it));
                    (it.info.name.clone(), it.health.state(), load(it), belief)
                };
                service.targets.values().map(target).collect()
            },
            cold_targets: service
                .targets
                .values()
                .filter(|it| it.allowance.is_cold())
                .map(|it| it.info.name.clone())
                .collect(),
        };
        self.services.values().map(snapshot).collect()
    }

    pub(super) fn target_mut(
        &mut self,
        service: &QualifiedName,
        target: &Name,
    ) -> Option<(usize, &mut Target)> {
        let (index, _, service) = self.services.get_full_mut(service)?;
        Some((index, service.targets.get_mut(target)?))
    }

    pub(super) fn in_flight_mut(&mut self, id: u64) -> Option<&mut HeldRequest> {
        self.requests.get_mut(&id).filter(|it| matches!(it.phase, Phase::InFlight { .. }))
    }

    pub(super) fn apply_health_event(
        &mut self,
        now: Timestamp,
        service: usize,
        target: &Name,
        event: HealthEvent,
    ) {
        let Some(target_state) = self.services[service].targets.get_mut(target) else { return };
        target_state.health.handle(&self.settings, now, &mut self.rng, event);
        self.send_wanted_probe(now, service, target);
    }

    /// Refuses a request that is not in flight.
    pub(super) fn refuse_waiting(&mut self, id: u64, reason: Reason, retry_after: Duration) {
        let Some(held) = self.remove_waiting(id) else { return };
        let execution = match (held.answered, held.sent) {
            (true, _) => Execution::Ran,
            (false, true) => Execution::Unknown,
            (false, false) => Execution::NotRun,
        };
        self.actions.push(refuse(id, reason, execution, retry_after));
    }

    /// Removes a request that is not in flight.
    pub(super) fn remove_waiting(&mut self, id: u64) -> Option<HeldRequest> {
        let held = self.requests.swap_remove(&id)?;
        self.parts.end_trial(id);
        self.end_claim(&held.request.fingerprint, id);
        let service = &mut self.services[held.service];
        match held.phase {
            Phase::Queued => {
                service.class_state_mut(held.class()).queue.remove(&held.request.account, id);
            }
            Phase::Suspect => service.suspects.retain(|it| *it != id),
            Phase::InFlight { .. } => unreachable!("a request in flight is released first"),
        }
        Some(held)
    }

    /// Refuses the waiting requests with the fingerprint and cancels those in flight.
    pub(super) fn refuse_fingerprint(&mut self, now: Timestamp, fingerprint: &Fingerprint) {
        let expiry = self.settings.verdict_expiry;
        self.refuse_matching(now, Reason::Poison, expiry, |it| {
            it.request.fingerprint == *fingerprint
        });
    }

    /// Refuses all requests that match, and cancels those of them that are in flight.
    pub(super) fn refuse_matching(
        &mut self,
        now: Timestamp,
        reason: Reason,
        retry_after: Duration,
        matches: impl Fn(&HeldRequest) -> bool,
    ) {
        let ids = self.requests.iter().filter(|(_, it)| matches(it));
        let mut services = Vec::new();
        for id in ids.map(|(id, _)| *id).collect::<Vec<_>>() {
            services.push(self.requests[&id].service);
            if let Some(held) = self.in_flight_mut(id) {
                // The daemon may have sent a byte that it has not reported yet.
                held.sent = true;
                self.actions.push(Action::Cancel { id });
                self.release(now, id, AttemptEnd::Neutral);
            }
            self.refuse_waiting(id, reason, retry_after);
        }
        // The freed slots are filled only now, so that none goes to a request that matches.
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.schedule(now, service);
        }
    }

    fn enqueue_new(&mut self, service: usize, request: Request) {
        let id = request.id;
        let entry = Entry { id, cost: request.cost.max(1), bytes: request.bytes, due: request.due };
        let queue = &mut self.services[service].class_state_mut(request.class).queue;
        queue.push_back(&request.account, request.weight, entry);
        self.requests.insert(id, HeldRequest::new(request, service));
    }

    /// Makes room for the request in a full queue by refusing requests of the account that holds the most; returns the
    /// reason to refuse the new request if there is no room.
    fn make_room(&mut self, service: usize, request: &Request) -> Option<Reason> {
        let settings = &self.settings;
        let queue = &self.services[service].class_state(request.class).queue;
        let (count, bytes) = queue.account_load(&request.account);
        if count >= settings.max_queued_per_account
            || bytes + request.bytes > settings.max_queued_bytes_per_account
        {
            return Some(Reason::QueueFull);
        }
        if queue.len() < settings.max_queued
            && queue.bytes() + request.bytes <= settings.max_queued_bytes
        {
            return None;
        }
        let Some((holder, last)) = queue.largest_account() else {
            return Some(Reason::QueueFull);
        };
        let (holder_count, holder_bytes) = queue.account_load(holder);
        // An account must not evict requests of an account that holds no more than it does.
        let is_larger = holder_count > count + 1 || holder_bytes > bytes + request.bytes;
        if *holder == request.account || !is_larger {
            return Some(Reason::QueueFull);
        }
        self.refuse_waiting(last.id, Reason::QueueFull, MIN_RETRY_AFTER);
        self.make_room(service, request)
    }

    fn finish_call(&mut self, now: Timestamp) -> Vec<Action> {
        if self.heartbeat_wanted
            && now.since(self.last_early_heartbeat) >= MIN_EARLY_HEARTBEAT_INTERVAL
        {
            self.heartbeat_wanted = false;
            self.last_early_heartbeat = now;
            self.actions.push(Action::ShareLoad);
        }
        if self.settings.check_invariants {
            self.check_invariants(now);
        }
        std::mem::take(&mut self.actions)
    }
}

/// Returns the time after which a refused caller should retry, given the estimated wait of a new request.
pub(super) fn clamp_retry_after(wait: Option<Duration>) -> Duration {
    wait.unwrap_or(MIN_RETRY_AFTER).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

fn refuse(id: u64, reason: Reason, execution: Execution, retry_after: Duration) -> Action {
    Action::Refuse { id, refusal: Refusal { reason, execution, retry_after } }
}

/// Returns what tells the load of this instance on a target of a service.
fn own_load(service: &Service, now: Timestamp) -> impl Fn(&Target) -> PeerLoad {
    let is_contending = service.has_waiting(Class::Online);
    let is_batch_contending = service.has_waiting(Class::Batch);
    move |target| {
        let Counts { online, batch, suspects } = target.own;
        PeerLoad {
            service: service.name.clone(),
            target: target.info.name.clone(),
            online,
            batch,
            suspects,
            contending: if is_contending { online } else { 0 },
            batch_contending: if is_batch_contending { batch } else { 0 },
            event_gap_ms: target.pace.own_gap(now).map_or(0, |it| (it.as_millis() as u32).max(1)),
            starts: target.allowance.recent_starts(),
            slowdown: target.learned.own_slowdown(now),
        }
    }
}
