//! Tracks the unfinished jobs and their owners, and decides when this daemon claims one.
//!
//! Every daemon that runs items learns of each job, possibly several times: from the daemon that accepted it, from the index
//! and from listings after an outage. The plan makes sure that a job nevertheless usually costs one claim.
//!
//! A job can be known from a daemon that handed it over while its end is known from the index alone. The plan therefore compares
//! revisions: a job that was open at a revision has ended if the index, complete to that revision or a later one, lacks it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jobs::{Discovery, JobId, OpenJob, claim};
use kv_store::Revision;
use stdx::{Name, Timestamp};

use super::{claiming::HandedOverJob, index::IndexChange};

/// How long the claim of a job from the index is delayed, so that the daemon that accepted the job can hand it over first.
/// A job that was handed over need not be read from the store.
const HAND_OVER_GRACE: Duration = Duration::from_millis(60);
/// The delay before a failed claim is tried again.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(500);

/// When a job is claimed again that another daemon had claimed, although the index has not reported that claim. It is longer than
/// the index usually takes to report a claim.
const UNREPORTED_CLAIM_DELAY: Duration = Duration::from_secs(3);

/// The unfinished jobs that this daemon knows and the times of its claims.
#[derive(Debug)]
pub struct ClaimPlan {
    own_name: Name,
    open: BTreeMap<JobId, OpenJob>,
    /// The jobs in `open` that were handed over and that the index has not shown, with a revision at which they were open.
    unlisted: BTreeMap<JobId, Revision>,
    /// The revision up to which all changes of the index have been reported.
    complete_to: Revision,
    /// When and how the unfinished jobs were discovered.
    discoveries: BTreeMap<JobId, Discovery>,
    /// The claimed jobs and their owners.
    claimed: BTreeMap<JobId, Name>,
    /// The jobs that were handed over to this daemon and whose claim has not been sent yet.
    handed_over: BTreeMap<JobId, HandedOverJob>,
    /// When this daemon claims a job.
    claim_at: BTreeMap<JobId, Timestamp>,
    /// The jobs whose claim is in progress; a job that ends meanwhile is removed.
    claiming: BTreeSet<JobId>,
    /// The jobs that this daemon runs.
    running: BTreeSet<JobId>,
}

/// A job whose claim is due.
#[derive(Debug)]
pub struct DueClaim {
    /// The id of the job.
    pub id: JobId,
    /// The name of the route on which the job was submitted.
    pub route: Name,
    /// The contents of the job, if it was handed over.
    pub handed_over: Option<HandedOverJob>,
    /// When and how the job was discovered.
    pub discovery: Discovery,
}

/// What became of a job that was handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandOver {
    /// The job is unfinished and will be claimed.
    Added,
    /// This daemon runs the job, or the index names its owner.
    AlreadyClaimed,
    /// The index shows that the job has ended.
    AlreadyEnded,
}

impl ClaimPlan {
    /// Creates a plan without jobs.
    pub fn new(own_name: Name) -> Self {
        Self {
            own_name,
            open: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            complete_to: Revision(0),
            discoveries: BTreeMap::new(),
            claimed: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            claim_at: BTreeMap::new(),
            claiming: BTreeSet::new(),
            running: BTreeSet::new(),
        }
    }

    /// Adds a job that was handed over, unless it is already claimed or has ended.
    pub fn hand_over(&mut self, now: Timestamp, handed_over: HandedOverJob) -> HandOver {
        let id = handed_over.id.clone();
        if self.running.contains(&id) || self.claimed.contains_key(&id) {
            return HandOver::AlreadyClaimed;
        }
        if !self.open.contains_key(&id) {
            if handed_over.revision <= self.complete_to {
                return HandOver::AlreadyEnded;
            }
            self.unlisted.insert(id.clone(), handed_over.revision);
        }
        self.open.insert(id.clone(), handed_over.open.clone());
        self.handed_over.insert(id.clone(), handed_over);
        self.discoveries.entry(id.clone()).or_insert(Discovery { at: now, is_fresh: true });
        // A job is handed over to its preferred owner, which claims it without delay.
        self.claim_at.insert(id, now);
        HandOver::Added
    }

    /// Applies a change of the index; returns the jobs that this daemon runs and that have ended.
    pub fn on_change(
        &mut self,
        now: Timestamp,
        change: IndexChange,
        runners: &BTreeSet<Name>,
    ) -> Vec<JobId> {
        match change {
            IndexChange::Listed { open, claimed, revision } => {
                return self.on_listing(now, open, claimed, revision, runners);
            }
            IndexChange::CompleteTo(revision) => return self.on_complete_to(revision),
            IndexChange::Opened(id, job) => {
                self.unlisted.remove(&id);
                self.discoveries.entry(id.clone()).or_insert(Discovery { at: now, is_fresh: true });
                if self.open.insert(id.clone(), job).is_none() {
                    self.schedule_claim(now, id, runners);
                }
            }
            IndexChange::Closed(id) => {
                self.close(&id);
                return if self.running.contains(&id) { vec![id] } else { Vec::new() };
            }
            IndexChange::Claimed(id, owner) => {
                // If this daemon holds the claim but could not read the job, the planned retry must stay.
                if owner != self.own_name {
                    self.claim_at.remove(&id);
                }
                self.claimed.insert(id, owner);
            }
            IndexChange::ClaimEnded(id) => {
                self.claimed.remove(&id);
                self.schedule_claim(now, id, runners);
            }
        }
        Vec::new()
    }

    /// Records that a job has ended, whatever the index has reported.
    pub fn close(&mut self, id: &JobId) {
        self.open.remove(id);
        self.unlisted.remove(id);
        self.claim_at.remove(id);
        self.handed_over.remove(id);
        self.discoveries.remove(id);
        self.claiming.remove(id);
    }

    /// Removes and returns the jobs whose claim is due.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<DueClaim> {
        let due: Vec<JobId> =
            self.claim_at.extract_if(.., |_, at| *at <= now).map(|it| it.0).collect();
        let mut jobs = Vec::new();
        for id in due {
            let Some(route) = self.open.get(&id).map(|it| it.route.clone()) else { continue };
            let handed_over = self.handed_over.remove(&id);
            let discovery = Discovery { at: now, is_fresh: false };
            let discovery = self.discoveries.get(&id).copied().unwrap_or(discovery);
            self.claiming.insert(id.clone());
            jobs.push(DueClaim { id, route, handed_over, discovery });
        }
        jobs
    }

    /// Records that a claim is no longer in progress; returns whether a job that was claimed should be run.
    ///
    /// The job should not run if its end was reported before the outcome of the claim was known, which happens if the answer to
    /// the claim was lost and the outcome had to be read.
    pub fn finish_claim_call(&mut self, id: &JobId) -> bool {
        self.claiming.remove(id)
    }

    /// Records that this daemon runs a job.
    pub fn mark_running(&mut self, id: JobId) {
        self.running.insert(id);
    }

    /// Records that this daemon no longer runs a job.
    pub fn mark_stopped(&mut self, id: &JobId) {
        self.running.remove(id);
    }

    /// Schedules another claim of an unfinished job after a delay, unless this daemon runs it.
    ///
    /// Ignores whether the index lists the job as claimed, since that may be an earlier claim of this daemon.
    pub fn retry(&mut self, now: Timestamp, id: &JobId) {
        if self.open.contains_key(id) && !self.running.contains(id) {
            self.claim_at.insert(id.clone(), now + CLAIM_RETRY_DELAY);
        }
    }

    /// Records that a claim found the job claimed by another daemon.
    ///
    /// The index reports the end of that claim only if it has reported its start. If it missed both, for example during an
    /// outage, nobody would claim the job, so it is claimed again after a delay unless the index reports the other claim.
    pub fn on_claimed_elsewhere(&mut self, now: Timestamp, id: &JobId) {
        let is_reported = self.other_owner(id).is_some();
        if !is_reported && self.open.contains_key(id) && !self.running.contains(id) {
            self.claim_at.entry(id.clone()).or_insert(now + UNREPORTED_CLAIM_DELAY);
        }
    }

    /// Returns whether the job is known to be unfinished.
    pub fn is_open(&self, id: &JobId) -> bool {
        self.open.contains_key(id)
    }

    /// Returns the other daemon that has claimed the job.
    pub fn other_owner(&self, id: &JobId) -> Option<&Name> {
        self.claimed.get(id).filter(|it| **it != self.own_name)
    }

    fn on_listing(
        &mut self,
        now: Timestamp,
        open: BTreeMap<JobId, OpenJob>,
        claimed: BTreeMap<JobId, Name>,
        revision: Revision,
        runners: &BTreeSet<Name>,
    ) -> Vec<JobId> {
        let discovery = Discovery { at: now, is_fresh: false };
        for id in open.keys() {
            self.discoveries.entry(id.clone()).or_insert(discovery);
        }
        self.complete_to = self.complete_to.max(revision);
        // What the listing lacks has ended, unless it was open later than the listing.
        self.unlisted.retain(|id, open_at| !open.contains_key(id) && *open_at > self.complete_to);
        let known = std::mem::replace(&mut self.open, open);
        self.open.extend(known.into_iter().filter(|it| self.unlisted.contains_key(&it.0)));
        self.claimed = claimed;
        self.claim_at.retain(|it, _| self.open.contains_key(it));
        self.handed_over.retain(|it, _| self.claim_at.contains_key(it));
        self.claiming.retain(|it| self.open.contains_key(it));
        self.discoveries.retain(|it, _| self.open.contains_key(it));
        // The outcome of a claim in progress decides whether there is another one.
        let unclaimed = self.open.keys().filter(|it| !self.claiming.contains(*it));
        for id in unclaimed.cloned().collect::<Vec<_>>() {
            self.schedule_claim(now, id, runners);
        }
        self.running.iter().filter(|it| !self.open.contains_key(*it)).cloned().collect()
    }

    /// Closes the jobs that the index, complete to a revision, should have shown; returns those that this daemon runs.
    fn on_complete_to(&mut self, revision: Revision) -> Vec<JobId> {
        self.complete_to = self.complete_to.max(revision);
        let ended = self.unlisted.extract_if(.., |_, open_at| *open_at <= self.complete_to);
        let ended: Vec<JobId> = ended.map(|it| it.0).collect();
        ended.iter().for_each(|it| self.close(it));
        ended.into_iter().filter(|it| self.running.contains(it)).collect()
    }

    fn schedule_claim(&mut self, now: Timestamp, id: JobId, runners: &BTreeSet<Name>) {
        let is_free = self.open.contains_key(&id)
            // A job that this daemon has claimed but does not run is claimed again.
            && self.other_owner(&id).is_none()
            && !self.running.contains(&id)
            && !self.claim_at.contains_key(&id);
        if is_free {
            // Other daemons do not claim a job while it is listed under this daemon's name.
            let delay = match self.claimed.contains_key(&id) {
                true => Duration::ZERO,
                false => HAND_OVER_GRACE + claim::delay(&id, &self.own_name, runners),
            };
            self.claim_at.insert(id, now + delay);
        }
    }
}
