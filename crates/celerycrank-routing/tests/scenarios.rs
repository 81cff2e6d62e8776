//! Scenario tests of the router.

use celerycrank_routing::{
    BackendCondition, BackendRouter, BackendSpec, BlockHash, CacheEvent, LoadReport, PromptPrefix,
    RouteChoice, RouteQuery, RouteReason, RouterSettings,
};
use celerycrank_types::{BackendId, TimePoint, TokenCount};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW: TimePoint = TimePoint(60_000_000);

fn spec(number: u32) -> BackendSpec {
    BackendSpec {
        backend: backend(number),
        domain: "estremoz".parse().unwrap(),
        concurrency: 8,
        condition: BackendCondition::Ready {
            since: TimePoint(0),
        },
    }
}

fn backend(number: u32) -> BackendId {
    format!("drafting-{number}").parse().unwrap()
}

fn router(backends: u32) -> BackendRouter {
    let domain = "estremoz".parse().unwrap();
    let mut router = BackendRouter::new(RouterSettings::builder().domain(domain).build());
    for number in 0..backends {
        router.set_backend(spec(number));
    }
    router
}

fn prompt(number: u64) -> PromptPrefix {
    PromptPrefix::from_blocks((0..6).map(|block| BlockHash(number * 1_000 + block)))
}

fn choose(router: &mut BackendRouter, prefix: &PromptPrefix, tried: &[BackendId]) -> RouteChoice {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let query = RouteQuery { prefix, tried };
    router.choose(NOW, &query, &mut rng).unwrap()
}

#[test]
fn routers_agree_without_sharing_state() {
    let mut reordered = router(0);
    for number in (0..16).rev() {
        reordered.set_backend(spec(number));
    }
    let mut router = router(16);
    for number in 0..100 {
        let prefix = prompt(number);
        let choice = choose(&mut router, &prefix, &[]);
        assert_eq!(choice.reason, RouteReason::Rendezvous);
        assert_eq!(choose(&mut reordered, &prefix, &[]), choice);
    }
}

#[test]
fn a_holder_is_preferred_until_it_is_overloaded() {
    let mut router = router(16);
    let prefix = prompt(7);
    // Events may arrive out of order and more than once.
    let event = CacheEvent::Stored(prefix.blocks()[5]);
    router.note_cache(&backend(3), event);
    for block in prefix.blocks() {
        router.note_cache(&backend(3), CacheEvent::Stored(*block));
    }
    assert_eq!(choose(&mut router, &prefix, &[]).backend, backend(3));
    let load = LoadReport {
        running: 8,
        waiting: 8,
        waiting_cost: TokenCount(8_000),
    };
    router.note_load(NOW, &backend(3), load);
    assert_ne!(choose(&mut router, &prefix, &[]).backend, backend(3));
}

#[test]
fn without_a_usable_backend_nothing_is_selected() {
    let mut router = router(1);
    let tried = [backend(0)];
    let prefix = prompt(1);
    let query = RouteQuery {
        prefix: &prefix,
        tried: &tried,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert_eq!(router.choose(NOW, &query, &mut rng), None);
}
