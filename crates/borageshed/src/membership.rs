//! Registers this daemon in the key-value service under a lease, and follows the registrations of the other daemons.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use async_std::task;
use fleet::{MEMBERS_PREFIX, MemberRecord};
use kv_store::{Entry, Error, LeaseId, Outcome, Store};
use overlay::Member;
use platform::mirror::{EntryChange, WatchTiming};
use policy::dispatch;
use slog::{debug, info, warn};
use stdx::{Name, Timestamp};

use crate::{
    control::{AdmittingInstance, ControlEvent},
    leases,
    peers::{PeerInfo, Peers, millicores},
    shared::Shared,
};

/// The time to live of the record's lease. The loss of a daemon is detected earlier through the links between peers;
/// the record only provides the address.
const LEASE_TTL: Duration = Duration::from_secs(15);
/// The interval between renewals of the lease. The lease survives two lost renewals in a row.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// How long a daemon is still dialled after its record has disappeared. A daemon that restarts during an outage of the
/// key-value service cannot register, so it relies on peers that still know its address.
const DIAL_RETENTION: Duration = Duration::from_secs(120);
/// How long a daemon waits before it first reads the registrations, if the whole fleet starts for the first time.
const FRESH_FLEET_WAIT: Duration = Duration::from_secs(1);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Keeps this daemon registered until it drains.
pub async fn register(cx: Arc<Shared>) {
    let record = MemberRecord {
        address: cx.settings.peer_advertise.unwrap_or(cx.settings.peer_listen),
        failure_domain: cx.settings.failure_domain.clone(),
        admits_callers: cx.settings.listen.is_some(),
        runs_items: cx.settings.batch.enabled,
        capacity: millicores(cx.settings.cpu_share),
        exchange_token: cx.target_paths.token().to_owned(),
    };
    let value = serde_json::to_vec(&record).expect("a record is plain JSON");
    while !cx.draining.is_set() {
        let sent_at = cx.clock.now();
        match write_record(&*cx.store, &cx.settings.instance, &value).await {
            Ok(lease) => {
                info!(cx.log, "daemon registered"; "lease" => lease.0);
                cx.platform_answered();
                report_registration(&cx, Some(sent_at));
                leases::keep_alive(&cx, lease, RENEWAL_INTERVAL, "registration", |sent_at| {
                    report_registration(&cx, Some(sent_at));
                })
                .await;
                report_registration(&cx, None);
            }
            Err(e) => {
                debug!(cx.log, "daemon not registered"; "error" => %e);
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn report_registration(cx: &Shared, renewed_at: Option<Timestamp>) {
    let event = dispatch::Event::Registration { renewed_at };
    cx.control.send(ControlEvent::Dispatch(event));
}

/// Writes the record of an instance under a new lease.
///
/// # Errors
///
/// Fails if the service does not answer, or if it is unknown whether the record was written. The caller must then write
/// it again: renewing the lease of a record that was never written would leave a daemon that no peer dials.
pub async fn write_record(
    store: &dyn Store,
    instance: &str,
    value: &[u8],
) -> kv_store::Result<LeaseId> {
    let lease = store.lease_grant(LEASE_TTL).await?;
    let key = format!("{MEMBERS_PREFIX}{instance}");
    match store.put_with_lease(&key, value, lease).await? {
        Outcome::Won(_) => Ok(lease),
        Outcome::Lost(_) | Outcome::Unknown => {
            Err(Error::AnswerLost(format!("it is not known whether {key} was written")))
        }
    }
}

/// Follows the records and updates the links and the control thread with the known daemons, until the daemon stops.
pub async fn follow(cx: Arc<Shared>, peers: Peers) {
    let mut members = BTreeMap::new();
    let mut recent = RecentDaemons::default();
    if cx.settings.peers.is_empty() {
        if cx.settings.fresh_fleet {
            task::sleep(FRESH_FLEET_WAIT).await;
        }
    } else {
        recent.publish(&cx, &peers, &members, false);
    }
    let mut are_current = false;
    let store = cx.platform_store().clone();
    store
        .follow_entries(MEMBERS_PREFIX, WatchTiming::default(), |change| {
            match change {
                EntryChange::CompleteTo(_) => return true,
                EntryChange::Listed { entries, .. } => {
                    are_current = true;
                    members = entries.iter().filter_map(|it| decode_member(&cx, it)).collect();
                }
                EntryChange::Written(entry) => members.extend(decode_member(&cx, &entry)),
                EntryChange::Removed(key) => {
                    if let Some(name) = key.strip_prefix(MEMBERS_PREFIX) {
                        members.remove(name);
                    }
                }
                EntryChange::Damaged(e) => {
                    warn!(cx.log, "record of a daemon cannot be read"; "error" => %e);
                }
                EntryChange::Lost(e) => {
                    are_current = false;
                    warn!(cx.log, "key-value service lost"; "of" => "daemons", "error" => %e);
                }
                EntryChange::Regained => {
                    are_current = true;
                    info!(cx.log, "key-value service regained"; "of" => "daemons");
                }
            }
            recent.publish(&cx, &peers, &members, are_current);
            true
        })
        .await;
}

fn decode_member(cx: &Shared, entry: &Entry) -> Option<(Name, PeerInfo)> {
    let name = Name::new(entry.key.strip_prefix(MEMBERS_PREFIX)?);
    match serde_json::from_slice::<MemberRecord>(&entry.value) {
        Ok(record) => {
            let member = Member {
                name: name.clone(),
                failure_domain: record.failure_domain,
                capacity: record.capacity,
                runs_items: record.runs_items,
                registered: true,
            };
            let info = PeerInfo {
                member,
                address: record.address,
                admits_callers: record.admits_callers,
                exchange_token: record.exchange_token,
            };
            Some((name, info))
        }
        Err(e) => {
            warn!(cx.log, "record of a daemon cannot be decoded"; "key" => %entry.key, "error" => %e);
            None
        }
    }
}

/// The daemons that are registered or were until recently.
#[derive(Debug, Default)]
struct RecentDaemons {
    daemons: BTreeMap<Name, (Timestamp, PeerInfo)>,
}

impl RecentDaemons {
    /// Updates the links to the daemons that the settings or recent records name. Records take precedence, because they
    /// are newer than the settings. `are_current` says whether the store or a relay answers for the records.
    fn publish(
        &mut self,
        cx: &Shared,
        peers: &Peers,
        members: &BTreeMap<Name, PeerInfo>,
        are_current: bool,
    ) {
        let now = cx.clock.now();
        for (name, info) in members {
            self.daemons.insert(name.clone(), (now, info.clone()));
        }
        self.daemons.retain(|_, (registered_at, _)| now.since(*registered_at) < DIAL_RETENTION);
        let admitting = members.values().filter(|it| it.admits_callers).map(|it| {
            let Member { name, failure_domain, capacity, .. } = &it.member;
            let admitting =
                AdmittingInstance { failure_domain: failure_domain.clone(), capacity: *capacity };
            (name.clone(), admitting)
        });
        let runners = members.values().filter(|it| it.member.runs_items);
        let runners: BTreeSet<Name> = runners.map(|it| it.member.name.clone()).collect();
        cx.set_item_runners(runners.clone());
        let from_settings = cx.settings.peers.iter().map(|peer| {
            let member = Member {
                name: peer.instance.clone(),
                failure_domain: peer.failure_domain.clone(),
                capacity: 0,
                runs_items: false,
                registered: false,
            };
            let info = PeerInfo {
                member,
                address: peer.address,
                admits_callers: false,
                exchange_token: String::new(),
            };
            (peer.instance.clone(), info)
        });
        let mut known: BTreeMap<Name, PeerInfo> = from_settings.collect();
        known.extend(self.daemons.iter().map(|(name, (_, info))| {
            let mut info = info.clone();
            info.member.registered = members.contains_key(name);
            (name.clone(), info)
        }));
        known.remove(&cx.settings.instance);
        debug!(cx.log, "registered daemons changed"; "daemons" => members.len(), "dialled" => known.len());
        let known: Vec<_> = known.into_values().collect();
        cx.target_paths.set_peers(&cx.settings.failure_domain, &known);
        peers.set_known(cx, known);
        let admitting = admitting.collect();
        cx.control.send(ControlEvent::Members { admitting, runners, are_current });
    }
}
