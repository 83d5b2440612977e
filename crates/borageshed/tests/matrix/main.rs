//! The fault matrix: injects every fault at every step of each operation, with separate processes on loopback.
//!
//! - [`table`]: the faults, the steps and the outcome that the design page demands for each cell.
//! - [`fixture`]: the deployment that cells share, and the injection of each fault.
//! - [`steps`] and [`jobs`]: a function for each kind of operation, which runs it and classifies its outcome.
//!
//! | variable | meaning |
//! |---|---|
//! | `MATRIX_ONLY` | runs only the cells whose name contains this text, without comparing the table of outcomes |
//! | `MATRIX_PAIRS` | the number of pairs of faults to run, 12 by default |
//! | `MATRIX_SEED`, `MATRIX_FIRST` | the seed of the pairs, and the number of the first pair |

mod fixture;
mod jobs;
mod steps;
mod table;

use std::{
    env,
    fmt::Write as _,
    io,
    time::{Duration, Instant},
};

use async_std::future::timeout;
use expect_test::expect;
use futures::future::join_all;
use rand::Rng as _;
use serde_json::json;
use stdx::rng;
use test_support::{deployment::account, http::Call};

use crate::{
    fixture::{CALLER_DAEMON, Fixture, KEY, Targets},
    table::{BATCH, CONFIG, Cell, FAULTS, Fault, ONLINE, ORDER, Outcome, Step, cell},
};

/// Longer than a failing cell needs, which is at most about 20 s.
const CELL_TIMEOUT: Duration = Duration::from_secs(60);

/// Cells that run one after the other on one deployment.
type Lane = Vec<(Step, Vec<Fault>)>;

/// The outcome of one cell.
#[derive(Debug, Clone)]
struct CellResult {
    step: Step,
    faults: Vec<Fault>,
    outcome: Result<Outcome, String>,
    took: Duration,
}

/// Runs cells one after the other on one deployment, and starts a new deployment after a failed cell.
async fn run_lane(lane: Lane) -> Vec<CellResult> {
    let mut results = Vec::new();
    let mut fixture: Option<Fixture> = None;
    for (step, faults) in lane {
        let start = Instant::now();
        let outcome = async {
            let fixture = match &mut fixture {
                Some(fixture) => fixture,
                none => none.insert(Box::pin(Fixture::start()).await?),
            };
            let run = timeout(CELL_TIMEOUT, Box::pin(steps::run(fixture, step, &faults))).await;
            run.map_err(|_| io::Error::other("the cell timed out"))?
        };
        let outcome: io::Result<Outcome> = outcome.await;
        if outcome.is_err() {
            fixture = None;
        }
        let outcome = outcome.map_err(|e| e.to_string());
        results.push(CellResult { step, faults, outcome, took: start.elapsed() });
    }
    results
}

async fn run_lanes(lanes: Vec<Lane>) -> Vec<CellResult> {
    join_all(lanes.into_iter().map(run_lane)).await.concat()
}

fn select_cells(steps: &[Step], only: &str) -> Lane {
    let pairs = FAULTS.iter().flat_map(|fault| steps.iter().map(move |step| (*step, *fault)));
    pairs
        .filter(|(step, fault)| matches!(cell(*step, *fault), Cell::Expect(_)))
        .filter(|(step, fault)| format!("{step:?} {fault:?}").contains(only))
        .map(|(step, fault)| (step, vec![fault]))
        .collect()
}

/// Draws the pair of faults with the given number. Each number has its own generator, so that a pair can be replayed
/// alone.
fn draw_pair(seed: u64, number: u64) -> (Step, Vec<Fault>) {
    let mut rng = rng::seeded(seed.wrapping_mul(1_000_003).wrapping_add(number));
    let steps = [&ONLINE[..], &ORDER, &BATCH, &CONFIG].concat();
    loop {
        let step = steps[rng.random_range(0..steps.len())];
        let mut draw = || FAULTS[rng.random_range(0..FAULTS.len())];
        let faults = [draw(), draw()];
        let runs = faults.iter().all(|it| matches!(cell(step, *it), Cell::Expect(_)));
        if runs && faults[0] != faults[1] && !are_incompatible(faults) {
            return (step, faults.to_vec());
        }
    }
}

/// Returns whether the faults cannot be combined: both kill or pause the same daemon, and a killed daemon cannot be paused.
fn are_incompatible(faults: [Fault; 2]) -> bool {
    faults
        .iter()
        .all(|it| matches!(it, Fault::DaemonKilled | Fault::DaemonPaused | Fault::LeaseLapsed))
}

fn render_table(results: &[CellResult]) -> String {
    let mut text = String::new();
    for steps in [&ONLINE[..], &ORDER, &BATCH, &CONFIG] {
        let cells = |fault: Fault| steps.iter().map(move |step| cell_text(results, *step, fault));
        let titles = steps.iter().map(|it| format!("{it:?}"));
        table_row(&mut text, "", titles);
        for fault in FAULTS {
            table_row(&mut text, &format!("{fault:?}"), cells(fault));
        }
        text.push('\n');
    }
    text
}

fn table_row(text: &mut String, title: &str, cells: impl Iterator<Item = String>) {
    let mut line = format!("{title:<16}");
    for cell in cells {
        // Writing to a string cannot fail.
        let _ = write!(line, " {cell:<25}");
    }
    text.push_str(line.trim_end());
    text.push('\n');
}

fn cell_text(results: &[CellResult], step: Step, fault: Fault) -> String {
    match cell(step, fault) {
        Cell::NotApplicable => "-".to_owned(),
        Cell::NotRun => "not run".to_owned(),
        Cell::Expect(_) => {
            match results.iter().find(|it| it.step == step && it.faults == [fault]) {
                Some(CellResult { outcome: Ok(outcome), .. }) => format!("{outcome:?}"),
                Some(_) => "FAILED".to_owned(),
                None => "not selected".to_owned(),
            }
        }
    }
}

fn number_from_env(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.map_or(default, |it| it.parse().unwrap_or_else(|_| panic!("{name} must be a number")))
}

// Guards against a fault that breaks an invariant of the design page at some step of an operation, or has another outcome
// than the page says.
#[async_std::test]
async fn each_fault_at_each_step_ends_as_designed() {
    let only = env::var("MATRIX_ONLY").unwrap_or_default();
    let lanes = [&ONLINE[..2], &ONLINE[2..], &ORDER, &CONFIG].into_iter().chain(BATCH.chunks(1));
    let start = Instant::now();
    let results = run_lanes(lanes.map(|it| select_cells(it, &only)).collect()).await;
    let took = start.elapsed();
    let mut mismatches = String::new();
    for it in &results {
        let wanted = cell(it.step, it.faults[0]);
        if !matches!(&it.outcome, Ok(outcome) if Cell::Expect(*outcome) == wanted) {
            let _ = writeln!(
                mismatches,
                "MATRIX_ONLY='{:?} {:?}' cargo test -p borageshed --test matrix each_fault\n  expected {wanted:?}, got {:?}",
                it.step, it.faults[0], it.outcome
            );
        }
    }
    let slowest = results.iter().max_by_key(|it| it.took);
    let slowest = slowest.map(|it| (it.took, it.step, &it.faults));
    assert!(
        mismatches.is_empty(),
        "{} cells in {took:?}, the slowest {slowest:?}\n{mismatches}\n{}",
        results.len(),
        render_table(&results)
    );
    if only.is_empty() {
        expect![[r#"
                             Online(BeforeSending)     Online(InFlight)          Online(MidStream)         Online(AfterLastByte)
            TargetDies       Completed                 Completed                 EndedRan                  Completed
            TargetDrains     Completed                 Completed                 Completed                 Completed
            DaemonKilled     ResentCompleted           ResentCompleted           ResentCompleted           Completed
            DaemonPaused     Completed                 Completed                 Completed                 Completed
            LeaseLapsed      Completed                 Completed                 Completed                 Completed
            ResentElsewhere  Completed                 Completed                 Completed                 Completed
            KeyWithdrawn     RefusedNotRun             CutOff                    CutOff                    Completed
            ServiceDown      Completed                 Completed                 Completed                 Completed
            ServiceSlow      Completed                 Completed                 Completed                 Completed
            AnswerLost       Completed                 Completed                 Completed                 Completed
            OperatorsRace    Completed                 Completed                 Completed                 Completed
            CallerSilent     ResentCompleted           ResentCompleted           ResentCompleted           -
            PeerSilent       Completed                 Completed                 Completed                 Completed
            CutFromPeers     Completed                 Completed                 Completed                 Completed
            CutFromService   Completed                 Completed                 Completed                 Completed
            CutFromBoth      Completed                 Completed                 Completed                 Completed
            TargetSilent     Completed                 Completed                 ResumedWhole              Completed
            PoisonResent     RefusedPoison             Completed                 not run                   -

                             Order(BeforeSending)      Order(AfterRun)           Order(AfterAnswer)
            TargetDies       AnsweredOnce              UnknownOnce               AnsweredOnce
            TargetDrains     AnsweredOnce              AnsweredOnce              AnsweredOnce
            DaemonKilled     AnsweredOnce              UnknownOnce               AnsweredOnce
            DaemonPaused     AnsweredOnce              AnsweredOnce              AnsweredOnce
            LeaseLapsed      AnsweredOnce              AnsweredOnce              AnsweredOnce
            ResentElsewhere  AnsweredOnce              AnsweredOnce              AnsweredOnce
            KeyWithdrawn     RefusedNotRun             UnknownOnce               AnsweredOnce
            ServiceDown      RefusedNotRun             AnsweredOnce              AnsweredOnce
            ServiceSlow      AnsweredOnce              AnsweredOnce              AnsweredOnce
            AnswerLost       AnsweredOnce              AnsweredOnce              AnsweredOnce
            OperatorsRace    AnsweredOnce              AnsweredOnce              AnsweredOnce
            CallerSilent     AnsweredOnce              AnsweredOnce              -
            PeerSilent       AnsweredOnce              AnsweredOnce              AnsweredOnce
            CutFromPeers     AnsweredOnce              AnsweredOnce              AnsweredOnce
            CutFromService   AnsweredOnce              AnsweredOnce              AnsweredOnce
            CutFromBoth      RefusedNotRun             AnsweredOnce              AnsweredOnce
            TargetSilent     UnknownOnce               UnknownOnce               AnsweredOnce
            PoisonResent     -                         -                         -

                             Batch(Upload)             Batch(Submission)         Batch(ItemsRunning)       Batch(Commit)             Batch(Results)
            TargetDies       FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            TargetDrains     FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            DaemonKilled     FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            DaemonPaused     FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            LeaseLapsed      FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            ResentElsewhere  FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            KeyWithdrawn     RefusedNotRun             RefusedNotRun             FinishedOnce              FinishedOnce              FinishedOnce
            ServiceDown      RefusedNotRun             RefusedNotRun             FinishedOnce              FinishedOnce              FinishedOnce
            ServiceSlow      FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            AnswerLost       FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            OperatorsRace    FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            CallerSilent     FinishedOnce              FinishedOnce              -                         -                         FinishedOnce
            PeerSilent       FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            CutFromPeers     FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            CutFromService   FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            CutFromBoth      RefusedNotRun             RefusedNotRun             FinishedOnce              FinishedOnce              FinishedOnce
            TargetSilent     FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce              FinishedOnce
            PoisonResent     -                         -                         FinishedOnce              -                         -

                             Config(BeforeAcceptance)  Config(Accepted)          Config(InForce)
            TargetDies       -                         -                         -
            TargetDrains     -                         -                         -
            DaemonKilled     InForceAfter              InForceAfter              InForceAfter
            DaemonPaused     InForce                   InForce                   InForce
            LeaseLapsed      InForce                   InForce                   InForce
            ResentElsewhere  -                         -                         -
            KeyWithdrawn     -                         -                         -
            ServiceDown      NotAccepted               InForceAfter              InForce
            ServiceSlow      InForce                   InForce                   InForce
            AnswerLost       InForce                   InForce                   InForce
            OperatorsRace    OneInForce                OneInForce                -
            CallerSilent     -                         -                         -
            PeerSilent       InForce                   InForce                   InForce
            CutFromPeers     InForce                   InForce                   InForce
            CutFromService   InForce                   InForce                   InForce
            CutFromBoth      InForceAfter              InForceAfter              InForce
            TargetSilent     -                         -                         -
            PoisonResent     -                         -                         -

        "#]].assert_eq(&render_table(&results));
    }
}

// Guards against invariants that hold under each single fault but not under two faults together.
#[async_std::test]
async fn pairs_of_faults_break_no_invariant() {
    const LANES: usize = 2;
    let seed = number_from_env("MATRIX_SEED", 1);
    let first = number_from_env("MATRIX_FIRST", 0);
    let pairs: Vec<u64> = (first..first + number_from_env("MATRIX_PAIRS", 12)).collect();
    let lane = |lane: &[u64]| lane.iter().map(|it| draw_pair(seed, *it)).collect::<Lane>();
    let size = pairs.len().div_ceil(LANES).max(1);
    let results = run_lanes(pairs.chunks(size).map(lane).collect()).await;
    let mut mismatches = String::new();
    for (number, it) in pairs.iter().zip(&results) {
        if let Err(trace) = &it.outcome {
            let _ = writeln!(
                mismatches,
                "MATRIX_SEED={seed} MATRIX_FIRST={number} MATRIX_PAIRS=1 cargo test -p borageshed --test matrix pairs\n  \
                 {:?} {:?}: {trace}",
                it.step, it.faults
            );
        }
    }
    assert!(mismatches.is_empty(), "{mismatches}");
}

// Guards against closing the new connections of a key that was withdrawn and added again at once.
#[async_std::test]
async fn a_key_that_is_put_back_at_once_keeps_its_new_connections() -> io::Result<()> {
    // The futures of whole operations are too large for the stack of a test thread in debug builds.
    Box::pin(put_keys_back()).await
}

async fn put_keys_back() -> io::Result<()> {
    let mut fixture = Box::pin(Fixture::start()).await?;
    // The first revision is in force for a random part of the poll interval, so several tries are needed.
    for _ in 0..12 {
        Box::pin(fixture.inject(Fault::KeyWithdrawn, Targets::Engines)).await?;
        fixture::wait_until("the key is withdrawn", async || {
            !fixture.accepts_key(CALLER_DAEMON, KEY).await
        })
        .await?;
        Box::pin(fixture.set_account("alpha", account(KEY, 500.0, 500.0))).await?;
        fixture::wait_until("the key is accepted again", async || {
            fixture.accepts_key(CALLER_DAEMON, KEY).await
        })
        .await?;
        let call = fixture::completion("after", 60, true);
        let result = steps::send(call, fixture.deployment.caller_address(CALLER_DAEMON)).await;
        assert!(result.text.ends_with("data: [DONE]\n\n"), "{result:?}");
    }
    Ok(())
}

// Guards against losing one request on each idle connection that became silent, instead of one request in total.
#[async_std::test]
async fn the_first_request_on_a_silent_connection_spares_those_after_it() -> io::Result<()> {
    Box::pin(order_after_silence()).await
}

async fn order_after_silence() -> io::Result<()> {
    const IDLE: usize = 4;
    let mut fixture = Box::pin(Fixture::start()).await?;
    let address = fixture.deployment.caller_address(CALLER_DAEMON);
    let order = || steps::send(Call::post("/orders/orders", "{}").key(KEY), address);
    fixture.plain_faults(&json!({ "answer_delay_ms": 300 })).await?;
    join_all((0..IDLE).map(|_| order())).await;
    fixture.plain_faults(&json!({ "answer_delay_ms": 0 })).await?;
    Box::pin(fixture.inject(Fault::TargetSilent, Targets::Plain)).await?;
    let first = order().await;
    assert_eq!(
        first.execution(),
        "unknown",
        "the request was sent on a silent connection: {first:?}"
    );
    let second = order().await;
    assert!(second.is_ok(), "{second:?}");
    Ok(())
}
