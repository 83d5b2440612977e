//! Load and limits of one target.

use std::time::Duration;

use stdx::Timestamp;

use super::{
    allowance::Allowance,
    capacity::{Learned, Outlook, Reported, Usual},
    evacuation::{self, Access},
    event::TargetInfo,
    health::{Health, HealthState},
    pace::Pace,
    request::Class,
    settings::Settings,
};

/// The kind of request, as far as it determines the room that a target must have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Need {
    Online,
    Batch {
        /// Whether the request leaves the larger reserve of slots free.
        large_reserve: bool,
    },
}

/// One target as this dispatcher sees it.
#[derive(Debug)]
pub(super) struct Target {
    pub info: TargetInfo,
    /// Whether the target is in this instance's failure domain.
    pub local: bool,
    /// Whether the target list still names the target; otherwise it is kept until its requests have ended.
    pub listed: bool,
    /// Whether requests may be sent to the target's failure domain.
    pub access: Access,
    pub health: Health,
    /// The health in the last [`Action::HealthChanged`](super::request::Action::HealthChanged).
    pub reported_health: HealthState,
    /// This instance's requests in flight.
    pub own: Counts,
    /// Own batch requests that can be interrupted and were not told to stop, oldest first.
    pub stoppable: Vec<u64>,
    /// Own batch requests that were told to stop.
    pub stopping: u32,
    /// Own batch requests that cannot be interrupted.
    pub non_idempotent_batch: u32,
    /// The peers' requests in flight.
    pub peers: Counts,
    /// The part of `peers.online` that belongs to peers of the target's failure domain where online requests wait.
    pub contending: u32,
    /// The number of those peers.
    pub contenders: u32,
    /// The part of `peers.batch` that belongs to peers of the target's failure domain where batch requests wait.
    pub batch_contending: u32,
    /// The number of those peers.
    pub batch_contenders: u32,
    pub pace: Pace,
    /// What was learned of the target, if the setting asks for it.
    pub learned: Learned,
    pub reported_belief: Reported,
    /// Whether requests that find no room at home may take all slots of this remote target, because targets at home are limited or
    /// evacuated.
    pub replaces_limited: bool,
    /// What the limit of the target lets this instance send.
    pub allowance: Allowance,
    /// Until when the target is cold, as far as its answers say.
    pub cold_answer_until: Timestamp,
    /// The requests that peers sent in the counting window, if the target names a limit.
    pub peer_starts: u32,
    /// The requests of other instances by a report that has just arrived, until the next refresh.
    pub current_others: Option<u32>,
    report: Option<Report>,
    window: GrowthWindow,
    /// The highest number of requests in flight, of this instance and its peers, in the current and in the previous
    /// [`REPORT_LAG`].
    peaks: [u32; 2],
    peaks_since: Timestamp,
    /// Until this time the target counts as full, because it refused a request.
    full_until: Timestamp,
    is_full: bool,
}

/// Requests in flight on a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub online: u32,
    pub batch: u32,
    /// Requests, of either class, that run as suspects.
    pub suspects: u32,
}

/// The requests in a load report that neither this instance nor its peers account for.
#[derive(Debug)]
struct Report {
    at: Timestamp,
    unexplained: u32,
}

/// Limits how much batch work an instance adds before its next heartbeat reaches the peers.
#[derive(Debug, Default)]
struct GrowthWindow {
    start: Timestamp,
    batch_at_start: u32,
    allowed: u32,
}

/// The interval of heartbeats between peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The assumed age of a load report when it arrives. The report still counts requests that ended in the meantime.
const REPORT_LAG: Duration = Duration::from_secs(1);

impl Target {
    pub fn new(info: TargetInfo, local: bool) -> Self {
        Self {
            local,
            listed: true,
            access: Access::Open,
            reported_health: if info.registered { HealthState::Up } else { HealthState::Unknown },
            health: if info.registered { Health::registered() } else { Health::new() },
            info,
            own: Counts::default(),
            stoppable: Vec::new(),
            stopping: 0,
            non_idempotent_batch: 0,
            peers: Counts::default(),
            contending: 0,
            contenders: 0,
            batch_contending: 0,
            batch_contenders: 0,
            pace: Pace::default(),
            learned: Learned::default(),
            reported_belief: Reported::default(),
            replaces_limited: false,
            allowance: Allowance::default(),
            cold_answer_until: Timestamp::ZERO,
            peer_starts: 0,
            current_others: None,
            report: None,
            window: GrowthWindow::default(),
            peaks: [0; 2],
            peaks_since: Timestamp::ZERO,
            full_until: Timestamp::ZERO,
            is_full: false,
        }
    }

    /// Returns the estimated number of requests at the target.
    pub fn load(&self) -> u32 {
        if let Some(others) = self.current_others {
            return self.own.total() + others;
        }
        let unexplained = self.report.as_ref().map_or(0, |it| it.unexplained);
        self.own.total() + self.peers.total() + unexplained
    }

    /// Returns what is to be expected if one more request goes to the target.
    pub fn outlook(&self, settings: &Settings, now: Timestamp, usual: &Usual) -> Outlook {
        self.learned.outlook(now, usual, self.limit(settings), self.own, self.peers)
    }

    /// Records that the target refused a request for lack of room.
    pub fn record_full(&mut self, until: Timestamp) {
        self.full_until = until;
        self.is_full = true;
    }

    /// Returns whether the target may take new work.
    pub fn takes_work(&self) -> bool {
        let state = self.health.state();
        self.listed
            && self.access == Access::Open
            && !matches!(state, HealthState::HeldDown | HealthState::Leaving)
    }

    /// Returns whether the target takes new work now or may do so later.
    pub fn will_take_work(&self) -> bool {
        self.listed && self.access != Access::Closed && self.health.state() != HealthState::Leaving
    }

    /// Returns whether the target has room for such a request now.
    pub fn has_room(&self, settings: &Settings, need: Need) -> bool {
        if !self.takes_work() || self.is_full || !self.allowance.has_token(need.class()) {
            return false;
        }
        if self.health.state() != HealthState::Up && self.own.total() > 0 {
            // A target that has not proved to be up gets one request at a time, to risk no more than one.
            return false;
        }
        let limit = self.limit(settings);
        match need {
            // Batch requests of peers do not count: the peers stop them when a heartbeat reports the online request.
            Need::Online => {
                self.load().saturating_sub(self.peers.batch) < limit
                    && self.own.online < self.online_share_limit(limit)
            }
            Need::Batch { large_reserve } => {
                let reserve = self.batch_reserve(settings, large_reserve);
                self.load() + reserve < limit
                    && self.own.batch < self.batch_share_limit(limit, reserve)
                    && self.own.batch < self.window.batch_at_start + self.window.allowed
            }
        }
    }

    /// Returns whether a request could run within the target's limit without any other request stopping.
    pub fn has_free_slot(&self, settings: &Settings) -> bool {
        self.load() < self.limit(settings)
    }

    /// Returns whether an online request can take the slot of an own batch request that is not stopping yet.
    pub fn can_stop_for_online(&self) -> bool {
        self.takes_work()
            && !self.stoppable.is_empty()
            && self.allowance.tokens(Class::Online) > self.stopping
    }

    /// Returns how many requests this instance may have in flight beside the online requests of peers, on average if the limit
    /// of the target allows fewer than its slots.
    pub fn capacity(&self, settings: &Settings, slot_seconds: f64) -> f64 {
        if !self.takes_work() {
            return 0.0;
        }
        let slots = f64::from(self.online_slots(settings));
        self.allowance.per_s(Class::Online).map_or(slots, |it| slots.min(it * slot_seconds))
    }

    /// Returns the slots for online requests of this instance, as far as the requests of peers leave them.
    pub fn online_slots(&self, settings: &Settings) -> u32 {
        self.limit(settings).saturating_sub(self.peers.online)
    }

    /// Returns whether [`Self::wait`] is zero, apart from the limit that the target may name.
    pub fn is_ready(&self) -> bool {
        self.listed
            && self.access == Access::Open
            && !matches!(self.health.state(), HealthState::HeldDown | HealthState::Leaving)
    }

    /// Estimates how long the target will take no online request; `None` if it will not take any.
    pub fn wait(&self, settings: &Settings, now: Timestamp) -> Option<Duration> {
        let until_open = match self.access {
            Access::Open => Duration::ZERO,
            Access::Held => evacuation::READ_TIME,
            Access::Closed => return None,
        };
        let until_token = self.allowance.wait(Class::Online)?;
        Some(self.health.wait(settings, now)?.max(until_token).max(until_open))
    }

    /// Returns how many batch requests, of this instance or its peers, must stop because the target is above its limit.
    pub fn batch_surplus(&self) -> u32 {
        let known = self.own.total() + self.peers.total();
        known.saturating_sub(self.info.concurrency).min(self.own.batch + self.peers.batch)
    }

    /// Records a load report.
    pub fn record_report(&mut self, now: Timestamp, in_flight: u32) {
        self.record_peak();
        if !self.learned.is_trusted(now) {
            return;
        }
        let explained = self.peaks[0].max(self.peaks[1]);
        self.report = Some(Report { at: now, unexplained: in_flight.saturating_sub(explained) });
    }

    /// Drops the load report if callers got something else than it said, and returns whether there was one.
    pub fn drop_false_report(&mut self, now: Timestamp) -> bool {
        if self.learned.is_trusted(now) {
            return false;
        }
        let (report, others) = (self.report.take(), self.current_others.take());
        report.is_some() || others.is_some()
    }

    /// Updates the peak after the requests in flight increased.
    pub fn record_peak(&mut self) {
        self.peaks[0] = self.peaks[0].max(self.own.total() + self.peers.total());
    }

    /// Expires old reports and starts new intervals; `instances` is the number of instances that share the target.
    pub fn refresh(&mut self, settings: &Settings, now: Timestamp, instances: u32) {
        if self.report.as_ref().is_some_and(|it| now.since(it.at) >= settings.report_expiry) {
            self.report = None;
        }
        if now.since(self.peaks_since) >= REPORT_LAG {
            self.peaks = [0, self.peaks[0]];
            self.peaks_since = now;
        }
        self.is_full &= now < self.full_until;
        self.current_others = None;
        let known = self.own.total() + self.peers.total();
        if self.learned.is_trial_due(now, self.info.concurrency, known) {
            self.report = None;
        }
        self.pace.expire(now);
        self.record_peak();
        if now.since(self.window.start) >= HEARTBEAT_INTERVAL || self.window.allowed == 0 {
            let room = self.limit(settings).saturating_sub(self.load() + settings.batch_reserve);
            self.window = GrowthWindow {
                start: now,
                batch_at_start: self.own.batch,
                allowed: (room / instances.max(1)).max(1),
            };
        }
    }

    /// Returns what a tick may change and the index of the targets depends on.
    pub fn timed_state(&self) -> impl PartialEq + use<> {
        let report = self.report.as_ref().map(|it| it.unexplained);
        let window = (self.window.batch_at_start, self.window.allowed);
        let health = (self.health.state(), self.health.is_quiescent());
        (health, report, window, self.is_full, self.pace.gap(), self.current_others)
    }

    /// Returns until when [`Self::refresh`] and the other work of a tick change nothing, if nothing happens to the target.
    pub fn refresh_due(&self, settings: &Settings) -> Timestamp {
        let is_due = self.allowance.is_limited()
            || self.reported_health != self.health.state()
            || self.window.allowed == 0
            || self.pace.is_update_due()
            || self.current_others.is_some()
            || self.learned.reports_full();
        if is_due {
            return Timestamp::ZERO;
        }
        let timed = [
            Some(self.peaks_since + REPORT_LAG),
            Some(self.window.start + HEARTBEAT_INTERVAL),
            self.report.as_ref().map(|it| it.at + settings.report_expiry),
            self.is_full.then_some(self.full_until),
            self.pace.expires_at(),
            self.health.due(settings),
        ];
        timed.into_iter().flatten().min().unwrap_or(Timestamp::ZERO)
    }

    /// Returns the online requests that this instance may have on the target while requests wait at peers.
    ///
    /// Without this limit, an instance would refill each slot that it frees before its peers learn of it, and the service
    /// that an account gets would depend on how many slots its instance happens to hold.
    fn online_share_limit(&self, limit: u32) -> u32 {
        if self.contenders == 0 || !self.local {
            return u32::MAX;
        }
        let others = self.peers.online.saturating_sub(self.contending);
        limit.saturating_sub(others).div_ceil(self.contenders + 1)
    }

    /// Returns the batch requests that this instance may have on the target while batch waits at peers.
    ///
    /// Without this limit, an instance would refill each slot as soon as it frees it, and a peer whose batch work started
    /// later would never get one.
    fn batch_share_limit(&self, limit: u32, reserve: u32) -> u32 {
        if self.batch_contenders == 0 || !self.local {
            return u32::MAX;
        }
        let others = self.own.online
            + self.peers.online
            + self.peers.batch.saturating_sub(self.batch_contending);
        limit.saturating_sub(reserve + others).div_ceil(self.batch_contenders + 1)
    }

    fn batch_reserve(&self, settings: &Settings, large_reserve: bool) -> u32 {
        let large = f64::from(self.info.concurrency) * settings.large_batch_reserve;
        settings.batch_reserve.max(if large_reserve { large as u32 } else { 0 })
    }

    /// Returns the requests that may be in flight at the target before this instance sends it no more.
    pub fn limit(&self, settings: &Settings) -> u32 {
        if self.local || self.replaces_limited || self.current_others.is_some() {
            return self.info.concurrency;
        }
        (f64::from(self.info.concurrency) * settings.spill_limit) as u32
    }
}

impl Need {
    fn class(self) -> Class {
        match self {
            Self::Online => Class::Online,
            Self::Batch { .. } => Class::Batch,
        }
    }
}

impl Counts {
    pub fn total(self) -> u32 {
        self.online + self.batch
    }

    pub fn class_mut(&mut self, class: Class) -> &mut u32 {
        match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        }
    }
}
