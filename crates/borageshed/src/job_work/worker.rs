//! The task that claims jobs, starts their items and stores their results.

mod storing;

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_std::{future, task};
use futures::future::{Either, abortable, select};
use jobs::{ItemEnd, JobId, order::RunTimeEstimator};
use kv_store::{CommitOutcome, Entry, LeaseId};
use slog::{debug, info, warn};
use stdx::Timestamp;

use super::{
    call::item_call,
    claim_plan::{ClaimPlan, DueClaim},
    claiming::{self, ClaimOutcome, ClaimedJob, HandedOverJob},
    group::ClaimedId,
    index::{self, IndexChange},
    item::{self, DispatchTerms, SharedOutput},
    lease::LeaseEvent,
    own_job::{InterruptedItem, OwnJob, RunningItem},
    readers::{ClaimProspect, LocalJobState, Question, Readers},
};
use crate::{
    peers::Peers,
    shared::Shared,
    tasks::{EndNotice, contain, spawn_essential},
};

/// How often due claims, uncommitted results and late items are checked if no event occurs.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The most items that wait in the dispatcher at once. The others stay with the worker, so that the most urgent one can be
/// selected when a waiting item is placed.
const MAX_WAITING_ITEMS: usize = 4;
/// The most items that run or wait in the dispatcher at once, which bounds the memory for their output.
const MAX_STARTED_ITEMS: usize = 96;
/// How long a daemon that drains or retires may take to store the results and partial outputs that are not stored.
const MAX_LAST_COMMIT_TIME: Duration = Duration::from_millis(500);
/// How long an item leaves the large reserve of slots free if all waiting items have slack.
const LARGE_RESERVE_TIME: Duration = Duration::from_secs(2);
/// The least number of concurrent items that is assumed when the worker estimates whether all waiting items have slack.
const MIN_ASSUMED_SLOTS: usize = 8;

enum Event {
    Index(IndexChange),
    Lease(LeaseEvent),
    Claimed { id: JobId, lease: LeaseId, outcome: ClaimOutcome },
    NotClaimed { id: JobId },
    ItemPlaced,
    ItemEnded { id: JobId, claim: u64, index: usize, ended: Box<item::RunResult> },
    Committed { jobs: Vec<ClaimedId>, outcome: kv_store::Result<CommitOutcome> },
    ProgressRead { job: ClaimedId, entries: Vec<Entry> },
    Question(Question),
    HandedOver(Box<HandedOverJob>),
    Tick,
}

struct Worker {
    cx: Arc<Shared>,
    events: async_channel::Sender<Event>,
    peers: Peers,
    lease: Option<LeaseId>,
    /// Until when the lease is guaranteed to hold.
    lease_holds_until: Timestamp,
    readers: Readers,
    plan: ClaimPlan,
    own_jobs: HashMap<JobId, OwnJob>,
    /// The number of claims so far. It identifies a claim, so that events of an earlier claim of the same job are ignored.
    claim_count: u64,
    waiting_items: usize,
    commits_in_flight: usize,
    run_times: RunTimeEstimator,
    /// Whether all waiting items had slack at the last tick.
    has_slack: bool,
}

/// Runs jobs until the daemon drains or retires; then revokes the lease, which ends the claims.
pub async fn run(cx: Arc<Shared>, peers: Peers, leases: async_channel::Receiver<LeaseEvent>) {
    let (events, inbox) = async_channel::unbounded();
    let tx = events.clone();
    // Sending fails once the worker has ended.
    let on_change = move |change| tx.try_send(Event::Index(change)).is_ok();
    spawn_essential("index of jobs", index::follow(Arc::clone(&cx), on_change));
    let tx = events.clone();
    spawn_essential("lease events of jobs", async move {
        while let Ok(event) = leases.recv().await {
            // The worker may have ended.
            let _ = tx.try_send(Event::Lease(event));
        }
    });
    let (tx, questions) = (events.clone(), peers.job_questions());
    spawn_essential("questions about jobs", async move {
        while let Ok(question) = questions.recv().await {
            // The worker may have ended.
            let _ = tx.try_send(Event::Question(question));
        }
    });
    let (log, tx, jobs) = (cx.log.clone(), events.clone(), peers.accepted_jobs());
    spawn_essential("jobs handed over", async move {
        while let Ok(job) = jobs.recv().await {
            match HandedOverJob::decode(&job) {
                // The worker may have ended.
                Ok(handed_over) => drop(tx.try_send(Event::HandedOver(Box::new(handed_over)))),
                Err(e) => {
                    warn!(log, "cannot decode a job that was handed over"; "job" => job.job, "error" => %e)
                }
            }
        }
    });
    let plan = ClaimPlan::new(cx.settings.instance.clone());
    let mut worker = Worker {
        cx,
        events,
        peers,
        lease: None,
        lease_holds_until: Timestamp::ZERO,
        readers: Readers::default(),
        plan,
        own_jobs: HashMap::new(),
        claim_count: 0,
        waiting_items: 0,
        commits_in_flight: 0,
        run_times: RunTimeEstimator::default(),
        has_slack: true,
    };
    while !worker.cx.draining.is_set() && !worker.cx.retiring.is_set() {
        let tick = Box::pin(task::sleep(TICK_INTERVAL));
        let event = match select(Box::pin(inbox.recv()), tick).await {
            Either::Left((Ok(event), _)) => event,
            Either::Left((Err(_), _)) => return,
            Either::Right(_) => Event::Tick,
        };
        worker.handle(event);
        while let Ok(event) = inbox.try_recv() {
            worker.handle(event);
        }
        worker.advance();
    }
    if future::timeout(MAX_LAST_COMMIT_TIME, worker.store_all()).await.is_err() {
        info!(worker.cx.log, "results not stored"; "error" => "the store did not answer in time");
    }
    // Without the lease, other daemons can take over the jobs at once.
    let cx = Arc::clone(&worker.cx);
    if let Some(lease) = worker.lease
        && let Err(e) = cx.store.lease_revoke(lease).await
    {
        debug!(cx.log, "lease not revoked; it expires after its time to live"; "error" => %e);
    }
    cx.claims_released.set();
}

impl Worker {
    fn handle(&mut self, event: Event) {
        match event {
            Event::Index(change) => self.on_index(change),
            Event::Lease(LeaseEvent::Granted(lease)) => self.lease = Some(lease),
            Event::Lease(LeaseEvent::HoldsUntil(until)) => self.lease_holds_until = until,
            Event::Lease(LeaseEvent::Lost) => {
                self.lease = None;
                let given_up: Vec<JobId> = self.own_jobs.keys().cloned().collect();
                given_up.into_iter().for_each(|it| self.drop_and_reclaim(&it, "lease lost"));
            }
            Event::Claimed { id, lease, outcome } => self.on_claimed(id, lease, outcome),
            Event::NotClaimed { id } => {
                self.plan.finish_claim_call(&id);
                self.plan.retry(self.cx.clock.now(), &id);
            }
            Event::ItemPlaced => self.waiting_items = self.waiting_items.saturating_sub(1),
            Event::ItemEnded { id, claim, index, ended } => {
                self.on_item_ended(&id, claim, index, *ended)
            }
            Event::Committed { jobs, outcome } => self.on_committed(jobs, outcome),
            Event::ProgressRead { job, entries } => self.on_progress_read(&job, &entries),
            Event::HandedOver(handed_over) => self.on_handed_over(*handed_over),
            Event::Question(question) => self.readers.ask(self.cx.clock.now(), question),
            Event::Tick => self.has_slack = self.waiting_items_have_slack(self.cx.clock.now()),
        }
    }

    /// Returns whether all waiting items are expected to end well before they are due.
    fn waiting_items_have_slack(&self, now: Timestamp) -> bool {
        let waiting =
            self.own_jobs.values().flat_map(|job| job.run.waiting().map(move |it| (job, it)));
        let mut items: Vec<_> = waiting.map(|(job, index)| job.candidate(index)).collect();
        items.sort_unstable_by_key(|it| it.due_at);
        let slots = self.started_items().saturating_sub(self.waiting_items).max(MIN_ASSUMED_SLOTS);
        self.run_times.has_slack(items, slots, now)
    }

    fn on_handed_over(&mut self, handed_over: HandedOverJob) {
        let (id, revision) = (handed_over.id.clone(), handed_over.revision);
        let outcome = self.plan.hand_over(self.cx.clock.now(), handed_over);
        debug!(
            self.cx.log, "job handed over to this daemon";
            "job" => id.as_str(), "revision" => revision.0, "outcome" => ?outcome
        );
    }

    fn on_index(&mut self, change: IndexChange) {
        let runners = self.cx.item_runners();
        for id in self.plan.on_change(self.cx.clock.now(), change, &runners) {
            // If this daemon stored the end itself, the outcome of that transaction removes the job.
            if self.own_jobs.get(&id).is_some_and(|it| !it.run.is_ended()) {
                self.drop_job(&id, "job ended");
            }
        }
    }

    fn advance(&mut self) {
        let now = self.cx.clock.now();
        self.claim_due_jobs(now);
        for job in self.own_jobs.values_mut() {
            job.run.give_up_late(now);
        }
        self.start_items(now);
        // Callers whose questions can be answered wait for no further result.
        self.answer_readers(now);
        self.commit(now);
    }

    /// Answers the questions of other daemons that can be answered now.
    fn answer_readers(&mut self, now: Timestamp) {
        if !self.readers.has_waiting() {
            return;
        }
        let is_lease_held = now < self.lease_holds_until;
        let (own, plan) = (&self.own_jobs, &self.plan);
        let replies = self.readers.answer(now, |id| {
            let owner = plan.other_owner(id);
            LocalJobState {
                owned: own.get(id).filter(|_| is_lease_held).map(|it| &it.run),
                owner,
                prospect: match owner {
                    Some(_) => ClaimProspect::Remote,
                    None if plan.is_open(id) => ClaimProspect::Due,
                    None if is_lease_held => ClaimProspect::Unknown,
                    None => ClaimProspect::Remote,
                },
            }
        });
        for reply in replies {
            self.peers.answer_about_job(&reply.to, reply.answer);
        }
    }

    fn claim_due_jobs(&mut self, now: Timestamp) {
        let Some(lease) = self.lease else { return };
        for DueClaim { id, route, handed_over, discovery } in self.plan.take_due(now) {
            let cx = Arc::clone(&self.cx);
            let end = EndNotice::new(self.events.clone(), Event::NotClaimed { id: id.clone() });
            task::spawn(async move {
                let claim = async {
                    match handed_over {
                        Some(handed_over) => {
                            claiming::claim_handed_over(&cx, lease, handed_over, discovery).await
                        }
                        None => claiming::claim(&cx, &id, lease, route, discovery).await,
                    }
                };
                let Some(outcome) = contain(&cx.log, id.as_str(), claim).await else { return };
                match outcome {
                    Ok(outcome) => end.send(Event::Claimed { id, lease, outcome }),
                    Err(e) => {
                        debug!(cx.log, "job not claimed"; "job" => id.as_str(), "error" => %e);
                    }
                }
            });
        }
    }

    fn on_claimed(&mut self, id: JobId, lease: LeaseId, outcome: ClaimOutcome) {
        let is_wanted = self.plan.finish_claim_call(&id);
        let now = self.cx.clock.now();
        let claimed = match outcome {
            ClaimOutcome::Claimed(claimed) => claimed,
            ClaimOutcome::ClaimedElsewhere => {
                debug!(self.cx.log, "job is claimed by another daemon"; "job" => id.as_str());
                self.plan.on_claimed_elsewhere(now, &id);
                return;
            }
            ClaimOutcome::Ended => {
                debug!(self.cx.log, "job to claim has ended"; "job" => id.as_str());
                self.plan.close(&id);
                return;
            }
        };
        if !is_wanted {
            info!(self.cx.log, "job ended while it was claimed"; "job" => id.as_str());
            return;
        }
        if self.lease != Some(lease) || self.own_jobs.contains_key(&id) {
            info!(self.cx.log, "job claimed under an earlier lease or twice"; "job" => id.as_str(), "lease" => lease.0);
            self.plan.retry(now, &id);
            return;
        }
        self.claim_count += 1;
        let ClaimedJob { run, checkpoint } = *claimed;
        info!(
            self.cx.log, "job claimed";
            "job" => id.as_str(), "items" => run.record().total, "listed" => run.record().listed.len(),
            "continued" => checkpoint.items.len()
        );
        let job = OwnJob::new(self.claim_count, run, checkpoint, now);
        self.plan.mark_running(id.clone());
        self.own_jobs.insert(id, job);
    }

    fn drop_job(&mut self, id: &JobId, reason: &'static str) {
        self.plan.mark_stopped(id);
        if self.own_jobs.remove(id).is_some() {
            info!(self.cx.log, "job given up here"; "job" => id.as_str(), "reason" => reason);
        }
    }

    fn on_item_ended(&mut self, id: &JobId, claim: u64, index: usize, ended: item::RunResult) {
        let Some(job) = self.own_jobs.get_mut(id).filter(|it| it.claim == claim) else { return };
        job.items.remove(&index);
        let ran_for = ended.ran_for + job.interrupted.remove(&index).unwrap_or_default().ran_for;
        match ended.end {
            ItemEnd::Completed { .. } => {
                let (tokens, events) = (job.run.item(index).tokens, ended.output.event_count());
                self.run_times.record(tokens, events, ran_for);
            }
            ItemEnd::Interrupted => {
                let retry_at = self.cx.clock.now() + ended.retry_delay;
                job.interrupted
                    .insert(index, InterruptedItem { output: ended.output, ran_for, retry_at });
            }
            ItemEnd::Impossible | ItemEnd::Failed => {}
        }
        job.run.on_end(index, ended.end, self.cx.clock.now());
    }

    /// Returns the number of items that run or wait in the dispatcher.
    fn started_items(&self) -> usize {
        self.own_jobs.values().map(|it| it.items.len()).sum()
    }

    /// Starts the most urgent items, up to the limits on waiting and started items.
    fn start_items(&mut self, now: Timestamp) {
        loop {
            if self.waiting_items >= MAX_WAITING_ITEMS || self.started_items() >= MAX_STARTED_ITEMS
            {
                return;
            }
            let Some((id, index)) = self.most_urgent(now) else { return };
            self.start_item(&id, index);
        }
    }

    fn most_urgent(&self, now: Timestamp) -> Option<(JobId, usize)> {
        let waiting = self.own_jobs.values().flat_map(|job| {
            let ready = job.run.waiting().filter(|it| {
                job.interrupted.get(it).is_none_or(|interrupted| interrupted.retry_at <= now)
            });
            ready.map(move |index| (job, index))
        });
        let rank =
            |(job, index): &(&OwnJob, usize)| self.run_times.rank(&job.candidate(*index), now);
        waiting.min_by_key(rank).map(|(job, index)| (job.run.id().clone(), index))
    }

    fn start_item(&mut self, id: &JobId, index: usize) {
        let Some(job) = self.own_jobs.get_mut(id) else { return };
        job.run.start_item(index);
        let interrupted = job.interrupted.get_mut(&index);
        let output = SharedOutput::new(
            interrupted.map(|it| std::mem::take(&mut it.output)).unwrap_or_default(),
        );
        let call = item_call(&self.cx, &job.run, job.run.item(index));
        let (cx, events, id) = (Arc::clone(&self.cx), self.events.clone(), id.clone());
        let claim = job.claim;
        let terms = DispatchTerms {
            large_reserve_time: if self.has_slack { LARGE_RESERVE_TIME } else { Duration::ZERO },
        };
        let placement_tx = events.clone();
        let ended = Box::new(item::RunResult::panicked());
        let end = EndNotice::new(events, Event::ItemEnded { id: id.clone(), claim, index, ended });
        // Created outside the task, so that the notice is also sent if the task is aborted before its first poll.
        let mut placement = PlacementNotice { events: placement_tx, is_sent: false };
        let item_output = output.clone();
        let (run, handle) = abortable(async move {
            let run = item::run(&cx, &call, terms, item_output, || placement.send());
            let ended = contain(&cx.log, &call.request_id, run).await;
            drop(placement);
            if let Some(ended) = ended {
                end.send(Event::ItemEnded { id, claim, index, ended: Box::new(ended) });
            }
        });
        job.items.insert(index, RunningItem { handle, output });
        self.waiting_items += 1;
        task::spawn(run);
    }

    /// Stops running a job whose record or claim has changed or may have changed, and schedules another claim, which reads the
    /// job.
    ///
    /// The stored claim is kept: its removal could fail in the same outage that hid the outcome of the transaction, and the job
    /// would then stay claimed without being run.
    fn drop_and_reclaim(&mut self, id: &JobId, reason: &'static str) {
        self.drop_job(id, reason);
        self.plan.retry(self.cx.clock.now(), id);
    }
}

/// Notifies the worker once that an item no longer waits in the dispatcher: when the item is placed, or else when its run ends
/// or is aborted.
struct PlacementNotice {
    events: async_channel::Sender<Event>,
    is_sent: bool,
}

impl PlacementNotice {
    fn send(&mut self) {
        if !std::mem::replace(&mut self.is_sent, true) {
            // The worker may have ended.
            let _ = self.events.try_send(Event::ItemPlaced);
        }
    }
}

impl Drop for PlacementNotice {
    fn drop(&mut self) {
        self.send();
    }
}
