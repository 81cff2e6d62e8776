//! Which backend servers probably hold which prefix block.

use std::{
    collections::{HashMap, VecDeque},
    hash::{BuildHasherDefault, Hasher},
};

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prefix::BlockHash;

/// Most backend servers remembered for one block.
const MAX_HOLDERS: usize = 4;

/// What a model engine says about its prefix cache; may arrive late or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CacheEvent {
    /// The engine holds the block.
    Stored(BlockHash),
    /// The engine dropped the block.
    Evicted(BlockHash),
    /// The engine dropped every block, as after a restart.
    Cleared,
}

/// A slot in the router's table of backend servers, with the number of its tenancy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BackendSlot {
    pub(crate) index: usize,
    /// Differs for each backend server that has used the slot.
    pub(crate) generation: u32,
}

/// Passes block hashes through: they are hashes of text already.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }

    fn write_u64(&mut self, i: u64) {
        self.0 = i;
    }
}

#[derive(Debug, Default, Clone)]
struct BlockEntry {
    /// The newest holder last.
    holders: SmallVec<[BackendSlot; MAX_HOLDERS]>,
    /// Number of the newest use; an older place in `order` is stale.
    used: u64,
}

/// Bounded memory of block holders, learnt from own decisions and from cache events.
///
/// Invariant: at most `capacity` blocks are remembered; the least recently used goes first.
#[derive(Debug, Clone)]
pub(crate) struct HolderIndex {
    capacity: usize,
    entries: HashMap<BlockHash, BlockEntry, BuildHasherDefault<BlockHasher>>,
    order: VecDeque<(BlockHash, u64)>,
    uses: u64,
}

impl HolderIndex {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::default(),
            order: VecDeque::new(),
            uses: 0,
        }
    }

    /// Number of blocks remembered.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Those that probably hold the block, the newest last.
    pub(crate) fn holders(&self, block: BlockHash) -> &[BackendSlot] {
        match self.entries.get(&block) {
            Some(entry) => &entry.holders,
            None => &[],
        }
    }

    /// Notes that a backend server holds a block.
    pub(crate) fn store(&mut self, block: BlockHash, slot: BackendSlot) {
        self.uses += 1;
        let entry = self.entries.entry(block).or_default();
        entry.used = self.uses;
        entry.holders.retain(|holder| holder.index != slot.index);
        if entry.holders.len() == MAX_HOLDERS {
            entry.holders.remove(0);
        }
        entry.holders.push(slot);
        self.order.push_back((block, self.uses));
        self.trim();
        assert!(
            self.entries.len() <= self.capacity,
            "more blocks are remembered than allowed"
        );
    }

    /// Notes that a backend server no longer holds a block.
    pub(crate) fn evict(&mut self, block: BlockHash, slot: BackendSlot) {
        if let Some(entry) = self.entries.get_mut(&block) {
            entry.holders.retain(|holder| holder.index != slot.index);
        }
    }

    fn trim(&mut self) {
        while self.entries.len() > self.capacity || self.order.len() > 2 * self.capacity {
            let Some((block, used)) = self.order.pop_front() else {
                return;
            };
            let entry = self.entries.get(&block);
            if entry.is_some_and(|entry| entry.used == used) {
                self.entries.remove(&block);
            }
        }
    }
}
