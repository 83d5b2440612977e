//! Performs the actions of the dispatcher: passes directives to request tasks and effects to other tasks.

use policy::dispatch::Action;
use slog::{info, warn};

use super::State;
use crate::control::{Directive, Effect};

impl State {
    pub(super) fn perform_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { id, target, version, attempt } => {
                    self.send_directive(id, Directive::Dispatch { target, version, attempt })
                }
                Action::CancelBatch { id } => self.send_directive(id, Directive::Yield),
                Action::Cancel { id } => self.send_directive(id, Directive::Cancel),
                Action::Refuse { id, refusal } => {
                    self.send_directive(id, Directive::Refuse(refusal));
                    self.directive_senders.remove(&id);
                }
                Action::Probe { service, target } => {
                    self.send_effect(Effect::Probe { service, target })
                }
                Action::BeliefChanged { service, target, belief } => info!(
                    self.log, "target capacity changed";
                    "service" => %service, "target" => %target,
                    "relative_time" => format!("{:.2}", belief.relative_time),
                    "handled_well" => format!("{:.1}", belief.handled_well),
                    "trusted" => belief.is_trusted,
                    "gap_weight" => format!("{:.1}", belief.gap_weight),
                    "slowdown" => format!("{:.2}", belief.slowdown),
                    "report_age_ms" => belief.report_age.map(|it| it.as_millis() as u64)
                ),
                Action::ReadLoad { service, target } => {
                    self.send_effect(Effect::ReadLoad { service, target })
                }
                Action::HealthChanged { service, target, health, in_flight } => info!(
                    self.log, "target health changed";
                    "service" => %service, "target" => %target, "health" => ?health, "in_flight" => in_flight
                ),
                Action::LimitChanged { service, target, limit } => info!(
                    self.log, "target limit changed";
                    "service" => %service, "target" => %target, "limit_per_s" => limit.map(|it| it.0 as f64 / 1_000.0)
                ),
                Action::ShareLimit { to, news } => {
                    self.send_effect(Effect::ShareLimit { to, news })
                }
                Action::ColdChanged { service, target, cold_for } => info!(
                    self.log, "target turned cold or warm";
                    "service" => %service, "target" => %target, "cold" => cold_for.is_some(),
                    "cold_for_ms" => cold_for.map(|it| it.as_millis() as u64)
                ),
                Action::ReadEvacuations => self.send_effect(Effect::ReadEvacuations),
                Action::EvacuationChanged { domain, evacuated, targets, in_flight, waiting } => {
                    info!(
                        self.log, "evacuation of a failure domain changed";
                        "domain" => %domain, "evacuated" => evacuated, "targets" => targets,
                        "in_flight" => in_flight, "waiting" => waiting
                    );
                    if targets == 0 {
                        warn!(self.log, "no target is in the evacuated failure domain"; "domain" => %domain);
                    }
                }
                Action::ShareLoad => self.send_effect(Effect::ShareLoad),
                Action::ShareVerdict { fingerprint } => {
                    self.send_effect(Effect::ShareVerdict { fingerprint })
                }
                Action::RepeatVerdict { to, fingerprint } => {
                    self.send_effect(Effect::RepeatVerdict { to, fingerprint })
                }
                Action::LiftVerdict { fingerprint } => {
                    self.send_effect(Effect::LiftVerdict { fingerprint })
                }
                Action::ShareSuspicion(suspicion) => {
                    self.send_effect(Effect::ShareSuspicion(suspicion))
                }
                Action::SharePartCrash { target, parts } => {
                    self.send_effect(Effect::SharePartCrash { target, parts })
                }
                Action::SharePartVerdict { part, lifetime } => {
                    self.send_effect(Effect::SharePartVerdict { part, lifetime })
                }
                Action::ShareClearedParts(parts) => {
                    self.send_effect(Effect::ShareClearedParts(parts))
                }
                Action::LiftPartVerdict { part } => {
                    self.send_effect(Effect::LiftPartVerdict { part })
                }
                Action::ShareClaim { to, claim } => {
                    self.send_effect(Effect::ShareClaim { to, claim })
                }
            }
        }
    }

    fn send_directive(&self, id: u64, directive: Directive) {
        if let Some(directives) = self.directive_senders.get(&id) {
            send_to_task(directives, directive);
        }
    }

    pub(super) fn send_effect(&self, effect: Effect) {
        if self.effects.try_send(effect).is_err() {
            warn!(
                self.log,
                "the daemon is stopping; an action of the control thread is not performed"
            );
        }
    }
}

/// Sends a directive to a request task. Errors are ignored, because a task that ends reports that by itself.
pub(super) fn send_to_task(directives: &async_channel::Sender<Directive>, directive: Directive) {
    let _ = directives.try_send(directive);
}
