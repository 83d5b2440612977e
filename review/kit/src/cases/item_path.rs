//! The path of a batch item contains the end of a request and a second request.

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    names::name,
    note,
    server::{Ran, Server, events},
    site::{ACCOUNTS, HOST, Site, base64},
};

pub fn play(root: &Path, work: &Path, trouble: bool) -> Verdict {
    let mut site = Site::start(root, work);
    let stream = |ran: &Ran| {
        let last = ran.head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        events(last + 1, 5)
    };
    let servers = ["i-1", "i-2"].map(|id| Server::start(id, "/health", Arc::new(stream)));
    site.configure(1, "/health");
    site.register(&servers[0], "a");
    site.register(&servers[1], "b");
    site.start_daemons();
    let path = match trouble {
        // What follows is a whole request in the name of another account; the rest of the real head ends up in its body.
        true => format!(
            "/plans/1 HTTP/1.1\\r\\nX-Request-Id: item-1\\r\\nContent-Length: 0\\r\\n\\r\\nPOST /orders/7 HTTP/1.1\\r\\nHost: {HOST}\\r\\nX-Request-Id: nobody-sent-this\\r\\n{}: {}\\r\\nX-Rest: ",
            name("tenant"),
            ACCOUNTS[1].0
        ),
        false => "/plans/1".to_owned(),
    };
    let body = format!(
        r#"{{"items":[{{"id":"item-1","path":"{path}","headers":{{}},"body":"{}","tokens":100}}]}}"#,
        base64(b"plan")
    );
    let key = format!("Bearer {}", ACCOUNTS[0].1);
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", "job-1"),
        ("Authorization", &key),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    note!("client of {} submits job-1: {body}", ACCOUNTS[0].0);
    let answer = http::exchange(
        site.front(0),
        &http::request("POST /plans/job-1", &headers, body.as_bytes()),
        Duration::from_secs(6),
    );
    let status = answer.map(|it| it.status);
    note!("client gets for job-1: {status:?}");
    let started = Instant::now();
    let all = || -> Vec<Ran> { servers.iter().flat_map(Server::ran).collect() };
    while all().is_empty() && started.elapsed() < Duration::from_secs(8) {
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(1));
    let ran = all();
    let unasked = ran.iter().filter(|it| it.head.get("x-request-id") != Some("item-1")).count();
    note!("servers ran {} requests, {unasked} of them with an id that no client sent", ran.len());
    if unasked > 0 { Verdict::Broken } else { Verdict::Held }
}
