//! Follows the configuration and the targets that the platform's operator declares.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use fleet::QualifiedName;
use http_edge::server::ServerLimits;
use platform::{
    configuration::{self, CallerLimits, Configuration},
    registry::{self, RegisteredTarget},
};
use policy::dispatch::TargetInfo;
use slog::{error, info, warn};
use stdx::{Name, Timestamp};

use crate::{
    config_sync::{self, PeerRevision},
    control::ControlEvent,
    directory::{TargetEntry, TargetName, TargetTable},
    in_force::InForce,
    shared::Shared,
};

/// How long a peer may have a newer configuration in force before this daemon reads it again. Calls for changes, relays and
/// heartbeats usually take less than that.
const MAX_PEER_LEAD: Duration = Duration::from_millis(1_000);

/// Follows the operator's configuration until the daemon stops.
pub async fn follow_configuration(cx: Arc<Shared>) {
    let allowance = configuration::RateAllowance {
        share: cx.settings.rate_allowance.share,
        burst: cx.settings.rate_allowance.burst,
    };
    let store = cx.platform_store().clone();
    configuration::follow(store, allowance, |event| {
        match event {
            configuration::Event::Accepted(it) => apply_configuration(&cx, *it),
            configuration::Event::Unusable(e) => {
                error!(cx.log, "configuration cannot be used and is not put in force"; "error" => %e);
            }
            configuration::Event::StoreLost(e) => {
                warn!(cx.log, "key-value service lost"; "of" => "configuration", "error" => %e);
            }
            configuration::Event::StoreRegained => {
                info!(cx.log, "key-value service regained"; "of" => "configuration");
            }
        }
        cx.platform_answered();
        true
    })
    .await;
}

/// Reads the configuration again while peers have a newer one in force for longer than a change takes to reach every daemon. Then
/// the answer to the call that waits for changes is lost, or the relay that is asked has missed the change.
pub async fn catch_up_with_peers(
    cx: Arc<Shared>,
    announced: async_channel::Receiver<PeerRevision>,
) {
    while let Ok(PeerRevision { peer, revision }) = announced.recv().await {
        let in_force = cx.in_force.number();
        if revision <= in_force {
            continue;
        }
        task::sleep(MAX_PEER_LEAD).await;
        if cx.in_force.number() == in_force {
            warn!(
                cx.log, "a peer has a newer configuration in force; reading it again";
                "peer" => %peer, "revision" => revision, "in_force" => in_force
            );
            cx.platform_store().read_configuration_again();
        }
        // Announcements that came meanwhile are as old as this one; the peer repeats them.
        while announced.try_recv().is_ok() {}
    }
}

fn apply_configuration(cx: &Arc<Shared>, configuration: Configuration) {
    let Configuration { version, document, limits, unusable_accounts } = configuration;
    for account in &unusable_accounts {
        error!(
            cx.log, "account left out: no header can carry its name, so its keys are refused";
            "version" => version, "account" => ?account
        );
    }
    let routes = document.host_routes.len();
    let accounts = document.accounts.len();
    let next = InForce::from_document(version, document);
    match config_sync::advance(cx, next) {
        Some(_) => {
            set_caller_limits(cx, limits);
            info!(
                cx.log, "configuration taken"; "version" => version, "routes" => routes, "accounts" => accounts,
                "head_bytes" => limits.head_bytes, "body_bytes" => limits.body_bytes,
                "head_timeout_ms" => limits.head_timeout.as_millis() as u64,
                "idle_timeout_ms" => limits.idle_timeout.as_millis() as u64
            );
        }
        None => {
            warn!(cx.log, "configuration ignored, because it is not newer than the one in force"; "version" => version, "in_force" => cx.in_force.number());
        }
    }
}

/// Replaces the limits from the settings by those that the operator declares.
fn set_caller_limits(cx: &Shared, limits: CallerLimits) {
    let CallerLimits { head_bytes, body_bytes, head_timeout, idle_timeout } = limits;
    cx.caller_limits.set(ServerLimits {
        max_head_bytes: head_bytes,
        max_body_bytes: body_bytes,
        head_timeout,
        idle_timeout,
        // A client that stops half-way is released as an idle one is.
        body_gap_timeout: idle_timeout,
        write_timeout: idle_timeout,
        ..(*cx.caller_limits.get()).clone()
    });
}

/// Follows the registered targets until the daemon stops.
pub async fn follow_targets(cx: Arc<Shared>) {
    let store = cx.platform_store().clone();
    registry::follow(store, |event| {
        match event {
            registry::Event::Targets(targets) => publish_targets(&cx, targets),
            registry::Event::Unreadable { key, reason } => {
                warn!(cx.log, "registry entry does not describe a usable target"; "key" => key, "reason" => reason);
            }
            registry::Event::StoreLost(e) => {
                warn!(cx.log, "key-value service lost"; "of" => "targets", "error" => %e);
            }
            registry::Event::StoreRegained => {
                info!(cx.log, "key-value service regained"; "of" => "targets");
            }
            registry::Event::Gap => {
                info!(cx.log, "targets may have come and gone unseen");
                cx.streams.record_gap(&cx);
            }
            registry::Event::Confirmed(at) => cx.streams.confirm(&cx, at),
        }
        true
    })
    .await;
}

fn publish_targets(cx: &Shared, targets: Vec<RegisteredTarget>) {
    let name = |it: &RegisteredTarget| TargetName {
        service: it.service.clone(),
        target: it.id.name().clone(),
    };
    let entry = |it: &RegisteredTarget| TargetEntry {
        address: it.address,
        version: it.version.clone(),
        listed: it.listed,
        failure_domain: it.failure_domain.clone(),
        cold_until: it.cold_until.filter(|_| cx.settings.cold_start.bound().is_some()),
    };
    cx.directory.set(TargetTable::new(targets.iter().map(|it| (name(it), entry(it)))));
    let mut versions: BTreeMap<QualifiedName, BTreeSet<Name>> = BTreeMap::new();
    for target in &targets {
        versions.entry(target.service.clone()).or_default().insert(target.version.clone());
    }
    cx.streams.observe(cx, &versions);
    let mut services: BTreeMap<QualifiedName, Vec<TargetInfo>> = BTreeMap::new();
    let now = cx.clock.now();
    for target in targets {
        let info = TargetInfo {
            name: target.id.name().clone(),
            failure_domain: target.failure_domain,
            concurrency: target.concurrency,
            leaving: target.leaving,
            registered: true,
            incarnation: target.started_ms,
            version: target.version,
            cold_until: target
                .cold_until
                .map_or(Timestamp::ZERO, |it| now + it.saturating_duration_since(Instant::now())),
            // The configuration declares it.
            cold_rate_millis: 0,
        };
        services.entry(target.service).or_default().push(info);
    }
    cx.control.send(ControlEvent::Registry { services });
}
