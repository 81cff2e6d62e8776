//! Long randomized runs of a fair queue, which asserts its own invariants.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use celerycrank_config::PriorityClass;
use celerycrank_shares::{FairQueue, QueueRequest, QueueSettings, QueueStep, ShareBand};
use celerycrank_types::{RequestId, ShareWeight, TimePoint, TimeSpan, TokenCount};

const SEEDS: [u64; 6] = [
    0x0000_0011_0000_4000,
    0x0000_0012_0000_4000,
    0x0000_0013_0000_8000,
    0x0000_0014_0000_8000,
    0x0000_0015_0001_0000,
    0x0000_0016_0001_0000,
];

const CAPACITY: u32 = 24;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExpectedState {
    Waiting,
    Running,
    Gone,
}

/// A queue together with a model of the expected state of each request.
struct Model {
    now: TimePoint,
    queue: FairQueue,
    expected_states: BTreeMap<RequestId, ExpectedState>,
}

impl Model {
    fn new(concurrency: u32) -> Self {
        let settings = QueueSettings::builder()
            .concurrency(concurrency)
            .capacity(CAPACITY)
            .burst(TokenCount(200))
            .build();
        Self {
            now: TimePoint(1_000_000),
            queue: FairQueue::new(settings),
            expected_states: BTreeMap::new(),
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=9)? {
            0..=4 => self.push(u)?,
            5 | 6 => self.settle(u)?,
            7 => self.remove(u)?,
            8 => self.now = self.now + TimeSpan(u.int_in_range(0..=2_000_000)?),
            _ => {}
        }
        let step = self.queue.advance(self.now);
        self.check_step(&step);
        Ok(())
    }

    fn push(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let id = RequestId(self.expected_states.len() as u128);
        let request = QueueRequest::builder()
            .id(id)
            .account(
                format!("account-{}", u.int_in_range(0..=5)?)
                    .parse()
                    .unwrap(),
            )
            .weight(ShareWeight::try_from(u.int_in_range(1..=9)?).unwrap())
            .class(*u.choose(&[
                PriorityClass::High,
                PriorityClass::Normal,
                PriorityClass::Low,
            ])?)
            .band(*u.choose(&[ShareBand::Within, ShareBand::Excess])?)
            .cost(TokenCount(u.int_in_range(0..=1_000)?))
            .start_by(self.now + TimeSpan(u.int_in_range(0..=20_000_000)?))
            .build();
        self.expected_states.insert(id, ExpectedState::Waiting);
        let refusal = match self.queue.push(self.now, &request) {
            Ok(evicted) => evicted,
            Err(refusal) => {
                assert_eq!(refusal.id, id);
                Some(refusal)
            }
        };
        if let Some(refusal) = refusal {
            assert_eq!(
                self.expected_states.insert(refusal.id, ExpectedState::Gone),
                Some(ExpectedState::Waiting)
            );
        }
        Ok(())
    }

    fn settle(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(id) = self.choose_recent(u)? else {
            return Ok(());
        };
        let used = TokenCount(u.int_in_range(0..=2_000)?);
        let settled = self.queue.settle(self.now, id, used);
        assert_eq!(settled, self.expected_states[&id] == ExpectedState::Running);
        if settled {
            self.expected_states.insert(id, ExpectedState::Gone);
        }
        Ok(())
    }

    fn remove(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(id) = self.choose_recent(u)? else {
            return Ok(());
        };
        let removed = self.queue.remove(id);
        assert_eq!(removed, self.expected_states[&id] == ExpectedState::Waiting);
        if removed {
            self.expected_states.insert(id, ExpectedState::Gone);
        }
        Ok(())
    }

    /// Chooses one of the newest requests, in any state.
    fn choose_recent(&self, u: &mut Unstructured<'_>) -> Result<Option<RequestId>> {
        if self.expected_states.is_empty() {
            return Ok(None);
        }
        let offset = u.int_in_range(0..=(self.expected_states.len() - 1).min(40))?;
        Ok(Some(RequestId(
            (self.expected_states.len() - 1 - offset) as u128,
        )))
    }

    fn check_step(&mut self, step: &QueueStep) {
        for refusal in &step.refused {
            assert_eq!(
                self.expected_states.insert(refusal.id, ExpectedState::Gone),
                Some(ExpectedState::Waiting)
            );
        }
        for started in &step.started {
            assert_eq!(
                self.expected_states
                    .insert(started.id, ExpectedState::Running),
                Some(ExpectedState::Waiting)
            );
        }
        let count = |fate| {
            self.expected_states
                .values()
                .filter(|other| **other == fate)
                .count()
        };
        assert_eq!(self.queue.waiting(), count(ExpectedState::Waiting));
        assert_eq!(self.queue.running(), count(ExpectedState::Running));
    }

    /// Ends all requests and checks that the queue keeps no state.
    fn drain(&mut self) {
        let ids: Vec<RequestId> = self.expected_states.keys().copied().collect();
        for id in &ids {
            self.queue.remove(*id);
        }
        for id in ids {
            self.queue.settle(self.now, id, TokenCount(1));
        }
        assert_eq!((self.queue.waiting(), self.queue.running()), (0, 0));
        assert_eq!(self.queue.accounts(), 0);
        assert_eq!(self.queue.next_deadline(), None);
    }
}

#[test]
fn every_request_is_in_exactly_one_state() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut model = Model::new(u.int_in_range(1..=4)?);
            while !u.is_empty() {
                model.step(u)?;
            }
            model.drain();
            Ok(())
        })
        .seed(seed);
    }
}

/// Returns the tokens served to two accounts that always have waiting requests and to a flooding
/// account of a high class.
fn serve_backlogged(weights: [u32; 3], costs: &[u64], rounds: usize) -> [f64; 3] {
    let settings = QueueSettings::builder()
        .concurrency(1)
        .capacity(64)
        .burst(TokenCount(500));
    let mut queue = FairQueue::new(settings.build());
    let mut accounts: BTreeMap<RequestId, (usize, u64)> = BTreeMap::new();
    let mut served = [0.0; 3];
    let mut next_id = 0_u128;
    let mut add = |queue: &mut FairQueue, accounts: &mut BTreeMap<_, _>, account: usize| {
        let cost = costs[usize::try_from(next_id).unwrap() % costs.len()];
        let request = QueueRequest::builder()
            .id(RequestId(next_id))
            .account(format!("account-{account}").parse().unwrap())
            .weight(ShareWeight::try_from(weights[account]).unwrap())
            .class(if account == 0 {
                PriorityClass::High
            } else {
                PriorityClass::Low
            })
            .cost(TokenCount(100))
            .start_by(TimePoint(u64::MAX))
            .build();
        queue.push(TimePoint(0), &request).unwrap();
        accounts.insert(RequestId(next_id), (account, cost));
        next_id += 1;
    };
    for account in [0, 0, 0, 0, 1, 1, 2, 2] {
        add(&mut queue, &mut accounts, account);
    }
    for _ in 0..rounds {
        let id = queue.advance(TimePoint(0)).started[0].id;
        let (account, cost) = accounts.remove(&id).unwrap();
        served[account] += cost as f64;
        queue.settle(TimePoint(0), id, TokenCount(cost));
        add(&mut queue, &mut accounts, account);
    }
    served
}

#[test]
fn backlogged_accounts_are_served_by_weight_whatever_their_class() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let weights = [(); 3].map(|()| u.int_in_range(1..=8).unwrap_or(1));
            let costs = [(); 7].map(|()| u.int_in_range(1..=400).unwrap_or(1));
            let served = serve_backlogged(weights, &costs, 2_000);
            let parts = [0, 1, 2].map(|i| served[i] / f64::from(weights[i]));
            // An account is ahead by at most the burst, one request and one correction, per unit
            // of weight.
            let bound = |i: usize| (500.0 + 2.0 * 400.0) / f64::from(weights[i]);
            for i in 0..3 {
                for j in 0..3 {
                    assert!(
                        (parts[i] - parts[j]).abs() <= bound(i) + bound(j),
                        "{served:?}"
                    );
                }
            }
            Ok(())
        })
        .seed(seed);
    }
}
