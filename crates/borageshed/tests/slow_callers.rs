//! Checks what callers get that read their answers slowly or late.

use std::{io, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt as _, WriteExt as _},
    net::TcpStream,
    task,
};
use futures::future::try_join_all;
use operator_site::{KEY, LIMIT, Site};
use test_support::{
    operator::{HOST, LOOKUPS, STREAMS},
    target::{Behaviour, Endless, Target},
};

mod operator_site;

/// Longer than the timeouts of the operator's routes, which are 5 s.
const UNREAD_FOR: Duration = Duration::from_secs(7);
const CALLERS: usize = 6;
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Sends a request, reads nothing until its timeout is over, and returns the whole answer.
async fn read_late(site: &Site, prefix: &str) -> io::Result<Vec<u8>> {
    let mut connection = TcpStream::connect(site.callers()).await?;
    let head = format!(
        "POST {prefix}x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Request-Id: r-{}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        prefix.len()
    );
    connection.write_all(head.as_bytes()).await?;
    task::sleep(UNREAD_FOR).await;
    let (mut answer, mut buf) = (Vec::new(), [0; 4 * 1024]);
    // Reading slowly keeps the daemon's queue full. A reset also shows that the answer is not complete.
    while let Ok(n) = timeout(LIMIT, connection.read(&mut buf)).await.expect("an end of the answer")
    {
        if n == 0 {
            break;
        }
        answer.extend_from_slice(&buf[..n]);
        task::sleep(Duration::from_millis(1)).await;
    }
    Ok(answer)
}

// Guards against an answer that was cut but looks complete: the end of a full queue was taken for the end of the body.
#[async_std::test]
async fn an_answer_that_its_timeout_cuts_before_a_slow_caller_has_no_last_chunk() -> io::Result<()>
{
    for (prefix, endless) in [(STREAMS, Endless::Events), (LOOKUPS, Endless::Body)] {
        let target = Target::start(Behaviour::Endless(endless)).await?;
        let site = Site::start(&[("t-1", &target)]).await?;
        let answers = (0..CALLERS).map(|_| read_late(&site, prefix));
        for answer in try_join_all(answers).await? {
            assert!(answer.starts_with(b"HTTP/1.1 200"), "{prefix}: {} bytes", answer.len());
            assert!(
                !answer.ends_with(LAST_CHUNK),
                "{prefix}: {} bytes look complete",
                answer.len()
            );
        }
    }
    Ok(())
}
