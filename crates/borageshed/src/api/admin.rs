//! Health, status, metrics and service-level burn for operators.

use std::{sync::Arc, time::Duration};

use http_types::{Response, StatusCode};
use serde_json::json;
use tide::Server;

use crate::{
    metrics::CallLabels,
    peers::Peers,
    shared::Shared,
    status::{ControlStatus, RateStatus, Status},
};

/// Builds the application that serves operators.
pub fn app(cx: Arc<Shared>) -> Server<Arc<Shared>> {
    let mut app = tide::with_state(cx);
    app.at("/healthz").get(|_| async { Ok(text(StatusCode::Ok, "ok\n")) });
    app.at("/readyz").get(ready);
    app.at("/status").get(status);
    app.at("/metrics").get(metrics);
    app.at("/burn").get(burn);
    app
}

async fn ready(req: super::Request) -> tide::Result {
    let cx = req.state();
    let is_admitting = cx.control.summary().await.is_some_and(|it| it.is_admitting);
    Ok(match cx.is_configured_and_accepting() && is_admitting {
        true => text(StatusCode::Ok, "ready\n"),
        false => text(StatusCode::ServiceUnavailable, "not ready\n"),
    })
}

async fn status(req: super::Request) -> tide::Result {
    let cx = req.state();
    let Some(control) = cx.control.status().await else {
        return Ok(text(StatusCode::ServiceUnavailable, "the control thread has ended\n"));
    };
    let status = build_status(cx, control);
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(json!(status));
    Ok(res.into())
}

async fn metrics(req: super::Request) -> tide::Result {
    let cx = req.state();
    if let Some(control) = cx.control.summary().await {
        cx.metrics.peers.set(control.peers.len() as i64);
        cx.metrics.lost_links.set(cx.target_paths.lost_count() as i64);
        cx.metrics.slots.set(i64::from(control.slots_held));
        let cold = control.services.iter().map(|it| it.cold_targets.len()).sum::<usize>();
        cx.metrics.cold_targets.set(cold as i64);
        cx.metrics.set_targets(&control.services);
    }
    cx.metrics.requests_open.set(cx.control.open_requests() as i64);
    cx.metrics.evacuated_domains.set(cx.evacuations.status().len() as i64);
    if let Some(age) = evacuations_age(cx) {
        cx.metrics.evacuations_age_ms.set(age.as_millis() as i64);
    }
    set_platform_calls(cx);
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(cx.metrics.text());
    res.insert_header("content-type", "application/openmetrics-text; version=1.0.0; charset=utf-8");
    Ok(res.into())
}

async fn burn(req: super::Request) -> tide::Result {
    let cx = req.state();
    let report = cx.burn.report(cx.clock.now(), &cx.settings.instance, cx.in_force.objective());
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(json!(report));
    Ok(res.into())
}

/// Updates the metrics of platform calls from the counts of the platform's client, which never decrease.
fn set_platform_calls(cx: &Shared) {
    for (kind, count) in cx.platform_calls() {
        let counter =
            cx.metrics.platform_calls.get_or_create(&CallLabels { kind: kind.to_owned() });
        counter.inc_by(count.saturating_sub(counter.get()));
    }
}

/// Returns the time since the evacuated failure domains were last read.
fn evacuations_age(cx: &Shared) -> Option<Duration> {
    cx.platform_store().copy_ages().remove(cx.settings.source.evacuations_prefix())
}

fn build_status(cx: &Shared, control: ControlStatus) -> Status {
    Status {
        instance: cx.settings.instance.clone(),
        failure_domain: cx.settings.failure_domain.clone(),
        ready: cx.is_configured_and_accepting() && control.is_admitting,
        draining: cx.draining.is_set(),
        revision: cx.in_force.number(),
        platform_silent_s: cx.platform_silent_s(),
        peers: control.peers,
        overlay: cx.peers.get().map(Peers::overlay),
        slots_held: control.slots_held,
        slots_of_peers: control.slots_of_peers,
        accounts_in_use: control.accounts_in_use,
        rate: RateStatus { ..control.rate },
        requests_open: control.requests_open,
        segments_owned: cx.batch.segments(),
        services: control.services,
        evacuations: cx.evacuations.status_if_known(cx),
        evacuations_age_ms: evacuations_age(cx).map(|it| it.as_millis() as u64),
    }
}

fn text(status: StatusCode, text: &str) -> tide::Response {
    let mut res = Response::new(status);
    res.set_body(text);
    res.into()
}
