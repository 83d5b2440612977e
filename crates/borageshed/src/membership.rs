//! Registers this daemon in the key-value service under a lease, and follows which other daemons have done so.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_std::task;
use fleet::{MEMBERS_PREFIX, MemberRecord};
use kv_store::{Entry, Error, LeaseId, Outcome, Store};
use overlay::Member;
use platform::mirror::{EntryChange, WatchTiming};
use slog::{debug, info, warn};
use stdx::{Name, Timestamp};

use crate::{
    control::{AdmittingInstance, ControlEvent},
    leases,
    peers::{PeerInfo, Peers, millicores},
    shared::Shared,
};

/// The time to live of the record's lease. Links to peers show sooner that a daemon is gone; the record only tells where
/// to dial.
const TTL: Duration = Duration::from_secs(15);
/// How often the lease is renewed; two renewals in a row may be lost.
const RENEWAL: Duration = Duration::from_secs(5);
/// How long a daemon is dialled after its record is gone: one that starts again while the service is away cannot register,
/// and is found by those that remember it.
const REMEMBERED: Duration = Duration::from_secs(120);
/// How long a daemon of a fleet that starts for the first time waits before it reads who the others are.
const FRESH_FLEET_WAIT: Duration = Duration::from_secs(1);
/// The pause after a failed call.
const RETRY: Duration = Duration::from_millis(500);

/// Keeps this daemon registered until it drains.
pub async fn register(cx: Arc<Shared>) {
    let record = MemberRecord {
        address: cx.settings.peer_advertise.unwrap_or(cx.settings.peer_listen),
        failure_domain: cx.settings.failure_domain.clone(),
        admits_callers: cx.settings.listen.is_some(),
        runs_items: cx.settings.batch.enabled,
        capacity: millicores(cx.settings.cpu_share),
    };
    let value = serde_json::to_vec(&record).expect("a record is plain JSON");
    while !cx.draining.is_set() {
        match write_record(&*cx.store, &cx.settings.instance, &value).await {
            Ok(lease) => {
                info!(cx.log, "daemon registered"; "lease" => lease.0);
                cx.platform_answered();
                leases::keep(&cx, lease, RENEWAL, "registration", |_| ()).await;
            }
            Err(e) => {
                debug!(cx.log, "daemon not registered"; "error" => %e);
                task::sleep(RETRY).await;
            }
        }
    }
}

/// Writes the record of an instance under a new lease.
///
/// # Errors
///
/// Fails if the service does not answer. The record may have been written, but is not relied on: without it nobody would
/// dial this daemon, as long as its lease is renewed.
pub async fn write_record(
    store: &dyn Store,
    instance: &str,
    value: &[u8],
) -> kv_store::Result<LeaseId> {
    let lease = store.lease_grant(TTL).await?;
    let key = format!("{MEMBERS_PREFIX}{instance}");
    match store.put_with_lease(&key, value, lease).await? {
        Outcome::Won(_) => Ok(lease),
        Outcome::Lost(_) | Outcome::Unknown => {
            Err(Error::AnswerLost(format!("it is not known whether {key} was written")))
        }
    }
}

/// Follows the records and tells the links which daemons there are, until the daemon ends.
pub async fn follow(cx: Arc<Shared>, peers: Peers) {
    let mut members = BTreeMap::new();
    let mut remembered = Remembered::default();
    if cx.settings.peers.is_empty() {
        if cx.settings.fresh_fleet {
            task::sleep(FRESH_FLEET_WAIT).await;
        }
    } else {
        remembered.publish(&cx, &peers, &members);
    }
    let store = cx.platform_store().clone();
    store
        .follow_entries(MEMBERS_PREFIX, WatchTiming::default(), |change| {
            match change {
                EntryChange::Listed(entries) => {
                    members = entries.iter().filter_map(|it| member(&cx, it)).collect();
                }
                EntryChange::Written(entry) => members.extend(member(&cx, &entry)),
                EntryChange::Removed(key) => {
                    if let Some(name) = key.strip_prefix(MEMBERS_PREFIX) {
                        members.remove(name);
                    }
                }
                EntryChange::Damaged(e) => {
                    warn!(cx.log, "record of a daemon cannot be read"; "error" => %e);
                }
                EntryChange::Lost(e) => {
                    warn!(cx.log, "key-value service lost"; "of" => "daemons", "error" => %e);
                }
                EntryChange::Regained => {
                    info!(cx.log, "key-value service regained"; "of" => "daemons");
                }
            }
            remembered.publish(&cx, &peers, &members);
            true
        })
        .await;
}

fn member(cx: &Shared, entry: &Entry) -> Option<(Name, PeerInfo)> {
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
            let (address, admits_callers) = (record.address, record.admits_callers);
            Some((name, PeerInfo { member, address, admits_callers }))
        }
        Err(e) => {
            warn!(cx.log, "record of a daemon cannot be read"; "key" => %entry.key, "error" => %e);
            None
        }
    }
}

/// The daemons that were registered lately.
#[derive(Debug, Default)]
struct Remembered {
    daemons: BTreeMap<Name, (Timestamp, PeerInfo)>,
}

impl Remembered {
    /// Links with the daemons of the settings and with the registered ones, which are more recent.
    fn publish(&mut self, cx: &Shared, peers: &Peers, members: &BTreeMap<Name, PeerInfo>) {
        let now = cx.clock.now();
        for (name, info) in members {
            self.daemons.insert(name.clone(), (now, info.clone()));
        }
        self.daemons.retain(|_, (seen, _)| now.since(*seen) < REMEMBERED);
        let admitting = members.values().filter(|it| it.admits_callers).map(|it| {
            let Member { name, failure_domain, capacity, .. } = &it.member;
            let admitting =
                AdmittingInstance { failure_domain: failure_domain.clone(), capacity: *capacity };
            (name.clone(), admitting)
        });
        let runners = members.values().filter(|it| it.member.runs_items);
        cx.set_item_runners(runners.map(|it| it.member.name.clone()).collect());
        let from_settings = cx.settings.peers.iter().map(|peer| {
            let member = Member {
                name: peer.instance.clone(),
                failure_domain: peer.failure_domain.clone(),
                capacity: 0,
                runs_items: false,
                registered: false,
            };
            let info = PeerInfo { member, address: peer.address, admits_callers: false };
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
        peers.set(cx, known.into_values().collect());
        cx.control.send(ControlEvent::Members { admitting: admitting.collect() });
    }
}
