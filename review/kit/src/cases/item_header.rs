//! A batch item has a header whose name is not ASCII text.

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
    let header = if trouble { "X-Größe" } else { "X-Size" };
    let items = (1..=4).map(|n| {
        let header = if n == 1 { header } else { "X-Size" };
        format!(
            r#"{{"id":"item-{n}","path":"/plans/{n}","headers":{{"{header}":"1"}},"body":"{}","tokens":100}}"#,
            base64(b"plan")
        )
    });
    let body = format!(r#"{{"items":[{}]}}"#, items.collect::<Vec<_>>().join(","));
    let key = format!("Bearer {}", ACCOUNTS[0].1);
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", "job-1"),
        ("Authorization", &key),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    let call = |line: &str, body: &[u8]| {
        http::exchange(site.front(0), &http::request(line, &headers, body), Duration::from_secs(6))
            .unwrap_or_default()
    };
    let status = call("POST /plans/job-1", body.as_bytes()).status;
    note!("client gets for job-1: {status}");
    let started = Instant::now();
    let mut results = String::new();
    while started.elapsed() < Duration::from_secs(30) {
        let answer = call(&format!("GET {}job-1?after=0", name("jobs")), b"");
        results = String::from_utf8_lossy(&answer.body).into_owned();
        if results.contains(r#""next":4"#) {
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    note!("results after {:.1} s: {results}", started.elapsed().as_secs_f64());
    site.count_in_logs("panicked");
    if status == 202 && !results.contains(r#""next":4"#) { Verdict::Broken } else { Verdict::Held }
}
