//! Reports of requests in flight between daemons.

use std::collections::BTreeMap;

use overlay::{
    Counts, LoadReports, Report, Router,
    loads::{Part, Sender},
};
use peer::{Heartbeat, LoadPart};
use policy::dispatch::{Event, PeerLoad};
use stdx::Name;

use crate::{
    directory::{ServiceId, TargetId, TargetName, TargetTable},
    status::LoadStatus,
};

/// A relay forwards the sums over the users of other relays only once in this many rounds: they matter only for requests
/// that find no free capacity in their own failure domain.
const ROUNDS_PER_REMOTE_REPORT: u64 = 3;

/// The load reports to send, by linked peer.
#[derive(Debug, Default)]
pub(super) struct Outgoing {
    pub(super) parts: Vec<(Name, Vec<LoadPart>)>,
}

/// Returns this daemon's own load report.
pub(super) fn own_report(status: &LoadStatus) -> Report {
    let targets = status.in_flight.iter().map(|it| {
        let counts = Counts {
            online: it.online,
            batch: it.batch,
            suspects: it.suspects,
            contending: it.contending,
            batch_contending: it.batch_contending,
            event_gap_ms: it.event_gap_ms,
            starts: it.starts,
            slowdown: it.slowdown,
        };
        (TargetId::of(&it.service, &it.target).0, counts)
    });
    let once = |services: &[fleet::QualifiedName]| {
        services.iter().map(|it| (ServiceId::of(it).0, 1)).collect()
    };
    Report {
        targets: targets.collect(),
        waiting: once(&status.waiting),
        batch_waiting: once(&status.batch_waiting),
    }
}

/// Returns the load reports that a daemon that is not linked with all others sends over its links. If `is_urgent`, a relay
/// sends them only to the daemons that run batch work and to other relays.
pub(super) fn outgoing_reports(
    router: &Router,
    reports: &mut LoadReports,
    own: (&Name, &Name, &Report),
    round: u64,
    is_urgent: bool,
) -> Outgoing {
    let (name, failure_domain, report) = own;
    let part = |report: &Report| Part {
        origin: name.clone(),
        failure_domain: failure_domain.clone(),
        report: report.clone(),
    };
    let is_runner = |it: &&Name| router.topology().runs_items(it);
    if !router.acts_as_relay() {
        let own_part = vec![to_wire(&part(report))];
        let runs_items = router.topology().own().runs_items;
        let peers = router.linked().filter(|it| is_runner(it) || router.is_relay(it));
        let to_all = peers.filter(|_| runs_items).chain(router.primary().filter(|_| !runs_items));
        return Outgoing { parts: to_all.map(|it| (it.clone(), own_part.clone())).collect() };
    }
    reports.retain_users(|it| router.is_subscriber(it));
    let sum = reports.sum(report);
    let sum_part = vec![to_wire(&part(&sum))];
    let runners = router.linked().filter(is_runner);
    let relays = router.relays().filter(|it| !is_runner(it));
    let mut parts: Vec<_> =
        runners.chain(relays).map(|it| (it.clone(), sum_part.clone())).collect();
    if is_urgent {
        return Outgoing { parts };
    }
    let remote: Vec<LoadPart> = match round % ROUNDS_PER_REMOTE_REPORT {
        0 => reports.remote_parts().map(to_wire).collect(),
        _ => Vec::new(),
    };
    let users = router.subscribers().filter(|it| !is_runner(it) && !router.is_relay(it));
    for user in users {
        let local = reports.local_parts(user, &sum, name, failure_domain);
        let local = local.iter().map(to_wire);
        parts.push((user.clone(), local.chain(remote.iter().cloned()).collect()));
    }
    Outgoing { parts }
}

/// Returns the kind of daemon that a report comes from, or `None` if such a daemon does not report to this one.
pub(super) fn sender(router: &Router, from: &Name) -> Option<Sender> {
    match router.topology().runs_items(from) {
        true => Some(Sender::Runner),
        false if router.is_relay(from) => Some(Sender::Relay),
        false => router.is_subscriber(from).then_some(Sender::User),
    }
}

/// Returns the dispatcher event for a part of a report. Targets that are unknown here are skipped, because this daemon sends
/// them no requests.
pub(super) fn dispatch_event(table: &TargetTable, part: &Part) -> Event {
    let loads = part.report.targets.iter().filter_map(|(id, counts)| {
        let TargetName { service, target } = table.target(TargetId(*id))?.clone();
        Some(PeerLoad {
            service,
            target,
            online: counts.online,
            batch: counts.batch,
            suspects: counts.suspects,
            contending: counts.contending,
            batch_contending: counts.batch_contending,
            event_gap_ms: counts.event_gap_ms,
            starts: counts.starts,
            slowdown: counts.slowdown,
        })
    });
    let services = |waiting: &BTreeMap<u64, u32>| {
        let known = waiting.iter().filter_map(|(id, count)| {
            let service = table.service(ServiceId(*id))?;
            Some(std::iter::repeat_n(service.clone(), *count as usize))
        });
        known.flatten().collect()
    };
    Event::PeerHeartbeat {
        peer: part.origin.clone(),
        failure_domain: part.failure_domain.clone(),
        loads: loads.collect(),
        waiting: services(&part.report.waiting),
        batch_waiting: services(&part.report.batch_waiting),
    }
}

/// Returns the heartbeat of a daemon that is linked with all others.
pub(super) fn heartbeat(revision: u64, report: &Report) -> Heartbeat {
    let counts = || report.targets.values();
    let is_limited = counts().any(|it| it.starts > 0);
    let has_slowdowns = counts().any(|it| it.slowdown > 0);
    let suspects = (0_u32..).zip(counts());
    let suspects = suspects.flat_map(|(at, it)| std::iter::repeat_n(at, it.suspects as usize));
    Heartbeat {
        revision,
        targets: report.targets.keys().copied().collect(),
        online: counts().map(|it| it.online).collect(),
        batch: counts().map(|it| it.batch).collect(),
        event_gap_ms: counts().map(|it| it.event_gap_ms).collect(),
        suspects: suspects.collect(),
        starts: counts().filter(|_| is_limited).map(|it| it.starts).collect(),
        slowdown: counts().filter(|_| has_slowdowns).map(|it| it.slowdown).collect(),
        waiting: report.waiting.keys().copied().collect(),
        batch_waiting: report.batch_waiting.keys().copied().collect(),
        ..Heartbeat::default()
    }
}

/// Decodes the heartbeat of a daemon. Its requests count as contending if other requests of the same service wait there.
pub(super) fn part_of_heartbeat(
    table: &TargetTable,
    from: &Name,
    failure_domain: Name,
    heartbeat: &Heartbeat,
) -> Part {
    let count = |counts: &[u32], at: usize| counts.get(at).copied().unwrap_or(0);
    let targets = heartbeat.targets.iter().enumerate().map(|(at, id)| {
        let (online, batch) = (count(&heartbeat.online, at), count(&heartbeat.batch, at));
        let service = table.service_of(TargetId(*id)).map(|it| it.0);
        let waits = |services: &[u64]| service.is_some_and(|it| services.contains(&it));
        let counts = Counts {
            online,
            batch,
            suspects: heartbeat.suspects.iter().filter(|it| **it as usize == at).count() as u32,
            contending: if waits(&heartbeat.waiting) { online } else { 0 },
            batch_contending: if waits(&heartbeat.batch_waiting) { batch } else { 0 },
            event_gap_ms: count(&heartbeat.event_gap_ms, at),
            starts: count(&heartbeat.starts, at),
            slowdown: count(&heartbeat.slowdown, at),
        };
        (*id, counts)
    });
    let once = |services: &[u64]| services.iter().map(|it| (*it, 1)).collect();
    let report = Report {
        targets: targets.collect(),
        waiting: once(&heartbeat.waiting),
        batch_waiting: once(&heartbeat.batch_waiting),
    };
    Part { origin: from.clone(), failure_domain, report }
}

fn to_wire(part: &Part) -> LoadPart {
    let Report { targets, waiting, batch_waiting } = &part.report;
    // Lists of zeros are left out.
    let list = |count: fn(&Counts) -> u32| -> Vec<u32> {
        let counts: Vec<u32> = targets.values().map(count).collect();
        if counts.iter().all(|it| *it == 0) { Vec::new() } else { counts }
    };
    LoadPart {
        origin: part.origin.to_string(),
        failure_domain: part.failure_domain.to_string(),
        targets: targets.keys().copied().collect(),
        online: list(|it| it.online),
        batch: list(|it| it.batch),
        suspects: list(|it| it.suspects),
        contending: list(|it| it.contending),
        batch_contending: list(|it| it.batch_contending),
        event_gap_ms: list(|it| it.event_gap_ms),
        starts: list(|it| it.starts),
        slowdown: list(|it| it.slowdown),
        waiting: waiting.keys().copied().collect(),
        waiting_instances: waiting.values().copied().collect(),
        batch_waiting: batch_waiting.keys().copied().collect(),
        batch_waiting_instances: batch_waiting.values().copied().collect(),
    }
}

pub(super) fn from_wire(part: &LoadPart) -> Part {
    let count = |counts: &[u32], at: usize| counts.get(at).copied().unwrap_or(0);
    let targets = part.targets.iter().enumerate().map(|(at, id)| {
        let counts = Counts {
            online: count(&part.online, at),
            batch: count(&part.batch, at),
            suspects: count(&part.suspects, at),
            contending: count(&part.contending, at),
            batch_contending: count(&part.batch_contending, at),
            event_gap_ms: count(&part.event_gap_ms, at),
            starts: count(&part.starts, at),
            slowdown: count(&part.slowdown, at),
        };
        (*id, counts)
    });
    let instances = |services: &[u64], counts: &[u32]| {
        let bounded = |at: usize| count(counts, at).min(MAX_INSTANCES_PER_RELAY);
        services.iter().enumerate().map(|(at, id)| (*id, bounded(at))).collect()
    };
    Part {
        origin: Name::new(&part.origin),
        failure_domain: Name::new(&part.failure_domain),
        report: Report {
            targets: targets.collect(),
            waiting: instances(&part.waiting, &part.waiting_instances),
            batch_waiting: instances(&part.batch_waiting, &part.batch_waiting_instances),
        },
    }
}

/// An upper bound on the instances whose reports one relay sums up; a larger count is an error of the sender.
const MAX_INSTANCES_PER_RELAY: u32 = 1_024;
