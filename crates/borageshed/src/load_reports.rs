//! Reads the load reports of targets, which lag behind their actual load, and passes them to the control thread. On demand of the
//! control thread, it also reads the load of single targets before a request is sent.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, io::ReadExt as _, task};
use fleet::{QualifiedName, ServiceKind};
use futures::future::join_all;
use http_edge::client::{Client, ClientSettings, RequestIdCheck};
use http_types::{Method, Request, Url};
use policy::dispatch::{Event, TargetLoad};
use serde::Deserialize;
use stdx::Name;

use crate::{control::ControlEvent, online::protocol, settings::FleetSource, shared::Shared};

/// The minimum interval between reads of the load report of a target.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The interval per target of the failure domain. It keeps the reports of a large failure domain within 3 KB/s, as a
/// report takes about 400 bytes.
const INTERVAL_PER_TARGET: Duration = Duration::from_millis(130);
/// The timeout of a report; a later one would be too old to be useful.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout of a read for a waiting request, which waits for less.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// The maximum size of a report in bytes.
const MAX_REPORT_BYTES: u64 = 64 << 10;

/// The fields of a report that are used; engines send others as well.
#[derive(Debug, Deserialize)]
struct Report {
    running: u32,
    waiting: u32,
}

/// Creates the client that reads the load of registered targets.
///
/// Answers to health checks name no request, so they cannot share connections with other requests: an answer without a name on
/// such a connection may be a part of another one.
pub fn client() -> Client {
    let cfg = ClientSettings {
        connect_timeout: READ_TIMEOUT,
        first_byte_timeout: READ_TIMEOUT,
        gap_timeout: READ_TIMEOUT,
        max_body_bytes: MAX_REPORT_BYTES,
        max_idle_per_address: 1,
        request_id_check: RequestIdCheck::IfPresent,
        ..ClientSettings::default()
    };
    Client::new(cfg, |_| {})
}

/// Reads the reports until the daemon stops.
pub async fn run(cx: Arc<Shared>) {
    loop {
        let targets = reporting_targets(&cx);
        let interval =
            INTERVAL_PER_TARGET.saturating_mul(targets.len() as u32).max(MIN_REPORT_INTERVAL);
        join_all(targets.iter().map(|(service, target)| forward_report(&cx, service, target)))
            .await;
        task::sleep(interval).await;
    }
}

/// Returns the targets of model services in the failure domain of this instance. Targets elsewhere only get requests
/// that overflow, so their reports are not read.
fn reporting_targets(cx: &Shared) -> Vec<(QualifiedName, Name)> {
    let Some(in_force) = cx.in_force.get() else { return Vec::new() };
    let own_domain = &cx.settings.failure_domain;
    let services = in_force.document().services.iter();
    services
        .filter(|(_, it)| matches!(it.serves, ServiceKind::Model(_)))
        .flat_map(|(id, it)| it.targets.iter().map(move |(name, target)| (id, name, target)))
        .filter(|(_, _, target)| target.failure_domain == *own_domain)
        .map(|(id, name, _)| (id.clone(), name.clone()))
        .collect()
}

/// Reads the load of a target at the request of the control thread. Registered targets state it in their answers to health
/// checks.
pub async fn read(cx: Arc<Shared>, service: QualifiedName, target: Name) {
    cx.metrics.load_reads.inc();
    match cx.settings.source {
        FleetSource::Document => forward_report(&cx, &service, &target).await,
        FleetSource::Operator => {
            // Without an answer, the control thread decides by what it knows.
            let _ = timeout(READ_TIMEOUT, check_health(&cx, &service, &target)).await;
        }
    }
}

async fn check_health(cx: &Shared, service: &QualifiedName, target: &Name) -> Option<()> {
    let address = cx.directory.address(service, target)?;
    if !cx.evacuations.allows(cx, service, target) {
        return None;
    }
    let in_force = cx.in_force.get()?;
    let path = in_force.document().services.get(service).map(|it| it.health_path.clone())?;
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let sent_at = cx.clock.now();
    let req = Request::new(Method::Get, url);
    let mut res = cx.load_client.send(address, &cx.request_id(), req).await.ok()?;
    protocol::shows_health(cx, &res, service, target, sent_at);
    // Reads the rest, so that the connection can be reused.
    let rest = res.take_body().into_reader().take(MAX_REPORT_BYTES);
    async_std::io::copy(rest, async_std::io::sink()).await.ok()?;
    Some(())
}

async fn forward_report(cx: &Shared, service: &QualifiedName, target: &Name) {
    let sent_at = cx.clock.now();
    // Without a report, the load of a target is estimated from the requests in flight alone.
    if let Ok(Some(report)) = timeout(REPORT_TIMEOUT, fetch_report(cx, service, target)).await {
        cx.control.send(ControlEvent::Dispatch(Event::LoadReport {
            service: service.clone(),
            target: target.clone(),
            load: TargetLoad {
                running: report.running,
                waiting: report.waiting,
                ..TargetLoad::default()
            },
            sent_at: Some(sent_at),
        }));
    }
}

async fn fetch_report(cx: &Shared, service: &QualifiedName, target: &Name) -> Option<Report> {
    let address = cx.directory.address(service, target)?;
    if !cx.evacuations.allows(cx, service, target) {
        return None;
    }
    let url = Url::parse(&format!("http://{address}/load")).ok()?;
    let request_id = cx.request_id();
    let req = Request::new(Method::Get, url);
    let mut res = cx.client.send(address, &request_id, req).await.ok()?;
    let mut report = Vec::new();
    // A longer report is truncated and fails to parse.
    res.take_body().into_reader().take(MAX_REPORT_BYTES).read_to_end(&mut report).await.ok()?;
    serde_json::from_slice(&report).ok()
}
