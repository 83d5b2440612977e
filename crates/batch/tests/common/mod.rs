//! A simulated fleet of instances over a fake store, with a record of every run of an item.

#![allow(dead_code)]

pub mod store;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use batch::{
    Counts, FileUpload, ItemOutcome, ItemRun, JobId, JobManifest, JobSpec, JobState, Key, Now,
    Owner, Planner, PlannerConfig, PlannerEvent, ResultFile, ResultReader, ResultStep, RunId,
    SegmentRunner, SplitFile, StoreAction, StoreOutcome, Submission, SubmissionAnswer, Value,
    input,
};
use stdx::{Name, Timestamp};
use store::{FakeStore, Fault};

pub const START_MS: u64 = 1_800_000_000_000;
pub const LEASE: Duration = Duration::from_secs(5);
pub const ENDPOINT: &str = "POST /v1/completions";

/// Performs the calls of a state machine, without faults, until none is due.
macro_rules! run {
    ($machine:expr, $sim:expr) => {
        while let Some(action) = $machine.poll($sim.now()) {
            let outcome = $sim.store.call(&action, $crate::common::store::Fault::None);
            $machine.on_outcome($sim.now(), outcome);
        }
    };
}
#[allow(unused_imports)]
pub(crate) use run;

/// One incarnation of an instance.
pub struct Instance {
    pub planner: Planner,
    pub runners: Vec<SegmentRunner>,
    pub capacity: usize,
    pub paused_until: Timestamp,
    running: Vec<(Timestamp, JobId, u32, ItemRun, ItemOutcome)>,
    pending_planner_outcome: Option<StoreOutcome>,
    pending_outcomes: BTreeMap<(JobId, u32), StoreOutcome>,
}

pub struct Simulation {
    pub store: FakeStore,
    pub time: Timestamp,
    pub instances: Vec<Option<Instance>>,
    /// Bodies that targets produced, by job and `custom_id`; an entry is made at dispatch.
    pub runs: BTreeMap<(JobId, String), Vec<String>>,
    pub incarnations: u32,
    /// When the lease of each instance lapses.
    pub leases: Vec<Timestamp>,
    pub ended: BTreeSet<JobId>,
}

impl Simulation {
    pub fn new() -> Self {
        Self {
            store: FakeStore::default(),
            time: Timestamp::ZERO,
            instances: Vec::new(),
            runs: BTreeMap::new(),
            incarnations: 0,
            leases: Vec::new(),
            ended: BTreeSet::new(),
        }
    }

    pub fn now(&self) -> Now {
        Now { mono: self.time, unix_ms: START_MS + self.time.as_micros() / 1_000 }
    }

    pub fn advance(&mut self, millis: u64) {
        self.time += Duration::from_millis(millis);
    }

    pub fn store_file(&mut self, account: &str, items: usize) -> batch::FileId {
        let split = split_file(items);
        let mut upload = FileUpload::new(Name::new(account), split);
        run!(upload, self);
        assert!(upload.is_stored());
        upload.id().clone()
    }

    pub fn submit(
        &mut self,
        spec: JobSpec,
        key: Option<&str>,
        idempotent: bool,
    ) -> SubmissionAnswer {
        let mut submission = Submission::new(spec, key, idempotent);
        run!(submission, self);
        submission.answer().expect("the store is up").clone()
    }

    /// Stores a file and submits a job for it.
    pub fn accept(
        &mut self,
        account: &str,
        items: usize,
        window_s: u64,
        idempotent: bool,
    ) -> JobManifest {
        let file = self.store_file(account, items);
        match self.submit(spec(account, file, window_s), None, idempotent) {
            SubmissionAnswer::Accepted(manifest) => *manifest,
            other => panic!("the job was not accepted: {other:?}"),
        }
    }

    /// Starts a new incarnation of instance `i`.
    pub fn start(&mut self, i: usize, capacity: usize) {
        self.incarnations += 1;
        let name = Name::from(format!("i{i}"));
        let incarnation = Name::from(format!("incarnation{}", self.incarnations));
        self.store.set(&Key::Live { instance: name.clone() }, Some(&incarnation));
        let owner = Owner { instance: name, incarnation };
        let rng = stdx::rng::seeded(u64::from(self.incarnations));
        let instance = Instance {
            planner: Planner::new(PlannerConfig::default(), owner, rng),
            runners: Vec::new(),
            capacity,
            paused_until: self.time,
            running: Vec::new(),
            pending_planner_outcome: None,
            pending_outcomes: BTreeMap::new(),
        };
        if self.instances.len() <= i {
            self.instances.resize_with(i + 1, || None);
            self.leases.resize(i + 1, Timestamp::ZERO);
        }
        self.leases[i] = self.time + LEASE;
        self.instances[i] = Some(instance);
    }

    pub fn instance(&mut self, i: usize) -> &mut Instance {
        self.instances[i].as_mut().expect("the instance is running")
    }

    /// Renews the leases of running instances, and removes the live keys of instances whose lease has lapsed. A lapsed
    /// lease is not renewed; a new incarnation must start.
    pub fn update_leases(&mut self) {
        for i in 0..self.instances.len() {
            if self.leases[i] <= self.time {
                let key = Key::Live { instance: Name::from(format!("i{i}")) };
                if self.store.get(&key).is_some() {
                    self.store.set(&key, None);
                }
            } else if self.instances[i].as_ref().is_some_and(|it| it.paused_until <= self.time) {
                self.leases[i] = self.time + LEASE;
            }
        }
    }

    /// Drives instance `i` through one round of calls and dispatches.
    pub fn drive(
        &mut self,
        i: usize,
        fault: &mut dyn FnMut(&StoreAction) -> Fault,
        outcome: &mut dyn FnMut(&ItemRun) -> (u64, ItemOutcome),
    ) {
        let now = self.now();
        let Some(instance) = &mut self.instances[i] else { return };
        if instance.paused_until > self.time {
            return;
        }
        // Outcomes of the previous round arrive first, even if the instance was paused in between.
        let mut events = Vec::new();
        if let Some(outcome) = instance.pending_planner_outcome.take() {
            events = instance.planner.on_outcome(now, outcome);
        }
        for event in events {
            match event {
                PlannerEvent::Claimed(runner) => instance.runners.push(*runner),
                PlannerEvent::JobCancelled(job) => instance
                    .runners
                    .iter_mut()
                    .filter(|it| it.id().job == job)
                    .for_each(|it| it.cancel(now)),
                PlannerEvent::JobEnded(manifest) => {
                    self.ended.insert(manifest.job);
                }
            }
        }
        let max_claims = instance.capacity.saturating_sub(instance.runners.len());
        if let Some(action) = instance.planner.poll(now, max_claims) {
            instance.pending_planner_outcome = Some(self.store.call(&action, fault(&action)));
        }
        let finished = instance.running.extract_if(.., |it| it.0 <= now.mono).collect::<Vec<_>>();
        for runner in &mut instance.runners {
            let id = (runner.id().job.clone(), runner.id().n);
            if let Some(outcome) = instance.pending_outcomes.remove(&id) {
                runner.on_outcome(now, outcome);
            }
            for (_, _, _, run, outcome) in
                finished.iter().filter(|it| (&it.1, it.2) == (&id.0, id.1))
            {
                runner.on_item(now, run.id, outcome.clone());
                // Each outcome is delivered twice, because duplicates must be ignored.
                runner.on_item(now, run.id, outcome.clone());
            }
            while let Some(run) = runner.take_item(now) {
                let (millis, outcome) = outcome(&run);
                let bodies =
                    self.runs.entry((id.0.clone(), run.custom_id.to_string())).or_default();
                if !matches!(outcome, ItemOutcome::NotRun) {
                    bodies.push(body_of(&outcome));
                }
                let at = now.mono + Duration::from_millis(millis);
                instance.running.push((at, id.0.clone(), id.1, run, outcome));
            }
            let stopped: BTreeSet<RunId> = runner.take_cancelled().into_iter().collect();
            instance
                .running
                .retain(|it| (&it.1, it.2) != (&id.0, id.1) || !stopped.contains(&it.3.id));
            if let Some(action) = runner.poll(now) {
                instance.pending_outcomes.insert(id, self.store.call(&action, fault(&action)));
            }
        }
        let Instance { planner, runners, .. } = instance;
        runners
            .extract_if(.., |it| it.is_finished())
            .for_each(|it| planner.on_runner_finished(&it));
    }

    /// Drives all instances without faults until the job has ended.
    pub fn finish(&mut self, manifest: &JobManifest) -> JobManifest {
        for _ in 0..20_000 {
            let ended = self.manifest(manifest);
            if ended.state == JobState::Ended {
                return ended;
            }
            self.round();
        }
        panic!("the job did not end: {:?}", self.manifest(manifest));
    }

    /// Drives all instances once without faults; items take 200 ms.
    pub fn round(&mut self) {
        self.update_leases();
        for i in 0..self.instances.len() {
            self.drive(i, &mut |_| Fault::None, &mut |run| (200, done(run)));
        }
        self.advance(100);
    }

    /// Drives one instance once without faults.
    pub fn step(&mut self, i: usize, outcome: &mut dyn FnMut(&ItemRun) -> (u64, ItemOutcome)) {
        self.update_leases();
        self.drive(i, &mut |_| Fault::None, outcome);
        self.advance(100);
    }

    pub fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    pub fn manifest(&self, manifest: &JobManifest) -> JobManifest {
        let value = self.store.get(&manifest.key()).expect("the manifest is never removed");
        serde_json::from_str(&value).expect("manifests are JSON")
    }

    /// Reads both files of an ended job and checks them against the recorded runs.
    pub fn check_results(&mut self, manifest: &JobManifest) -> Counts {
        let manifest = self.manifest(manifest);
        let counts = manifest.counts.expect("the job has ended");
        let (output, errors) =
            (self.read(&manifest, ResultFile::Output), self.read(&manifest, ResultFile::Errors));
        assert_eq!(
            (output.len() + errors.len()) as u64,
            manifest.items,
            "every item must have exactly one line"
        );
        let mut seen = BTreeSet::new();
        for line in &output {
            let id = line["custom_id"].as_str().expect("lines have a custom_id").to_owned();
            let body = line["response"]["body"].to_string();
            let bodies = &self.runs[&(manifest.job.clone(), id.clone())];
            assert!(bodies.contains(&body), "{id} has a result that no run produced");
            assert!(seen.insert(id));
        }
        let id_of = |it: &serde_json::Value| {
            it["custom_id"].as_str().expect("lines have a custom_id").to_owned()
        };
        assert!(
            errors.iter().all(|it| seen.insert(id_of(it))),
            "every item must have exactly one line"
        );
        for lines in [&output, &errors] {
            assert!(lines.is_sorted_by_key(id_of), "results must be in input order");
        }
        if !manifest.idempotent {
            let is_once =
                self.runs.iter().all(|((job, _), it)| *job != manifest.job || it.len() <= 1);
            assert!(is_once, "a non-idempotent item ran twice");
            let is_cancelled = |it: &&serde_json::Value| it["error"]["code"] == "job_cancelled";
            let ran = |it: &serde_json::Value| {
                self.runs.get(&(manifest.job.clone(), id_of(it))).is_some_and(|it| !it.is_empty())
            };
            assert!(!errors.iter().filter(is_cancelled).any(ran), "a cancelled item has run");
        }
        counts
    }

    pub fn read(&mut self, manifest: &JobManifest, file: ResultFile) -> Vec<serde_json::Value> {
        let mut reader =
            ResultReader::new(Arc::new(manifest.clone()), file).expect("the job ended");
        let mut text = String::new();
        loop {
            match reader.take() {
                ResultStep::Lines(lines) => text.push_str(&lines),
                ResultStep::Complete => break,
                ResultStep::Damaged(n) => panic!("segment {n} is damaged"),
                ResultStep::Pending => {
                    let action = reader.poll(self.now()).expect("a call is due");
                    let outcome = self.store.call(&action, Fault::None);
                    reader.on_outcome(self.now(), outcome);
                }
            }
        }
        text.lines().map(|it| serde_json::from_str(it).expect("lines are JSON")).collect()
    }
}

pub fn spec(account: &str, file: batch::FileId, window_s: u64) -> JobSpec {
    JobSpec {
        account: Name::new(account),
        file,
        endpoint: Name::new(ENDPOINT),
        window_s,
        metadata: BTreeMap::new(),
    }
}

/// Splits each file once per process, since splitting takes longer than many of the simulations.
fn split_file(items: usize) -> SplitFile {
    static FILES: Mutex<BTreeMap<usize, SplitFile>> = Mutex::new(BTreeMap::new());
    let mut files = FILES.lock().expect("no test panics while it splits");
    let split = || input::split(file_text(items).as_bytes()).expect("the file is valid");
    files.entry(items).or_insert_with(split).clone()
}

pub fn file_text(items: usize) -> String {
    let line = |i| {
        format!(
            "{{\"custom_id\":\"c{i:06}\",\"method\":\"POST\",\"url\":\"/v1/completions\",\"body\":{{\"n\":{i}}}}}\n"
        )
    };
    (0..items).map(line).collect()
}

pub fn done(run: &ItemRun) -> ItemOutcome {
    // The dispatch number makes the bodies of different runs of an item differ.
    let body = format!("{{\"id\":\"{}\",\"run\":{}}}", run.custom_id, run.id.run);
    ItemOutcome::Done { status: 200, body: Value::from(body) }
}

fn body_of(outcome: &ItemOutcome) -> String {
    match outcome {
        ItemOutcome::Done { body, .. } => body.to_string(),
        _ => String::new(),
    }
}
