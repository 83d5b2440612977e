//! Performs store actions on the platform's key-value service.

use std::{sync::Arc, time::Duration};

use async_std::task;
use batch::{Entry, Key, Now, Revision, StoreAction, StoreOutcome, Value};
use kv_store::{Error, Outcome};
use slog::{debug, warn};
use stdx::Timestamp;

use crate::{clock, shared::Shared};

/// How often a state machine that waits before a retry is polled.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the current time in the form that the state machines take.
pub fn now(cx: &Shared) -> Now {
    Now { mono: cx.clock.now(), unix_ms: clock::unix_millis() }
}

/// Performs one action.
pub async fn perform(cx: &Shared, action: StoreAction) -> StoreOutcome {
    let store = Arc::clone(&cx.store);
    let outcome = match &action {
        StoreAction::Get { key } => {
            let found = store.get(&key.to_string()).await;
            read_outcome(found.map(|it| (it.into_iter().collect(), false)))
        }
        StoreAction::Range { span, limit } => {
            let span = span.bounds();
            let after = span.after.as_deref();
            let page = store.page(&span.prefix, after, *limit as usize).await;
            read_outcome(page.map(|it| {
                let found = it.entries.len();
                let entries: Vec<_> =
                    it.entries.into_iter().take_while(|it| span.contains(&it.key)).collect();
                // If an entry lies past the end of the span, the span has no further entries.
                let more = it.more && entries.len() == found;
                (entries, more)
            }))
        }
        StoreAction::Create { key, value } => {
            write_outcome(store.create(&key.to_string(), value.as_bytes()).await)
        }
        StoreAction::CompareAndSwap { key, expected, value } => {
            let expected = kv_store::Revision(expected.0 as i64);
            write_outcome(
                store.compare_and_swap(&key.to_string(), expected, value.as_bytes()).await,
            )
        }
        StoreAction::Delete { key } => write_outcome(store.delete(&key.to_string(), None).await),
    };
    let outcome = match outcome {
        Ok(outcome) => outcome,
        Err(e @ (Error::Unreachable(_) | Error::OverBudget { .. } | Error::AnswerLost(_))) => {
            debug!(cx.log, "batch store call failed"; "error" => %e);
            return unavailable(&action, &e);
        }
        Err(e) => {
            warn!(cx.log, "batch store call refused"; "error" => %e);
            return unavailable(&action, &e);
        }
    };
    cx.platform_answered();
    outcome
}

/// Drives a state machine until it is done, and returns whether it was done before `deadline`.
pub async fn drive<M>(
    cx: &Shared,
    machine: &mut M,
    deadline: Timestamp,
    is_done: impl Fn(&mut M) -> bool,
    poll: impl Fn(&mut M, Now) -> Option<StoreAction>,
    on_outcome: impl Fn(&mut M, Now, StoreOutcome),
) -> bool {
    while !is_done(machine) {
        let at = now(cx);
        if at.mono >= deadline {
            return false;
        }
        match poll(machine, at) {
            Some(action) => {
                let outcome = perform(cx, action).await;
                on_outcome(machine, now(cx), outcome);
            }
            None => task::sleep(RETRY_POLL_INTERVAL).await,
        }
    }
    true
}

/// Reads one key as text; `None` if it does not exist.
///
/// # Errors
///
/// Fails if the service does not answer.
pub async fn get(cx: &Shared, key: &Key) -> kv_store::Result<Option<Value>> {
    let found = cx.store.get(&key.to_string()).await?;
    cx.platform_answered();
    Ok(found.and_then(|it| decode_text(it.value)))
}

fn unavailable(action: &StoreAction, error: &Error) -> StoreOutcome {
    let is_read = matches!(action, StoreAction::Get { .. } | StoreAction::Range { .. });
    // Only a write whose request may have been sent can have taken effect.
    match error {
        Error::AnswerLost(_) if !is_read => StoreOutcome::Unknown,
        _ => StoreOutcome::Unavailable,
    }
}

fn read_outcome(
    found: kv_store::Result<(Vec<kv_store::Entry>, bool)>,
) -> kv_store::Result<StoreOutcome> {
    let (entries, more) = found?;
    // Keys in another form do not belong to the crate `batch` and are skipped.
    let entries = entries.into_iter().filter_map(decode_entry).collect();
    Ok(StoreOutcome::Found { entries, more })
}

fn write_outcome(outcome: kv_store::Result<Outcome>) -> kv_store::Result<StoreOutcome> {
    Ok(match outcome? {
        Outcome::Won(revision) => StoreOutcome::Won { revision: Revision(revision.0 as u64) },
        Outcome::Lost(current) => StoreOutcome::Lost { current: current.and_then(decode_entry) },
        Outcome::Unknown => StoreOutcome::Unknown,
    })
}

fn decode_entry(it: kv_store::Entry) -> Option<Entry> {
    let revision = Revision(it.mod_revision.0 as u64);
    Some(Entry { key: Key::parse(&it.key)?, value: decode_text(it.value)?, revision })
}

fn decode_text(value: Vec<u8>) -> Option<Value> {
    String::from_utf8(value).ok().map(Value::from)
}
