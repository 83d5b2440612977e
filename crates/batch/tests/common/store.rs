//! A fake key-value service that checks the writes of segment records independently of the crate.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use batch::{Entry, Key, Revision, StoreAction, StoreOutcome, Value};

/// A fault of a single call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write has no effect, and the caller cannot tell.
    CallLost,
    /// The write takes effect later, and the caller cannot tell.
    Delayed,
    Unavailable,
}

impl Fault {
    pub const ALL: [Self; 4] = [Self::AnswerLost, Self::CallLost, Self::Delayed, Self::Unavailable];
}

/// Counts of calls and bytes.
#[derive(Debug, Default, Clone, Copy)]
pub struct Usage {
    pub reads: u64,
    pub writes: u64,
    pub bytes: u64,
}

#[derive(Debug, Default)]
pub struct FakeStore {
    map: BTreeMap<String, (Value, u64)>,
    revision: u64,
    delayed: VecDeque<StoreAction>,
    pub usage: Usage,
    /// The time spent in the calls of this fake.
    pub call_time: Duration,
}

impl FakeStore {
    pub fn call(&mut self, action: &StoreAction, fault: Fault) -> StoreOutcome {
        let start = Instant::now();
        let outcome = self.call_with(action, fault);
        self.call_time += start.elapsed();
        outcome
    }

    fn call_with(&mut self, action: &StoreAction, fault: Fault) -> StoreOutcome {
        let is_read = matches!(action, StoreAction::Get { .. } | StoreAction::Range { .. });
        match fault {
            Fault::None => self.apply(action),
            Fault::Unavailable => StoreOutcome::Unavailable,
            _ if is_read => StoreOutcome::Unavailable,
            Fault::AnswerLost => {
                self.apply(action);
                StoreOutcome::Unknown
            }
            Fault::CallLost => StoreOutcome::Unknown,
            Fault::Delayed => {
                self.delayed.push_back(action.clone());
                StoreOutcome::Unknown
            }
        }
    }

    /// Applies the oldest delayed write.
    pub fn deliver_delayed(&mut self) {
        if let Some(action) = self.delayed.pop_front() {
            self.apply(&action);
        }
    }

    pub fn get(&self, key: &Key) -> Option<Value> {
        self.map.get(&key.to_string()).map(|(value, _)| value.clone())
    }

    /// Writes or removes a key directly, such as a live key.
    pub fn set(&mut self, key: &Key, value: Option<&str>) {
        self.revision += 1;
        match value {
            Some(value) => self.map.insert(key.to_string(), (Value::from(value), self.revision)),
            None => self.map.remove(&key.to_string()),
        };
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.map.keys().filter(|it| it.starts_with(prefix)).cloned().collect()
    }

    fn apply(&mut self, action: &StoreAction) -> StoreOutcome {
        match action {
            StoreAction::Get { key } => {
                self.usage.reads += 1;
                let entries: Vec<Entry> = self.entry(key).into_iter().collect();
                self.usage.bytes += entries.iter().map(|it| it.value.len() as u64).sum::<u64>();
                StoreOutcome::Found { entries, more: false }
            }
            StoreAction::Range { span, limit } => {
                self.usage.reads += 1;
                let span = span.bounds();
                let from = self.map.range(span.prefix.clone()..);
                let mut found = from
                    .take_while(|(key, _)| key.starts_with(&span.prefix))
                    .filter(|(key, _)| span.contains(key));
                let entries: Vec<Entry> = found
                    .by_ref()
                    .take(*limit as usize)
                    .map(|(key, (value, at))| Entry {
                        key: Key::parse(key).expect("the key text is valid"),
                        value: value.clone(),
                        revision: Revision(*at),
                    })
                    .collect();
                self.usage.bytes += entries.iter().map(|it| it.value.len() as u64).sum::<u64>();
                StoreOutcome::Found { entries, more: found.next().is_some() }
            }
            StoreAction::Create { key, value } => match self.entry(key) {
                None => self.write(key, value),
                current => self.reject(current),
            },
            StoreAction::CompareAndSwap { key, expected, value } => match self.entry(key) {
                Some(entry) if entry.revision == *expected => self.write(key, value),
                current => self.reject(current),
            },
            StoreAction::Delete { key } => {
                self.usage.writes += 1;
                self.revision += 1;
                self.map.remove(&key.to_string());
                StoreOutcome::Won { revision: Revision(self.revision) }
            }
        }
    }

    fn reject(&mut self, current: Option<Entry>) -> StoreOutcome {
        self.usage.writes += 1;
        StoreOutcome::Lost { current }
    }

    fn write(&mut self, key: &Key, value: &Value) -> StoreOutcome {
        assert!(value.len() < 1_000_000, "{key} has a value of {} bytes", value.len());
        assert_eq!(
            Key::parse(&key.to_string()).as_ref(),
            Some(key),
            "a key must parse from its own text form"
        );
        if let (Key::Segment { .. }, Some(old)) = (key, self.get(key)) {
            check_segment_write(&old, value);
        }
        self.usage.writes += 1;
        self.usage.bytes += value.len() as u64;
        self.revision += 1;
        self.map.insert(key.to_string(), (value.clone(), self.revision));
        StoreOutcome::Won { revision: Revision(self.revision) }
    }

    fn entry(&self, key: &Key) -> Option<Entry> {
        let (value, at) = self.map.get(&key.to_string())?;
        Some(Entry { key: key.clone(), value: value.clone(), revision: Revision(*at) })
    }
}

/// Checks, without the crate's own types, that final states and result chunks stay and that the fencing token never
/// decreases.
fn check_segment_write(old: &str, new: &str) {
    let (old, new) = (parse(old), parse(new));
    let fences = (old["fence"].as_u64(), new["fence"].as_u64());
    assert!(fences.0 <= fences.1, "the fencing token decreased");
    if fences.0 == fences.1 {
        assert!(old["owner"].is_object(), "a write after a release needs a new fencing token");
    }
    for end in ["done", "failed", "cancelled", "expired", "unknown"] {
        let (before, after) = (bits(&old, end), bits(&new, end));
        let is_kept =
            before.iter().enumerate().all(|(i, it)| it & !after.get(i).copied().unwrap_or(0) == 0);
        assert!(is_kept, "an item lost its final state {end}");
    }
    let chunks = |it: &serde_json::Value| it["chunks"].as_array().cloned().unwrap_or_default();
    assert!(chunks(&new).starts_with(&chunks(&old)), "a committed result chunk was lost");
}

fn parse(text: &str) -> serde_json::Value {
    serde_json::from_str(text).expect("records are JSON")
}

fn bits(record: &serde_json::Value, end: &str) -> Vec<u8> {
    let digits = record[end].as_str().unwrap_or("").as_bytes().to_vec();
    digits
        .chunks(2)
        .map(|it| u8::from_str_radix(str::from_utf8(it).unwrap(), 16).unwrap())
        .collect()
}
