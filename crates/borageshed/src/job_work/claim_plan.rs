//! Which jobs are unfinished, who runs them and when this daemon claims one.
//!
//! The load that this answers: each job is heard of by every daemon that runs items, from whoever accepted it, from the index
//! and again from listings after an outage; it is to cost one claim.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jobs::{Discovery, JobId, OpenJob, claim};
use stdx::{Name, Timestamp};

use super::{claiming::HandedOverJob, index::IndexChange};

/// How long a job that the index tells of is left for whoever accepted it to hand it over, which spares reading it.
const HAND_OVER_GRACE: Duration = Duration::from_millis(60);
/// The pause before a claim is tried again that failed.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What a daemon knows of the unfinished jobs.
#[derive(Debug)]
pub struct ClaimPlan {
    own_name: Name,
    open: BTreeMap<JobId, OpenJob>,
    /// How the unfinished jobs were heard of.
    discoveries: BTreeMap<JobId, Discovery>,
    /// The jobs that are claimed, with the instance that did.
    claimed: BTreeMap<JobId, Name>,
    /// The jobs that were handed over and are not claimed yet.
    handed_over: BTreeMap<JobId, HandedOverJob>,
    /// When to claim the jobs that nobody has claimed.
    claim_at: BTreeMap<JobId, Timestamp>,
    /// The jobs whose claim is under way, as far as they have not ended meanwhile.
    claiming: BTreeSet<JobId>,
    /// The jobs that this daemon runs.
    running: BTreeSet<JobId>,
}

/// A job that is to be claimed now.
#[derive(Debug)]
pub struct DueClaim {
    /// The id of the job.
    pub id: JobId,
    /// The name of the route by which it came.
    pub route: Name,
    /// The job itself, if it was handed over.
    pub handed_over: Option<HandedOverJob>,
    /// How it was heard of.
    pub discovery: Discovery,
}

impl ClaimPlan {
    /// Returns the plan of a daemon that knows of no jobs.
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

    /// Takes a job that was handed over, unless somebody has claimed it.
    pub fn hand_over(&mut self, now: Timestamp, handed_over: HandedOverJob) {
        let id = handed_over.id.clone();
        if self.running.contains(&id) || self.claimed.contains_key(&id) {
            return;
        }
        self.open.insert(id.clone(), handed_over.open.clone());
        self.handed_over.insert(id.clone(), handed_over);
        self.discoveries.entry(id.clone()).or_insert(Discovery { at: now, is_fresh: true });
        // Whoever hands a job over takes this daemon for the one that claims it first.
        self.claim_at.insert(id, now);
    }

    /// Follows a change of the index; returns the jobs that this daemon runs and that have ended.
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
                // A claim of this daemon whose job could not be read yet is tried again.
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

    /// Returns the jobs that are to be claimed now; each one is returned once.
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

    /// Notes that a claim is no longer under way; returns whether the job is to be run if it was made.
    ///
    /// The index may tell of a job's end before the answer to the claim is here, if that was lost and read back. A job that a
    /// listing does not name may be newer than the listing, and is claimed again as soon as the index tells of it.
    pub fn finish_claim_call(&mut self, id: &JobId) -> bool {
        self.claiming.remove(id)
    }

    /// Notes that this daemon runs a job.
    pub fn mark_running(&mut self, id: JobId) {
        self.running.insert(id);
    }

    /// Notes that this daemon no longer runs a job.
    pub fn mark_stopped(&mut self, id: &JobId) {
        self.running.remove(id);
    }

    /// Plans to claim an unfinished job again after a pause, unless this daemon runs it.
    ///
    /// An earlier claim may have been made, so what others see of it does not count here.
    pub fn retry(&mut self, now: Timestamp, id: &JobId) {
        if self.open.contains_key(id) && !self.running.contains(id) {
            self.claim_at.insert(id.clone(), now + CLAIM_RETRY_DELAY);
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
        // A job that was handed over just now may be newer than the listing.
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
            // A claim of this daemon whose job it does not run is taken up again.
            && self.other_owner(&id).is_none()
            && !self.running.contains(&id)
            && !self.claim_at.contains_key(&id);
        if is_free {
            let delay = claim::delay(&id, &self.own_name, runners);
            self.claim_at.insert(id, now + HAND_OVER_GRACE + delay);
        }
    }
}
