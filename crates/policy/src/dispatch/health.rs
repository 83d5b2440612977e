//! Target health, interpreted from a state chart.

use std::{sync::LazyLock, time::Duration};

use rand::Rng as _;
use statechart::{Chart, ChartEnum};
use stdx::{Rng, Timestamp};

use super::settings::Settings;

macro_rules! chart_enum {
    ($(#[$meta:meta])* $vis:vis enum $name:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        $vis enum $name { $($(#[$doc])* $variant,)* }

        impl ChartEnum for $name {
            fn all() -> &'static [Self] {
                &[$(Self::$variant),*]
            }

            fn name(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

chart_enum! {
    /// The health of a target.
    pub enum HealthState {
        /// No probe or request has shown yet whether the target serves.
        Unknown = "unknown",
        /// The target serves.
        Up = "up",
        /// The target failed once, and the result of a probe is awaited.
        Suspect = "suspect",
        /// The target takes no work until a probe succeeds.
        HeldDown = "held_down",
        /// The target is shutting down, as the target list or an answer of the target says.
        Leaving = "leaving",
    }
}

chart_enum! {
    pub(super) enum HealthEvent {
        ProbeOk = "probe_ok",
        ProbeFailed = "probe_failed",
        Success = "success",
        Failure = "failure",
        Death = "death",
        HoldDownExpired = "hold_down_expired",
        RecoveryProven = "recovery_proven",
        Leaving = "leaving",
        Returned = "returned",
    }
}

chart_enum! {
    enum HealthAction {
        Probe = "probe",
        StartHoldDown = "start_hold_down",
        ResetHoldDown = "reset_hold_down",
        RecordUp = "record_up",
    }
}

static CHART: LazyLock<Chart<HealthState, HealthEvent, HealthAction>> = LazyLock::new(|| {
    Chart::parse("target-health.jsonc", include_str!("../../charts/target-health.jsonc"))
        .expect("the embedded chart is valid")
});

/// The health of one target.
#[derive(Debug)]
pub(super) struct Health {
    state: HealthState,
    /// The length of the last hold-down; zero if there was none or it was reset.
    hold_down: Duration,
    hold_down_until: Timestamp,
    up_since: Timestamp,
    probe_sent: Option<Timestamp>,
    probe_wanted: bool,
}

impl Health {
    pub fn new() -> Self {
        Self {
            state: CHART.initial(),
            hold_down: Duration::ZERO,
            hold_down_until: Timestamp::ZERO,
            up_since: Timestamp::ZERO,
            probe_sent: None,
            probe_wanted: true,
        }
    }

    /// Creates the health of a target that a registry lists as serving.
    pub fn registered() -> Self {
        Self { state: HealthState::Up, probe_wanted: false, ..Self::new() }
    }

    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns whether the state changes only through events, not with time.
    pub fn is_quiescent(&self) -> bool {
        let is_probed = self.probe_wanted || self.probe_sent.is_some();
        !is_probed && matches!(self.state, HealthState::Up | HealthState::Leaving)
    }

    /// Estimates how long the target will take no work; `None` if it leaves.
    pub fn wait(&self, settings: &Settings, now: Timestamp) -> Option<Duration> {
        match self.state {
            HealthState::Unknown | HealthState::Up | HealthState::Suspect => Some(Duration::ZERO),
            HealthState::HeldDown => {
                // After a failed probe, the target is expected to stay unavailable for another hold-down of the same
                // length. Otherwise requests would wait from one probe to the next until their deadline.
                let probe_failed = self.hold_down > settings.hold_down_min;
                let after_probe = if probe_failed { self.hold_down } else { Duration::ZERO };
                Some(self.hold_down_until.since(now) + after_probe)
            }
            HealthState::Leaving => None,
        }
    }

    pub fn handle(
        &mut self,
        settings: &Settings,
        now: Timestamp,
        rng: &mut Rng,
        event: HealthEvent,
    ) {
        if matches!(event, HealthEvent::ProbeOk | HealthEvent::ProbeFailed) {
            self.probe_sent = None;
        }
        let step = CHART.step(self.state, event);
        self.state = step.next;
        for action in step.actions {
            match action {
                HealthAction::Probe => self.probe_wanted = true,
                HealthAction::StartHoldDown => self.start_hold_down(settings, now, rng),
                HealthAction::ResetHoldDown => self.hold_down = Duration::ZERO,
                HealthAction::RecordUp => self.up_since = now,
            }
        }
    }

    /// Handles probes that timed out, hold-downs that expired and recoveries.
    pub fn tick(&mut self, settings: &Settings, now: Timestamp, rng: &mut Rng) {
        if self.probe_sent.is_some_and(|sent| now.since(sent) >= settings.probe_timeout) {
            self.handle(settings, now, rng, HealthEvent::ProbeFailed);
        }
        let probing = self.probe_wanted || self.probe_sent.is_some();
        if self.state == HealthState::HeldDown && now >= self.hold_down_until && !probing {
            self.handle(settings, now, rng, HealthEvent::HoldDownExpired);
        }
        let proven = now.since(self.up_since) >= settings.recovery_time.max(self.hold_down);
        if self.state == HealthState::Up && self.hold_down > Duration::ZERO && proven {
            self.handle(settings, now, rng, HealthEvent::RecoveryProven);
        }
    }

    /// Returns when the state changes with time or a probe is to be sent; `None` if neither will happen without an event.
    pub fn due(&self, settings: &Settings) -> Option<Timestamp> {
        if self.wants_probe() {
            return Some(Timestamp::ZERO);
        }
        let recovery = settings.recovery_time.max(self.hold_down);
        match (self.probe_sent, self.state) {
            (Some(sent), HealthState::Up) if self.hold_down > Duration::ZERO => {
                Some((sent + settings.probe_timeout).min(self.up_since + recovery))
            }
            (Some(sent), _) => Some(sent + settings.probe_timeout),
            (None, HealthState::HeldDown) => Some(self.hold_down_until),
            (None, HealthState::Up) if self.hold_down > Duration::ZERO => {
                Some(self.up_since + recovery)
            }
            (None, _) => None,
        }
    }

    /// Returns whether a probe is to be sent.
    pub fn wants_probe(&self) -> bool {
        self.probe_wanted && self.probe_sent.is_none()
    }

    /// Returns whether a probe is to be sent now; if so, the probe counts as sent.
    pub fn take_probe(&mut self, now: Timestamp) -> bool {
        let send = self.wants_probe();
        if send {
            self.probe_wanted = false;
            self.probe_sent = Some(now);
        }
        send
    }

    fn start_hold_down(&mut self, settings: &Settings, now: Timestamp, rng: &mut Rng) {
        // Without jitter, instances that saw the same failure would probe at the same moment.
        const MAX_JITTER: f64 = 0.1;
        let doubled = self.hold_down * 2;
        self.hold_down = doubled.clamp(settings.hold_down_min, settings.hold_down_max);
        self.hold_down_until =
            now + self.hold_down.mul_f64(1.0 + rng.random_range(0.0..MAX_JITTER));
        self.probe_wanted = false;
    }
}
