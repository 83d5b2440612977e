//! Metadata that is exchanged with targets besides requests and answers.
//!
//! Only registered targets exchange any; targets of the fleet document do not.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use fleet::QualifiedName;
use http_edge::client::Failure;
use http_types::{Request, Response};
use platform::egress::{self, AnswerMetadata, NamedLimit, NotRun, RequestMetadata};
use policy::dispatch::{Event, NotRunCause};
use slog::{debug, warn};
use stdx::Name;

use super::{Call, event_gap::EventGapMeter};
use crate::{control::ControlEvent, settings::FleetSource, shared::Shared};

/// Builds the request for one attempt; `None` if the address does not form a valid URL.
///
/// `last_event` is the id of the last event that arrived, if a stream is to be continued.
pub fn request(
    cx: &Shared,
    call: &Call,
    address: SocketAddr,
    target: &Name,
    last_event: Option<u64>,
) -> Option<Request> {
    let mut req = call.message.request(address)?;
    match cx.settings.source {
        FleetSource::Document => {}
        FleetSource::Operator => egress::insert_metadata(
            &mut req,
            &RequestMetadata {
                time_left: call.time_left(cx.clock.now()),
                target,
                account: call.account_id.map(|_| &call.account.name),
                last_event,
            },
        ),
    }
    Some(req)
}

/// Returns why a target did not run a request; `None` if it may have run it.
///
/// Also reports to the control thread the load and the shutdown of the target that the answer states.
pub fn not_run_cause(
    cx: &Shared,
    call: &Call,
    target: &Name,
    res: &Response,
) -> Option<NotRunCause> {
    if cx.settings.source == FleetSource::Document {
        return None;
    }
    let AnswerMetadata { not_run, load, leaving, limit } = egress::answer_metadata(res);
    if not_run != Some(NotRun::Misdirected) {
        log_limit(cx, &call.service, target, limit);
    }
    if leaving && not_run != Some(NotRun::Misdirected) {
        report_leaving(cx, &call.service, target);
    }
    if let Some(load) = load {
        cx.control.send(ControlEvent::Dispatch(Event::LoadReport {
            service: call.service.clone(),
            target: target.clone(),
            in_flight: load.running.saturating_add(load.waiting),
        }));
    }
    not_run.map(|it| match it {
        NotRun::Refused => NotRunCause::Full,
        NotRun::Misdirected => NotRunCause::Replaced,
    })
}

/// Returns whether the answer to a health check shows that the target can serve requests.
///
/// Also reports to the control thread if the answer says that the target is shutting down.
pub fn shows_health(cx: &Shared, res: &Response, service: &QualifiedName, target: &Name) -> bool {
    match cx.settings.source {
        // Any answer shows that the target runs; its status says nothing about whether the target can serve requests.
        FleetSource::Document => true,
        FleetSource::Operator => {
            if egress::comes_from(res, target) && egress::answer_metadata(res).leaving {
                report_leaving(cx, service, target);
            }
            egress::is_healthy(res, target)
        }
    }
}

/// Reports the mean time between the events of a stream to the control thread, if a report is due.
pub fn report_event_gap(
    cx: &Shared,
    call: &Call,
    target: &Name,
    meter: &mut EventGapMeter,
    events: u64,
) {
    if let Some(gap) = meter.record(cx.clock.now(), events) {
        let (service, target) = (call.service.clone(), target.clone());
        cx.control.send(ControlEvent::Dispatch(Event::EventGap { service, target, gap }));
    }
}

fn log_limit(cx: &Shared, service: &QualifiedName, target: &Name, limit: NamedLimit) {
    match limit {
        NamedLimit::None => {}
        NamedLimit::Millis(it) => {
            debug!(cx.log, "target names a limit"; "service" => %service, "target" => %target, "limit_per_s" => it as f64 / 1_000.0);
        }
        NamedLimit::Unreadable => {
            warn!(cx.log, "target names a limit that cannot be read"; "service" => %service, "target" => %target);
        }
    }
}

fn report_leaving(cx: &Shared, service: &QualifiedName, target: &Name) {
    let (service, target) = (service.clone(), target.clone());
    cx.control.send(ControlEvent::Dispatch(Event::TargetLeaving { service, target }));
}

/// How long a connection attempt may take that only checks whether a target is alive.
const LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// What a new connection shows about a target whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The target accepts connections.
    Alive,
    /// The instance of the target answers, and nothing listens at the address.
    Ended,
    /// There is no answer, as behind a network partition.
    Unknown,
}

/// Checks whether a target whose connection broke still accepts connections.
pub async fn check_liveness(cx: &Shared, address: SocketAddr) -> Liveness {
    let check = cx.client.check_connection(address);
    match async_std::future::timeout(LIVENESS_CHECK_TIMEOUT, check).await {
        Ok(Ok(())) => Liveness::Alive,
        // A target that has too many connections resets further ones, so only a refusal shows that it has ended.
        Ok(Err(Failure::Connect(ErrorKind::ConnectionRefused))) => Liveness::Ended,
        Ok(Err(_)) | Err(_) => Liveness::Unknown,
    }
}
