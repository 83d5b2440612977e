//! Runs daemons as separate processes against targets that answer wrongly when they are asked to resume a broken stream.

use std::io;

use async_std::{
    io::{ReadExt as _, WriteExt as _},
    net::TcpStream,
};
use operator_site::{KEY, Site, submission};
use test_support::{
    http::Call,
    operator::{self, HOST, STREAMS},
    target::{Behaviour, FAULT_TEXT, ResumeFault, Target},
};

mod operator_site;

const FAULTS: [ResumeFault; 5] = [
    ResumeFault::StartsOver,
    ResumeFault::SkipsEvent,
    ResumeFault::Failure,
    ResumeFault::TextAsEvents,
    ResumeFault::SecondHead,
];

/// Returns all bytes of the answer to a request, with further headers.
async fn raw_answer(site: &Site, id: &str, headers: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(site.callers()).await?;
    let head = format!(
        "POST {STREAMS}x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Request-Id: {id}\r\n{headers}Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = Vec::new();
    // The connection may be reset.
    let _ = stream.read_to_end(&mut answer).await;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Returns the numbers of the events in an answer.
fn events(answer: &str) -> Vec<u64> {
    let lines = answer.lines().filter_map(|it| it.strip_prefix("data: part "));
    lines.filter_map(|it| it.trim().parse().ok()).collect()
}

fn check(fault: ResumeFault, answer: &str, first: u64) {
    let events = events(answer);
    let expected: Vec<u64> = (first..).take(events.len()).collect();
    assert_eq!(events, expected, "{fault:?}: {answer}");
    assert!(!answer.contains(FAULT_TEXT), "{fault:?}: {answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{fault:?}: {answer}");
    let looks_complete = answer.ends_with("\r\n0\r\n\r\n");
    assert!(!looks_complete || events.last() == Some(&6), "{fault:?}: {answer}");
}

// Guards against the text of an error, a second head or repeated events in the middle of a stream, and against a broken stream that
// looks complete.
#[async_std::test]
async fn a_faulty_answer_to_a_resumption_does_not_reach_the_caller() -> io::Result<()> {
    for fault in FAULTS {
        let target = Target::start(Behaviour::BreakAndFault(3, fault)).await?;
        let other = Target::start(Behaviour::BreakAndFault(3, fault)).await?;
        let site = Site::start(&[("t-1", &target), ("t-2", &other)]).await?;
        check(fault, &raw_answer(&site, "r-1", "").await?, 1);
        let taken_up = "Last-Event-Id: 3\r\nResumes: r-1\r\n";
        let answer = raw_answer(&site, "r-2", taken_up).await?;
        match fault {
            // The target's own failure is passed on as it is.
            ResumeFault::Failure => assert!(answer.starts_with("HTTP/1.1 500"), "{answer}"),
            _ => check(fault, &answer, 4),
        }
    }
    Ok(())
}

// Guards against results that hold repeated events or the text of an error.
#[async_std::test]
async fn a_faulty_answer_to_a_resumption_does_not_reach_a_result() -> io::Result<()> {
    for fault in FAULTS {
        let target = Target::start(Behaviour::BreakAndFault(3, fault)).await?;
        let site = Site::start(&[("t-1", &target)]).await?;
        assert_eq!(site.send(submission("job", &["i-1"])).await.status, 202);
        let has_resumed = async || target.requests().len() >= 2;
        operator_site::wait_until("the item was resumed", has_resumed).await?;
        target.set_behaviour(Behaviour::BreakAfter(3));
        site.wait_for_results("job", 1).await?;
        let results = site.send(Call::get(operator::results_path("job", 0)).key(KEY)).await.json();
        let text = results["results"][0]["text"].as_str().unwrap_or_default().to_owned();
        let state = results["results"][0]["state"].as_str().unwrap_or_default().to_owned();
        let whole: Vec<String> = (1..=6).map(|n| format!("part {n}")).collect();
        assert!(state == "errored" || text == whole.join("\n"), "{fault:?}: {state} {text}");
    }
    Ok(())
}
