//! A server fails a part of its requests with a status that is not among the registered ones.

use std::{path::Path, sync::Arc, time::Duration};

use crate::{
    Verdict, http,
    names::name,
    note,
    server::{Ran, Reply, Server},
    site::{ACCOUNTS, HOST, Site},
};

const REQUESTS: usize = 20;
/// Two in five requests fail, as the largest dose of this disruption.
const FAILING: [usize; 2] = [1, 3];

pub fn play(root: &Path, work: &Path, trouble: bool) -> Verdict {
    let mut site = Site::start(root, work);
    let failure = if trouble { 529 } else { 500 };
    let behaviour = move |ran: &Ran| {
        let id = ran.head.get("x-request-id").unwrap_or_default();
        let n: usize = id.rsplit('-').next().and_then(|it| it.parse().ok()).unwrap_or(0);
        let status = if FAILING.contains(&(n % 5)) { failure } else { 200 };
        Reply::text(status, &format!("status {status}"))
    };
    let servers = ["i-1", "i-2"].map(|id| Server::start(id, "/health", Arc::new(behaviour)));
    site.configure(1, "/health");
    site.register(&servers[0], "a");
    site.register(&servers[1], "b");
    site.start_daemons();
    let mut wrong = 0;
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
        let Ok(answer) = http::exchange(site.front(n % 2), &req, Duration::from_secs(6)) else {
            continue;
        };
        let stamp = answer.head.get(name("stamp"));
        let ran: Vec<Ran> = servers.iter().flat_map(Server::ran).collect();
        let given = ran.iter().find(|it| Some(&*it.stamp) == stamp).map(|it| behaviour(it).status);
        note!(
            "client gets for {id}: {} with stamp {stamp:?}; the server gave {given:?}",
            answer.status
        );
        wrong += usize::from(given.is_some_and(|it| it != answer.status));
    }
    note!(
        "{wrong} of {REQUESTS} answers bear a server's stamp and another status than that server gave"
    );
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}
