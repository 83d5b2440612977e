//! Requests wait for a busy service on an entry instance that is told to stop.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use crate::{
    Verdict, http,
    names::name,
    note,
    server::{Behaviour, Pause, Ran, Reply, Server},
    site::{ACCOUNTS, HOST, Site},
};

const SERVERS: usize = 2;
const SLOTS: usize = 8;
const WAITING: usize = 8;
/// Two thirds of the timeout of the route.
const WORK: Duration = Duration::from_secs(9);

pub fn play(root: &Path, work: &Path, trouble: bool) -> Verdict {
    let mut site = Site::start(root, work);
    let behaviour: Behaviour = Arc::new(|ran: &Ran| {
        let id = ran.head.get("x-request-id").unwrap_or_default();
        let time = if id.starts_with("long") { WORK } else { Duration::from_millis(20) };
        Reply { pause: Some(Pause { after: 0, time }), ..Reply::text(200, "done") }
    });
    let servers: Vec<_> = (1..=SERVERS)
        .map(|n| Server::start(&format!("i-{n}"), "/health", Arc::clone(&behaviour)))
        .collect();
    site.configure(1, "/health");
    for server in &servers {
        site.register(server, "a");
    }
    site.start_daemons();
    std::thread::sleep(Duration::from_secs(3));
    let front = site.front(0);
    let long: Vec<_> = (0..SERVERS * SLOTS + WAITING)
        .map(|n| {
            std::thread::sleep(Duration::from_millis(20));
            std::thread::spawn(move || send(front, &format!("long-{n}")))
        })
        .collect();
    let waiting: Vec<_> = (0..WAITING)
        .map(|n| std::thread::spawn(move || send(front, &format!("short-{n}"))))
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        site.terminate("front-a-1");
    }
    let mut lost = 0;
    for (n, client) in waiting.into_iter().enumerate() {
        let answer = client.join().unwrap_or_default();
        note!("client gets for short-{n}: {}, complete: {}", answer.status, answer.is_complete);
        lost += usize::from(!answer.is_complete);
    }
    for (n, client) in long.into_iter().enumerate() {
        let answer = client.join().unwrap_or_default();
        let id = format!("long-{n}");
        let ran = servers.iter().flat_map(Server::ran);
        let ran = ran.filter(|it| it.head.get("x-request-id") == Some(&*id)).count();
        lost += usize::from(!answer.is_complete && ran == 0);
    }
    site.note_logs("drain", 3);
    note!("{lost} requests that were never passed on ended without an answer");
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}

fn send(front: SocketAddr, id: &str) -> http::Answer {
    let key = format!("Bearer {}", ACCOUNTS[0].1);
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id),
        ("Authorization", &key),
        (name("deadline"), "15000"),
    ];
    let req = http::request("POST /reports/1", &headers, b"report");
    note!("client sends {id}");
    let answer = http::exchange(front, &req, Duration::from_secs(16)).unwrap_or_default();
    note!("the answer to {id} ended: {}", answer.status);
    answer
}
