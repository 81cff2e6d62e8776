//! A model engine with continuous batching and a limited prefix cache.

use std::collections::{BTreeMap, HashMap, VecDeque};

use celerycrank_routing::{BlockHash, LoadReport};
use celerycrank_types::TokenCount;

/// Requests that one engine works on at a time.
pub(super) const SLOTS: u32 = 16;

/// Blocks that one engine's prefix cache holds.
const CACHE_BLOCKS: usize = 800;

/// Time to compute one block that is not cached.
pub(super) const BLOCK_SECONDS: f64 = 0.016;

/// Time between two tokens of an answer.
pub(super) const TOKEN_SECONDS: f64 = 0.03;

/// Tokens of one block.
pub(super) const BLOCK_TOKENS: u64 = 128;

/// A prefix cache that drops the least recently used block.
#[derive(Debug, Default)]
struct PrefixCache {
    last_used: HashMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    clock: u64,
}

impl PrefixCache {
    /// Leading blocks that are held.
    fn matching(&self, blocks: &[BlockHash]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count()
    }

    /// Holds the blocks and returns those that had to go.
    fn insert(&mut self, blocks: &[BlockHash]) -> Vec<BlockHash> {
        // The last block is the least useful one, hence the oldest.
        for block in blocks.iter().rev() {
            self.clock += 1;
            if let Some(old) = self.last_used.insert(*block, self.clock) {
                self.by_last_use.remove(&old);
            }
            self.by_last_use.insert(self.clock, *block);
        }
        let mut evicted = Vec::new();
        while self.last_used.len() > CACHE_BLOCKS {
            if let Some((_, block)) = self.by_last_use.pop_first() {
                self.last_used.remove(&block);
                evicted.push(block);
            }
        }
        evicted
    }
}

/// A request's way through an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineSchedule {
    /// When its first token is out.
    pub(super) first_token: f64,
    /// Blocks found in the cache.
    pub(super) cached: usize,
}

/// One engine: slots, a serial prompt computation, and a prefix cache.
#[derive(Debug, Default)]
pub(super) struct Engine {
    cache: PrefixCache,
    running: u32,
    /// Requests that wait for a slot.
    pub(super) waiting: VecDeque<usize>,
    /// When the prompts accepted so far have been computed.
    prefill_free_at: f64,
}

impl Engine {
    /// Whether a request could start now.
    pub(super) fn has_slot(&self) -> bool {
        self.running < SLOTS
    }

    /// Starts a request; returns its course and the blocks that had to go.
    pub(super) fn start(
        &mut self,
        now: f64,
        blocks: &[BlockHash],
    ) -> (EngineSchedule, Vec<BlockHash>) {
        self.running += 1;
        let cached = self.cache.matching(blocks);
        let missing = (blocks.len() - cached) as f64;
        // The last token of a prompt is always computed, hence one block at least.
        self.prefill_free_at = self.prefill_free_at.max(now) + missing.max(1.0) * BLOCK_SECONDS;
        let start = EngineSchedule {
            first_token: self.prefill_free_at,
            cached,
        };
        (start, self.cache.insert(blocks))
    }

    /// Frees the slot of a finished request.
    pub(super) fn finish(&mut self) {
        self.running -= 1;
    }

    /// Drops the cache, as a replaced VM does.
    pub(super) fn clear(&mut self) {
        self.cache = PrefixCache::default();
    }

    /// Load as the agent would report it.
    pub(super) fn report(&self) -> LoadReport {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        LoadReport {
            running: self.running,
            waiting,
            waiting_cost: TokenCount(u64::from(waiting) * BLOCK_TOKENS),
        }
    }
}
