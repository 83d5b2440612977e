//! Tests of the scheduler and the load history without I/O.

use std::time::{Duration, Instant};

use async_channel::{Receiver, unbounded};

use super::load::{Load, LoadHistory};
use super::scheduler::{Scheduler, StepOutcome, token};
use super::{EngineSettings, Event};

const STEP: Duration = Duration::from_millis(1);

fn scheduler(slots: usize) -> Scheduler {
    let settings = EngineSettings {
        slots,
        prefill_per_token: STEP,
        cached_per_token: Duration::ZERO,
        ..EngineSettings::default()
    };
    Scheduler::new(&settings)
}

fn tokens(rx: &Receiver<Event>) -> Vec<Event> {
    std::iter::from_fn(|| rx.try_recv().ok()).collect()
}

fn submit(scheduler: &mut Scheduler, prompt: &str, max_tokens: usize) -> (String, Receiver<Event>) {
    let (tx, rx) = unbounded();
    (scheduler.submit("r", prompt, max_tokens, false, tx), rx)
}

/// Guards against a queue that starts more sequences than there are slots.
#[test]
fn sequences_wait_for_a_slot() {
    let mut scheduler = scheduler(1);
    let (_, first) = submit(&mut scheduler, "a", 2);
    let (_, second) = submit(&mut scheduler, "b", 1);
    let now = Instant::now();
    assert_eq!(scheduler.step(now, STEP), StepOutcome::Busy { running: 1 });
    assert_eq!(tokens(&first), [Event::Token(token("a", 0))]);
    assert_eq!(tokens(&second), []);
    scheduler.step(now, STEP);
    assert_eq!(tokens(&first), [Event::Token(token("a", 1)), Event::End]);
    assert_eq!(scheduler.step(now, STEP), StepOutcome::Idle);
    assert_eq!(tokens(&second), [Event::Token(token("b", 0)), Event::End]);
}

/// Guards against a prefix cache that does not shorten the time to the first token.
#[test]
fn cached_prefix_shortens_the_prefill() {
    let mut scheduler = scheduler(1);
    let prompt = "w ".repeat(32);
    let mut steps_to_first_token = || {
        let (_, rx) = submit(&mut scheduler, &prompt, 1);
        (1..).find(|_| {
            scheduler.step(Instant::now(), STEP);
            !rx.is_empty()
        })
    };
    assert_eq!((steps_to_first_token(), steps_to_first_token()), (Some(32), Some(1)));
}

/// Guards against lost or repeated tokens in a resumed stream and against counting a second execution.
#[test]
fn resumed_stream_continues_at_its_offset() {
    let mut scheduler = scheduler(1);
    let now = Instant::now();
    let (id, first) = submit(&mut scheduler, "a", 4);
    scheduler.step(now, STEP);
    scheduler.step(now, STEP);
    scheduler.detach(&id, &first, now);
    assert_eq!(scheduler.load().running, 0, "a stream without a reader holds no slot");
    let (tx, rx) = unbounded();
    assert_eq!(scheduler.resume(&id, 1, tx), Some(()));
    scheduler.detach(&id, &first, now);
    while scheduler.step(now, STEP) != StepOutcome::Idle {}
    let rest: Vec<_> = (1..4).map(|n| Event::Token(token("a", n))).chain([Event::End]).collect();
    assert_eq!(tokens(&rx), rest);
    assert_eq!(scheduler.executions()["r"], 1);
}

/// Guards against a load report that shows a newer load than its lag allows.
#[test]
fn load_is_reported_with_its_lag() {
    let mut history = LoadHistory::default();
    let start = Instant::now();
    let load = |running| Load { slots: 2, running, ..Load::default() };
    history.record(start, load(1));
    history.record(start + STEP * 5, load(2));
    let reported: Vec<_> =
        [1, 10, 14, 15].map(|n| history.report(start + STEP * n, STEP * 10).running).into();
    assert_eq!(reported, [0, 1, 1, 2]);
}
