//! Tracks the unfinished jobs and their owners, and decides when this daemon claims one.
//!
//! Every daemon that runs items learns of each job, possibly several times: from the daemon that accepted it, from the index
//! and from listings after an outage. The plan makes sure that a job nevertheless usually costs one claim.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jobs::{Discovery, JobId, OpenJob, claim};
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

impl ClaimPlan {
    /// Creates a plan without jobs.
    pub fn new(own_name: Name) -> Self {
        Self {
            own_name,
            open: BTreeMap::new(),
            discoveries: BTreeMap::new(),
            claimed: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            claim_at: BTreeMap::new(),
            claiming: BTreeSet::new(),
            running: BTreeSet::new(),
        }
    }

    /// Adds a job that was handed over, unless it is already claimed.
    pub fn hand_over(&mut self, now: Timestamp, handed_over: HandedOverJob) {
        let id = handed_over.id.clone();
        if self.running.contains(&id) || self.claimed.contains_key(&id) {
            return;
        }
        self.open.insert(id.clone(), handed_over.open.clone());
        self.handed_over.insert(id.clone(), handed_over);
        self.discoveries.entry(id.clone()).or_insert(Discovery { at: now, is_fresh: true });
        // A job is handed over to its preferred owner, which claims it without delay.
        self.claim_at.insert(id, now);
    }

    /// Applies a change of the index; returns the jobs that this daemon runs and that have ended.
    pub fn on_change(
        &mut self,
        now: Timestamp,
        change: IndexChange,
        runners: &BTreeSet<Name>,
    ) -> Vec<JobId> {
        match change {
            IndexChange::Listed { open, claimed } => {
                return self.on_listing(now, open, claimed, runners);
            }
            IndexChange::Opened(id, job) => {
                self.discoveries.entry(id.clone()).or_insert(Discovery { at: now, is_fresh: true });
                if self.open.insert(id.clone(), job).is_none() {
                    self.schedule_claim(now, id, runners);
                }
            }
            IndexChange::Closed(id) => {
                self.open.remove(&id);
                self.claim_at.remove(&id);
                self.handed_over.remove(&id);
                self.discoveries.remove(&id);
                self.claiming.remove(&id);
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
    /// The job should not run if the index reported its end before the outcome of the claim was known, which happens if the
    /// answer to the claim was lost and the outcome had to be read. A job that is missing from a listing may be newer than the
    /// listing; it is claimed again as soon as the index reports it.
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
        runners: &BTreeSet<Name>,
    ) -> Vec<JobId> {
        let discovery = Discovery { at: now, is_fresh: false };
        for id in open.keys() {
            self.discoveries.entry(id.clone()).or_insert(discovery);
        }
        let ended = self.running.iter().filter(|it| !open.contains_key(*it)).cloned().collect();
        self.open = open;
        self.claimed = claimed;
        // A job that was just handed over may be newer than the listing.
        self.handed_over.retain(|it, _| self.claim_at.contains_key(it));
        for (id, handed_over) in &self.handed_over {
            self.open.entry(id.clone()).or_insert_with(|| handed_over.open.clone());
        }
        self.claim_at.retain(|it, _| self.open.contains_key(it));
        self.claiming.retain(|it| self.open.contains_key(it));
        self.discoveries.retain(|it, _| self.open.contains_key(it));
        for id in self.open.keys().cloned().collect::<Vec<_>>() {
            self.schedule_claim(now, id, runners);
        }
        ended
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
