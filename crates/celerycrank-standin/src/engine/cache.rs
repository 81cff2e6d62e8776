//! A bounded prefix cache that publishes its events with a lag and with gaps.

use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hash, Hasher},
};

use celerycrank_types::{TimePoint, TimeSpan};
use serde::Serialize;

/// Tokens per cached block.
const BLOCK_TOKENS: usize = 16;

/// A published change of the cache.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheEvent {
    sequence: u64,
    stored: Option<u64>,
    removed: Option<u64>,
    #[serde(skip)]
    visible_at: TimePoint,
}

/// Blocks of prompt prefixes with least-recently-used eviction.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    /// Invariant: at most `capacity` distinct hashes, the least recently used one first.
    blocks: VecDeque<u64>,
    capacity: usize,
    events: Vec<CacheEvent>,
    sequence: u64,
    event_lag: TimeSpan,
    /// Every n-th event is lost; zero loses none.
    loss_interval: u64,
}

impl PrefixCache {
    pub(crate) const fn new(capacity: usize, event_lag: TimeSpan, loss_interval: u64) -> Self {
        Self {
            blocks: VecDeque::new(),
            capacity,
            events: Vec::new(),
            sequence: 0,
            event_lag,
            loss_interval,
        }
    }

    /// Stores the blocks of a prompt and returns how many of its tokens were already cached.
    pub(crate) fn insert_prompt(&mut self, prompt: &[&str], now: TimePoint) -> usize {
        let hashes = block_hashes(prompt);
        let cached = hashes.iter().take_while(|hash| self.blocks.contains(hash));
        let hits = cached.count();
        for hash in hashes {
            self.touch(hash, now);
        }
        hits * BLOCK_TOKENS
    }

    /// Events after this sequence number whose lag has passed.
    pub(crate) fn events_after(&self, sequence: u64, now: TimePoint) -> Vec<CacheEvent> {
        let is_visible = |event: &&CacheEvent| event.sequence > sequence && event.visible_at <= now;
        self.events.iter().filter(is_visible).cloned().collect()
    }

    fn touch(&mut self, hash: u64, now: TimePoint) {
        if let Some(position) = self.blocks.iter().position(|block| *block == hash) {
            self.blocks.remove(position);
        } else {
            self.publish(Some(hash), None, now);
        }
        self.blocks.push_back(hash);
        while self.blocks.len() > self.capacity {
            let removed = self.blocks.pop_front();
            self.publish(None, removed, now);
        }
    }

    fn publish(&mut self, stored: Option<u64>, removed: Option<u64>, now: TimePoint) {
        self.sequence += 1;
        if self.loss_interval != 0 && self.sequence.is_multiple_of(self.loss_interval) {
            return;
        }
        self.events.push(CacheEvent {
            sequence: self.sequence,
            stored,
            removed,
            visible_at: now + self.event_lag,
        });
    }
}

/// Hashes of the prompt's full blocks; each hash covers the whole prefix up to its block.
fn block_hashes(prompt: &[&str]) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    let blocks = prompt.chunks_exact(BLOCK_TOKENS);
    blocks
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}
