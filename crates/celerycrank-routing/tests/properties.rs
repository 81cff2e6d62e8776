//! Property tests of the router, which asserts its invariants itself.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use celerycrank_routing::{
    BackendCondition, BackendRouter, BackendSpec, BlockHash, CacheEvent, LoadReport, PromptPrefix,
    RouteQuery, RouterSettings,
};
use celerycrank_types::{BackendId, TimePoint, TimeSpan, TokenCount};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEEDS: [u64; 5] = [
    0x0000_0021_0000_4000,
    0x0000_0022_0000_4000,
    0x0000_0023_0000_8000,
    0x0000_0024_0000_8000,
    0x0000_0025_0001_0000,
];

const BACKENDS: u32 = 9;

const HOLDER_CAPACITY: usize = 16;

fn backend(number: u32) -> BackendId {
    format!("rota-{number}").parse().unwrap()
}

fn spec(number: u32, condition: BackendCondition) -> BackendSpec {
    BackendSpec {
        backend: backend(number),
        domain: if number.is_multiple_of(2) {
            "north"
        } else {
            "south"
        }
        .parse()
        .unwrap(),
        concurrency: 4,
        condition,
    }
}

fn router() -> BackendRouter {
    let settings = RouterSettings::builder()
        .domain("north".parse().unwrap())
        .holder_capacity(HOLDER_CAPACITY)
        .build();
    BackendRouter::new(settings)
}

fn prompt(group: u64, session: u64) -> PromptPrefix {
    let blocks = (0..4).map(|block| BlockHash(group.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ block));
    PromptPrefix::from_blocks(blocks).with_conversation_hash(BlockHash(session << 40))
}

/// A router and a reference model of which backend servers may be selected.
struct Model {
    now: TimePoint,
    router: BackendRouter,
    ready: BTreeMap<BackendId, bool>,
    sent: Vec<BackendId>,
    rng: ChaCha8Rng,
}

impl Model {
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let number = u.int_in_range(0..=BACKENDS - 1)?;
        match u.int_in_range(0..=9)? {
            0 => self.set(number, true),
            1 => self.set(number, false),
            2 => {
                self.router.remove_backend(&backend(number));
                self.ready.remove(&backend(number));
            }
            3 => self.hint(number, u)?,
            4 => self.load(number, u)?,
            5 => self.now = self.now + TimeSpan(u.int_in_range(0..=5_000_000)?),
            6 => {
                if let Some(backend) = self.sent.pop() {
                    self.router.note_finished(&backend);
                }
            }
            _ => self.choose(u)?,
        }
        assert!(self.router.tracked_blocks() <= HOLDER_CAPACITY);
        Ok(())
    }

    fn set(&mut self, number: u32, ready: bool) {
        let condition = if ready {
            BackendCondition::Ready { since: self.now }
        } else {
            BackendCondition::Excluded
        };
        self.router.set_backend(spec(number, condition));
        self.ready.insert(backend(number), ready);
    }

    fn hint(&mut self, number: u32, u: &mut Unstructured<'_>) -> Result<()> {
        let prefix = prompt(u.int_in_range(0..=5)?, 0);
        let block = *u.choose(prefix.blocks())?;
        let event = match u.int_in_range(0..=4)? {
            0 => CacheEvent::Cleared,
            1 => CacheEvent::Evicted(block),
            _ => CacheEvent::Stored(block),
        };
        self.router.note_cache(&backend(number), event);
        Ok(())
    }

    fn load(&mut self, number: u32, u: &mut Unstructured<'_>) -> Result<()> {
        let load = LoadReport {
            running: u.int_in_range(0..=4)?,
            waiting: u.int_in_range(0..=9)?,
            waiting_cost: TokenCount(0),
        };
        self.router.note_load(self.now, &backend(number), load);
        Ok(())
    }

    fn choose(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let prefix = prompt(u.int_in_range(0..=5)?, u.int_in_range(0..=50)?);
        let mut tried = Vec::new();
        if u.ratio(1, 3)? {
            tried.push(backend(u.int_in_range(0..=BACKENDS - 1)?));
        }
        let query = RouteQuery {
            prefix: &prefix,
            tried: &tried,
        };
        let choice = self.router.choose(self.now, &query, &mut self.rng);
        let usable = |backend: &BackendId| self.ready[backend] && !tried.contains(backend);
        match choice {
            Some(choice) => {
                assert!(self.ready.contains_key(&choice.backend) && usable(&choice.backend));
                self.router.note_sent(&choice.backend, &prefix);
                self.router.note_answered(self.now, &prefix);
                self.sent.push(choice.backend);
            }
            None => assert!(
                !self.ready.keys().any(usable),
                "a usable backend server was not selected"
            ),
        }
        Ok(())
    }
}

#[test]
fn only_usable_backends_are_selected() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut model = Model {
                now: TimePoint(1_000_000),
                router: router(),
                ready: BTreeMap::new(),
                sent: Vec::new(),
                rng: ChaCha8Rng::seed_from_u64(u.arbitrary()?),
            };
            while !u.is_empty() {
                model.step(u)?;
            }
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn excluding_a_backend_moves_only_its_own_requests() {
    let mut router = router();
    // All are in one failure domain and past their warm-up, so only cache affinity decides.
    for number in 0..16 {
        let condition = BackendCondition::Ready {
            since: TimePoint(0),
        };
        router.set_backend(spec(number * 2, condition));
    }
    let now = TimePoint(60_000_000);
    let choose_all = |router: &mut BackendRouter| -> Vec<BackendId> {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let prompts = (0..500).map(|number| prompt(number / 10, number));
        prompts
            .map(|prefix| {
                let query = RouteQuery {
                    prefix: &prefix,
                    tried: &[],
                };
                router.choose(now, &query, &mut rng).unwrap().backend
            })
            .collect()
    };
    let before = choose_all(&mut router);
    router.set_backend(spec(6, BackendCondition::Excluded));
    let after = choose_all(&mut router);
    assert!(before.contains(&backend(6)));
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || *before == backend(6));
        assert_ne!(*after, backend(6));
    }
}
