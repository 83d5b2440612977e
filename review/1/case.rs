//! Another writer leaves an entry among those of the servers.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    names::name,
    note,
    server::{Behaviour, Pause, Ran, Reply, Server, events},
    site::{ACCOUNTS, HOST, Site, base64},
};

const ITEMS: usize = 24;
const ORDERS: usize = 20;
/// The time that items have after the traffic, `complete_s` of the site.
const COMPLETE: Duration = Duration::from_secs(18);
/// The rule looks at the end of that time: for this long, no server had an item that is not listed.
const CALM: Duration = Duration::from_secs(5);
const WORK: Duration = Duration::from_millis(400);

pub fn play(root: &Path, work: &Path, trouble: bool) -> Verdict {
    let mut site = Site::start(root, work);
    let last_run: Arc<Mutex<Option<Instant>>> = Arc::default();
    let runs = Arc::clone(&last_run);
    let behaviour: Behaviour = Arc::new(move |ran: &Ran| {
        if !ran.target.starts_with("/plans/") {
            return Reply::text(200, "taken");
        }
        *runs.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now() + WORK);
        let last = ran.head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        Reply { pause: Some(Pause { after: 0, time: WORK }), ..events(last + 1, 6) }
    });
    let servers = ["i-1", "i-2"].map(|id| Server::start(id, "/health", Arc::clone(&behaviour)));
    site.configure(1, "/health");
    site.register(&servers[0], "a");
    site.register(&servers[1], "b");
    site.start_daemons();
    if trouble {
        let key = format!("{}i-f\u{fc}nf", name("servers"));
        let entry =
            r#"{"service":"engine","address":"127.0.0.1:9","zone":"a","slots":8,"state":"ready"}"#;
        site.put(&key, entry);
        note!("another writer leaves {key}: {entry}");
    }
    std::thread::sleep(Duration::from_secs(2));
    let front = site.front(0);
    submit(front);
    let orders = (0..ORDERS).filter(|n| order(site.front(n % 2), *n) == 0).count();
    let submitted = Instant::now();
    let mut results = String::new();
    while submitted.elapsed() < COMPLETE {
        std::thread::sleep(Duration::from_millis(500));
        results = read(front);
        if listed(&results) == ITEMS {
            break;
        }
    }
    let left = ITEMS - listed(&results);
    let idle = last_run.lock().unwrap_or_else(PoisonError::into_inner).map(|it| it.elapsed());
    site.count_in_logs("panicked");
    note!("{orders} of {ORDERS} orders ended without an answer");
    note!("results: {results}");
    note!(
        "{left} of {ITEMS} items are listed neither as completed nor as errored {:.1} s after the job; no server had an item for {idle:?}",
        submitted.elapsed().as_secs_f64()
    );
    if left > 0 && idle.is_none_or(|it| it > CALM) { Verdict::Broken } else { Verdict::Held }
}

fn listed(results: &str) -> usize {
    results.matches(r#""state":"#).count()
}

fn submit(front: SocketAddr) {
    let items: Vec<_> = (0..ITEMS)
        .map(|n| {
            format!(
                r#"{{"id":"item-{n}","path":"/plans/{n}","headers":{{}},"body":"{}","tokens":100}}"#,
                base64(b"plan")
            )
        })
        .collect();
    let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
    let status = call(front, "POST /plans/job-1", "job-1", body.as_bytes()).status;
    note!("client gets for job-1 with {ITEMS} items: {status}");
    assert_eq!(status, 202, "the job is accepted");
}

fn read(front: SocketAddr) -> String {
    let line = format!("GET {}job-1?after=0", name("jobs"));
    String::from_utf8_lossy(&call(front, &line, "read", b"").body).into_owned()
}

fn order(front: SocketAddr, n: usize) -> u16 {
    let id = format!("order-{n}");
    let status = call(front, "POST /orders/1", &id, b"one").status;
    note!("client gets for {id}: {status}");
    status
}

fn call(front: SocketAddr, line: &str, id: &str, body: &[u8]) -> http::Answer {
    let key = format!("Bearer {}", ACCOUNTS[0].1);
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id),
        ("Authorization", &*key),
        (name("deadline"), "4000"),
        ("Connection", "close"),
    ];
    http::exchange(front, &http::request(line, &headers, body), Duration::from_secs(6))
        .unwrap_or_default()
}
