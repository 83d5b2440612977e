//! Input files, job identities, scheduling, results and status.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use batch::{ItemOutcome, StatusReader, SubmissionAnswer, Value, input, scheduling};
use common::{Simulation, done, run, spec};
use expect_test::expect;
use stdx::Name;

fn line(id: &str, url: &str, body: &str) -> String {
    format!("{{\"custom_id\":\"{id}\",\"method\":\"POST\",\"url\":\"{url}\",\"body\":{body}}}\n")
}

/// Guards against an invalid line that is accepted, or reported without its number.
#[test]
fn faulty_lines_are_reported_with_their_numbers() {
    let good = line("a", "/v1/x", "{}");
    let bad = [
        format!("{good}{}", line("a", "/v1/x", "{}")),
        format!("{good}{}", line("b", "/v1/y", "{}")),
        format!("{good}\n{}", line("b", "/v1/x", "{}")),
        line("a", "v1", "{}"),
        line("a", "/v1/x", "[1]"),
        line("", "/v1/x", "{}"),
        good.replace("POST", "post"),
        good.replace("\"url\":\"/v1/x\",", ""),
        good.replace("\"body\"", "\"extra\":1,\"body\""),
        format!("{good}{}", line("b", "/v1/x", &format!("{{\"t\":\"{}\"}}", "x".repeat(262_144)))),
        String::new(),
    ];
    let errors: Vec<String> = bad
        .iter()
        .map(|it| input::split(it.as_bytes()).expect_err("the file is faulty").to_string())
        .collect();
    expect![[r#"
        line 2: custom_id "a" occurs twice
        line 2: all lines must use the same method and url as line 1 (POST /v1/x)
        line 2: empty line
        line 1: url "v1" must be an absolute path
        line 1: body must be a JSON object
        line 1: custom_id must have 1 to 256 bytes
        line 1: method "post" is not allowed; use POST, PUT, PATCH, GET or DELETE
        line 1: not a request object: missing field `url` (column 43)
        line 1: not a request object: unknown field `extra`, expected one of `custom_id`, `method`, `url`, `body` (column 54)
        line 2: longer than 262144 bytes
        line 1: the file is empty"#]].assert_eq(&errors.join("\n"));
    assert!(input::split(b"{\"custom_id\":\"\xff\"}").is_err());
}

/// Guards against chunks above their limits, split lines, and chunks that depend on the pieces in which a file arrives.
#[test]
fn files_are_split_at_whole_lines_within_the_limits() {
    let body = format!("{{\"t\":\"{}\"}}", "x".repeat(3_000));
    let text: String = (0..600)
        .map(|i| line(&format!("c{i}"), "/v1/x", if i < 300 { "{}" } else { &body }))
        .collect();
    let whole = input::split(text.trim_end().as_bytes()).expect("the file is valid");
    assert_eq!(*whole.meta.chunk_items, [256, 128, 85, 85, 46]);
    assert!(whole.chunks.iter().all(|it| it.len() <= 256 * 1024 && it.ends_with('\n')));
    assert_eq!(whole.chunks.concat(), text);
    let mut pieces = batch::FileSplitter::default();
    text.trim_end().as_bytes().chunks(1_000).for_each(|it| pieces.push(it).expect("valid"));
    assert_eq!(pieces.finish(), Ok(whole));
}

/// Guards against a resend that creates a second job, and against different jobs with the same identity.
#[test]
fn the_identity_of_a_job_comes_from_its_key_or_content() {
    let mut sim = Simulation::new();
    let file = sim.store_file("kigali/acme", 5);
    let job = spec("kigali/acme", file.clone(), 60);
    let other = spec("accra/acme", file.clone(), 60);
    let longer = spec("kigali/acme", file, 61);
    let ids: BTreeSet<_> = [&job, &other, &longer].map(|it| it.job_id(None)).into();
    assert_eq!(ids.len(), 3);
    assert_eq!(job.job_id(Some("k")), longer.job_id(Some("k")));
    assert_ne!(job.job_id(Some("k")), other.job_id(Some("k")));
    let first = sim.submit(job.clone(), Some("k"), true);
    sim.advance(5_000);
    assert_eq!(sim.submit(job.clone(), Some("k"), true), first);
    assert_eq!(sim.submit(longer, Some("k"), true), SubmissionAnswer::Conflict);
    assert_eq!(sim.submit(other, None, true), SubmissionAnswer::NoSuchFile);
    let moved = batch::JobSpec { endpoint: Name::new("POST /v1/chat/completions"), ..job };
    assert!(matches!(sim.submit(moved, None, true), SubmissionAnswer::WrongEndpoint(_)));
}

/// Guards against delayed urgent jobs, and against accounts that get less than the share of their weight.
#[test]
fn work_is_ordered_by_slack_and_then_by_weighted_service() {
    let accounts = ["a", "b"].map(Name::new);
    let hour = 3_600_000;
    let mut fairness = scheduling::FairScheduler::default();
    fairness.set_weights(BTreeMap::from([(accounts[0].clone(), 3)]));
    fairness.set_active(&accounts.iter().cloned().collect());
    let candidate = |account: usize, deadline_ms, items| scheduling::Candidate {
        account: &accounts[account],
        deadline_ms,
        items,
        job: account,
    };
    let mut turns = [0; 2];
    for _ in 0..400 {
        let both = [candidate(0, 25 * hour, 10), candidate(1, 24 * hour, 10)];
        let next = fairness.pick(0, both.into_iter()).expect("there are two");
        fairness.charge(&accounts[next], 256);
        turns[next] += 1;
    }
    assert_eq!(turns, [300, 100]);
    let urgent = [candidate(0, 24 * hour, 10), candidate(1, hour, 10)];
    assert_eq!(fairness.pick(0, urgent.into_iter()), Some(1));
    // The large job needs more time than its window has.
    let large = [candidate(0, 2 * hour, 100_000_000), candidate(1, hour, 10)];
    assert_eq!(fairness.pick(0, large.into_iter()), Some(0));
}

/// Guards against values above the limit, and against a result that blocks its job because it cannot be stored.
#[test]
fn large_results_are_spread_over_chunks_and_too_large_ones_fail() {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 30, 86_400, true);
    sim.start(0, 1);
    for _ in 0..300 {
        sim.step(0, &mut |run| {
            let length = if run.id.item == 3 { 300_000 } else { 200_000 };
            let body = format!("{{\"run\":{},\"t\":\"{}\"}}", run.id.run, "x".repeat(length));
            (100, ItemOutcome::Done { status: 200, body: Value::from(body) })
        });
    }
    let counts = sim.check_results(&manifest);
    assert_eq!((counts.done, counts.failed), (29, 1));
}

/// Guards against a job that does not end although there are no faults, or whose index entry is not removed.
#[test]
fn a_job_runs_to_its_end_on_several_instances() {
    for is_idempotent in [true, false] {
        let mut sim = Simulation::new();
        let manifest = sim.accept("kigali/acme", 1_000, 86_400, is_idempotent);
        (0..3).for_each(|i| sim.start(i, 2));
        sim.finish(&manifest);
        assert_eq!(sim.check_results(&manifest).done, 1_000);
        sim.rounds(100);
        assert_eq!(sim.store.keys("open/"), Vec::<String>::new());
    }
}

/// Guards against a status that counts uncommitted results or leaves out segments.
#[test]
fn the_status_counts_what_is_committed() {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 600, 86_400, true);
    sim.start(0, 1);
    let mut last = 0;
    for _ in 0..400 {
        sim.step(0, &mut |run| (100, done(run)));
        let mut reader = StatusReader::new(manifest.spec.account.clone(), manifest.job.clone());
        run!(reader, sim);
        let counts = reader.answer().flatten().expect("the job exists").counts;
        assert!(counts.total == 600 && counts.done >= last);
        last = counts.done;
    }
    assert_eq!(last, 600);
}
