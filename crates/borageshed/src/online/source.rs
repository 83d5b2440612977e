//! The target that sends an answer, and whether its version is the one that this instance heard of.
//!
//! A target may start again under its id and address with software of another version. An instance that has not heard of it still places
//! requests there under the earlier version, so what it heard proves nothing about a process that accepted a connection later.

use std::time::{Duration, Instant};

use async_std::task;
use fleet::QualifiedName;
use http_edge::client::AnswerInfo;
use http_types::Response;
use slog::info;
use stdx::Name;

use crate::{settings::FleetSource, shared::Shared, target_paths::AnsweredThroughPeer};

/// The longest time that the list of targets is awaited before an answer goes on at another target.
const MAX_CHECK: Duration = Duration::from_millis(600);

/// The delay before a list of targets that could not be read is read again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The target that sends an answer.
#[derive(Debug, Clone)]
pub struct AnswerSource {
    /// The target.
    pub target: Name,
    /// The version under which the request was placed there.
    pub version: Name,
    /// When the connection had been opened.
    pub opened_at: Instant,
}

/// What is known about the version of a target that sends an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionCheck {
    /// The first list of targets that is newer than the connection names the version.
    Confirmed,
    /// That list names another version.
    Changed,
    /// No list that is newer than the connection could be read, or it does not name the target.
    Unconfirmed,
}

impl AnswerSource {
    /// Returns the source of an answer to a request that was placed at a target of a version.
    pub fn of(res: &Response, target: &Name, version: &Name) -> Self {
        let direct = res.ext().get::<AnswerInfo>().map(|it| it.opened_at);
        let through_peer = res.ext().get::<AnsweredThroughPeer>().map(|it| it.opened_at);
        let opened_at = direct.or(through_peer).unwrap_or_else(Instant::now);
        Self { target: target.clone(), version: version.clone(), opened_at }
    }

    /// Checks the version of the target against a list that is newer than its connection; reads one if there is none yet.
    pub async fn check_version(
        &self,
        cx: &Shared,
        service: &QualifiedName,
        time_left: Duration,
    ) -> VersionCheck {
        if cx.settings.source == FleetSource::Document {
            // The targets of a document have no versions.
            return VersionCheck::Confirmed;
        }
        let started = Instant::now();
        let max_check = MAX_CHECK.min(time_left / 2);
        let limit = self.opened_at.elapsed() + max_check;
        let mut is_confirmed = cx.streams.confirm_targets(cx, self.opened_at, limit).await;
        // A read over a connection that was cut fails at once, and the next one may succeed.
        while !is_confirmed && started.elapsed() < max_check {
            task::sleep(RETRY_DELAY).await;
            is_confirmed = cx.streams.confirm_targets(cx, self.opened_at, limit).await;
        }
        let check = self.check_known_version(cx, service);
        if check != VersionCheck::Confirmed {
            info!(
                cx.log, "version of an answer is not certain";
                "service" => %service, "target" => %self.target, "version" => %self.version, "check" => ?check
            );
        }
        check
    }

    /// Checks the version of the target against the lists that are known, without reading one.
    pub fn check_known_version(&self, cx: &Shared, service: &QualifiedName) -> VersionCheck {
        if cx.settings.source == FleetSource::Document {
            return VersionCheck::Confirmed;
        }
        match cx.streams.confirmed_version(service, &self.target, self.opened_at) {
            Some(version) if version == self.version => VersionCheck::Confirmed,
            Some(_) => VersionCheck::Changed,
            None => VersionCheck::Unconfirmed,
        }
    }
}
