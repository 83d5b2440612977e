//! Reads the load that targets report, which lags, and passes it to the control thread.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, io::ReadExt as _, task};
use fleet::{QualifiedName, ServiceKind};
use futures::future::join_all;
use http_types::{Method, Request, Url};
use policy::dispatch::Event;
use serde::Deserialize;
use stdx::Name;

use crate::{control::ControlEvent, shared::Shared};

/// How often each target is asked at most.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// The time per target that keeps the reports of a large failure domain within 3 KB/s: a report takes about 400 bytes.
const TIME_PER_TARGET: Duration = Duration::from_millis(130);
/// How long a target may take; a later report would be too old to be of use.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest report that is read, in bytes.
const MAX_REPORT_BYTES: u64 = 64 << 10;

/// The members of a report that count; engines add others.
#[derive(Debug, Deserialize)]
struct Report {
    running: u32,
    waiting: u32,
}

/// Runs until the daemon ends.
pub async fn run(cx: Arc<Shared>) {
    loop {
        let targets = reporting_targets(&cx);
        let interval = TIME_PER_TARGET.saturating_mul(targets.len() as u32).max(MIN_INTERVAL);
        join_all(targets.iter().map(|(service, target)| forward_report(&cx, service, target)))
            .await;
        task::sleep(interval).await;
    }
}

/// Returns the targets of model services in the own failure domain; others are used only for what spills over.
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

async fn forward_report(cx: &Shared, service: &QualifiedName, target: &Name) {
    // A target without a report is judged by the requests in flight alone.
    if let Ok(Some(report)) = timeout(REPORT_TIMEOUT, fetch_report(cx, service, target)).await {
        cx.control.send(ControlEvent::Dispatch(Event::LoadReport {
            service: service.clone(),
            target: target.clone(),
            in_flight: report.running.saturating_add(report.waiting),
        }));
    }
}

async fn fetch_report(cx: &Shared, service: &QualifiedName, target: &Name) -> Option<Report> {
    let address = cx.directory.address(service, target)?;
    let url = Url::parse(&format!("http://{address}/load")).ok()?;
    let request_id = cx.request_id();
    let req = Request::new(Method::Get, url);
    let mut res = cx.client.send(address, &request_id, req).await.ok()?;
    let mut report = Vec::new();
    // A longer one does not parse.
    res.take_body().into_reader().take(MAX_REPORT_BYTES).read_to_end(&mut report).await.ok()?;
    serde_json::from_slice(&report).ok()
}
