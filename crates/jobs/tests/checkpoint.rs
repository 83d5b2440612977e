//! Tests of the stored partial outputs.

mod common;

use std::time::Duration;

use common::{RECEIVED, item, run};
use jobs::{
    Checkpoint, ItemEnd, PartialOutput,
    checkpoint::{CHECKPOINT_INTERVAL, CheckpointTimer},
};
use kv_store::{Revision, Transaction};

/// The time between two events of an item.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// The number of events of an item, which then takes 4.4 s.
const EVENTS: u64 = 220;

fn output(events: u64, bytes: usize) -> PartialOutput {
    PartialOutput {
        text: "x".repeat(bytes),
        events,
        last_event: events,
        version: Some("v1".into()),
    }
}

fn checkpoint(items: &[(usize, u64)]) -> Checkpoint {
    Checkpoint::collect(items.iter().map(|(index, events)| (*index, output(*events, 10))))
}

fn stored(transaction: &Transaction) -> Option<Checkpoint> {
    let write = transaction.writes.iter().find(|it| it.key.ends_with("/checkpoint"))?;
    Some(Checkpoint::decode(&write.value).expect("a checkpoint"))
}

// Guards against a transaction that the key-value service refuses because the partial outputs are too large.
#[test]
fn a_checkpoint_holds_the_longest_outputs_that_fit() {
    let outputs = [(0, output(5, 100 << 10)), (1, output(90, 200 << 10)), (2, output(3, 40 << 10))];
    let collected = Checkpoint::collect(outputs);
    assert_eq!(collected.items.keys().collect::<Vec<_>>(), [&1, &2]);
}

// Guards against partial outputs of a former owner that replace those of the current one, against a record that such a
// transaction changes, and against outputs that stay in the store after the end of the job.
#[test]
fn partial_outputs_are_stored_with_results_or_alone_and_removed_at_the_end() {
    let mut run = run(vec![item("a", 0), item("b", 0)]);
    run.start_item(0);
    run.start_item(1);
    let alone = run.store_checkpoint(&checkpoint(&[(0, 4), (1, 2)])).expect("partial outputs");
    assert_eq!(alone.expected.len(), 1);
    assert_eq!(&*alone.expected[0].key, "work/job/job-1/progress/record");
    assert_eq!(alone.writes.len(), 1, "the record is not rewritten");
    assert_eq!(run.commit(RECEIVED, &checkpoint(&[(1, 3)])), None, "one transaction at a time");
    run.on_committed(Revision(8));

    run.on_end(0, ItemEnd::Completed { text: "done".to_owned() }, RECEIVED);
    let first = run.commit(RECEIVED, &checkpoint(&[(1, 3)])).expect("a result");
    assert_eq!(first.expected[0].revision, Revision(5), "the record is as it was accepted");
    assert_eq!(stored(&first), Some(checkpoint(&[(1, 3)])));
    run.on_committed(Revision(9));

    run.on_end(1, ItemEnd::Completed { text: "done".to_owned() }, RECEIVED);
    let last = run.commit(RECEIVED, &Checkpoint::default()).expect("the last result");
    assert!(last.removals.iter().any(|it| &**it == "work/job/job-1/checkpoint"));
}

// Guards against a job without partial outputs that costs calls of the store.
#[test]
fn a_job_without_partial_outputs_stores_no_checkpoint() {
    let mut run = run(vec![item("a", 0)]);
    assert_eq!(run.store_checkpoint(&Checkpoint::default()), None);
    run.start_item(0);
    run.on_end(0, ItemEnd::Completed { text: "done".to_owned() }, RECEIVED);
    let last = run.commit(RECEIVED, &Checkpoint::default()).expect("a result");
    assert!(!last.removals.iter().any(|it| it.ends_with("/checkpoint")));
}

// Guards against items that run from the start after all daemons have lost power: with eight items in progress for three
// seconds, the callers would get every result three seconds later.
#[test]
fn after_a_loss_of_power_items_lose_at_most_one_interval() {
    let power_lost_after = Duration::from_millis(3_100);
    let mut run = run((0..8).map(|it| item(&format!("i-{it}"), 0)).collect());
    (0..8).for_each(|it| run.start_item(it));
    let mut timer = CheckpointTimer::new(RECEIVED);
    let mut survives = Checkpoint::default();
    for tick in 0..power_lost_after.as_millis() as u64 / 100 {
        let now = RECEIVED + Duration::from_millis(100 * tick);
        if timer.is_due(now) {
            timer.restart(now);
            let events = now.since(RECEIVED).as_millis() as u64 / EVENT_INTERVAL.as_millis() as u64;
            let outputs = checkpoint(&(0..8).map(|it| (it, events)).collect::<Vec<_>>());
            survives = stored(&run.store_checkpoint(&outputs).expect("outputs")).expect("stored");
            run.on_committed(Revision(6));
        }
    }
    assert_eq!(survives.items.len(), 8);
    for output in survives.items.values() {
        let remaining = EVENT_INTERVAL * (EVENTS - output.events) as u32;
        let without_loss = EVENT_INTERVAL * EVENTS as u32 - power_lost_after;
        assert!(remaining <= without_loss + CHECKPOINT_INTERVAL, "{remaining:?}");
    }
}
