//! Performs the side effects that the control thread requests.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use fleet::QualifiedName;
use http_types::{Method, Request, Url};
use kv_store::{Entry, Outcome, Revision};
use policy::{
    dispatch::{Event, Fingerprint},
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

fn verdict_key(fingerprint: &Fingerprint) -> String {
    format!("{POISON_PREFIX}{}", hex::encode(fingerprint))
}

/// Reads the stored verdicts once, as soon as the key-value service answers. They remain valid after the instance that
/// issued them has stopped.
pub async fn load_verdicts(cx: Arc<Shared>) {
    loop {
        match cx.platform_store().shared_entries(POISON_PREFIX, SHARED_READ_TIMEOUT).await {
            Ok(entries) => {
                let digits = entries.iter().filter_map(|it| it.key.strip_prefix(POISON_PREFIX));
                for fingerprint in digits.filter_map(parse_fingerprint) {
                    cx.control.send(ControlEvent::Dispatch(Event::PoisonVerdict { fingerprint }));
                }
                return;
            }
            Err(e) => debug!(cx.log, "poison verdicts not read"; "error" => %e),
        }
        task::sleep(VERDICTS_RETRY_DELAY).await;
    }
}

fn parse_fingerprint(digits: &str) -> Option<Fingerprint> {
    hex::decode(digits).ok()?.try_into().ok()
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
