//! The faults, the steps, and the outcome that the design page requires for each pair.

use Fault::{
    AnswerLost, CallerSilent, CutFromBoth, CutFromPeers, CutFromService, DaemonKilled,
    DaemonPaused, KeyWithdrawn, LeaseLapsed, OperatorsRace, PeerSilent, PoisonResent,
    ResentElsewhere, ServiceDown, ServiceSlow, TargetDies, TargetDrains, TargetSilent,
};

/// A fault that is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    TargetDies,
    TargetDrains,
    DaemonKilled,
    DaemonPaused,
    LeaseLapsed,
    ResentElsewhere,
    KeyWithdrawn,
    ServiceDown,
    ServiceSlow,
    AnswerLost,
    OperatorsRace,
    CallerSilent,
    PeerSilent,
    CutFromPeers,
    CutFromService,
    CutFromBoth,
    /// Near the end of the order, because it leaves silent idle connections.
    TargetSilent,
    /// Last in the order, because the engines that it crashes are held down for a while.
    PoisonResent,
}

/// The step of an operation at which the fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Online(OnlineStep),
    Order(OrderStep),
    Batch(BatchStep),
    Config(ConfigStep),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnlineStep {
    BeforeSending,
    InFlight,
    MidStream,
    AfterLastByte,
}

/// A step of a non-idempotent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStep {
    BeforeSending,
    AfterRun,
    AfterAnswer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchStep {
    Upload,
    Submission,
    ItemsRunning,
    Commit,
    Results,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigStep {
    BeforeAcceptance,
    Accepted,
    InForce,
}

/// How an operation ends without breaking an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The caller has the whole answer from the first attempt.
    Completed,
    /// The connection broke or became silent, and the caller has the whole answer after a resend through another daemon.
    ResentCompleted,
    /// The stream was resumed on another connection, with each token once and in order.
    ResumedWhole,
    /// The stream ended with an error event that says that the request ran.
    EndedRan,
    /// The stream or connection of a withdrawn key was closed within 2 s.
    CutOff,
    /// The refusal says "not run" and no target ran the request.
    RefusedNotRun,
    /// The request crashed targets; it and its resend through another daemon got a final answer at once.
    RefusedPoison,
    /// The request ran once, and its resends get the answer.
    AnsweredOnce,
    /// The request ran at most once, and its resends are told that the outcome is unknown.
    UnknownOnce,
    /// The job ended with one result for each item, readable through two daemons.
    FinishedOnce,
    /// The change is in force everywhere within 4 s, despite the fault.
    InForce,
    /// The change is in force within 4 s on the daemons that can learn of it, and everywhere within 4 s after the fault.
    InForceAfter,
    /// The change was not accepted and took no effect; it is accepted once the fault has ended.
    NotAccepted,
    /// Of two racing changes exactly one was accepted, and it is in force everywhere.
    OneInForce,
}

/// What is expected of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cell {
    Expect(Outcome),
    /// The fault has no meaning at this step.
    NotApplicable,
    /// The fault applies to this step, but the cell is not run.
    NotRun,
}

pub const FAULTS: [Fault; 18] = [
    TargetDies,
    TargetDrains,
    DaemonKilled,
    DaemonPaused,
    LeaseLapsed,
    ResentElsewhere,
    KeyWithdrawn,
    ServiceDown,
    ServiceSlow,
    AnswerLost,
    OperatorsRace,
    CallerSilent,
    PeerSilent,
    CutFromPeers,
    CutFromService,
    CutFromBoth,
    TargetSilent,
    PoisonResent,
];

pub const ONLINE: [Step; 4] = [
    Step::Online(OnlineStep::BeforeSending),
    Step::Online(OnlineStep::InFlight),
    Step::Online(OnlineStep::MidStream),
    Step::Online(OnlineStep::AfterLastByte),
];
pub const ORDER: [Step; 3] = [
    Step::Order(OrderStep::BeforeSending),
    Step::Order(OrderStep::AfterRun),
    Step::Order(OrderStep::AfterAnswer),
];
pub const BATCH: [Step; 5] = [
    Step::Batch(BatchStep::Upload),
    Step::Batch(BatchStep::Submission),
    Step::Batch(BatchStep::ItemsRunning),
    Step::Batch(BatchStep::Commit),
    Step::Batch(BatchStep::Results),
];
pub const CONFIG: [Step; 3] = [
    Step::Config(ConfigStep::BeforeAcceptance),
    Step::Config(ConfigStep::Accepted),
    Step::Config(ConfigStep::InForce),
];

/// Returns what the design page requires.
pub fn cell(step: Step, fault: Fault) -> Cell {
    match step {
        Step::Online(step) => online(step, fault),
        Step::Order(step) => order(step, fault),
        Step::Batch(step) => batch(step, fault),
        Step::Config(step) => config(step, fault),
    }
}

/// "Failure handling": requests without delivered bytes are retried, streams resume or end with an error event; the
/// service is not needed for online traffic.
fn online(step: OnlineStep, fault: Fault) -> Cell {
    use OnlineStep::{AfterLastByte, BeforeSending, InFlight, MidStream};
    Cell::Expect(match (fault, step) {
        (CallerSilent, AfterLastByte) | (PoisonResent, AfterLastByte) => {
            return Cell::NotApplicable;
        }
        // Whether the stream runs on one of the engines that crash depends on their load.
        (PoisonResent, MidStream) => return Cell::NotRun,
        (PoisonResent, BeforeSending) => Outcome::RefusedPoison,
        (_, AfterLastByte) => Outcome::Completed,
        // A crashed engine has lost the state from which the stream could resume.
        (TargetDies, MidStream) => Outcome::EndedRan,
        (TargetSilent, MidStream) => Outcome::ResumedWhole,
        (DaemonKilled | CallerSilent, _) => Outcome::ResentCompleted,
        (KeyWithdrawn, BeforeSending) => Outcome::RefusedNotRun,
        (KeyWithdrawn, InFlight | MidStream) => Outcome::CutOff,
        _ => Outcome::Completed,
    })
}

/// "Non-idempotent online requests": sent once; resends get the stored answer or `unknown`; refused as not run while the
/// service is unreachable.
fn order(step: OrderStep, fault: Fault) -> Cell {
    use OrderStep::{AfterAnswer, AfterRun, BeforeSending};
    Cell::Expect(match (fault, step) {
        // Plain services have no request that crashes them.
        (PoisonResent, _) | (CallerSilent, AfterAnswer) => return Cell::NotApplicable,
        (KeyWithdrawn | ServiceDown | CutFromBoth, BeforeSending) => Outcome::RefusedNotRun,
        // The first byte may have been sent on an idle connection that had become silent.
        (TargetSilent, BeforeSending | AfterRun) => Outcome::UnknownOnce,
        (TargetDies | DaemonKilled | KeyWithdrawn, AfterRun) => Outcome::UnknownOnce,
        _ => Outcome::AnsweredOnce,
    })
}

/// "Batch": accepted items complete exactly once; new jobs are refused as not run while the service is unreachable.
fn batch(step: BatchStep, fault: Fault) -> Cell {
    use BatchStep::{Commit, ItemsRunning, Results, Submission, Upload};
    Cell::Expect(match (fault, step) {
        (CallerSilent, ItemsRunning | Commit) => return Cell::NotApplicable,
        (PoisonResent, Upload | Commit | Results | Submission) => return Cell::NotApplicable,
        (KeyWithdrawn | ServiceDown | CutFromBoth, Upload | Submission) => Outcome::RefusedNotRun,
        _ => Outcome::FinishedOnce,
    })
}

/// "Configuration": the head is the single point of acceptance; daemons learn it from the service or from peers.
fn config(step: ConfigStep, fault: Fault) -> Cell {
    use ConfigStep::{BeforeAcceptance, InForce};
    Cell::Expect(match (fault, step) {
        (
            TargetDies | TargetDrains | ResentElsewhere | KeyWithdrawn | CallerSilent
            | TargetSilent | PoisonResent,
            _,
        )
        | (OperatorsRace, InForce) => return Cell::NotApplicable,
        (OperatorsRace, _) => Outcome::OneInForce,
        (ServiceDown, BeforeAcceptance) => Outcome::NotAccepted,
        (DaemonKilled, _) => Outcome::InForceAfter,
        // A daemon that has the change keeps it.
        (_, InForce) => Outcome::InForce,
        (ServiceDown | CutFromBoth, _) => Outcome::InForceAfter,
        _ => Outcome::InForce,
    })
}
