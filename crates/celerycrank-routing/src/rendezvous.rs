//! Rendezvous hashing.

use smallvec::SmallVec;

use crate::prefix::BlockHash;

/// Maximum number of candidates taken from the rendezvous order.
const MAX_RENDEZVOUS_CANDIDATES: usize = 3;

/// The candidates with the highest scores, in descending order.
#[derive(Debug, Default)]
pub(crate) struct TopCandidates {
    /// Scores with indices into the router's table.
    items: SmallVec<[(u64, usize); MAX_RENDEZVOUS_CANDIDATES + 1]>,
}

impl TopCandidates {
    /// Whether no candidate has been offered.
    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the score that a further candidate must exceed to be added.
    pub(crate) fn threshold(&self) -> u64 {
        if self.items.len() < MAX_RENDEZVOUS_CANDIDATES {
            return 0;
        }
        self.items[MAX_RENDEZVOUS_CANDIDATES - 1].0
    }

    /// Adds a candidate if its score is high enough.
    pub(crate) fn offer(&mut self, score: u64, index: usize) {
        let position = self.items.partition_point(|(other, _)| *other >= score);
        if position < MAX_RENDEZVOUS_CANDIDATES {
            self.items.insert(position, (score, index));
            self.items.truncate(MAX_RENDEZVOUS_CANDIDATES);
        }
    }

    /// Returns the indices, the highest score first.
    pub(crate) fn into_indexes(self) -> SmallVec<[usize; 4]> {
        self.items.into_iter().map(|(_, index)| index).collect()
    }
}

/// Returns the rendezvous score of a backend server for a key.
pub(crate) const fn rendezvous_score(seed: u64, key: BlockHash) -> u64 {
    let spread = (seed ^ key.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let folded = (spread ^ (spread >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    folded ^ (folded >> 32)
}
