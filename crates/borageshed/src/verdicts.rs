//! Verdicts on requests and prompt parts that crash targets, in the key-value service. They outlive the instance that reached them.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kv_store::{Entry, Outcome};
use policy::dispatch::{Event, Fingerprint, MAX_LIFETIME_FACTOR, PartId};
use slog::{debug, warn};

use crate::{control::ControlEvent, effects::SHARED_READ_TIMEOUT, shared::Shared};

/// How long a poison verdict is kept in the key-value service.
const VERDICT_TTL: Duration = Duration::from_secs(3_600);
/// The delay before a failed read of the stored verdicts is retried.
const VERDICTS_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The prefix of the poison verdicts.
pub const POISON_PREFIX: &str = "poison/";
/// What distinguishes the keys of verdicts on prompt parts from those of verdicts on requests.
const PART_KEY: &str = "part/";

/// Stores a verdict on a request.
pub async fn store_verdict(cx: Arc<Shared>, fingerprint: Fingerprint) {
    let key = verdict_key(&fingerprint);
    let stored = async {
        let lease = cx.store.lease_grant(VERDICT_TTL).await?;
        cx.store.put_with_lease(&key, b"{}", lease).await
    };
    match stored.await {
        Ok(Outcome::Won(_)) => cx.platform_answered(),
        Ok(outcome) => {
            warn!(cx.log, "unknown whether the poison verdict was stored"; "outcome" => ?outcome)
        }
        Err(e) => warn!(cx.log, "poison verdict not stored"; "error" => %e),
    }
}

/// Removes a stored verdict, so that instances that start later do not apply it.
pub async fn remove_verdict(cx: Arc<Shared>, fingerprint: Fingerprint) {
    match cx.store.delete(&verdict_key(&fingerprint), None).await {
        Ok(Outcome::Won(_)) => cx.platform_answered(),
        Ok(outcome) => debug!(cx.log, "poison verdict not removed"; "outcome" => ?outcome),
        Err(e) => warn!(cx.log, "poison verdict not removed"; "error" => %e),
    }
}

/// Stores a verdict on a prompt part for the longest time that an instance refuses the part.
pub async fn store_part_verdict(cx: Arc<Shared>, part: PartId, lifetime: Duration) {
    let value = lifetime.as_millis().to_string();
    let stored = async {
        let lease = cx.store.lease_grant(lifetime.mul_f64(MAX_LIFETIME_FACTOR)).await?;
        cx.store.put_with_lease(&part_verdict_key(part), value.as_bytes(), lease).await
    };
    match stored.await {
        Ok(Outcome::Won(_)) => cx.platform_answered(),
        Ok(outcome) => {
            warn!(cx.log, "unknown whether the verdict on a prompt part was stored"; "outcome" => ?outcome)
        }
        Err(e) => warn!(cx.log, "verdict on a prompt part not stored"; "error" => %e),
    }
}

/// Removes a stored verdict on a prompt part.
pub async fn remove_part_verdict(cx: Arc<Shared>, part: PartId) {
    match cx.store.delete(&part_verdict_key(part), None).await {
        Ok(Outcome::Won(_)) => cx.platform_answered(),
        Ok(outcome) => {
            debug!(cx.log, "verdict on a prompt part not removed"; "outcome" => ?outcome)
        }
        Err(e) => warn!(cx.log, "verdict on a prompt part not removed"; "error" => %e),
    }
}

fn part_verdict_key(part: PartId) -> String {
    format!("{POISON_PREFIX}{PART_KEY}{}", part_digits(&part))
}

/// Returns the digits by which keys and log lines name a prompt part.
pub fn part_digits(part: &PartId) -> String {
    format!("{:016x}", part.0)
}

fn verdict_key(fingerprint: &Fingerprint) -> String {
    format!("{POISON_PREFIX}{}", hex::encode(fingerprint))
}

/// Reads the stored verdicts once, as soon as the key-value service answers. They remain valid after the instance that
/// issued them has stopped.
pub async fn load_verdicts(cx: Arc<Shared>) {
    loop {
        match cx.platform_store().shared_entries(POISON_PREFIX, SHARED_READ_TIMEOUT).await {
            Ok(entries) => {
                for event in entries.iter().filter_map(decode_verdict) {
                    cx.control.send(ControlEvent::Dispatch(event));
                }
                return;
            }
            Err(e) => debug!(cx.log, "poison verdicts not read"; "error" => %e),
        }
        task::sleep(VERDICTS_RETRY_DELAY).await;
    }
}

/// Decodes a stored verdict on a request or on a prompt part.
fn decode_verdict(entry: &Entry) -> Option<Event> {
    let key = entry.key.strip_prefix(POISON_PREFIX)?;
    let Some(part) = key.strip_prefix(PART_KEY) else {
        return Some(Event::PoisonVerdict { fingerprint: hex::decode(key).ok()?.try_into().ok()? });
    };
    let part = PartId(u64::from_str_radix(part, 16).ok()?);
    let lifetime = std::str::from_utf8(&entry.value).ok()?.parse().ok()?;
    Some(Event::PartVerdict { part, lifetime: Duration::from_millis(lifetime) })
}
