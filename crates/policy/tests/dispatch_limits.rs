//! Tests of targets that limit the requests of all instances together, in simulated time.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use fleet::QualifiedName;
use policy::dispatch::{
    Action, Class, Dispatcher, Event, Instances, LimitNews, Request, Settings, TargetInfo,
    TargetLimit,
};
use stdx::{Name, Timestamp, rng};

mod dispatch_support;
use dispatch_support::{Bench, SECOND, batch, ids, online, refusals, service, target};

const TICK: Duration = Duration::from_millis(20);
/// Load reports of peers arrive at this interval.
const HEARTBEAT_TICKS: u64 = 13;
const SLOT_TIME: Duration = Duration::from_millis(400);
/// The rule of the platform: a target gets at most 1.5 times its limit, and 5 more requests, in this span.
const WINDOW: Duration = Duration::from_secs(4);
/// How long after its first answer with a limit a target may get more.
const GRACE: Duration = Duration::from_millis(3_500);

/// Instances of one failure domain that share targets, all of which name the same limit.
struct Fleet {
    dispatchers: Vec<Dispatcher>,
    targets: Vec<TargetInfo>,
    /// The limit that targets name in thousandths of a request per second.
    limit: Option<u64>,
    now: Timestamp,
    ticks: u64,
    next_id: u64,
    running: VecDeque<(Timestamp, usize, u64, Name)>,
    received: BTreeMap<Name, Vec<(Timestamp, Class)>>,
    classes: BTreeMap<u64, Class>,
    refused: usize,
    /// Whether instances reach each other.
    linked: bool,
}

impl Fleet {
    /// Creates `admitting` instances that send online requests and `runners` that send batch requests.
    fn new(admitting: usize, runners: usize, targets: usize, limit: u64) -> Self {
        let names: Vec<Name> =
            (0..admitting + runners).map(|it| Name::new(format!("d{it:03}"))).collect();
        let targets: Vec<TargetInfo> = (0..targets)
            .map(|it| TargetInfo { registered: true, ..target(&format!("t{it:02}"), "z1", 8) })
            .collect();
        let instances = Instances {
            admitting: names[..admitting].iter().map(|it| (it.clone(), "z1".into())).collect(),
            runners: names[admitting..].iter().cloned().collect(),
            ..Instances::default()
        };
        let mut fleet = Self {
            dispatchers: Vec::new(),
            targets: targets.clone(),
            limit: Some(limit),
            now: Timestamp::from_millis(1),
            ticks: 0,
            next_id: 0,
            running: VecDeque::new(),
            received: BTreeMap::new(),
            classes: BTreeMap::new(),
            refused: 0,
            linked: true,
        };
        for (seed, name) in names.iter().enumerate() {
            // The invariants of large fleets take too long to check at each call.
            let settings = Settings {
                check_invariants: names.len() <= 8,
                ..Settings::new(name.clone(), "z1".into())
            };
            let mut dispatcher = Dispatcher::new(settings, rng::seeded(seed as u64));
            let listed = Event::TargetsChanged { service: service(), targets: targets.clone() };
            dispatcher.on_event(fleet.now, listed);
            for peer in names.iter().filter(|it| *it != name) {
                let link = Event::PeerLink { peer: peer.clone(), up: true };
                dispatcher.on_event(fleet.now, link);
            }
            dispatcher.on_event(fleet.now, Event::Instances(instances.clone()));
            fleet.dispatchers.push(dispatcher);
        }
        fleet
    }

    /// Runs for a time in which each instance gets requests at the given intervals, in ticks; 0 for none.
    fn run(&mut self, time: Duration, online_every: &[u64], batch_every: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.ticks += 1;
            self.complete_due();
            for instance in 0..self.dispatchers.len() {
                let actions = self.dispatchers[instance].tick(self.now);
                self.apply(instance, actions);
                let (every, class) = match online_every.get(instance) {
                    Some(every) => (*every, Class::Online),
                    None => (batch_every, Class::Batch),
                };
                if every > 0 && (self.ticks + instance as u64).is_multiple_of(every) {
                    self.submit(instance, class);
                }
                if self.linked && (self.ticks + instance as u64).is_multiple_of(HEARTBEAT_TICKS) {
                    self.report_load(instance);
                }
            }
        }
    }

    fn submit(&mut self, instance: usize, class: Class) {
        self.next_id += 1;
        let base = match class {
            Class::Online => online(self.next_id),
            Class::Batch => batch(self.next_id),
        };
        let deadline = self.now + Duration::from_secs(3);
        self.classes.insert(self.next_id, class);
        let actions = self.dispatchers[instance].submit(self.now, Request { deadline, ..base });
        self.apply(instance, actions);
    }

    fn report_load(&mut self, from: usize) {
        let loads = self.dispatchers[from].in_flight_loads(self.now);
        let waiting = self.dispatchers[from].waiting_services();
        let batch_waiting = self.dispatchers[from].batch_waiting_services();
        for to in (0..self.dispatchers.len()).filter(|it| *it != from) {
            let event = Event::PeerHeartbeat {
                peer: Name::new(format!("d{from:03}")),
                failure_domain: "z1".into(),
                loads: loads.clone(),
                waiting: waiting.clone(),
                batch_waiting: batch_waiting.clone(),
            };
            let actions = self.dispatchers[to].on_event(self.now, event);
            self.apply(to, actions);
        }
    }

    fn complete_due(&mut self) {
        while let Some((_, instance, id, _)) =
            self.running.front().filter(|it| it.0 <= self.now).cloned()
        {
            self.running.pop_front();
            let completed = Event::Completed { id, tokens: None };
            let actions = self.dispatchers[instance].on_event(self.now, completed);
            self.apply(instance, actions);
        }
    }

    fn apply(&mut self, instance: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { id, target, .. } => self.start(instance, id, target),
                Action::Refuse { .. } => self.refused += 1,
                Action::CancelBatch { id } => {
                    self.running.retain(|it| it.2 != id);
                    let actions =
                        self.dispatchers[instance].on_event(self.now, Event::Yielded { id });
                    self.apply(instance, actions);
                }
                Action::ShareLimit { to: None, news } if self.linked => self.share(instance, &news),
                _ => {}
            }
        }
    }

    /// Lets a target begin to answer at once.
    fn start(&mut self, instance: usize, id: u64, target: Name) {
        let class = self.classes[&id];
        self.received.entry(target.clone()).or_default().push((self.now, class));
        self.running.push_back((self.now + SLOT_TIME, instance, id, target.clone()));
        let limit = self.limit.map(TargetLimit);
        let answer = Event::AnswerLimit { service: service(), target, limit, sent_at: self.now };
        for event in [Event::Started { id }, Event::FirstByte { id }, answer] {
            let actions = self.dispatchers[instance].on_event(self.now, event);
            self.apply(instance, actions);
        }
    }

    fn share(&mut self, from: usize, news: &LimitNews) {
        for to in (0..self.dispatchers.len()).filter(|it| *it != from) {
            let event = Event::LimitNews(news.clone());
            let actions = self.dispatchers[to].on_event(self.now, event);
            self.apply(to, actions);
        }
    }

    /// Returns the most requests that any target got in [`WINDOW`], from [`GRACE`] after its first one.
    fn most_in_a_window(&self) -> usize {
        let most = |received: &Vec<(Timestamp, Class)>| {
            let counted: Vec<Timestamp> = received.iter().map(|it| it.0).collect();
            let from = counted[0] + GRACE;
            let counted: Vec<_> = counted.into_iter().filter(|it| *it >= from).collect();
            let in_window = |start: &Timestamp| {
                counted.iter().filter(|it| **it >= *start && it.since(*start) < WINDOW).count()
            };
            counted.iter().map(in_window).max().unwrap_or(0)
        };
        self.received.values().map(most).max().unwrap_or(0)
    }

    /// Returns the requests of a class per second and target since `from`.
    fn rate(&self, from: Timestamp, class: Class) -> f64 {
        let counted = self.received.values().flatten();
        let count = counted.filter(|it| it.0 >= from && it.1 == class).count();
        count as f64 / self.now.since(from).as_secs_f64() / self.targets.len() as f64
    }
}

fn allowed(limit_millis: u64) -> usize {
    (1.5 * limit_millis as f64 / 1_000.0 * WINDOW.as_secs_f64()) as usize + 5
}

fn answer_limit(limit: Option<u64>, sent_at: Timestamp) -> Event {
    let (service, target): (QualifiedName, Name) = (service(), "t1".into());
    Event::AnswerLimit { service, target, limit: limit.map(TargetLimit), sent_at }
}

fn registered(name: &str) -> TargetInfo {
    TargetInfo { registered: true, ..target(name, "z1", 8) }
}

// Guards against instances that each spend the limit for themselves, or batch requests that are sent beside it.
#[test]
fn instances_of_any_number_stay_within_any_limit_together() {
    for limit in [0, 1_000, 2_500, 10_000, 40_000] {
        for (admitting, runners) in [(1, 0), (3, 1), (12, 3), (40, 8)] {
            let mut fleet = Fleet::new(admitting, runners, 4, limit);
            let every = vec![4; admitting];
            fleet.run(Duration::from_secs(8), &every, 5);
            // After a pause, all instances have saved up as much as they can.
            fleet.run(Duration::from_secs(6), &vec![0; admitting], 0);
            fleet.run(Duration::from_secs(8), &every, 5);
            let most = fleet.most_in_a_window();
            assert!(
                most <= allowed(limit),
                "{limit} {admitting} {runners}: {most} of {}",
                allowed(limit)
            );
        }
    }
}

// Guards against a limit of which much is left unused while callers are refused, and against batch items that get none of it.
#[test]
fn online_requests_use_most_of_a_limit_and_batch_requests_never_starve() {
    for (admitting, runners, limit) in [(3, 1, 2_500), (2, 3, 1_000), (12, 3, 10_000)] {
        let mut fleet = Fleet::new(admitting, runners, 4, limit);
        fleet.run(Duration::from_secs(5), &vec![3; admitting], 5);
        let from = fleet.now;
        fleet.run(Duration::from_secs(30), &vec![3; admitting], 5);
        let limit = limit as f64 / 1_000.0;
        let (online, batch) = (fleet.rate(from, Class::Online), fleet.rate(from, Class::Batch));
        assert!(online >= 0.75 * limit, "{admitting}: {online} of {limit}");
        assert!((0.1 * limit..=0.25 * limit).contains(&batch), "{admitting}: {batch} of {limit}");
    }
}

// Guards against callers in a peak who wait although the targets took less than their limits in the trough before it.
#[test]
fn tokens_that_are_not_used_in_a_trough_serve_the_next_peak() {
    let limit: f64 = 2.5;
    let mut fleet = Fleet::new(3, 0, 4, 2_500);
    fleet.run(Duration::from_secs(8), &[4; 3], 0);
    fleet.run(Duration::from_secs(6), &[0; 3], 0);
    let from = fleet.now;
    fleet.run(SECOND, &[2; 3], 0);
    let (rate, saved) = (fleet.rate(from, Class::Online), limit + 3.0);
    // Each of the three instances sends whole requests.
    let expected = 3.0 * ((limit + saved) / 3.0).floor();
    assert!(rate >= expected, "{rate} of {expected}");
    let most = fleet.most_in_a_window();
    assert!(most <= allowed(2_500), "{most} of {}", allowed(2_500));
}

// Guards against tokens that were saved under a high limit and are spent under a low one.
#[test]
fn saved_tokens_are_dropped_when_a_target_lowers_its_limit() {
    let mut bench = Bench::new(&[registered("t1")]);
    bench.event(Event::Instances(Instances {
        admitting: [("d0".into(), "z1".into())].into(),
        ..Instances::default()
    }));
    bench.event(answer_limit(Some(10_000), bench.now));
    bench.advance(3 * SECOND);
    bench.event(answer_limit(Some(1_000), bench.now));
    let sent: usize = (1..=8).map(|it| ids(&bench.submit(online(it))).len()).sum();
    assert_eq!(sent, 4, "the instance saves up one second and three more");
}

// Guards against a limit that lies idle while batch items wait.
#[test]
fn batch_requests_fill_a_limit_that_online_requests_leave_unused() {
    let mut fleet = Fleet::new(3, 2, 4, 5_000);
    fleet.run(Duration::from_secs(5), &[0, 0, 0], 5);
    let from = fleet.now;
    fleet.run(Duration::from_secs(20), &[0, 0, 0], 5);
    let batch = fleet.rate(from, Class::Batch);
    assert!((1.75..=5.0).contains(&batch), "{batch} of 5");
}

// Guards against instances that take the parts of those that they no longer reach.
#[test]
fn instances_that_lose_touch_with_each_other_stay_within_the_limit() {
    let mut fleet = Fleet::new(6, 3, 4, 2_000);
    fleet.run(Duration::from_secs(6), &[4; 6], 5);
    fleet.linked = false;
    let names: Vec<Name> = (0..9).map(|it| Name::new(format!("d{it:03}"))).collect();
    for dispatcher in &mut fleet.dispatchers {
        for peer in &names {
            dispatcher.on_event(fleet.now, Event::PeerLink { peer: peer.clone(), up: false });
        }
    }
    fleet.run(Duration::from_secs(12), &[4; 6], 5);
    let most = fleet.most_in_a_window();
    assert!(most <= allowed(2_000), "{most} of {}", allowed(2_000));
}

// Guards against an older answer that lifts a limit because it arrives later, and against a limit that is never lifted.
#[test]
fn only_an_answer_to_a_request_sent_after_the_limit_was_named_ends_it() {
    let mut bench = Bench::new(&[registered("t1")]);
    bench.event(Event::Instances(Instances {
        admitting: [("d0".into(), "z1".into())].into(),
        ..Instances::default()
    }));
    let early = bench.now;
    bench.advance(SECOND);
    bench.event(answer_limit(Some(1_000), early));
    bench.advance(SECOND);
    bench.event(answer_limit(None, early));
    // The instance saves up four tokens.
    bench.advance(4 * SECOND);
    let submitted: Vec<_> = (1..=5).map(|it| ids(&bench.submit(online(it)))).collect();
    assert_eq!(submitted, [vec![1], vec![2], vec![3], vec![4], vec![]], "the last one waits");
    bench.complete(1);
    let sent = bench.now;
    let lifted = bench.event(answer_limit(None, sent));
    assert_eq!(ids(&lifted), [5]);
}

// Guards against a limit that is carried over to the next incarnation of a target.
#[test]
fn a_limit_ends_with_its_incarnation() {
    let mut bench = Bench::new(&[registered("t1")]);
    bench.event(answer_limit(Some(0), bench.now));
    assert_eq!(ids(&bench.submit(online(1))), Vec::<u64>::new());
    let actions = bench.set_targets(&[TargetInfo { incarnation: 1, ..registered("t1") }]);
    assert!(ids(&actions).is_empty());
    let news = LimitNews {
        service: service(),
        target: "t1".into(),
        incarnation: 0,
        limit: Some(TargetLimit(0)),
        age: Duration::ZERO,
    };
    bench.event(Event::LimitNews(news));
    assert_eq!(ids(&bench.submit(online(2))), [2]);
}

// Guards against requests that wait for a token until their deadline passes, and against a Retry-After that is too short.
#[test]
fn a_request_that_no_token_can_serve_in_time_is_refused_at_once() {
    let mut bench = Bench::new(&[registered("t1")]);
    bench.event(Event::Instances(Instances {
        admitting: [("d0".into(), "z1".into())].into(),
        ..Instances::default()
    }));
    bench.submit(online(1));
    bench.advance(SECOND);
    bench.complete(1);
    bench.event(answer_limit(Some(250), bench.now));
    let deadline = bench.now + 2 * SECOND;
    let actions = bench.submit(Request { deadline, ..online(2) });
    assert_eq!(refusals(&actions).len(), 1, "{actions:?}");
    let Action::Refuse { refusal, .. } = &actions[0] else { panic!("{actions:?}") };
    assert!(refusal.retry_after >= 3 * SECOND, "{refusal:?}");
}

// Guards against batch requests that are interrupted for online requests which the limit does not let start.
#[test]
fn no_batch_request_is_stopped_for_an_online_request_without_a_token() {
    let mut bench = Bench::new(&[TargetInfo { concurrency: 2, ..registered("t1") }]);
    bench.event(Event::Instances(Instances {
        admitting: [("d0".into(), "z1".into())].into(),
        ..Instances::default()
    }));
    bench.submit(batch(1));
    bench.event(answer_limit(Some(500), bench.now));
    let actions = bench.submit(online(2));
    assert!(dispatch_support::stopped(&actions).is_empty(), "{actions:?}");
}

// Guards against an instance that starts, knows of no limit and sends as many requests as it likes.
#[test]
fn a_peer_that_becomes_reachable_is_told_of_the_limits() {
    let mut bench = Bench::new(&[registered("t1")]);
    bench.event(answer_limit(Some(2_500), bench.now));
    bench.advance(SECOND);
    let actions = bench.event(Event::PeerLink { peer: "d1".into(), up: true });
    let told = actions.iter().filter_map(|it| match it {
        Action::ShareLimit { to, news } => Some((to.clone(), news.limit, news.age)),
        _ => None,
    });
    let expected = (Some("d1".into()), Some(TargetLimit(2_500)), SECOND);
    assert_eq!(told.collect::<Vec<_>>(), [expected]);
}

// Guards against callers who wait for tokens at home while targets elsewhere have free slots.
#[test]
fn requests_take_all_slots_elsewhere_if_targets_at_home_are_limited() {
    let remote = TargetInfo { failure_domain: "z2".into(), ..registered("t2") };
    let placed = |limit: Option<u64>| {
        let home = TargetInfo { concurrency: 1, ..registered("t1") };
        let mut bench = Bench::new(&[home, remote.clone()]);
        bench.submit(online(0));
        bench.advance(SECOND);
        bench.complete(0);
        bench.event(answer_limit(limit, bench.now));
        let submitted = (1..=20).map(|it| ids(&bench.submit(online(it))).len());
        let first: usize = submitted.sum();
        first + ids(&bench.advance(SECOND)).len()
    };
    assert_eq!(placed(None), 1 + 6, "a part of the slots elsewhere is left to its own callers");
    assert_eq!(placed(Some(500)), 8);
}
