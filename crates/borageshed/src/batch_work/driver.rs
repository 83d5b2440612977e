//! The task that owns the planner and all claimed segments.
//!
//! The driver itself never waits for the store or a target: calls and items run as separate tasks and send it their
//! outcomes.

use std::{collections::BTreeMap, sync::Arc, sync::atomic::Ordering, time::Duration};

use async_std::{future::timeout, task};
use batch::{
    ItemOutcome, JobId, Now, Phase, Planner, PlannerConfig, PlannerEvent, RunId, StoreOutcome,
};
use futures::future::abortable;
use slog::{debug, info};
use stdx::{Name, Timestamp, rng};

use super::{
    Notice,
    claimed_segment::ClaimedSegment,
    executor,
    item::{self, REFUSAL_DELAY},
    lease::{LEASE_TTL, LeaseEvent},
    prepare,
    queue_limits::QueueLimits,
};
use crate::{
    in_force::InForce,
    peers::Peers,
    shared::Shared,
    tasks::{contain, spawn_essential},
};

/// The longest wait for an event, after which timeouts and delays are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// If the items of a claim are all started within this time, the claim was too small.
const SHORT_BACKLOG_TIME: Duration = Duration::from_secs(2);

enum Event {
    Planner { incarnation: u64, outcome: StoreOutcome },
    Runner { segment: u64, outcome: StoreOutcome },
    Item { segment: u64, id: RunId, outcome: ItemOutcome },
    Lease(LeaseEvent),
    Notice(Notice),
    PeerChanged(JobId),
    Wake,
}

/// Drives the batch work of one instance.
pub struct Driver {
    cx: Arc<Shared>,
    peers: Peers,
    restart: async_channel::Sender<()>,
    tx: async_channel::Sender<Event>,
    rx: async_channel::Receiver<Event>,
    wake: async_channel::Receiver<()>,
    planner: Option<Planner>,
    incarnation: u64,
    segments: BTreeMap<u64, ClaimedSegment>,
    next_segment: u64,
    /// The lowest id of a segment that may start the next item; the segments take turns.
    next_to_start: u64,
    queue_limits: QueueLimits,
    /// The number of segments to claim at a time. It doubles while the items of claimed segments are started quickly.
    claim_size: usize,
    claimed_at: Timestamp,
    claim_size_raised_at: Timestamp,
    start_rate: StartRate,
    revision: u64,
}

impl Driver {
    /// Creates a driver; a message on `restart` asks for a new incarnation.
    pub fn new(cx: Arc<Shared>, peers: Peers, restart: async_channel::Sender<()>) -> Self {
        let (tx, rx) = async_channel::unbounded();
        let (wake_tx, wake) = async_channel::bounded(1);
        Self {
            cx,
            peers,
            restart,
            tx,
            rx,
            wake,
            planner: None,
            incarnation: 0,
            segments: BTreeMap::new(),
            next_segment: 0,
            next_to_start: 0,
            queue_limits: QueueLimits::new(wake_tx),
            claim_size: 1,
            claimed_at: Timestamp::ZERO,
            claim_size_raised_at: Timestamp::ZERO,
            start_rate: StartRate::default(),
            revision: 0,
        }
    }

    /// Runs until a drain has released every segment.
    pub async fn run(mut self, lease_events: async_channel::Receiver<LeaseEvent>) {
        self.forward(lease_events, Event::Lease);
        self.forward(self.cx.batch.rx.clone(), Event::Notice);
        self.forward(self.peers.cancellations(), |it| {
            Event::PeerChanged(JobId(Name::from(it.job)))
        });
        self.forward(self.wake.clone(), |()| Event::Wake);
        let mut last_active = self.cx.clock.now();
        loop {
            let event = timeout(TICK_INTERVAL, self.rx.recv()).await;
            let at = self.cx.clock.now();
            if at.since(last_active) >= LEASE_TTL {
                // The process was suspended for so long that other daemons may own its segments.
                info!(self.cx.log, "batch work was paused beyond its lease");
                self.end_incarnation();
                let _ = self.restart.try_send(());
            }
            last_active = at;
            if let Ok(Ok(event)) = event {
                self.handle(event);
            }
            while let Ok(event) = self.rx.try_recv() {
                self.handle(event);
            }
            self.advance();
            if self.cx.draining.is_set() && self.segments.is_empty() {
                break;
            }
        }
        self.planner = None;
        info!(self.cx.log, "batch work stopped");
        self.cx.batch.stopped.set();
    }

    fn forward<T: Send + 'static>(
        &self,
        from: async_channel::Receiver<T>,
        into: impl Fn(T) -> Event + Send + 'static,
    ) {
        let tx = self.tx.clone();
        spawn_essential("events of segments", async move {
            while let Ok(it) = from.recv().await {
                if tx.send(into(it)).await.is_err() {
                    return;
                }
            }
        });
    }

    fn handle(&mut self, event: Event) {
        let now = executor::now(&self.cx);
        match event {
            Event::Planner { incarnation, outcome } => {
                let Some(planner) =
                    self.planner.as_mut().filter(|_| incarnation == self.incarnation)
                else {
                    return;
                };
                let events = planner.on_outcome(now, outcome);
                events.into_iter().for_each(|it| self.on_planner_event(now, it));
            }
            Event::Runner { segment, outcome } => {
                if let Some(segment) = self.segments.get_mut(&segment) {
                    segment.runner.on_outcome(now, outcome);
                }
            }
            Event::Item { segment, id, outcome } => self.on_item(now, segment, id, outcome),
            Event::Lease(LeaseEvent::Acquired(owner)) => {
                self.end_incarnation();
                let interval = self.poll_interval();
                let cfg = PlannerConfig {
                    round_interval: interval,
                    idle_round_interval: interval,
                    // The planner skips a job for this long after a round in which this driver wanted no segments. With a
                    // longer delay, the backlog would run out first.
                    rescan_delay: 2 * interval,
                    ..PlannerConfig::default()
                };
                let seed = self.cx.incarnation ^ self.incarnation;
                self.planner = Some(Planner::new(cfg, owner, rng::seeded(seed)));
                self.revision = 0;
            }
            Event::Lease(LeaseEvent::Ended) => self.end_incarnation(),
            // A peer that gets this message only reads the manifest again, so it serves to announce new jobs as well. Without
            // it, peers would find a new job only at their next read of the index, up to 5 s later.
            Event::Notice(
                Notice::Accepted { account, job } | Notice::Cancelled { account, job },
            ) => {
                self.peers.broadcast_cancelled(&account, &job.0);
                self.on_job_changed(&job);
            }
            Event::PeerChanged(job) => self.on_job_changed(&job),
            Event::Wake => {}
        }
    }

    fn on_planner_event(&mut self, now: Now, event: PlannerEvent) {
        match event {
            PlannerEvent::Claimed(runner) => {
                let id = runner.id();
                info!(self.cx.log, "segment claimed"; "job" => %id.job.0, "segment" => id.n);
                self.claimed_at = now.mono;
                let segment = self.next_segment;
                self.next_segment += 1;
                self.segments.insert(segment, ClaimedSegment::new(*runner, self.incarnation));
            }
            PlannerEvent::JobCancelled(job) => {
                let of_job = self.segments.values_mut().filter(|it| it.runner.id().job == job);
                of_job.for_each(|it| it.runner.cancel(now));
            }
            PlannerEvent::JobEnded(manifest) => {
                info!(self.cx.log, "job ended"; "job" => %manifest.job.0, "counts" => ?manifest.counts);
            }
        }
    }

    fn on_item(&mut self, now: Now, segment: u64, id: RunId, outcome: ItemOutcome) {
        let Some(segment) = self.segments.get_mut(&segment) else { return };
        if segment.items.remove(&id).is_none() {
            return;
        }
        match &outcome {
            ItemOutcome::NotRun => {
                segment.paused_until = now.mono + REFUSAL_DELAY;
                segment.unstarted += 1;
            }
            ItemOutcome::AttemptFailed { .. } | ItemOutcome::Lost { .. } => segment.unstarted += 1,
            _ => {}
        }
        segment.runner.on_item(now, id, outcome);
    }

    fn on_job_changed(&mut self, job: &JobId) {
        if let Some(planner) = &mut self.planner {
            planner.on_job_changed(job);
        }
    }

    /// Abandons everything that was claimed under the current incarnation.
    fn end_incarnation(&mut self) {
        self.planner = None;
        self.incarnation += 1;
        for segment in self.segments.values_mut() {
            segment.runner.abandon();
            segment.stop_cancelled();
        }
    }

    fn advance(&mut self) {
        let now = executor::now(&self.cx);
        let is_draining = self.cx.draining.is_set();
        if is_draining {
            self.segments.values_mut().for_each(|it| it.runner.release(now));
        }
        let in_force = self.cx.in_force.get();
        if let Some(in_force) = &in_force {
            self.update_weights(in_force);
            self.start_items(now, in_force);
        }
        for (id, segment) in &mut self.segments {
            if let Some(action) = segment.runner.poll(now) {
                let (cx, tx, segment) = (Arc::clone(&self.cx), self.tx.clone(), *id);
                spawn_essential("action of a segment", async move {
                    let outcome = executor::perform(&cx, action).await;
                    let _ = tx.send(Event::Runner { segment, outcome }).await;
                });
            }
            segment.stop_cancelled();
        }
        self.drop_finished();
        let max_claims = if is_draining || in_force.is_none() { 0 } else { self.max_claims(now) };
        if let Some(action) = self.planner.as_mut().and_then(|it| it.poll(now, max_claims)) {
            let (cx, tx, incarnation) = (Arc::clone(&self.cx), self.tx.clone(), self.incarnation);
            spawn_essential("action of the planner", async move {
                let outcome = executor::perform(&cx, action).await;
                let _ = tx.send(Event::Planner { incarnation, outcome }).await;
            });
        }
        self.cx.batch.segments.store(self.segments.len(), Ordering::Relaxed);
    }

    /// Starts items of all segments in turn, so that a segment with slow items does not delay the others.
    fn start_items(&mut self, now: Now, in_force: &InForce) {
        let later = self.segments.range(self.next_to_start..).map(|(id, _)| *id);
        let earlier = self.segments.range(..self.next_to_start).map(|(id, _)| *id);
        let mut segments: Vec<u64> = later.chain(earlier).collect();
        while !segments.is_empty() {
            segments.retain(|id| self.start_item(now, *id, in_force));
        }
    }

    /// Starts an item of a segment and returns whether another one may follow.
    fn start_item(&mut self, now: Now, id: u64, in_force: &InForce) -> bool {
        let daemons = self.peers.known_count() + 1;
        let Some(segment) = self.segments.get_mut(&id) else { return false };
        if now.mono < segment.paused_until || segment.runner.phase() != Phase::Active {
            return false;
        }
        let has_room = segment
            .service
            .as_ref()
            .is_none_or(|it| self.queue_limits.has_room(in_force.document(), it, daemons));
        if !has_room {
            segment.is_exhausted = false;
            return false;
        }
        let Some(run) = segment.runner.take_item(now) else {
            segment.is_exhausted = true;
            return false;
        };
        self.next_to_start = id + 1;
        segment.unstarted = segment.unstarted.saturating_sub(1);
        self.start_rate.count += 1;
        // All runs of an item share the prefix of this id, so that the records of targets show how often it ran.
        let segment_id = segment.runner.id();
        let request_id = format!(
            "batch-{}-{}-{}-{}",
            segment_id.job.0,
            segment_id.n,
            run.id.item,
            self.cx.request_id()
        );
        let call = match prepare::item_call(in_force, segment.runner.manifest(), &run, request_id) {
            Ok(call) => call,
            Err(problem) => {
                let reason = problem.document()["detail"].as_str().map(Name::new);
                let reason = reason.unwrap_or_else(|| Name::new("the request is not valid"));
                segment.runner.on_item(now, run.id, ItemOutcome::Failed { reason });
                return true;
            }
        };
        segment.service = Some(call.service.clone());
        let waiting = self.queue_limits.enter(&call.service);
        let (cx, tx, run_id) = (Arc::clone(&self.cx), self.tx.clone(), run.id);
        let (item, handle) = abortable(async move {
            let outcome = contain(&cx.log, &call.request_id, item::run(&cx, &call, waiting)).await;
            // The item may have run before the panic.
            let outcome = outcome
                .unwrap_or_else(|| ItemOutcome::Lost { reason: Name::new("the daemon failed") });
            debug!(cx.log, "item ended"; "request" => &call.request_id, "outcome" => outcome_name(&outcome));
            let _ = tx.send(Event::Item { segment: id, id: run_id, outcome }).await;
        });
        segment.items.insert(run.id, handle);
        task::spawn(item);
        true
    }

    fn drop_finished(&mut self) {
        let finished = self.segments.extract_if(.., |_, it| it.runner.is_finished());
        for (_, segment) in finished {
            let id = segment.runner.id();
            info!(self.cx.log, "segment run ended"; "job" => %id.job.0, "segment" => id.n, "phase" => ?segment.runner.phase());
            if let Some(planner) =
                self.planner.as_mut().filter(|_| segment.incarnation == self.incarnation)
            {
                planner.on_runner_finished(&segment.runner);
            }
        }
    }

    fn poll_interval(&self) -> Duration {
        Duration::from_millis(self.cx.settings.batch.poll_ms)
    }

    /// Returns how many segments to claim; none while the backlog is large enough.
    fn max_claims(&mut self, now: Now) -> usize {
        let room = self.cx.settings.batch.segments.saturating_sub(self.segments.len());
        if self.segments.is_empty() {
            self.claim_size = 1;
        }
        let backlog: usize = self.segments.values().map(ClaimedSegment::backlog).sum();
        // A claim may take two rounds, and the backlog must keep the targets busy that long. Claiming further ahead would
        // keep segments from daemons whose targets have free capacity.
        if backlog > self.start_rate.in_window(now.mono, self.poll_interval() * 2) {
            return 0;
        }
        let is_short = backlog == 0 && now.mono.since(self.claimed_at) < SHORT_BACKLOG_TIME;
        if is_short && !self.segments.is_empty() && self.claimed_at > self.claim_size_raised_at {
            self.claim_size = (self.claim_size * 2).min(self.cx.settings.batch.segments);
            self.claim_size_raised_at = now.mono;
        }
        self.claim_size.min(room)
    }

    fn update_weights(&mut self, in_force: &InForce) {
        let Some(planner) = self.planner.as_mut().filter(|_| self.revision != in_force.number())
        else {
            return;
        };
        self.revision = in_force.number();
        let accounts = in_force.document().accounts.iter();
        planner.set_weights(
            accounts.map(|(id, it)| (Name::from(id.to_string()), it.weight)).collect(),
        );
    }
}

/// Counts the items that were started in the current and the previous window.
#[derive(Debug, Default)]
struct StartRate {
    since: Timestamp,
    count: usize,
    previous: usize,
}

impl StartRate {
    /// Estimates how many items are started in a window of the given length.
    fn in_window(&mut self, now: Timestamp, window: Duration) -> usize {
        if now.since(self.since) >= window {
            self.since = now;
            self.previous = std::mem::take(&mut self.count);
        }
        self.previous.max(self.count)
    }
}

fn outcome_name(outcome: &ItemOutcome) -> &'static str {
    match outcome {
        ItemOutcome::Done { .. } => "done",
        ItemOutcome::Rejected { .. } => "rejected",
        ItemOutcome::Failed { .. } => "failed",
        ItemOutcome::AttemptFailed { .. } => "attempt_failed",
        ItemOutcome::Lost { .. } => "lost",
        ItemOutcome::Yielded => "yielded",
        ItemOutcome::NotRun => "not_run",
    }
}
