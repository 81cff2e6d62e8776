//! Represents a prompt by a chain of prefix block hashes.

use celerycrank_types::number_type;
use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of bytes of prompt text per block.
const BLOCK_BYTES: usize = 512;

/// Maximum number of blocks per prompt; later text is ignored.
const MAX_BLOCKS: usize = 64;

number_type! {
    /// The hash of a prompt's text up to the end of a block.
    BlockHash;
}

/// The prefix blocks of a prompt.
///
/// Invariant: each hash also covers all text before its block, so two prompts that share a hash
/// share the whole prefix.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PromptPrefix {
    blocks: SmallVec<[BlockHash; 16]>,
    conversation: Option<BlockHash>,
}

impl PromptPrefix {
    /// Splits the text of a prompt into blocks and omits an incomplete last block.
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
            conversation: None,
        }
    }

    /// Creates a prefix from precomputed block hashes.
    pub fn from_blocks(blocks: impl IntoIterator<Item = BlockHash>) -> Self {
        Self {
            blocks: blocks.into_iter().take(MAX_BLOCKS).collect(),
            conversation: None,
        }
    }

    /// Returns the block hashes, the shortest prefix first.
    #[must_use]
    pub fn blocks(&self) -> &[BlockHash] {
        &self.blocks
    }

    /// Sets the conversation, identified by the text with which all its requests begin: the prompt
    /// up to the end of the first user message.
    #[must_use]
    pub fn with_conversation(self, text: &[u8]) -> Self {
        self.with_conversation_hash(BlockHash(xxh3_64(text)))
    }

    /// Sets the conversation, identified by a precomputed hash.
    #[must_use]
    pub const fn with_conversation_hash(mut self, conversation: BlockHash) -> Self {
        self.conversation = Some(conversation);
        self
    }

    /// Returns the prefix group, which is identified by the first block. Prompts of a group share
    /// backend servers.
    #[must_use]
    pub fn prefix_group(&self) -> Option<BlockHash> {
        self.blocks.first().copied()
    }

    /// Returns the hash that distinguishes the conversations of a prefix group.
    #[must_use]
    pub fn conversation(&self) -> Option<BlockHash> {
        self.conversation.or_else(|| self.blocks.last().copied())
    }
}
