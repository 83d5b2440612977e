//! Metadata that is exchanged with targets besides requests and answers.
//!
//! Only registered targets exchange any; targets of the fleet document do not.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use fleet::QualifiedName;
use http_edge::client::Failure;
use http_types::{Request, Response};
use platform::egress::{self, AnswerMetadata, NamedLimit, NotRun, RequestMetadata};
use policy::dispatch::{Event, NotRunCause, TargetLimit, TargetLoad};
use slog::{error, warn};
use stdx::{HeaderText, Name, Timestamp};

use super::{Call, Resumption, event_gap::EventGapMeter};
use crate::{
    control::ControlEvent,
    settings::{FleetSource, LearnedCapacity},
    shared::Shared,
    target_paths::{self, OnLoss, Outgoing, SendError, TargetRef},
};

/// Builds the request for one attempt; `None` if the address does not form a valid URL, or if the account or the target has a
/// name that no header can carry.
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
        FleetSource::Operator => {
            let account = call.account_id.map(|_| header_text(cx, call, &call.account.name));
            let account = match account {
                Some(account) => Some(account?),
                None => None,
            };
            egress::insert_metadata(
                &mut req,
                &RequestMetadata {
                    time_left: call.time_left(cx.clock.now()),
                    target: &header_text(cx, call, target)?,
                    account: account.as_ref(),
                    last_event,
                },
            );
        }
    }
    Some(req)
}

/// Sends one attempt of a request to a target, and returns the answer as soon as its head has arrived.
///
/// # Errors
///
/// Fails if no valid answer head arrives, or the request cannot be built.
pub async fn send(
    cx: &Shared,
    call: &Call,
    to: TargetRef<'_>,
    last_event: Option<u64>,
) -> Result<Response, SendError> {
    let on_loss = match call.resumption {
        Resumption::AnyTarget { .. } => OnLoss::SendAgainOrResume,
        _ if call.idempotent => OnLoss::SendAgain,
        _ => OnLoss::Wait,
    };
    let outgoing = Outgoing {
        request_id: &call.request_id,
        on_loss,
        may_reuse: true,
        build: &|| request(cx, call, to.address, to.target, last_event),
    };
    target_paths::send(cx, to, &outgoing).await
}

/// Converts a name to the value of a header; `None`, with a log line, if no header can carry it.
fn header_text(cx: &Shared, call: &Call, name: &Name) -> Option<HeaderText> {
    HeaderText::try_from(name.clone())
        .inspect_err(|e| error!(cx.log, "request cannot be built"; "request" => &call.request_id, "error" => %e))
        .ok()
}

/// Returns why a target did not run a request; `None` if it may have run it.
///
/// Also reports to the control thread the load, the limit and the shutdown of the target that the answer states. The request was
/// sent at `sent_at`.
pub fn not_run_cause(
    cx: &Shared,
    call: &Call,
    target: &Name,
    res: &Response,
    sent_at: Timestamp,
) -> Option<NotRunCause> {
    if cx.settings.source == FleetSource::Document {
        return None;
    }
    let AnswerMetadata { not_run, load, leaving, limit, cold_left } = egress::answer_metadata(res);
    if not_run != Some(NotRun::Misdirected) {
        report_limit(cx, (&call.service, target), limit, sent_at);
    }
    if let Some(left) = cold_left.filter(|_| not_run != Some(NotRun::Misdirected)) {
        report_cold(cx, (&call.service, target), left);
    }
    if leaving && not_run != Some(NotRun::Misdirected) {
        report_leaving(cx, &call.service, target);
    }
    if let Some(load) = load {
        report_load(cx, (&call.service, target), load, sent_at);
    }
    not_run.map(|it| match it {
        NotRun::Refused => NotRunCause::Full,
        NotRun::Misdirected => NotRunCause::Replaced,
    })
}

/// Returns whether the answer to a health check shows that the target can serve requests.
///
/// Also reports to the control thread the limit and the shutdown of the target that the answer states. The check was sent at
/// `sent_at`.
pub fn shows_health(
    cx: &Shared,
    res: &Response,
    service: &QualifiedName,
    target: &Name,
    sent_at: Timestamp,
) -> bool {
    match cx.settings.source {
        // Any answer shows that the target runs; its status says nothing about whether the target can serve requests.
        FleetSource::Document => true,
        FleetSource::Operator => {
            if egress::comes_from(res, target) {
                let AnswerMetadata { load, leaving, limit, cold_left, .. } =
                    egress::answer_metadata(res);
                report_limit(cx, (service, target), limit, sent_at);
                if let Some(left) = cold_left {
                    report_cold(cx, (service, target), left);
                }
                if cx.settings.learned_capacity != LearnedCapacity::Off
                    && let Some(load) = load
                {
                    report_load(cx, (service, target), load, sent_at);
                }
                if leaving {
                    report_leaving(cx, service, target);
                }
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

/// Reports the limit that an answer names to the control thread; also if it names none, which may end a limit.
fn report_limit(
    cx: &Shared,
    (service, target): (&QualifiedName, &Name),
    limit: NamedLimit,
    sent_at: Timestamp,
) {
    let limit = match limit {
        NamedLimit::None => None,
        NamedLimit::Millis(it) => Some(TargetLimit(it)),
        NamedLimit::Unreadable => {
            warn!(cx.log, "target names a limit that cannot be read"; "service" => %service, "target" => %target);
            return;
        }
    };
    let (service, target) = (service.clone(), target.clone());
    cx.control.send(ControlEvent::Dispatch(Event::AnswerLimit { service, target, limit, sent_at }));
}

fn report_cold(cx: &Shared, (service, target): (&QualifiedName, &Name), left: Duration) {
    let (service, target) = (service.clone(), target.clone());
    cx.control.send(ControlEvent::Dispatch(Event::TargetCold { service, target, left }));
}

fn report_load(
    cx: &Shared,
    (service, target): (&QualifiedName, &Name),
    load: egress::TargetLoad,
    sent_at: Timestamp,
) {
    let egress::TargetLoad { running, waiting, slots, slowdown } = load;
    cx.control.send(ControlEvent::Dispatch(Event::LoadReport {
        service: service.clone(),
        target: target.clone(),
        load: TargetLoad { running, waiting, slots, slowdown },
        sent_at: Some(sent_at),
    }));
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
