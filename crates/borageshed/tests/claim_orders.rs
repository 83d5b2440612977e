//! Checks the claims of a daemon under drawn orders of acceptances, hand-overs, claims, ends and readings of the index.

use std::collections::{BTreeMap, BTreeSet};

use borageshed::job_work::{
    claim_plan::{ClaimPlan, DueClaim},
    index::IndexChange,
};
use jobs::JobId;
use kv_store::{Replica, Revision, Version};
use rand::{Rng as _, seq::IteratorRandom as _};
use stdx::{
    Name, Timestamp,
    rng::{self, Rng},
};

mod job_fixture;

const OWN: &str = "worker-0";
const OTHER: &str = "worker-1";
const STEPS: usize = 60;
const SERIES: usize = 2_000;
/// Longer than any delay of a claim.
const LONG_MS: u64 = 60_000;

/// What the store holds of a job.
#[derive(Debug, Clone)]
struct StoredJob {
    accepted_at: Revision,
    is_ended: bool,
    owner: Option<&'static str>,
}

/// An entry of the index: an unfinished job or a claim and its owner.
#[derive(Debug, Clone)]
enum IndexEntry {
    Open,
    Claim(&'static str),
}

/// What a claim found in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    Free,
    Elsewhere,
    Ended,
}

/// A store, a daemon with its copy of the index, and the messages on the way to the daemon.
struct Model {
    rng: Rng,
    now_ms: u64,
    revision: i64,
    jobs: BTreeMap<JobId, StoredJob>,
    /// The changes of the index so far.
    history: Vec<Version<IndexEntry>>,
    copy: Replica<IndexEntry>,
    /// The number of changes of the copy that the daemon has applied; `None` before the first listing.
    reported: Option<u64>,
    /// Whether the copy must be read completely, because changes may have been missed.
    is_lost: bool,
    plan: ClaimPlan,
    running: BTreeSet<JobId>,
    /// The hand-overs that have not arrived. Some arrive twice.
    handed_over: Vec<JobId>,
    /// The claims that the store has not carried out.
    called: Vec<JobId>,
    /// The claims whose answers have not arrived.
    answers: Vec<(JobId, Found)>,
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            rng: rng::seeded(seed),
            now_ms: 0,
            revision: 1,
            jobs: BTreeMap::new(),
            history: Vec::new(),
            copy: Replica::default(),
            reported: None,
            is_lost: true,
            plan: ClaimPlan::new(OWN.into()),
            running: BTreeSet::new(),
            handed_over: Vec::new(),
            called: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    fn step(&mut self) {
        self.now_ms += self.rng.random_range(0..1_500);
        match self.rng.random_range(0..11) {
            0 | 1 => self.accept(),
            2 => self.end(),
            3 => self.is_lost = true,
            4 | 5 => self.read_index(),
            6 => self.deliver_hand_over(),
            7 => self.call_due_claims(),
            8 => self.carry_out_claim(),
            9 => self.deliver_answer(),
            _ => self.change_other_claim(),
        }
    }

    fn write(&mut self, key: String, value: Option<IndexEntry>) -> Revision {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.history.push(Version { key: Name::from(key), revision, value });
        revision
    }

    fn accept(&mut self) {
        let id = JobId::parse(&format!("job-{}", self.jobs.len())).expect("valid");
        let accepted_at = self.write(id.open_key(), Some(IndexEntry::Open));
        self.jobs.insert(id.clone(), StoredJob { accepted_at, is_ended: false, owner: None });
        self.handed_over.extend(std::iter::repeat_n(id, self.rng.random_range(0..3)));
    }

    fn end(&mut self) {
        let open = self.jobs.iter().filter(|it| !it.1.is_ended).map(|it| it.0.clone());
        let Some(id) = open.choose(&mut self.rng) else { return };
        self.write(id.open_key(), None);
        self.jobs.get_mut(&id).expect("a job").is_ended = true;
        self.set_owner(&id, None);
    }

    fn set_owner(&mut self, id: &JobId, owner: Option<&'static str>) {
        let job = self.jobs.get_mut(id).expect("a job");
        if job.owner != owner {
            job.owner = owner;
            self.write(id.claim_key(), owner.map(IndexEntry::Claim));
        }
    }

    fn change_other_claim(&mut self) {
        let jobs = self.jobs.iter().filter(|it| !it.1.is_ended && it.1.owner != Some(OWN));
        let jobs = jobs.map(|it| (it.0.clone(), it.1.owner));
        let Some((id, owner)) = jobs.choose(&mut self.rng) else { return };
        self.set_owner(&id, if owner.is_none() { Some(OTHER) } else { None });
    }

    /// Reads the index as a copy of the platform's store does, and reports what a follower of the copy is told.
    fn read_index(&mut self) {
        let is_listing = std::mem::take(&mut self.is_lost);
        let revision = Revision(self.revision);
        if is_listing {
            let mut latest = BTreeMap::new();
            latest.extend(self.history.iter().map(|it| (it.key.clone(), it.clone())));
            let existing = latest.into_values().filter(|it| it.value.is_some()).collect();
            self.copy.apply_listing(revision, existing);
        } else {
            let after = self.copy.revision();
            let later = self.history.iter().filter(|it| it.revision > after).cloned().collect();
            self.copy.apply_changes(revision, later);
        }
        let reported = self.reported.replace(self.copy.changes()).filter(|_| !is_listing);
        match reported.and_then(|it| self.copy.changes_since(it)) {
            Some(versions) => versions.into_iter().for_each(|it| self.report(change_of(it))),
            None => {
                let (mut open, mut claimed) = (BTreeMap::new(), BTreeMap::new());
                for version in self.copy.existing() {
                    match change_of(version) {
                        IndexChange::Opened(id, job) => drop(open.insert(id, job)),
                        IndexChange::Claimed(id, owner) => drop(claimed.insert(id, owner)),
                        change => panic!("{change:?} in a listing"),
                    }
                }
                self.report(IndexChange::Listed { open, claimed, revision });
            }
        }
        self.report(IndexChange::CompleteTo(revision));
    }

    fn report(&mut self, change: IndexChange) {
        let runners = BTreeSet::from([OWN.into(), OTHER.into()]);
        for id in self.plan.on_change(self.now(), change, &runners) {
            self.running.remove(&id);
            self.plan.mark_stopped(&id);
        }
    }

    fn deliver_hand_over(&mut self) {
        if self.handed_over.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.handed_over.len());
        let id = self.handed_over.swap_remove(position);
        let job = job_fixture::handed_over(id.as_str(), self.jobs[&id].accepted_at.0);
        self.plan.hand_over(self.now(), job);
    }

    fn call_due_claims(&mut self) {
        let due = self.plan.take_due(self.now());
        self.called.extend(due.into_iter().map(|DueClaim { id, .. }| id));
    }

    fn carry_out_claim(&mut self) {
        if self.called.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.called.len());
        let id = self.called.swap_remove(position);
        let job = &self.jobs[&id];
        let found = match job.owner {
            _ if job.is_ended => Found::Ended,
            Some(OTHER) => Found::Elsewhere,
            _ => Found::Free,
        };
        if found == Found::Free {
            self.set_owner(&id, Some(OWN));
        }
        self.answers.push((id, found));
    }

    /// Does what the worker does when a claim is answered.
    fn deliver_answer(&mut self) {
        if self.answers.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.answers.len());
        let (id, found) = self.answers.swap_remove(position);
        let is_wanted = self.plan.finish_claim_call(&id);
        match found {
            Found::Elsewhere => self.plan.on_claimed_elsewhere(self.now(), &id),
            Found::Ended => self.plan.close(&id),
            Found::Free if is_wanted => {
                self.plan.mark_running(id.clone());
                self.running.insert(id);
            }
            Found::Free => {}
        }
    }

    /// Reads the index a last time and lets all messages arrive, some of them after that reading.
    fn settle(&mut self) {
        for _ in 0..self.handed_over.len() + self.answers.len() {
            match self.rng.random_range(0..3) {
                0 => self.deliver_hand_over(),
                1 => self.deliver_answer(),
                _ => {}
            }
        }
        self.read_index();
        while !self.handed_over.is_empty() {
            self.deliver_hand_over();
        }
        while !self.answers.is_empty() {
            self.deliver_answer();
        }
    }

    fn check(&mut self, seed: u64) {
        let is_ended = |id: &JobId| self.jobs[id].is_ended;
        let (ended, open): (Vec<JobId>, Vec<JobId>) = self.jobs.keys().cloned().partition(is_ended);
        for id in &ended {
            assert!(!self.running.contains(id), "seed {seed}: {id:?} runs after its end");
            assert!(!self.plan.is_open(id), "seed {seed}: {id:?} is open after its end");
        }
        // Claims that the store never carries out are given up.
        for id in std::mem::take(&mut self.called) {
            self.plan.finish_claim_call(&id);
            self.plan.retry(self.now(), &id);
        }
        self.now_ms += LONG_MS;
        let due: BTreeSet<JobId> =
            self.plan.take_due(self.now()).into_iter().map(|it| it.id).collect();
        assert!(ended.iter().all(|it| !due.contains(it)), "seed {seed}: a claim of an ended job");
        for id in &open {
            let is_cared_for =
                due.contains(id) || self.running.contains(id) || self.jobs[id].owner == Some(OTHER);
            assert!(is_cared_for, "seed {seed}: nobody runs {id:?}: {:?}", self.jobs[id]);
        }
    }
}

fn change_of(version: Version<IndexEntry>) -> IndexChange {
    let Version { key, value, .. } = version;
    let claim = JobId::from_claim_key(&key);
    let id = claim.clone().or_else(|| JobId::from_open_key(&key)).expect("a key of the index");
    match (value, claim) {
        (Some(IndexEntry::Open), _) => {
            let open = job_fixture::handed_over(id.as_str(), 0).open;
            IndexChange::Opened(id, open)
        }
        (Some(IndexEntry::Claim(owner)), _) => IndexChange::Claimed(id, owner.into()),
        (None, Some(_)) => IndexChange::ClaimEnded(id),
        (None, None) => IndexChange::Closed(id),
    }
}

// Guards against ended jobs that stay open, claimed, due or running at a daemon, and against unfinished jobs that nobody runs, in
// whatever order the daemon learns of them.
#[test]
fn jobs_end_everywhere_in_any_order_of_messages_and_readings() {
    bolero::check!().with_iterations(SERIES).with_type::<u64>().cloned().for_each(|seed| {
        let mut model = Model::new(seed);
        (0..STEPS).for_each(|_| model.step());
        model.settle();
        model.check(seed);
    });
}
