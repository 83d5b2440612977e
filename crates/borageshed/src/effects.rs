//! Performs the side effects that the control thread requests.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use fleet::QualifiedName;
use http_types::{Method, Request, Url};
use kv_store::{Entry, Outcome, Revision};
use policy::{
    dispatch::Event,
    slots::{SlotAction, SlotOutcome, SlotRecord, StoreRevision, StoredSlot},
};
use slog::{debug, info, warn};
use stdx::Name;

use crate::{
    control::{ControlEvent, Effect},
    load_reports,
    online::protocol,
    peers::Peers,
    shared::Shared,
    target_paths::{self, OnLoss, Outgoing, TargetRef},
    verdicts::{self, part_digits},
};

/// How long a target may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The timeout of a read that goes through relays.
pub const SHARED_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// The prefix of the slot records.
pub const SLOTS_PREFIX: &str = "slots/";

/// Performs effects until the control thread ends.
pub async fn run(cx: Arc<Shared>, peers: Peers, effects: async_channel::Receiver<Effect>) {
    while let Ok(effect) = effects.recv().await {
        match effect {
            Effect::SendRate { to, message } => peers.send_rate(&to, message),
            Effect::Probe { service, target } => {
                task::spawn(probe(Arc::clone(&cx), service, target));
            }
            Effect::ReadEvacuations => cx.evacuations.request_read(),
            Effect::ReadLoad { service, target } => {
                task::spawn(load_reports::read(Arc::clone(&cx), service, target));
            }
            Effect::ShareLoad => peers.share_load(&cx),
            Effect::ShareVerdict { fingerprint } => {
                warn!(cx.log, "request fingerprint is poison"; "fingerprint" => hex::encode(fingerprint));
                peers.send_verdict(None, &fingerprint);
                task::spawn(verdicts::store_verdict(Arc::clone(&cx), fingerprint));
            }
            Effect::RepeatVerdict { to, fingerprint } => {
                peers.send_verdict(to.as_ref(), &fingerprint);
            }
            Effect::LiftVerdict { fingerprint } => {
                warn!(cx.log, "request fingerprint is no longer poison: a target that it was blamed for is alive";
                    "fingerprint" => hex::encode(fingerprint));
                task::spawn(verdicts::remove_verdict(Arc::clone(&cx), fingerprint));
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
                task::spawn(verdicts::store_part_verdict(Arc::clone(&cx), part, lifetime));
            }
            Effect::ShareClearedParts(parts) => {
                debug!(cx.log, "targets answer on suspect prompt parts";
                    "parts" => parts.iter().map(part_digits).collect::<Vec<_>>().join(","));
                peers.broadcast_cleared_parts(&parts);
            }
            Effect::LiftPartVerdict { part } => {
                warn!(cx.log, "prompt part no longer crashes targets"; "part" => part_digits(&part));
                task::spawn(verdicts::remove_part_verdict(Arc::clone(&cx), part));
            }
            Effect::ShareClaim { to, claim } => {
                debug!(cx.log, "claim on the run of a suspect request sent"; "target" => %claim.target, "state" => ?claim.state,
                    "fingerprint" => hex::encode(claim.fingerprint));
                peers.send_claim(to.as_ref(), &claim);
            }
            Effect::ShareLimit { to, news } => peers.send_limit(to.as_ref(), &news),
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
    if !cx.evacuations.allows(cx, service, target) {
        return false;
    }
    let Some(in_force) = cx.in_force.get() else { return false };
    let path = in_force.document().services.get(service).map(|it| it.health_path.clone());
    let Some(path) = path else { return false };
    let Ok(url) = Url::parse(&format!("http://{address}{path}")) else { return false };
    let request_id = cx.request_id();
    let sent_at = cx.clock.now();
    let probe = Outgoing {
        request_id: &request_id,
        on_loss: OnLoss::SendAgain,
        may_reuse: false,
        build: &|| Some(Request::new(Method::Get, url.clone())),
    };
    let answer = target_paths::send(cx, TargetRef { service, target, address }, &probe);
    match timeout(PROBE_TIMEOUT, answer).await {
        Ok(Ok(res)) => protocol::shows_health(cx, &res, service, target, sent_at),
        Ok(Err(_)) | Err(_) => false,
    }
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
