//! A prompt as the chain of its prefix blocks.

use celerycrank_types::number_type;
use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of prompt text in one block.
const BLOCK_BYTES: usize = 512;

/// Most blocks of one prompt that are told apart.
const MAX_BLOCKS: usize = 64;

number_type! {
    /// The hash of a prompt's text up to the end of one block.
    BlockHash;
}

/// The prefix blocks of one prompt.
///
/// Invariant: each hash covers all text before its block, so that two prompts with a hash in
/// common have the whole prefix in common.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PromptPrefix {
    blocks: SmallVec<[BlockHash; 16]>,
    session: Option<BlockHash>,
}

impl PromptPrefix {
    /// Splits a prompt's text into blocks; an incomplete last block is left out.
    #[must_use]
    pub fn of_text(text: &[u8]) -> Self {
        let mut hash = 0;
        let blocks = text
            .chunks_exact(BLOCK_BYTES)
            .take(MAX_BLOCKS)
            .map(|block| {
                hash = xxh3_64_with_seed(block, hash);
                BlockHash(hash)
            })
            .collect();
        Self {
            blocks,
            session: None,
        }
    }

    /// Takes blocks that were hashed elsewhere.
    pub fn from_blocks(blocks: impl IntoIterator<Item = BlockHash>) -> Self {
        Self {
            blocks: blocks.into_iter().take(MAX_BLOCKS).collect(),
            session: None,
        }
    }

    /// The blocks, shortest prefix first.
    #[must_use]
    pub fn blocks(&self) -> &[BlockHash] {
        &self.blocks
    }

    /// Names the conversation by the text that all its requests begin with: its prompt up to
    /// the end of the first user message.
    #[must_use]
    pub fn with_session(self, text: &[u8]) -> Self {
        self.with_session_hash(BlockHash(xxh3_64(text)))
    }

    /// Names the conversation by a hash that was made elsewhere.
    #[must_use]
    pub const fn with_session_hash(mut self, session: BlockHash) -> Self {
        self.session = Some(session);
        self
    }

    /// The first block, by which prompts of one kind are kept together.
    #[must_use]
    pub fn prefix_group(&self) -> Option<BlockHash> {
        self.blocks.first().copied()
    }

    /// What tells one conversation of the kind from another.
    #[must_use]
    pub fn session(&self) -> Option<BlockHash> {
        self.session.or_else(|| self.blocks.last().copied())
    }
}
