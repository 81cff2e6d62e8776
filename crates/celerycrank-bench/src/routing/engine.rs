//! Simulated model engine with continuous batching and a bounded prefix cache.

use std::collections::{BTreeMap, HashMap, VecDeque};

use celerycrank_routing::{BlockHash, LoadReport};
use celerycrank_types::TokenCount;

/// Concurrent requests per engine.
pub(super) const SLOTS: u32 = 16;

/// Capacity of an engine's prefix cache, in blocks.
pub(super) const CACHE_BLOCKS: usize = 800;

/// Prefill time per block that is not cached.
pub(super) const BLOCK_SECONDS: f64 = 0.016;

/// Decode time per output token.
pub(super) const TOKEN_SECONDS: f64 = 0.03;

/// Tokens per block.
pub(super) const BLOCK_TOKENS: u64 = 128;

/// Prefix cache with least-recently-used eviction.
#[derive(Debug, Default)]
struct PrefixCache {
    last_used: HashMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    clock: u64,
}

impl PrefixCache {
    /// Returns the number of leading blocks that are cached.
    fn matching(&self, blocks: &[BlockHash]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count()
    }

    /// Inserts the blocks and returns the evicted ones.
    fn insert(&mut self, blocks: &[BlockHash]) -> Vec<BlockHash> {
        // The last block of a prompt is the least reusable, so it is marked as the least recent.
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

/// Outcome of starting a request on an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineSchedule {
    /// Time of the first output token.
    pub(super) first_token: f64,
    /// Number of prompt blocks found in the cache.
    pub(super) cached: usize,
}

/// One engine, with request slots, serial prefill and a prefix cache.
#[derive(Debug, Default)]
pub(super) struct Engine {
    cache: PrefixCache,
    running: u32,
    /// Requests waiting for a slot.
    pub(super) waiting: VecDeque<usize>,
    /// Time at which the prefill of all started requests is complete.
    prefill_free_at: f64,
}

impl Engine {
    /// Returns whether a slot is free.
    pub(super) fn has_slot(&self) -> bool {
        self.running < SLOTS
    }

    /// Starts a request; returns its schedule and the evicted blocks.
    pub(super) fn start(
        &mut self,
        now: f64,
        blocks: &[BlockHash],
    ) -> (EngineSchedule, Vec<BlockHash>) {
        self.running += 1;
        let cached = self.cache.matching(blocks);
        let missing = (blocks.len() - cached) as f64;
        // The last token of a prompt is always computed, which takes at least one block.
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

    /// Clears the cache, as after a VM replacement.
    pub(super) fn clear(&mut self) {
        self.cache = PrefixCache::default();
    }

    /// Returns the load as the agent reports it.
    pub(super) fn report(&self) -> LoadReport {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        LoadReport {
            running: self.running,
            waiting,
            waiting_cost: TokenCount(u64::from(waiting) * BLOCK_TOKENS),
        }
    }
}
