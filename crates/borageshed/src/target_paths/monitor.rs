//! Notices lost links without waiting for a request to fail, and links that work again.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use fleet::QualifiedName;
use http_edge::client::Traffic;
use policy::paths::links::RECENT_CONTACT;
use slog::{info, warn};

use super::{State, TargetRef, send};
use crate::{
    directory::{TargetEntry, TargetName, TargetTable},
    shared::Shared,
};

/// How often links on which answers are owed, and lost links, are looked at.
const INTERVAL: Duration = Duration::from_millis(50);
/// The same while nothing is owed and no link is lost.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a target may owe an answer in silence while others in its failure domain are heard.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// The most checks that begin at once.
const MAX_CHECKS: usize = 8;
/// How often what is known of targets and daemons that have gone is dropped.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// Checks links until the daemon stops.
pub async fn run(cx: Arc<Shared>) {
    if !cx.target_paths.is_enabled() {
        return;
    }
    let mut lost_services = BTreeMap::new();
    let mut pruned_at = Instant::now();
    loop {
        let traffic = cx.client.all_traffic();
        let lost_count = cx.target_paths.lost_count();
        let is_busy = lost_count > 0 || traffic.iter().any(|it| it.owes_since.is_some());
        task::sleep(if is_busy { INTERVAL } else { IDLE_INTERVAL }).await;
        if !is_busy && lost_services.is_empty() {
            continue;
        }
        let table = cx.directory.snapshot();
        let mut checks = overdue(&cx, &table, &traffic);
        if lost_count > 0 {
            checks.extend(due_after_loss(&cx, &table));
        }
        for (name, entry) in checks.into_iter().take(MAX_CHECKS) {
            let (cx, name, address) = (Arc::clone(&cx), name.clone(), entry.address);
            task::spawn(async move {
                let TargetName { service, target } = &name;
                send::check_link(&cx, TargetRef { service, target, address }).await;
            });
        }
        if lost_count > 0 || !lost_services.is_empty() {
            report_services(&cx, &table, &mut lost_services);
        }
        if pruned_at.elapsed() >= PRUNE_INTERVAL {
            pruned_at = Instant::now();
            prune(&cx, &table);
        }
    }
}

type Check<'a> = (&'a TargetName, &'a TargetEntry);

/// Returns the targets that have owed an answer for too long without anything having arrived.
fn overdue<'a>(cx: &Shared, table: &'a TargetTable, traffic: &[Traffic]) -> Vec<Check<'a>> {
    let now = Instant::now();
    let silent: Vec<_> = traffic
        .iter()
        .filter_map(|it| Some((it.addr, it.silent_for(now)?)))
        .filter(|(_, silence)| *silence >= RECENT_CONTACT)
        .collect();
    if silent.is_empty() {
        return Vec::new();
    }
    let heard: Vec<_> = traffic
        .iter()
        .filter(|it| now.saturating_duration_since(it.received_at) < RECENT_CONTACT)
        .filter_map(|it| table.named_at(it.addr))
        .map(|(_, entry)| &entry.failure_domain)
        .collect();
    let mut state = cx.target_paths.lock();
    let State { links, .. } = &mut *state;
    silent
        .iter()
        .filter_map(|(address, silence)| Some((table.named_at(*address)?, *silence)))
        .filter(|((_, entry), silence)| {
            *silence >= MAX_SILENCE || !heard.contains(&&entry.failure_domain)
        })
        .map(|(check, _)| check)
        .filter(|(_, entry)| links.is_overdue(cx.clock.now(), entry.address))
        .collect()
}

/// Returns the targets whose lost link is due for a check, and those whose link is doubtful.
fn due_after_loss<'a>(cx: &Shared, table: &'a TargetTable) -> Vec<Check<'a>> {
    let now = cx.clock.now();
    let mut state = cx.target_paths.lock();
    let State { links, rng, .. } = &mut *state;
    let due: Vec<SocketAddr> = links.take_due_checks(now, rng);
    let mut checks: Vec<_> = due.iter().filter_map(|it| table.named_at(*it)).collect();
    for (name, entry) in table.listed() {
        if checks.len() >= MAX_CHECKS {
            break;
        }
        let heard_ago = super::heard_ago(cx, entry.address);
        if links.is_doubtful(now, entry.address, heard_ago)
            && links.begin_doubt_check(now, entry.address)
        {
            checks.push((name, entry));
        }
    }
    checks
}

/// Logs when this daemon has lost its links to all targets of a service that other daemons reach, and when it has one again.
fn report_services(
    cx: &Shared,
    table: &TargetTable,
    lost_services: &mut BTreeMap<QualifiedName, Instant>,
) {
    let mut links: BTreeMap<&QualifiedName, (usize, usize)> = BTreeMap::new();
    let state = cx.target_paths.lock();
    for (name, entry) in table.listed() {
        let (lost, all) = links.entry(&name.service).or_default();
        *lost += usize::from(state.links.fault(entry.address).is_some());
        *all += 1;
    }
    drop(state);
    for (service, (lost, all)) in links {
        let was_lost_at = lost_services.get(service).copied();
        match (lost == all, was_lost_at) {
            (true, None) => {
                warn!(
                    cx.log, "links to all targets of a service lost, which other daemons reach";
                    "service" => %service, "targets" => all
                );
                lost_services.insert(service.clone(), Instant::now());
            }
            (false, Some(at)) => {
                info!(
                    cx.log, "a target of a service is reached directly again";
                    "service" => %service, "lost_for_ms" => at.elapsed().as_millis() as u64,
                    "lost" => lost, "targets" => all
                );
                lost_services.remove(service);
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
    lost_services.retain(|service, _| table.listed().any(|(it, _)| it.service == *service));
}

/// Drops what is known of links to addresses that no target has any more.
fn prune(cx: &Shared, table: &TargetTable) {
    let mut state = cx.target_paths.lock();
    state.links.retain(|address| table.named_at(address).is_some());
}
