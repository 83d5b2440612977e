//! A server fails a part of the requests that it has run with 503, and does not say that they have not run.

use std::{path::Path, sync::Arc, time::Duration};

use crate::{
    Verdict, http,
    names::name,
    note,
    server::{Ran, Reply, Server},
    site::{ACCOUNTS, HOST, Site},
};

const REQUESTS: usize = 20;
/// Two in five requests to the faulty server fail, which is the largest dose of this disruption.
const FAILING: [usize; 2] = [0, 2];
const STATUS: u16 = 503;

pub fn play(root: &Path, work: &Path, trouble: bool) -> Verdict {
    let mut site = Site::start(root, work);
    let behaviour = move |ran: &Ran| {
        let id = ran.head.get("x-request-id").unwrap_or_default();
        let n: usize = id.rsplit('-').next().and_then(|it| it.parse().ok()).unwrap_or(0);
        let fails = trouble && ran.server == "i-1" && FAILING.contains(&(n / 2 % 5));
        let status = if fails { STATUS } else { 200 };
        Reply::text(status, &format!("order {id}: {status}"))
    };
    let servers = ["i-1", "i-2"].map(|id| Server::start(id, "/health", Arc::new(behaviour)));
    site.configure(1, "/health");
    site.register(&servers[0], "a");
    site.register(&servers[1], "b");
    site.start_daemons();
    let mut broken = 0;
    for n in 0..REQUESTS {
        let (id, key) = (format!("order-{n}"), format!("Bearer {}", ACCOUNTS[0].1));
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", &id),
            ("Authorization", &key),
            (name("deadline"), "4000"),
            ("Connection", "close"),
        ];
        let req = http::request("POST /orders/1", &headers, b"one");
        let front = site.front(n % 2);
        let Ok(answer) = http::exchange(front, &req, Duration::from_secs(6)) else { continue };
        let runs = servers.iter().flat_map(Server::ran);
        let runs = runs.filter(|it| it.head.get("x-request-id") == Some(&*id)).count();
        note!(
            "client gets for {id}: {} with stamp {:?}; it ran {runs} time(s)",
            answer.status,
            answer.head.get(name("stamp"))
        );
        broken += usize::from(matches!(answer.status, 408 | 421 | 429 | 503) && runs > 0);
    }
    note!(
        "{broken} of {REQUESTS} requests that may run once only have run and were answered that they have not"
    );
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
