//! Stores results and partial outputs of the jobs that a worker runs.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use async_std::task;
use jobs::{JobId, Settled, checkpoint::CHECKPOINT_INTERVAL};
use kv_store::{CommitOutcome, Entry};
use slog::{debug, info};
use stdx::Timestamp;

use super::{
    super::group::{self, ClaimedId, Group, JobOutcome},
    Event, Worker,
};
use crate::tasks::{EndNotice, contain};

/// The most transactions that store results at once. Later results are gathered meanwhile; a second transaction goes past one whose
/// answer is late.
const MAX_COMMITS_IN_FLIGHT: usize = 2;

impl Worker {
    /// Stores results and partial outputs that are due.
    pub(super) fn commit(&mut self, now: Timestamp) {
        while self.commits_in_flight < MAX_COMMITS_IN_FLIGHT {
            let awaited = self.readers.awaited_jobs();
            let Some(group) = group::next(&mut self.own_jobs, &awaited, now) else { return };
            self.commits_in_flight += 1;
            let Group { transaction, jobs } = group;
            let cx = Arc::clone(&self.cx);
            let unknown =
                Event::Committed { jobs: jobs.clone(), outcome: Ok(CommitOutcome::Unknown) };
            let end = EndNotice::new(self.events.clone(), unknown);
            task::spawn(async move {
                let commit = cx.store.commit(&transaction);
                if let Some(outcome) = contain(&cx.log, "results of jobs", commit).await {
                    end.send(Event::Committed { jobs, outcome });
                }
            });
        }
    }

    /// Stores all results and partial outputs that are not stored, so that the next owners of the jobs continue there.
    pub(super) async fn store_all(&mut self) {
        // All that waits for further results is due by then.
        let due_by = self.cx.clock.now() + CHECKPOINT_INTERVAL;
        while let Some(group) = group::next(&mut self.own_jobs, &BTreeSet::new(), due_by) {
            match self.cx.store.commit(&group.transaction).await {
                Ok(CommitOutcome::Won(_)) => {}
                outcome => {
                    let jobs = group.jobs.len();
                    info!(self.cx.log, "results not stored"; "jobs" => jobs, "outcome" => ?outcome);
                    return;
                }
            }
        }
    }

    pub(super) fn on_committed(
        &mut self,
        jobs: Vec<ClaimedId>,
        outcome: kv_store::Result<CommitOutcome>,
    ) {
        self.commits_in_flight -= 1;
        let now = self.cx.clock.now();
        let is_current =
            |it: &ClaimedId| self.own_jobs.get(&it.id).is_some_and(|job| job.claim == it.claim);
        let is_shared = jobs.len() > 1;
        let jobs: Vec<ClaimedId> = jobs.into_iter().filter(is_current).collect();
        match outcome {
            Ok(CommitOutcome::Won(revision)) => {
                for ClaimedId { id, .. } in jobs {
                    let Some(job) = self.own_jobs.get_mut(&id) else { continue };
                    let has_results = !job.run.is_storing_checkpoint();
                    job.run.on_committed(revision);
                    job.is_alone = false;
                    if has_results {
                        self.on_results_stored(&id);
                    }
                }
            }
            Ok(CommitOutcome::Lost(entries)) => {
                let outcomes = group::judge_lost(&jobs, is_shared, &self.own_jobs, &entries);
                for (ClaimedId { id, .. }, outcome) in jobs.into_iter().zip(outcomes) {
                    if outcome == JobOutcome::Changed {
                        self.drop_and_reclaim(&id, "the job was changed by another");
                    } else if let Some(job) = self.own_jobs.get_mut(&id) {
                        job.run.on_not_committed();
                        job.is_alone = outcome == JobOutcome::HeldByUnknown;
                    }
                }
            }
            Ok(CommitOutcome::Unknown) => self.settle_later(jobs, now),
            Err(e) => {
                debug!(self.cx.log, "results not stored"; "jobs" => jobs.len(), "error" => %e);
                let is_alone = is_shared && group::is_refusal(&e);
                for ClaimedId { id, .. } in jobs {
                    let Some(job) = self.own_jobs.get_mut(&id) else { continue };
                    job.on_commit_failed(now);
                    job.is_alone |= is_alone;
                }
            }
        }
    }

    fn on_results_stored(&mut self, id: &JobId) {
        let Some(job) = self.own_jobs.get(id) else { return };
        let (listed, total) = (job.run.record().listed.len(), job.run.record().total);
        info!(self.cx.log, "results stored"; "job" => id.as_str(), "listed" => listed, "items" => total);
        if job.run.is_ended() {
            self.readers.keep_ended(job.run.clone());
            self.own_jobs.remove(id);
            self.plan.mark_stopped(id);
        }
    }

    /// Reads what is stored of each job after a transaction of unknown outcome. The items go on meanwhile.
    fn settle_later(&mut self, jobs: Vec<ClaimedId>, now: Timestamp) {
        let mut unsettled = Vec::new();
        for job in jobs {
            let Some(own) = self.own_jobs.get_mut(&job.id) else { continue };
            match own.run.is_storing_checkpoint() {
                true => own.on_commit_failed(now),
                false => unsettled.push(job),
            }
        }
        if unsettled.is_empty() {
            return;
        }
        debug!(self.cx.log, "it is not known whether results were stored"; "jobs" => unsettled.len());
        let cx = Arc::clone(&self.cx);
        // If the task panics, the jobs are read again as a whole.
        let notice = |job: &ClaimedId| {
            let unread = Event::ProgressRead { job: job.clone(), entries: Vec::new() };
            EndNotice::new(self.events.clone(), unread)
        };
        let mut notices: VecDeque<_> = unsettled.iter().map(notice).collect();
        task::spawn(async move {
            let report = |job, entries| {
                if let Some(notice) = notices.pop_front() {
                    notice.send(Event::ProgressRead { job, entries });
                }
            };
            let read = group::read_progress(&cx, unsettled, report);
            contain(&cx.log, "stored results of jobs", read).await;
        });
    }

    pub(super) fn on_progress_read(&mut self, job: &ClaimedId, entries: &[Entry]) {
        let has_other_owner = self.plan.other_owner(&job.id).is_some();
        let Some(own) = self.own_jobs.get_mut(&job.id).filter(|it| it.claim == job.claim) else {
            return;
        };
        match own.run.settle(entries) {
            Settled::Stored if !has_other_owner => self.on_results_stored(&job.id),
            Settled::NotStored if !has_other_owner => {}
            Settled::Stored | Settled::NotStored | Settled::Changed => {
                self.drop_and_reclaim(&job.id, "it is not known whether results were stored");
            }
        }
    }
}
