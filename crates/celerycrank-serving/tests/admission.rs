//! Tests of admission under contention, in logical time and without a network.

use std::collections::VecDeque;

use celerycrank_serving::{
    AccountLoads, AccountRule, AccountShare, AdmissionPolicy, AdmissionQueue, ArrivalMeter,
    BackendRegistration, BackendTable, ChoiceQuery, EngineProfile, LoadCeiling, LoadLimit,
    LoadReport, RegistrationState, RequestPriority, RequestSemantics, RouteRule, ServiceRule,
    UrgencyLevel, WaitBand, WaitBounds, WaitRank, WeightedService, choose_backend,
};
use celerycrank_types::{BackendId, ServiceId, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng, rngs::StdRng};
use smallvec::smallvec;

const SLOTS: u32 = 10;
const ENGINES: usize = 64;
const ENTRIES: usize = 14;

/// Time for which a stream holds a slot, in milliseconds.
const STREAM_MS: u64 = 2_000;

/// Time from a slot to the first event, in milliseconds.
const FIRST_EVENT_MS: u64 = 150;

/// Interval and delay of load reports, in milliseconds.
const REPORT_MS: u64 = 180;
const REPORT_DELAY_MS: u64 = 200;

/// Length of a simulated run, in milliseconds. The burst lasts from the second to the ninth second.
const RUN_MS: u64 = 14_000;
const BURST_MS: std::ops::Range<u64> = 2_000..9_000;

/// A kind of stream: its priority, target in milliseconds, and requests a second in calm and in the
/// burst.
const KINDS: [(u8, u64, f64, f64); 3] = [
    (0, 400, 81.0, 81.0),
    (1, 400, 36.0, 36.0),
    (2, 1_000, 107.0, 278.0),
];

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1_000)
}

fn service() -> ServiceId {
    "llm".parse().expect("a plain name")
}

fn route(priority: u8) -> RouteRule {
    RouteRule::builder()
        .name("r".into())
        .host("a.example".into())
        .prefix("/x/".into())
        .semantics(RequestSemantics::ResumableStream)
        .timeout(TimeSpan::from_secs(8))
        .target(TimeSpan::from_millis(400))
        .priority(priority)
        .services(smallvec![WeightedService {
            service: service(),
            weight: 1.0,
        }])
        .max_attempts(2)
        .is_anonymous(false)
        .build()
}

fn engine_service() -> ServiceRule {
    let engine = EngineProfile {
        slots: SLOTS,
        kv_cache_tokens: 310_000,
        step: TimeSpan(5_850),
        step_per_request: TimeSpan(426),
        steps_per_pass: 6,
        prefill_rate: 61_200.0,
        mean_answer_tokens: 139.0,
        group: None,
    };
    ServiceRule {
        service: service(),
        max_connections: 400,
        cold_start: None,
        engine: Some(engine),
    }
}

fn policy() -> AdmissionPolicy {
    let routes = [route(0), route(1), route(2)];
    AdmissionPolicy::of_service(&engine_service(), &routes, &[]).expect("the priorities differ")
}

// Guards against a change for services whose requests are all equally urgent.
#[test]
fn only_services_with_engines_and_different_priorities_have_a_policy() {
    let equal = [route(1), route(1)];
    assert_eq!(
        AdmissionPolicy::of_service(&engine_service(), &equal, &[account(0), account(1)]),
        None
    );
    let plain = ServiceRule {
        engine: None,
        ..engine_service()
    };
    let different = [route(0), route(2)];
    assert_eq!(AdmissionPolicy::of_service(&plain, &different, &[]), None);
}

fn account(priority: u8) -> AccountRule {
    AccountRule {
        account: "acme".parse().expect("a plain name"),
        keys: Vec::new(),
        priority: Some(priority),
    }
}

// Guards against the priority of an account that is ignored, or that makes all its requests equal.
#[test]
fn the_priority_of_the_account_comes_first_and_that_of_the_route_second() {
    let routes = [route(0), route(1), route(2)];
    let accounts = [account(0), account(1)];
    let policy = AdmissionPolicy::of_service(&engine_service(), &routes, &accounts);
    let policy = policy.expect("the priorities differ");
    let level = |route, account| policy.level(RequestPriority::new(route, account)).0;
    assert_eq!([0, 1, 2].map(|route| level(route, Some(0))), [0, 1, 2]);
    assert_eq!([0, 1, 2].map(|route| level(route, Some(1))), [3, 4, 5]);
    assert_eq!(level(0, None), 0, "without an account the route decides");
    assert!(level(2, None) > level(2, Some(1)));
    assert_eq!(level(9, Some(9)), level(2, None), "no further level");
}

// Guards against a reserve that stays when no urgent requests arrive any more.
#[test]
fn the_reserve_follows_the_arrivals_of_more_urgent_requests() {
    let mut meter = ArrivalMeter::default();
    for millis in (0..10_000).step_by(100) {
        meter.record(UrgencyLevel(0), at(millis));
    }
    let reserve = |level, now| meter.reserve(UrgencyLevel(level), at(now));
    assert!(reserve(0, 10_000) == 0.0, "nothing is more urgent");
    let places = reserve(1, 10_000);
    assert!(
        (13.0..17.0).contains(&places),
        "{places} for 10 requests a second"
    );
    assert!((reserve(2, 10_000) - places).abs() < 0.01);
    assert!(reserve(1, 30_000) < 0.1);
}

// Guards against a request that waits until its caller has no time left to come back.
#[test]
fn a_request_waits_a_quarter_of_its_time_at_most() {
    let (arrival, first_event) = (at(1_000), TimeSpan::from_millis(150));
    let target = TimeSpan::from_millis(400);
    let bounds = WaitBounds::new(arrival, target, at(9_000), first_event);
    assert_eq!((bounds.in_time_until, bounds.end), (at(1_250), at(3_000)));
    let short = WaitBounds::new(arrival, target, at(1_400), first_event);
    assert_eq!((short.in_time_until, short.end), (at(1_100), at(1_100)));
    let hopeless = WaitBounds::new(arrival, target, at(9_000), TimeSpan::from_secs(1));
    assert_eq!(hopeless.in_time_until, arrival);
}

fn rank(band: WaitBand, level: u32, share: AccountShare, due: u64) -> WaitRank {
    WaitRank {
        band,
        level: UrgencyLevel(level),
        share,
        due: at(due),
    }
}

// Guards against urgent requests that wait behind less urgent ones, and against a queue that refuses
// urgent requests while less urgent ones wait in it.
#[test]
fn the_queue_is_ordered_by_urgency_band_share_and_time() {
    use AccountShare::{Exceeded, Within};
    use WaitBand::{InTime, Late};
    let ordered = [
        rank(InTime, 0, Within, 9),
        rank(InTime, 0, Exceeded, 1),
        rank(Late, 0, Within, 1),
        rank(InTime, 2, Within, 3),
        rank(InTime, 2, Within, 4),
    ];
    let mut queue = AdmissionQueue::new(ordered.len());
    for index in [4, 2, 0, 3, 1] {
        queue.push(ordered[index], index).expect("it is not full");
    }
    assert_eq!(
        queue.push(rank(InTime, 2, Within, 5), 5),
        Err(5),
        "it is last"
    );
    let pushed = queue.push(rank(InTime, 1, Within, 1), 6);
    let (ticket, evicted) = pushed.expect("it ranks before the last one");
    assert_eq!(evicted, Some(4));
    assert!(queue.remove(&ticket) && !queue.remove(&ticket));
    let popped = std::iter::from_fn(|| queue.pop_first()).map(|(_, index)| index);
    assert_eq!(popped.collect::<Vec<_>>(), [0, 1, 2, 3]);
}

// Guards against one large account that takes the places of all others.
#[test]
fn an_account_exceeds_its_share_when_it_has_more_than_an_equal_part() {
    let large = "large".parse().expect("a plain name");
    let small = "small".parse().expect("a plain name");
    let mut loads = AccountLoads::default();
    for _ in 0..3 {
        loads.begin(Some(&large));
    }
    assert_eq!(loads.share_of(Some(&large)), AccountShare::Within, "alone");
    loads.begin(Some(&small));
    assert_eq!(loads.share_of(Some(&large)), AccountShare::Exceeded);
    assert_eq!(loads.share_of(Some(&small)), AccountShare::Within);
    for _ in 0..3 {
        loads.finish(Some(&large));
    }
    loads.finish(Some(&small));
    assert_eq!(loads.share_of(Some(&small)), AccountShare::Within);
}

/// How the entries of a simulated run decide.
#[derive(Clone, Copy, PartialEq)]
enum SentRule {
    /// Everything is sent at once to the least loaded engine.
    AtOnce,
    /// Load limits by urgency, and a queue at each entry.
    Limited,
}

/// A request of a simulated run.
#[derive(Clone, Copy)]
struct SimRequest {
    kind: usize,
    arrival: u64,
}

#[derive(Default)]
struct SimEngine {
    /// Ends of the streams that hold a slot, and the entries that sent them.
    running: Vec<(u64, usize)>,
    waiting: VecDeque<(SimRequest, usize)>,
}

#[derive(Default, Clone, Copy)]
struct KindCount {
    asked: u32,
    in_time: u32,
    served: u32,
}

struct SimRun {
    rule: SentRule,
    now: u64,
    random: StdRng,
    engines: Vec<SimEngine>,
    names: Vec<BackendId>,
    tables: Vec<BackendTable>,
    queues: Vec<AdmissionQueue<SimRequest>>,
    meters: Vec<ArrivalMeter>,
    reports: VecDeque<(u64, Vec<(u32, u32)>)>,
    counts: [KindCount; KINDS.len()],
    peak_waiting: usize,
}

impl SimRun {
    fn new(rule: SentRule, seed: u64) -> Self {
        let names = (0..ENGINES).map(|index| format!("w{index}").parse().expect("a plain name"));
        let names = names.collect::<Vec<BackendId>>();
        let registrations = names.iter().enumerate().map(|(index, backend)| {
            let port = 1_000 + u16::try_from(index).expect("few engines");
            BackendRegistration {
                backend: backend.clone(),
                service: service(),
                address: ([10, 0, 0, 1], port).into(),
                domain: "a".parse().expect("a plain name"),
                slots: SLOTS,
                state: RegistrationState::Ready,
                incarnation: 1,
                warm_up_remaining: TimeSpan::ZERO,
            }
        });
        let registrations = registrations.collect::<Vec<_>>();
        let tables = (0..ENTRIES).map(|_| {
            let mut table = BackendTable::default();
            table.replace(registrations.clone(), at(0));
            table
        });
        Self {
            rule,
            now: 0,
            random: StdRng::seed_from_u64(seed),
            engines: (0..ENGINES).map(|_| SimEngine::default()).collect(),
            tables: tables.collect(),
            names,
            queues: (0..ENTRIES).map(|_| AdmissionQueue::new(512)).collect(),
            meters: vec![ArrivalMeter::default(); ENTRIES],
            reports: VecDeque::new(),
            counts: [KindCount::default(); KINDS.len()],
            peak_waiting: 0,
        }
    }

    fn play(mut self) -> Self {
        while self.now < RUN_MS {
            self.finish_streams();
            self.deliver_reports();
            self.arrive();
            for entry in 0..ENTRIES {
                self.send_waiting(entry);
            }
            self.now += 1;
        }
        self
    }

    fn finish_streams(&mut self) {
        for index in 0..ENGINES {
            let now = self.now;
            let engine = &mut self.engines[index];
            let ended = engine.running.extract_if(.., |(end, _)| *end <= now);
            for (_, entry) in ended.collect::<Vec<_>>() {
                self.tables[entry].finish(&self.names[index]);
            }
            while self.engines[index].running.len() < SLOTS as usize {
                let Some((request, entry)) = self.next_at(index) else {
                    break;
                };
                self.start(index, request, entry);
            }
            self.peak_waiting = self.peak_waiting.max(self.engines[index].waiting.len());
        }
    }

    /// The request that gets a free slot: by its priority class if the entries send one.
    fn next_at(&mut self, index: usize) -> Option<(SimRequest, usize)> {
        let waiting = &mut self.engines[index].waiting;
        if self.rule == SentRule::AtOnce {
            return waiting.pop_front();
        }
        let positions = 0..waiting.len();
        let first = positions.min_by_key(|position| KINDS[waiting[*position].0.kind].0)?;
        waiting.remove(first)
    }

    fn start(&mut self, index: usize, request: SimRequest, entry: usize) {
        let end = self.now + STREAM_MS;
        self.engines[index].running.push((end, entry));
        let latency = self.now + FIRST_EVENT_MS - request.arrival;
        let count = &mut self.counts[request.kind];
        count.served += 1;
        count.in_time += u32::from(latency <= KINDS[request.kind].1);
    }

    fn deliver_reports(&mut self) {
        if self.now.is_multiple_of(REPORT_MS) {
            let loads = self.engines.iter().map(|engine| {
                let running = u32::try_from(engine.running.len()).expect("few");
                let waiting = u32::try_from(engine.waiting.len()).expect("few");
                (running, waiting)
            });
            let arrival = self.now + REPORT_DELAY_MS;
            self.reports.push_back((arrival, loads.collect()));
        }
        if self
            .reports
            .front()
            .is_none_or(|(arrival, _)| *arrival > self.now)
        {
            return;
        }
        let (_, loads) = self.reports.pop_front().expect("there is one");
        for table in &mut self.tables {
            for (name, (running, waiting)) in self.names.iter().zip(&loads) {
                let report = LoadReport {
                    running: *running,
                    waiting: *waiting,
                    pace: 1.0,
                    group: None,
                    is_open: true,
                    entries: 1,
                };
                let state = table.find_mut(name).expect("known");
                state.load.observe(report, at(self.now));
            }
        }
    }

    fn arrive(&mut self) {
        for (kind, (_, _, calm, burst)) in KINDS.into_iter().enumerate() {
            let rate = if BURST_MS.contains(&self.now) {
                burst
            } else {
                calm
            };
            if !self.random.random_bool(rate / 1_000.0) {
                continue;
            }
            self.counts[kind].asked += 1;
            let request = SimRequest {
                kind,
                arrival: self.now,
            };
            // Callers are not spread evenly: the second half of the entries gets three quarters.
            let half = ENTRIES / 2;
            let first = if self.random.random_bool(0.75) {
                half
            } else {
                0
            };
            let entry = first + self.random.random_range(0..half);
            match self.rule {
                SentRule::AtOnce => {
                    let is_sent = self.send(entry, request, None);
                    assert!(is_sent, "there is no limit");
                }
                SentRule::Limited => self.push(entry, request),
            }
        }
    }

    fn push(&mut self, entry: usize, request: SimRequest) {
        let (priority, target, _, _) = KINDS[request.kind];
        let bounds = WaitBounds::new(
            at(request.arrival),
            TimeSpan::from_millis(target),
            at(request.arrival + 8_000),
            TimeSpan::from_millis(FIRST_EVENT_MS),
        );
        let rank = WaitRank {
            band: WaitBand::InTime,
            level: policy().level(RequestPriority::new(priority, None)),
            share: AccountShare::Within,
            due: bounds.in_time_until,
        };
        self.meters[entry].record(rank.level, at(self.now));
        let pushed = self.queues[entry].push(rank, request);
        assert!(pushed.is_ok(), "the queue is long enough");
    }

    /// Sends what has a place; what can no longer be in time is refused.
    fn send_waiting(&mut self, entry: usize) {
        while let Some(first) = self.queues[entry].first_rank() {
            if first.due < at(self.now) {
                self.queues[entry].pop_first();
                continue;
            }
            let entries = u32::try_from(ENTRIES).expect("few");
            let reserve = self.meters[entry].reserve(first.level, at(self.now));
            let limit = policy().load_limit(first.level, &LoadCeiling::default(), reserve, entries);
            let (rank, request) = self.queues[entry].pop_first().expect("there is one");
            if !self.send(entry, request, Some(limit)) {
                let pushed = self.queues[entry].push(rank, request);
                assert!(pushed.is_ok(), "the queue is long enough");
                return;
            }
        }
    }

    fn send(&mut self, entry: usize, request: SimRequest, limit: Option<LoadLimit>) -> bool {
        let query = ChoiceQuery {
            prompt: None,
            service: &service(),
            domain: &"a".parse().expect("a plain name"),
            tried: &[],
            load_limit: limit,
            now: at(self.now),
        };
        let chosen = choose_backend(&self.tables[entry], &query, &mut self.random).chosen();
        let Some(backend) = chosen.map(|state| state.registration.backend.clone()) else {
            return false;
        };
        self.tables[entry].begin(&backend, at(self.now));
        let index = self.names.iter().position(|name| *name == backend);
        let engine = &mut self.engines[index.expect("known")];
        engine.waiting.push_back((request, entry));
        true
    }

    fn share_in_time(&self, kind: usize) -> f64 {
        let count = self.counts[kind];
        f64::from(count.in_time) / f64::from(count.asked)
    }

    fn share_served(&self, kind: usize) -> f64 {
        let count = self.counts[kind];
        f64::from(count.served) / f64::from(count.asked)
    }
}

// Guards against a burst of the least urgent streams that delays all streams: entries that see stale
// loads send everything on, and it waits in the engines.
#[test]
fn a_burst_of_less_urgent_streams_leaves_urgent_ones_in_time() {
    for seed in 1..=3 {
        let run = SimRun::new(SentRule::Limited, seed).play();
        for kind in [0, 1] {
            let share = run.share_in_time(kind);
            assert!(share >= 0.9, "seed {seed}: {share} of kind {kind} in time");
        }
        let shares = [0, 1, 2].map(|kind| run.share_served(kind));
        assert!(shares[2] >= 0.25, "seed {seed}: {shares:?} served");
        assert!(shares[0] >= shares[2] && shares[1] >= shares[2]);
        let waiting = run.peak_waiting;
        assert!(
            waiting <= SLOTS as usize,
            "seed {seed}: {waiting} at one engine"
        );
    }
}

// Shows that the bound above tells the decision from none.
#[test]
fn without_limits_the_burst_makes_urgent_streams_late() {
    for seed in 1..=3 {
        let run = SimRun::new(SentRule::AtOnce, seed).play();
        let share = run.share_in_time(0);
        assert!(share < 0.75, "seed {seed}: {share} in time");
    }
}
