//! The attempts of requests with one fingerprint: on which targets they ran, and which of these died.

use std::time::Duration;

use fleet::QualifiedName;
use stdx::{Name, Timestamp};

use super::MAX_TARGETS;

/// How long to wait for the verdict of the peer that saw the second death. Without a verdict the death is not counted:
/// either the peer found another suspect on the target, or the peer is lost. In the second case the request can crash one
/// more target.
pub(super) const VERDICT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long, after the wait for reports of peers, the target list has to confirm a death. The list drops a target after
/// three missed heartbeats of 1.2 s; the rest allows for the delivery of the list.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);

/// The attempts of requests with one fingerprint.
#[derive(Debug, Default)]
pub(super) struct History {
    pub incarnations: Vec<Incarnation>,
    /// Whether a request with the fingerprint completed since this entry was created, and no target died after that.
    pub proven_safe: bool,
    pub expires: Timestamp,
    pub pending: Option<PendingVerdict>,
}

/// The attempts on one incarnation of a target.
#[derive(Debug)]
pub(super) struct Incarnation {
    pub target: Name,
    pub in_flight: u32,
    pub died: bool,
    pub died_at: Timestamp,
    /// Whether the target list still names the target that died, so that it may be alive.
    pub unconfirmed: bool,
    /// Whether the target was leaving when it died. A shutdown that took too long, and not the request, may have ended it.
    pub was_leaving: bool,
    /// Whether another suspect was in flight on the target when it died, so that the end of the attempts that are still in
    /// flight is no evidence.
    pub inconclusive: bool,
}

/// A death that completes the evidence for a verdict, unless another suspect was on the target.
#[derive(Debug)]
pub(super) struct PendingVerdict {
    pub service: QualifiedName,
    pub target: Name,
    /// When the attempt started, if this instance made it and so decides on the verdict. Deaths reported on the target
    /// before that belong to an earlier crash.
    pub attempt_started: Option<Timestamp>,
    pub died_at: Timestamp,
    pub due_at: Timestamp,
    /// Whether another suspect is known to have been on the target.
    pub had_other_suspect: bool,
}

impl Incarnation {
    pub fn new(target: Name) -> Self {
        Self {
            target,
            in_flight: 1,
            died: false,
            died_at: Timestamp::ZERO,
            unconfirmed: false,
            was_leaving: false,
            inconclusive: false,
        }
    }
}

impl History {
    pub fn is_idle(&self) -> bool {
        self.pending.is_none() && self.incarnations.iter().all(|it| it.in_flight == 0)
    }

    /// Returns whether the death of a target is not confirmed, so that it may be alive.
    pub fn has_unconfirmed_death(&self) -> bool {
        self.incarnations.iter().any(|it| it.died && it.unconfirmed)
    }

    pub fn verdict_deadline(&self, pending: &PendingVerdict) -> Timestamp {
        let timeout =
            if self.has_unconfirmed_death() { CONFIRMATION_TIMEOUT } else { Duration::ZERO };
        pending.due_at + timeout
    }

    /// Confirms a death because the target list no longer names the target. If a peer decides on the verdict, the wait
    /// is extended, because the list may reach that peer later than this instance.
    pub fn confirm_death(&mut self, now: Timestamp, target: &Name) {
        let died = self.incarnations.iter_mut().filter(|it| it.died && it.target == *target);
        if died.map(|it| std::mem::take(&mut it.unconfirmed)).fold(false, |any, it| any | it)
            && let Some(pending) = &mut self.pending
            && pending.attempt_started.is_none()
        {
            pending.due_at = pending.due_at.max(now + VERDICT_TIMEOUT);
        }
    }

    /// Discards the matching deaths, and the pending verdict if too few deaths are left.
    pub fn discard_deaths(&mut self, matches: impl Fn(&Incarnation) -> bool) {
        for incarnation in self.incarnations.iter_mut().filter(|it| it.died && matches(it)) {
            (incarnation.died, incarnation.unconfirmed) = (false, false);
        }
        self.incarnations.retain(|it| it.died || it.in_flight > 0);
        if self.conclusive_deaths() < MAX_TARGETS {
            self.pending = None;
        }
    }

    /// Discards the pending verdict and the death that completed its evidence. Another suspect may have caused the crash, and
    /// evidence requires an attempt without other suspects on the target.
    pub fn set_inconclusive(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        let last = self.incarnations.iter().rposition(|it| it.died && it.target == pending.target);
        let Some(last) = last else { return };
        self.incarnations[last].died = false;
        self.incarnations[last].inconclusive = true;
        self.incarnations.retain(|it| it.died || it.in_flight > 0);
    }

    /// Returns the number of deaths that a shutdown of the target cannot explain.
    pub fn conclusive_deaths(&self) -> usize {
        self.incarnations.iter().filter(|it| it.died && !it.was_leaving).count()
    }

    pub fn is_suspect(&self) -> bool {
        self.incarnations.iter().any(|it| it.died)
    }

    pub fn is_restricted(&self) -> bool {
        self.is_suspect() || (!self.proven_safe && self.incarnations.len() >= MAX_TARGETS)
    }
}
