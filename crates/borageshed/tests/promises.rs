//! Checks that no answer promises that a request has not run that may have run.

use std::io;

use borageshed::online::target_answer::TargetAnswer;
use http_edge::{
    problem::{Execution, Problem, ProblemKind},
    status::Status,
};
use http_types::StatusCode;
use operator_site::{Site, call};
use test_support::{
    operator::{DRAFTS, LOOKUPS},
    target::{Behaviour, STAMP_HEADER, Target},
};

mod operator_site;

/// The statuses that are promises and that a target may also send for a request that it has run. A target that sends 421 has never run it.
const PROMISES: [u16; 3] = [408, 429, 503];

// Guards against orders that run twice, because their caller was passed the status of a target that had begun to work on them and takes
// it for the promise that they have not run.
#[async_std::test]
async fn the_failure_of_a_request_that_may_run_once_promises_nothing() -> io::Result<()> {
    let target = Target::start(Behaviour::Status(503)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    for (n, status) in PROMISES.into_iter().enumerate() {
        target.set_behaviour(Behaviour::Status(status));
        let reply = site.send(call(DRAFTS, &format!("r-{n}"))).await;
        assert_eq!(reply.status, 502, "the target answered {status}: {}", reply.text());
        assert_eq!(reply.header(STAMP_HEADER), None, "the answer is not the target's");
        assert_eq!(reply.header("retry-after"), None);
        assert_eq!(reply.json()["execution"], "unknown");
        assert_eq!(target.requests().len(), n + 1);
    }
    Ok(())
}

// Guards against a way around the check for answers that are forwarded while they arrive: those above the size that is buffered, and
// event streams.
#[async_std::test]
async fn a_long_failure_of_a_request_that_may_run_once_promises_nothing() -> io::Result<()> {
    let target = Target::start(Behaviour::Status(503)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let forms = [("text/plain", 200_000), ("text/event-stream", 40), ("text/event-stream", 0)];
    for (n, (media_type, bytes)) in forms.into_iter().enumerate() {
        for status in PROMISES {
            target.set_behaviour(Behaviour::LongStatus { status, media_type, bytes });
            let reply = site.send(call(DRAFTS, &format!("r-{n}-{status}"))).await;
            assert_eq!(reply.status, 502, "{status}, {bytes} bytes of {media_type}");
            assert_eq!(reply.header(STAMP_HEADER), None);
            assert_eq!(reply.json()["execution"], "unknown");
        }
    }
    assert_eq!(target.requests().len(), forms.len() * PROMISES.len(), "each ran once");
    Ok(())
}

// Guards against the loss of a target's status and signature where the caller may send the request again in any case.
#[async_std::test]
async fn the_failure_of_an_idempotent_request_is_passed_on_as_it_came() -> io::Result<()> {
    let target = Target::start(Behaviour::Status(503)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    for (n, status) in PROMISES.into_iter().enumerate() {
        target.set_behaviour(Behaviour::Status(status));
        let id = format!("r-{n}");
        let reply = site.send(call(LOOKUPS, &id)).await;
        assert_eq!(reply.status, status, "{}", reply.text());
        assert_eq!(reply.header(STAMP_HEADER), Some(&*format!("stamp-{id}")));
    }
    Ok(())
}

// Guards against a way around the check of a target's status: answers can be passed on in this type alone.
#[test]
fn an_answer_to_a_request_that_may_run_once_has_no_status_that_promises() {
    let promises = [408, 421, 429, 503];
    for code in 200..=999 {
        let res = Status::try_from(code).expect("a status code").into_response();
        let answer = TargetAnswer::new(&res, "r-1", false);
        assert_eq!(answer.is_err(), promises.contains(&code), "{code}");
        let answer = TargetAnswer::new(&res, "r-1", true).expect("it may run again");
        assert_eq!(Status::of(answer.response()).code(), code);
    }
}

// Guards against refusals of the daemon that say "not run" by their status although they do not know it.
#[test]
fn a_problem_of_a_request_that_may_have_run_promises_nothing() {
    let kinds = [
        ProblemKind::RequestTimeout,
        ProblemKind::RateLimited,
        ProblemKind::Overloaded,
        ProblemKind::TooManyConnections,
        ProblemKind::Draining,
        ProblemKind::StoreUnavailable,
        ProblemKind::TargetFailed,
        ProblemKind::TargetTimeout,
        ProblemKind::Internal,
    ];
    for kind in kinds {
        for execution in [Execution::Ran, Execution::Unknown] {
            let problem = Problem::new(kind, execution, "");
            assert!(!Status::from(problem.status()).promises_not_run(), "{kind:?} {execution:?}");
            assert_eq!(problem.document()["status"], u16::from(problem.status()));
            assert_eq!(Status::of(&problem.clone().into_response()), problem.status().into());
        }
    }
    let refused = Problem::new(ProblemKind::Overloaded, Execution::NotRun, "");
    assert_eq!(refused.status(), StatusCode::ServiceUnavailable);
}
