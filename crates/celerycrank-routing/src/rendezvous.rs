//! Rendezvous hashing.

use smallvec::SmallVec;

use crate::prefix::BlockHash;

/// Candidates that rendezvous order names.
const MAX_RENDEZVOUS_CANDIDATES: usize = 3;

/// The few highest scores seen, in falling order.
#[derive(Debug, Default)]
pub(crate) struct TopCandidates {
    items: SmallVec<[(u64, usize); MAX_RENDEZVOUS_CANDIDATES + 1]>,
}

impl TopCandidates {
    /// Whether nothing was offered yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The score above which another would enter the list.
    pub(crate) fn threshold(&self) -> u64 {
        if self.items.len() < MAX_RENDEZVOUS_CANDIDATES {
            return 0;
        }
        self.items[MAX_RENDEZVOUS_CANDIDATES - 1].0
    }

    /// Takes in a scored place of the table.
    pub(crate) fn offer(&mut self, score: u64, index: usize) {
        let position = self.items.partition_point(|(other, _)| *other >= score);
        if position < MAX_RENDEZVOUS_CANDIDATES {
            self.items.insert(position, (score, index));
            self.items.truncate(MAX_RENDEZVOUS_CANDIDATES);
        }
    }

    /// The places, the highest score first.
    pub(crate) fn into_indexes(self) -> SmallVec<[usize; 4]> {
        self.items.into_iter().map(|(_, index)| index).collect()
    }
}

/// Rendezvous score of a backend server for a key.
pub(crate) const fn rendezvous_score(seed: u64, key: BlockHash) -> u64 {
    let spread = (seed ^ key.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let folded = (spread ^ (spread >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    folded ^ (folded >> 32)
}
