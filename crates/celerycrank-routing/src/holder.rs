//! Tracks which backend servers probably have which prefix blocks cached.

use std::{
    collections::{HashMap, VecDeque},
    hash::{BuildHasherDefault, Hasher},
};

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prefix::BlockHash;

/// Maximum number of holders tracked per block.
const MAX_HOLDERS: usize = 4;

/// A change to the prefix cache of a model engine. It may arrive late or get lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CacheEvent {
    /// The engine stored the block.
    Stored(BlockHash),
    /// The engine evicted the block.
    Evicted(BlockHash),
    /// The engine dropped all blocks, for example after a restart.
    Cleared,
}

/// An index into the router's table of backend servers, with the generation of the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BackendHandle {
    pub(crate) index: usize,
    /// Changes whenever another backend server takes the row or the cache of the current one is
    /// cleared.
    pub(crate) generation: u32,
}

/// A hasher that returns block hashes unchanged, since they are already hashes of text.
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
    /// The holders, the most recent one last.
    holders: SmallVec<[BackendHandle; MAX_HOLDERS]>,
    /// Sequence number of the last use; entries in `use_order` with a lower number are stale.
    last_use: u64,
}

/// A bounded index of block holders, based on the router's own decisions and on cache events.
///
/// Invariant: at most `capacity` blocks are tracked; the least recently used ones are dropped.
#[derive(Debug, Clone)]
pub(crate) struct HolderIndex {
    capacity: usize,
    entries: HashMap<BlockHash, BlockEntry, BuildHasherDefault<BlockHasher>>,
    /// Blocks with the sequence numbers of their uses, oldest first.
    use_order: VecDeque<(BlockHash, u64)>,
    /// Sequence number of the most recent use.
    uses: u64,
}

impl HolderIndex {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::default(),
            use_order: VecDeque::new(),
            uses: 0,
        }
    }

    /// Returns the number of tracked blocks.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the backend servers that probably hold the block, the most recent one last.
    pub(crate) fn holders(&self, block: BlockHash) -> &[BackendHandle] {
        match self.entries.get(&block) {
            Some(entry) => &entry.holders,
            None => &[],
        }
    }

    /// Records that a backend server holds a block.
    pub(crate) fn store(&mut self, block: BlockHash, handle: BackendHandle) {
        self.uses += 1;
        let entry = self.entries.entry(block).or_default();
        entry.last_use = self.uses;
        entry.holders.retain(|holder| holder.index != handle.index);
        if entry.holders.len() == MAX_HOLDERS {
            entry.holders.remove(0);
        }
        entry.holders.push(handle);
        self.use_order.push_back((block, self.uses));
        self.trim();
        assert!(
            self.entries.len() <= self.capacity,
            "the holder index exceeds its capacity"
        );
    }

    /// Records that a backend server no longer holds a block.
    pub(crate) fn evict(&mut self, block: BlockHash, handle: BackendHandle) {
        if let Some(entry) = self.entries.get_mut(&block) {
            entry.holders.retain(|holder| holder.index != handle.index);
        }
    }

    fn trim(&mut self) {
        while self.entries.len() > self.capacity || self.use_order.len() > 2 * self.capacity {
            let Some((block, sequence)) = self.use_order.pop_front() else {
                return;
            };
            let entry = self.entries.get(&block);
            if entry.is_some_and(|entry| entry.last_use == sequence) {
                self.entries.remove(&block);
            }
        }
    }
}
