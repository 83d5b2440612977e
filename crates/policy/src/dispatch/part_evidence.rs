//! Evidence about prompt parts: crashes, output and verdicts, of this instance and of its peers.

use std::time::Duration;

use stdx::{Name, Timestamp};

use super::{
    dispatcher::Dispatcher,
    prompt_parts::{Cleared, PartId},
    request::{Action, Reason},
    service::Phase,
};

impl Dispatcher {
    /// Handles the first output of a request's attempt, which shows that its target survives its prompt parts.
    pub(super) fn on_output_begun(&mut self, id: u64) {
        let Some(held) = self.in_flight_mut(id) else { return };
        if std::mem::replace(&mut held.has_output, true) {
            return;
        }
        let Phase::InFlight { since, .. } = held.phase else { return };
        held.version.get_or_insert_with(|| held.attempt_version.clone());
        let parts = &self.requests[&id].request.shared_parts;
        let Cleared { parts, lifted } = self.parts.record_output(since, parts);
        self.actions.extend(lifted.into_iter().map(|part| Action::LiftPartVerdict { part }));
        if !parts.is_empty() {
            self.actions.push(Action::ShareClearedParts(parts));
        }
    }

    /// Returns the parts that may have crashed the target of a request in flight; none if the target survived the beginning of
    /// an answer to the request, or if the request is known to be harmless.
    pub(super) fn suspect_parts(&self, id: u64) -> Vec<PartId> {
        let held = &self.requests[&id];
        match held.has_output || held.request.harmless {
            true => Vec::new(),
            false => held.request.shared_parts.clone(),
        }
    }

    /// Handles the crash of a target on which a request of this instance with these parts was in flight without output.
    pub(super) fn report_part_crash(&mut self, now: Timestamp, target: &Name, parts: Vec<PartId>) {
        if parts.is_empty() {
            return;
        }
        let condemned = self.record_part_crash(now, target, &parts);
        self.actions.push(Action::SharePartCrash { target: target.clone(), parts });
        if let Some((part, lifetime)) = condemned {
            self.actions.push(Action::SharePartVerdict { part, lifetime });
        }
    }

    /// Handles a crash that a peer saw. The peer that completes the evidence shares the verdict.
    pub(super) fn on_part_crash(&mut self, now: Timestamp, target: &Name, parts: &[PartId]) {
        self.record_part_crash(now, target, parts);
    }

    /// Handles a verdict of a peer or of the key-value service.
    pub(super) fn on_part_verdict(&mut self, now: Timestamp, part: PartId, lifetime: Duration) {
        let max = self.settings.max_verdicts;
        if self.parts.add_verdict(now, &mut self.rng, part, lifetime, max) {
            self.refuse_part(now, part, lifetime);
        }
    }

    fn record_part_crash(
        &mut self,
        now: Timestamp,
        target: &Name,
        parts: &[PartId],
    ) -> Option<(PartId, Duration)> {
        let max = self.settings.max_verdicts;
        let condemned = self.parts.record_crash(now, &mut self.rng, target, parts, max);
        if let Some((part, lifetime)) = condemned {
            self.refuse_part(now, part, lifetime);
        }
        condemned
    }

    /// Refuses the requests with a condemned part, but for those whose targets have survived the beginning of the answer.
    fn refuse_part(&mut self, now: Timestamp, part: PartId, lifetime: Duration) {
        self.refuse_matching(now, Reason::PoisonPart, lifetime, |it| {
            !it.has_output && it.request.shared_parts.contains(&part)
        });
    }
}
