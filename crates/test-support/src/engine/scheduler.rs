//! Continuous batching: slots, queue and sequences, without I/O.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use twox_hash::XxHash64;

use super::cache::PrefixCache;
use super::load::Load;
use super::{EngineSettings, Event};

/// The outcome of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepOutcome {
    /// No sequence is running or waiting.
    Idle,
    /// Sequences are running or waiting.
    Busy { running: usize },
    /// A request with the crash marker got a slot.
    Crashed,
}

/// Token counts of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: usize,
    pub(crate) cached_tokens: usize,
    pub(crate) completion_tokens: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    /// The prompt is being processed; the value is the remaining time.
    Prefill(Duration),
    Decoding,
    Done,
    /// The reader was dropped at this time; the sequence has no slot.
    Paused(Instant),
}

struct Sequence {
    request_id: String,
    prompt: String,
    max_tokens: usize,
    produced: usize,
    crashes: bool,
    started: bool,
    cached_tokens: usize,
    stage: Stage,
    reader: Option<Sender<Event>>,
}

impl Sequence {
    /// Returns the n-th token, which depends on the prompt so that tests detect an answer to another prompt.
    fn token(&self, n: usize) -> String {
        token(&self.prompt, n)
    }

    fn send(&self, event: Event) {
        if let Some(reader) = &self.reader {
            // A send fails only if the reader is gone; dropping a reader detaches it.
            let _ = reader.try_send(event);
        }
    }
}

/// Returns the n-th token of the answer to a prompt.
pub(crate) fn token(prompt: &str, n: usize) -> String {
    let digest = XxHash64::oneshot(0, prompt.as_bytes()) as u16;
    format!("{digest:04x}-{n} ")
}

pub(crate) struct Scheduler {
    slots: usize,
    prefill_per_token: Duration,
    cached_per_token: Duration,
    cache_tokens: usize,
    resume_window: Duration,
    sequences: HashMap<String, Sequence>,
    waiting: VecDeque<String>,
    running: Vec<String>,
    cache: PrefixCache,
    executions: BTreeMap<String, u64>,
    next_id: u64,
}

impl Scheduler {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            slots: settings.slots,
            prefill_per_token: settings.prefill_per_token,
            cached_per_token: settings.cached_per_token,
            cache_tokens: settings.cache_tokens,
            resume_window: settings.resume_window,
            sequences: HashMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::new(settings.cache_tokens),
            executions: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Queues a request and returns its engine request id.
    pub(crate) fn submit(
        &mut self,
        request_id: &str,
        prompt: &str,
        max_tokens: usize,
        crashes: bool,
        reader: Sender<Event>,
    ) -> String {
        self.next_id += 1;
        let id = format!("eng-{}", self.next_id);
        let sequence = Sequence {
            request_id: request_id.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            produced: 0,
            crashes,
            started: false,
            cached_tokens: 0,
            stage: Stage::Waiting,
            reader: Some(reader),
        };
        self.sequences.insert(id.clone(), sequence);
        self.waiting.push_back(id.clone());
        id
    }

    /// Attaches a new reader and sends it the tokens starting at `from`; `None` if the sequence is unknown or has not
    /// produced that many tokens yet.
    pub(crate) fn resume(&mut self, id: &str, from: usize, reader: Sender<Event>) -> Option<()> {
        let sequence = self.sequences.get_mut(id)?;
        if from > sequence.produced {
            return None;
        }
        sequence.reader = Some(reader);
        for n in from..sequence.produced {
            sequence.send(Event::Token(sequence.token(n)));
        }
        match sequence.stage {
            Stage::Paused(_) if sequence.produced == sequence.max_tokens => {
                sequence.stage = Stage::Done;
                sequence.send(Event::End);
            }
            Stage::Paused(_) => {
                sequence.stage = Stage::Waiting;
                self.waiting.push_back(id.to_owned());
            }
            Stage::Done => sequence.send(Event::End),
            Stage::Waiting | Stage::Prefill(_) | Stage::Decoding => {}
        }
        Some(())
    }

    /// Pauses a sequence whose reader was dropped and frees its slot; has no effect if a newer reader is attached.
    pub(crate) fn detach(&mut self, id: &str, reader: &Receiver<Event>, now: Instant) {
        let Some(sequence) = self.sequences.get_mut(id) else { return };
        reader.close();
        // Closing the receiver closes its channel, so a sender that is still open belongs to a newer reader.
        if sequence.reader.as_ref().is_some_and(|tx| !tx.is_closed()) {
            return;
        }
        sequence.reader = None;
        sequence.stage = Stage::Paused(now);
        self.waiting.retain(|other| other != id);
        self.running.retain(|other| other != id);
    }

    /// Fills free slots from the queue and advances every running sequence by one step.
    pub(crate) fn step(&mut self, now: Instant, step: Duration) -> StepOutcome {
        self.remove_expired(now);
        while self.running.len() < self.slots {
            let Some(id) = self.waiting.pop_front() else { break };
            if self.admit(&id) {
                return StepOutcome::Crashed;
            }
            self.running.push(id);
        }
        let Self { sequences, running, .. } = self;
        running.retain(|id| {
            let Some(sequence) = sequences.get_mut(id) else { return false };
            advance(sequence, step);
            sequence.stage != Stage::Done
        });
        match (self.running.len(), self.waiting.len()) {
            (0, 0) => StepOutcome::Idle,
            (running, _) => StepOutcome::Busy { running },
        }
    }

    /// Drops all sequences and the cache, as a crash does; the execution counts are kept for the test.
    pub(crate) fn clear(&mut self) {
        self.sequences.clear();
        self.waiting.clear();
        self.running.clear();
        self.cache = PrefixCache::new(self.cache_tokens);
    }

    pub(crate) fn load(&self) -> Load {
        Load {
            slots: self.slots,
            running: self.running.len(),
            waiting: self.waiting.len(),
            cached_tokens: self.cache.tokens(),
        }
    }

    pub(crate) fn executions(&self) -> BTreeMap<String, u64> {
        self.executions.clone()
    }

    pub(crate) fn usage(&self, id: &str) -> Usage {
        self.sequences.get(id).map_or_else(Usage::default, |sequence| Usage {
            prompt_tokens: sequence.prompt.split_whitespace().count(),
            cached_tokens: sequence.cached_tokens,
            completion_tokens: sequence.produced,
        })
    }

    /// Starts a sequence in a slot and returns whether it crashes the engine.
    fn admit(&mut self, id: &str) -> bool {
        let Some(sequence) = self.sequences.get_mut(id) else { return false };
        // A resumed sequence continues its first execution and is not counted again.
        if !std::mem::replace(&mut sequence.started, true) {
            *self.executions.entry(sequence.request_id.clone()).or_default() += 1;
        }
        if sequence.crashes {
            return true;
        }
        let tokens: Vec<_> = sequence.prompt.split_whitespace().collect();
        let cached = self.cache.lookup_and_insert(&tokens);
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let cost = self.cached_per_token * count(cached)
            + self.prefill_per_token * count(tokens.len() - cached);
        sequence.cached_tokens = cached;
        sequence.stage = Stage::Prefill(cost);
        false
    }

    fn remove_expired(&mut self, now: Instant) {
        let window = self.resume_window;
        self.sequences.retain(|_, sequence| match sequence.stage {
            Stage::Paused(since) => now.duration_since(since) < window,
            _ => true,
        });
    }
}

fn advance(sequence: &mut Sequence, step: Duration) {
    if let Stage::Prefill(left) = sequence.stage {
        if left > step {
            sequence.stage = Stage::Prefill(left - step);
            return;
        }
        sequence.stage = Stage::Decoding;
    }
    if sequence.produced < sequence.max_tokens {
        sequence.send(Event::Token(sequence.token(sequence.produced)));
        sequence.produced += 1;
    }
    if sequence.produced >= sequence.max_tokens {
        sequence.stage = Stage::Done;
        sequence.send(Event::End);
    }
}
