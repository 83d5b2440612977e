//! Performs the side effects that the control thread requests.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use fleet::QualifiedName;
use http_types::{Method, Request, Url};
use kv_store::{Entry, Outcome, Revision};
use policy::{
    dispatch::{Event, Fingerprint, MAX_LIFETIME_FACTOR, PartId},
    slots::{SlotAction, SlotOutcome, SlotRecord, StoreRevision, StoredSlot},
};
use slog::{debug, info, warn};
use stdx::Name;

use crate::{
    control::{ControlEvent, Effect},
    online::protocol,
    peers::Peers,
    shared::Shared,
};

/// How long a target may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a poison verdict is kept in the key-value service.
const VERDICT_TTL: Duration = Duration::from_secs(3_600);
/// The delay before a failed read of the stored verdicts is retried.
const VERDICTS_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The timeout of a read that goes through relays.
const SHARED_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// The prefix of the slot records.
pub const SLOTS_PREFIX: &str = "slots/";
/// The prefix of the poison verdicts.
pub const POISON_PREFIX: &str = "poison/";
/// What distinguishes the keys of verdicts on prompt parts from those of verdicts on requests.
const PART_KEY: &str = "part/";

/// Performs effects until the control thread ends.
pub async fn run(cx: Arc<Shared>, peers: Peers, effects: async_channel::Receiver<Effect>) {
    while let Ok(effect) = effects.recv().await {
        match effect {
            Effect::SendRate { to, message } => peers.send_rate(&to, message),
            Effect::Probe { service, target } => {
                task::spawn(probe(Arc::clone(&cx), service, target));
            }
            Effect::ShareLoad => peers.share_load(&cx),
            Effect::ShareVerdict { fingerprint } => {
                warn!(cx.log, "request fingerprint is poison"; "fingerprint" => hex::encode(fingerprint));
                peers.send_verdict(None, &fingerprint);
                task::spawn(store_verdict(Arc::clone(&cx), fingerprint));
            }
            Effect::RepeatVerdict { to, fingerprint } => {
                peers.send_verdict(to.as_ref(), &fingerprint);
            }
            Effect::LiftVerdict { fingerprint } => {
                warn!(cx.log, "request fingerprint is no longer poison: a target that it was blamed for is alive";
                    "fingerprint" => hex::encode(fingerprint));
                task::spawn(remove_verdict(Arc::clone(&cx), fingerprint));
            }
            Effect::ShareSuspicion(suspicion) => {
                info!(cx.log, "target crashed while running a request"; "target" => %suspicion.target,
                    "fingerprint" => hex::encode(suspicion.fingerprint));
                peers.broadcast_suspicion(&suspicion);
            }
            Effect::SharePartCrash { target, parts } => {
                info!(cx.log, "target crashed before it answered on these prompt parts"; "target" => %target,
                    "parts" => parts.iter().map(part_digits).collect::<Vec<_>>().join(","));
                peers.broadcast_part_crash(&target, &parts);
            }
            Effect::SharePartVerdict { part, lifetime } => {
                warn!(cx.log, "prompt part crashes targets and is refused"; "part" => part_digits(&part),
                    "lifetime_s" => lifetime.as_secs());
                peers.broadcast_part_verdict(part, lifetime);
                task::spawn(store_part_verdict(Arc::clone(&cx), part, lifetime));
            }
            Effect::ShareClearedParts(parts) => {
                debug!(cx.log, "targets answer on suspect prompt parts";
                    "parts" => parts.iter().map(part_digits).collect::<Vec<_>>().join(","));
                peers.broadcast_cleared_parts(&parts);
            }
            Effect::LiftPartVerdict { part } => {
                warn!(cx.log, "prompt part no longer crashes targets"; "part" => part_digits(&part));
                task::spawn(remove_part_verdict(Arc::clone(&cx), part));
            }
            Effect::ShareClaim { to, claim } => {
                debug!(cx.log, "claim on the run of a suspect request sent"; "target" => %claim.target, "state" => ?claim.state,
                    "fingerprint" => hex::encode(claim.fingerprint));
                peers.send_claim(to.as_ref(), &claim);
            }
            Effect::Slot(action) => {
                task::spawn(perform_slot_action(Arc::clone(&cx), action));
            }
        }
    }
}

async fn probe(cx: Arc<Shared>, service: QualifiedName, target: Name) {
    let ok = is_healthy(&cx, &service, &target).await;
    debug!(cx.log, "target probed"; "service" => %service, "target" => %target, "ok" => ok);
    cx.control.send(ControlEvent::Dispatch(Event::Probed { service, target, ok }));
}

async fn is_healthy(cx: &Shared, service: &QualifiedName, target: &Name) -> bool {
    let Some(address) = cx.directory.address(service, target) else { return false };
    let Some(in_force) = cx.in_force.get() else { return false };
    let path = in_force.document().services.get(service).map(|it| it.health_path.clone());
    let Some(path) = path else { return false };
    let Ok(url) = Url::parse(&format!("http://{address}{path}")) else { return false };
    let req = Request::new(Method::Get, url);
    let request_id = cx.request_id();
    let answer = cx.client.send_over_new_connection(address, &request_id, req);
    match timeout(PROBE_TIMEOUT, answer).await {
        Ok(Ok(res)) => protocol::shows_health(cx, &res, service, target),
        Ok(Err(_)) | Err(_) => false,
    }
}

async fn store_verdict(cx: Arc<Shared>, fingerprint: Fingerprint) {
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
async fn remove_verdict(cx: Arc<Shared>, fingerprint: Fingerprint) {
    match cx.store.delete(&verdict_key(&fingerprint), None).await {
        Ok(Outcome::Won(_)) => cx.platform_answered(),
        Ok(outcome) => debug!(cx.log, "poison verdict not removed"; "outcome" => ?outcome),
        Err(e) => warn!(cx.log, "poison verdict not removed"; "error" => %e),
    }
}

/// Stores a verdict on a prompt part for the longest time that an instance refuses the part.
async fn store_part_verdict(cx: Arc<Shared>, part: PartId, lifetime: Duration) {
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

async fn remove_part_verdict(cx: Arc<Shared>, part: PartId) {
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

fn part_digits(part: &PartId) -> String {
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

async fn perform_slot_action(cx: Arc<Shared>, action: SlotAction) {
    match action {
        SlotAction::ReadAll { read, must_be_current } => {
            let entries = match must_be_current {
                true => cx.store.range(SLOTS_PREFIX).await.map(|it| it.entries),
                false => {
                    cx.platform_store().shared_entries(SLOTS_PREFIX, SHARED_READ_TIMEOUT).await
                }
            };
            match entries {
                Ok(entries) => {
                    let records: BTreeMap<u32, StoredSlot> =
                        entries.iter().filter_map(numbered_slot).collect();
                    cx.control.send(ControlEvent::SlotsRead { read, records });
                }
                Err(e) => debug!(cx.log, "rate slots not read"; "error" => %e),
            }
        }
        SlotAction::CompareAndSwap { slot, expected, record } => {
            let outcome = write_slot(&cx, slot, expected, &record).await;
            info!(cx.log, "rate slot written"; "slot" => slot, "outcome" => ?outcome);
            cx.control.send(ControlEvent::SlotWritten { slot, record, outcome });
        }
    }
}

async fn write_slot(
    cx: &Shared,
    slot: u32,
    expected: Option<StoreRevision>,
    record: &SlotRecord,
) -> SlotOutcome {
    let Ok(value) = serde_json::to_vec(record) else { return SlotOutcome::Unknown };
    let expected = Revision(expected.map_or(0, |it| it.0 as i64));
    match cx.store.compare_and_swap(&slot_key(slot), expected, &value).await {
        Ok(Outcome::Won(revision)) => SlotOutcome::Won(StoreRevision(revision.0 as u64)),
        Ok(Outcome::Lost(current)) => SlotOutcome::Lost(current.as_ref().and_then(stored_slot)),
        Ok(Outcome::Unknown) => SlotOutcome::Unknown,
        Err(e) => {
            debug!(cx.log, "rate slot not written"; "slot" => slot, "error" => %e);
            SlotOutcome::Unknown
        }
    }
}

fn numbered_slot(entry: &Entry) -> Option<(u32, StoredSlot)> {
    let number = entry.key.strip_prefix(SLOTS_PREFIX)?.parse().ok()?;
    Some((number, stored_slot(entry)?))
}

fn stored_slot(entry: &Entry) -> Option<StoredSlot> {
    let record = serde_json::from_slice(&entry.value).ok()?;
    Some(StoredSlot { revision: StoreRevision(entry.mod_revision.0 as u64), record })
}

fn slot_key(slot: u32) -> String {
    format!("{SLOTS_PREFIX}{slot:05}")
}
