//! Randomized simulation of configuration replicas with frozen and restarted processes, with
//! delayed, lost and duplicated messages, and with outages of the key-value service.
//!
//! The revision under which a slot acts never decreases, not even across restarts, and a new
//! revision is in force within five seconds at every process that was reachable throughout.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_config::Configuration;
use celerycrank_membership::{
    ConfigurationReplica, OfferReplyAction, OfferTargets, OfferTimings, PeerDescriptor,
    RevisionComparison, UpdateMessage,
};
use celerycrank_types::{Revision, TimePoint, TimeSpan, VmId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RUNS: u64 = 400;
const TICKS: u64 = 600;
const TICK: TimeSpan = TimeSpan::from_millis(100);
const IN_FORCE: TimeSpan = TimeSpan::from_secs(5);
const ENTRIES: usize = 6;
const AGENTS: usize = 8;
const DOMAINS: usize = 2;

#[derive(Clone)]
enum Message {
    Offer,
    Reply(Revision),
    Push(usize, UpdateMessage),
    Pull(Revision),
    Pulled(UpdateMessage),
}

struct InFlightMessage {
    due: TimePoint,
    from: usize,
    to: usize,
    incarnation: u64,
    message: Message,
}

struct Process {
    replica: ConfigurationReplica,
    incarnation: u64,
    frozen_until: TimePoint,
    /// Time since which the process has been running and reachable.
    reachable_since: TimePoint,
}

struct Fleet {
    random: ChaCha8Rng,
    now: TimePoint,
    peers: Vec<PeerDescriptor>,
    indices: BTreeMap<VmId, usize>,
    processes: Vec<Process>,
    in_flight: Vec<InFlightMessage>,
    accepted: Vec<(Revision, TimePoint)>,
    service_down_until: TimePoint,
    service_up_since: TimePoint,
    /// The newest revision under which each slot has acted, across all incarnations.
    max_revisions: Vec<Revision>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let descriptor = |number: usize| PeerDescriptor {
            vm: format!("vm-{number}").parse().unwrap(),
            domain: format!("domain-{}", number % DOMAINS).parse().unwrap(),
        };
        let peers = (0..ENTRIES + AGENTS).map(descriptor).collect::<Vec<_>>();
        let indices = peers
            .iter()
            .enumerate()
            .map(|(i, descriptor)| (descriptor.vm.clone(), i))
            .collect();
        let mut fleet = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: TimePoint::default(),
            processes: Vec::new(),
            in_flight: Vec::new(),
            accepted: vec![(Revision(1), TimePoint::default())],
            service_down_until: TimePoint::default(),
            service_up_since: TimePoint::default(),
            max_revisions: vec![Revision(0); peers.len()],
            peers,
            indices,
        };
        for number in 0..fleet.peers.len() {
            let process = fleet.start_process(number, 0);
            fleet.processes.push(process);
        }
        fleet
    }

    fn start_process(&self, number: usize, incarnation: u64) -> Process {
        let mut replica =
            ConfigurationReplica::new(self.peers[number].clone(), OfferTimings::default());
        replica.on_peers(&self.peers[..ENTRIES], &self.peers[ENTRIES..], self.now);
        Process {
            replica,
            incarnation,
            frozen_until: self.now,
            reachable_since: self.now,
        }
    }

    fn run(&mut self) {
        for tick in 0..TICKS {
            self.now = self.now + TICK;
            self.inject_faults(tick);
            self.deliver();
            self.poll_processes();
            self.check();
        }
    }

    fn inject_faults(&mut self, tick: u64) {
        if self.random.random_ratio(1, 40) && self.service_up() {
            let next = self.accepted[self.accepted.len() - 1].0.next();
            self.accepted.push((next, self.now));
        }
        if self.random.random_ratio(1, 200) {
            let span = TimeSpan::from_millis(self.random.random_range(100..20_000));
            self.service_down_until = self.service_down_until.max(self.now + span);
            self.service_up_since = self.service_down_until;
        }
        // Only one process is frozen at a time, so that a majority of the watchers never is.
        let frozen = self
            .processes
            .iter()
            .any(|process| process.frozen_until > self.now);
        if !frozen && self.random.random_ratio(1, 30) {
            let number = self.random.random_range(0..self.processes.len());
            let span = TimeSpan::from_millis(self.random.random_range(100..20_000));
            self.processes[number].frozen_until = self.now + span;
            self.processes[number].reachable_since = self.now + span;
        }
        // A process that resumes during an outage may be stale and could mislead a process that
        // starts at that moment, so start one.
        let woke = self.processes.iter().any(|process| {
            process.frozen_until > self.now - TICK && process.frozen_until <= self.now
        });
        let may_be_misled = woke && !self.service_up();
        if tick > 50 && (may_be_misled || self.random.random_ratio(1, 30)) {
            let number = self.random.random_range(0..self.processes.len());
            if self.processes[number].frozen_until <= self.now {
                self.processes[number] =
                    self.start_process(number, self.processes[number].incarnation + 1);
            }
        }
    }

    fn service_up(&self) -> bool {
        self.now >= self.service_down_until
    }

    fn newest(&self) -> Revision {
        self.accepted[self.accepted.len() - 1].0
    }

    fn poll_processes(&mut self) {
        for number in 0..self.processes.len() {
            if self.processes[number].frozen_until > self.now {
                continue;
            }
            let starting = self.processes[number].replica.configuration().is_none();
            if self.service_up() && (starting || self.processes[number].replica.is_watcher()) {
                let revision = self.newest();
                let configuration = Arc::new(Configuration {
                    revision,
                    ..Configuration::default()
                });
                let targets = self.processes[number]
                    .replica
                    .on_stored_configuration(&configuration);
                self.offer(number, &targets);
            }
            let now = self.now;
            let targets = self.processes[number].replica.on_tick(now);
            self.offer(number, &targets);
        }
    }

    fn offer(&mut self, from: usize, targets: &OfferTargets) {
        for target in targets {
            self.send(from, self.indices[target], &Message::Offer);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let copies = match self.random.random_range(0..20) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = if self.random.random_ratio(1, 20) {
                3_000
            } else {
                50
            };
            let due = self.now + TimeSpan::from_millis(self.random.random_range(0..late));
            let incarnation = self.processes[to].incarnation;
            self.in_flight.push(InFlightMessage {
                due,
                from,
                to,
                incarnation,
                message: message.clone(),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| {
                message.due <= now && self.processes[message.to].frozen_until <= now
            });
        self.in_flight = later;
        for message in due {
            let InFlightMessage {
                from,
                to,
                incarnation,
                message,
                ..
            } = message;
            // A connection ends with the incarnation that it leads to.
            if self.processes[to].incarnation == incarnation {
                self.receive(from, to, message);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let sender = self.peers[from].vm.clone();
        let domain = self.peers[from].domain.clone();
        let replica = &mut self.processes[to].replica;
        let targets = match message {
            Message::Offer => {
                let reply = Message::Reply(replica.revision());
                self.send(to, from, &reply);
                return;
            }
            Message::Reply(revision) => {
                let reply = match replica.on_offer_reply(revision) {
                    OfferReplyAction::Nothing => return,
                    OfferReplyAction::Push(update) => {
                        Message::Push(replica.watcher_count(&domain), update)
                    }
                    OfferReplyAction::Pull => Message::Pull(replica.revision()),
                };
                self.send(to, from, &reply);
                return;
            }
            Message::Pull(revision) => {
                if let Some(update) = replica.update_for(revision) {
                    self.send(to, from, &Message::Pulled(update));
                }
                return;
            }
            Message::Push(watchers, update) => replica.on_push(&sender, watchers, update),
            Message::Pulled(update) => replica.on_update(update),
        };
        self.offer(to, &targets);
    }

    fn check(&mut self) {
        let settled = self.now - IN_FORCE;
        let due = self
            .accepted
            .iter()
            .filter(|(_, at)| *at <= settled)
            .map(|(number, _)| *number);
        let due = due.max().unwrap_or_default();
        for (number, process) in self.processes.iter().enumerate() {
            let revision = process.replica.revision();
            if revision == Revision(0) || process.frozen_until > self.now {
                continue;
            }
            assert!(
                revision >= self.max_revisions[number],
                "revision of slot {number} decreased at {}",
                self.now
            );
            self.max_revisions[number] = revision;
            let reachable = process.reachable_since <= settled && self.service_up_since <= settled;
            assert!(
                !reachable || revision >= due,
                "slot {number} acts under {revision} instead of {due} at {}",
                self.now
            );
            let old = Revision(revision.0 - 1);
            assert_eq!(
                process.replica.compare_revision(old),
                RevisionComparison::PeerBehind
            );
        }
    }
}

#[test]
fn revision_is_monotonic_and_in_force_in_time() {
    for seed in 0..RUNS {
        println!("seed {seed}");
        Fleet::new(seed).run();
    }
}
