//! Checks what callers get of answers without a length that begin before the target has read the request, and end with a reset.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt as _, WriteExt as _},
    net::TcpStream,
    task,
};
use link_site::{Cut, LinkSite};
use operator_site::{KEY, LIMIT, Site};
use test_support::{
    operator::{DRAFTS, HOST, LOOKUPS, STREAMS},
    target::{Behaviour, EarlyAnswer, STAMP_HEADER, Target},
};

mod link_site;
mod operator_site;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
const EVENT: &str = "id: 1\ndata: part 1\n\n";
const EARLY: EarlyAnswer = EarlyAnswer {
    status: "200",
    media_type: "text/plain",
    text: "part ",
    times: 200,
    pause: Duration::ZERO,
    is_reset: true,
};
/// The most attempts of the routes are two.
const MAX_RUNS: usize = 2;
/// The size of a long upload, in bytes; more than the socket buffers on the way take.
const UPLOAD: usize = 3 << 20;

/// How a caller sends its request and reads the answer.
#[derive(Debug, Clone, Copy)]
struct Caller {
    body: usize,
    is_chunked: bool,
    reads_after: Duration,
}

const CALLERS: [Caller; 4] = [
    Caller { body: 0, is_chunked: false, reads_after: Duration::ZERO },
    Caller { body: UPLOAD, is_chunked: false, reads_after: Duration::ZERO },
    Caller { body: UPLOAD, is_chunked: true, reads_after: Duration::ZERO },
    Caller { body: UPLOAD, is_chunked: false, reads_after: Duration::from_millis(400) },
];

impl Caller {
    /// Sends a request and returns all that arrives as an answer.
    async fn call(self, address: SocketAddr, prefix: &str, id: &str) -> io::Result<Vec<u8>> {
        let mut connection = TcpStream::connect(address).await?;
        let mut writer = connection.clone();
        let framing = match self.is_chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {}", self.body),
        };
        let head = format!(
            "POST {prefix}x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Request-Id: {id}\r\nConnection: close\r\n{framing}\r\n\r\n"
        );
        let body = vec![b'u'; self.body];
        let upload = task::spawn(async move {
            // The daemon may answer and close before it has read all.
            let _ = writer.write_all(head.as_bytes()).await;
            if self.is_chunked {
                let _ = writer.write_all(format!("{:x}\r\n", body.len()).as_bytes()).await;
                let _ = writer.write_all(&body).await;
                let _ = writer.write_all(b"\r\n0\r\n\r\n").await;
            } else {
                let _ = writer.write_all(&body).await;
            }
        });
        task::sleep(self.reads_after).await;
        let mut answer = Vec::new();
        let read = connection.read_to_end(&mut answer);
        // A reset also shows that the answer is not complete.
        let _ = timeout(LIMIT, read).await.expect("an end of the answer");
        upload.cancel().await;
        Ok(answer)
    }
}

fn is_complete_success(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer).to_lowercase();
    if !text.starts_with("http/1.1 2") {
        return false;
    }
    // An answer whose length is announced is complete with its last byte.
    let has_length = text.contains("\r\ncontent-length: ");
    has_length || answer.ends_with(LAST_CHUNK)
}

/// Sends requests of each kind and size, whose answers a target begins and resets after each of some pauses; returns how many were sent.
async fn check_resets(address: SocketAddr, target: &Target, name: &str) -> io::Result<usize> {
    let mut sent = 0;
    for (prefix, media_type, text) in [
        (LOOKUPS, "text/plain", "part "),
        (DRAFTS, "text/plain", "part "),
        (DRAFTS, "text/event-stream", EVENT),
        (STREAMS, "text/event-stream", EVENT),
    ] {
        for pause_ms in [0, 5, 50] {
            for times in [1, 20_000] {
                let pause = Duration::from_millis(pause_ms);
                let early = EarlyAnswer { media_type, text, times, pause, ..EARLY };
                target.set_behaviour(Behaviour::Early(early));
                for caller in CALLERS {
                    sent += 1;
                    let id = format!("{name}-{sent}");
                    let answer = caller.call(address, prefix, &id).await?;
                    let received = target.requests();
                    let ids = received.iter().filter_map(|it| it.header("x-request-id"));
                    let runs = ids.filter(|it| *it == id).count();
                    assert!(runs <= MAX_RUNS, "{id}: {runs} runs");
                    assert!(
                        !is_complete_success(&answer),
                        "{id}: {prefix} {early:?} {caller:?}: {} bytes read as complete: {}",
                        answer.len(),
                        String::from_utf8_lossy(&answer[..answer.len().min(300)])
                    );
                }
            }
        }
    }
    Ok(sent)
}

// Guards against a part of an answer that a caller takes for the whole, because the target began it early and reset the connection.
#[async_std::test]
async fn an_early_answer_that_is_reset_is_never_complete() -> io::Result<()> {
    let target = Target::start(Behaviour::Early(EARLY)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    assert_eq!(check_resets(site.callers(), &target, "direct").await?, 96);
    Ok(())
}

// The same for answers that come through another daemon.
#[async_std::test]
async fn an_early_answer_that_is_reset_is_not_complete_through_another_daemon() -> io::Result<()> {
    let stream = Behaviour::Stream { events: 3, pause: Duration::ZERO };
    let site = LinkSite::start(&[stream]).await?;
    site.cut(Cut::Reset).await?;
    site.wait_until_lost().await?;
    assert_eq!(check_resets(site.callers, &site.targets[0], "peer").await?, 96);
    Ok(())
}

// Guards against whole answers that are dropped: one that the target has ended is complete, though the connection is reset later, since the upload
// was not read ("one that is reset on the way isn't complete": this one was not on the way any more).
#[async_std::test]
async fn an_early_answer_that_has_ended_is_complete() -> io::Result<()> {
    let early = EarlyAnswer { is_reset: false, pause: Duration::from_millis(20), ..EARLY };
    let target = Target::start(Behaviour::Early(early)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    for (n, caller) in CALLERS.into_iter().enumerate() {
        let answer = caller.call(site.callers(), LOOKUPS, &format!("whole-{n}")).await?;
        assert!(is_complete_success(&answer), "{caller:?}: {}", String::from_utf8_lossy(&answer));
    }
    Ok(())
}

// Guards against an answer without a valid status that a caller gets as an answer.
#[async_std::test]
async fn a_status_that_is_none_is_not_passed_on() -> io::Result<()> {
    let target = Target::start(Behaviour::Early(EARLY)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let link_site = LinkSite::start(&[Behaviour::Early(EARLY)]).await?;
    let cut_site = LinkSite::start(&[Behaviour::Status(200)]).await?;
    cut_site.cut(Cut::Reset).await?;
    cut_site.wait_until_lost().await?;
    let ways = [
        (site.callers(), &target),
        (link_site.callers, &link_site.targets[0]),
        (cut_site.callers, &cut_site.targets[0]),
    ];
    for (way, (address, target)) in ways.into_iter().enumerate() {
        for (n, status) in ["000", "099", "00", "20", "1000", "-200"].into_iter().enumerate() {
            target.set_behaviour(Behaviour::Early(EarlyAnswer { status, ..EARLY }));
            for prefix in [LOOKUPS, DRAFTS] {
                let id = format!("odd-{way}-{n}-{}", prefix.len());
                let answer = CALLERS[0].call(address, prefix, &id).await?;
                let text = String::from_utf8_lossy(&answer);
                assert!(text.starts_with("HTTP/1.1 50"), "{status}: {text}");
                assert!(!text.to_lowercase().contains(STAMP_HEADER), "{status}: {text}");
            }
        }
    }
    Ok(())
}
