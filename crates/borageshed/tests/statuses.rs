//! Checks that the status codes of targets are kept, whether or not a library knows them.

use std::io;

use async_std::{
    io::{ReadExt as _, WriteExt as _},
    net::TcpStream,
};
use operator_site::{KEY, Site, stream, submission, wait_until};
use test_support::{
    http::Call,
    operator::{self, DRAFTS, HOST},
    target::{Behaviour, STAMP_HEADER, Target},
};

mod operator_site;

/// Other tests cover these codes: they say that the target has not run the request.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Answers with these codes have no body; the stand-in sends one.
const BODILESS: [u16; 2] = [204, 304];

// Guards against a caller who gets another status than the target gave, with the signature of that target.
#[async_std::test]
async fn callers_get_every_status_as_the_target_gave_it() -> io::Result<()> {
    let target = Target::start(Behaviour::Status(200)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let codes = (200..=999).filter(|it| !PROMISES.contains(it) && !BODILESS.contains(it));
    for code in codes {
        target.set_behaviour(Behaviour::Status(code));
        let answer = raw_answer(&site, &format!("r-{code}")).await?;
        assert!(answer.starts_with(&format!("HTTP/1.1 {code} ")), "{code}: {answer}");
        assert!(answer.contains(&format!("{STAMP_HEADER}: stamp-r-")), "{code}: {answer}");
        assert!(answer.ends_with("\r\n\r\ntold"), "{code}: {answer}");
    }
    Ok(())
}

/// Sends a request that is not sent again and returns the answer as it is on the wire; the client of the tests does not read every status.
async fn raw_answer(site: &Site, id: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(site.callers()).await?;
    let head = format!(
        "GET {DRAFTS}x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Request-Id: {id}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

// Guards against items that are given up after a few answers that the users' pages do not name as failures of an item.
#[async_std::test]
async fn items_are_not_given_up_for_a_status_that_is_neither_422_nor_500() -> io::Result<()> {
    for status in [529, 444] {
        let target = Target::start(Behaviour::Status(status)).await?;
        let site = Site::start(&[("t-1", &target)]).await?;
        assert_eq!(site.send(submission("job-1", &["i-1"])).await.status, 202);
        // The route allows three attempts.
        wait_until("the item fails often", async || target.requests().len() >= 5).await?;
        target.set_behaviour(stream(2, 1));
        site.wait_for_results("job-1", 1).await?;
        let results = Call::get(operator::results_path("job-1", 0)).key(KEY);
        let result = site.send(results).await.json()["results"][0].clone();
        assert_eq!(result["state"], "completed", "{status}: {result}");
    }
    Ok(())
}
