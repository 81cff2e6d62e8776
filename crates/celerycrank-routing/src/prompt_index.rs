//! Estimates which backend servers still hold the beginnings of prompts.
//!
//! The load pattern: many sessions, each of whose prompts begins like its previous one, and
//! beginnings that many sessions share. A model engine that still holds a beginning answers
//! sooner, but it holds a limited number of tokens, for a limited time and only until it restarts.
//!
//! An entry knows nothing of the engines' caches but its own answers. Each answer that has begun
//! shows that its engine held the prompt at that moment; what was sent to the engine since has
//! evicted some of it.

use std::{hash::BuildHasherDefault, num::NonZeroUsize};

use celerycrank_types::{BackendId, PromptPartId, ServiceId, TimePoint, TimeSpan};
use lru::LruCache;
use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::holder::BlockHasher;

/// Maximum number of beginnings whose holders are tracked; with all their holders they take 11 MB.
const MAX_BEGINNINGS: NonZeroUsize = NonZeroUsize::new(32_768).expect("not zero");

/// Maximum number of backend servers whose sent tokens are counted.
const MAX_BACKENDS: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");

/// Maximum number of parts of one prompt; later parts count as the request's own.
const MAX_PARTS: usize = 64;

/// Maximum number of holders tracked per beginning and considered per request.
pub const MAX_PROMPT_HOLDERS: usize = 8;

type KeyHasher = BuildHasherDefault<BlockHasher>;

/// One incarnation of a backend server; another incarnation holds nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HolderKey(u64);

impl HolderKey {
    /// Returns the key of an incarnation of a backend server.
    #[must_use]
    pub fn new(backend: &BackendId, incarnation: u64) -> Self {
        Self(xxh3_64_with_seed(backend.as_str().as_bytes(), incarnation))
    }

    /// Returns the bucket of the key among those by which [`PromptHolders`] rules out most backend
    /// servers.
    #[must_use]
    pub const fn bucket(self) -> u8 {
        (self.0 % 64) as u8
    }
}

/// How long and how many prompt tokens an engine keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptRetention {
    /// The time for which a prompt is kept after its answer has begun.
    pub span: TimeSpan,
    /// The number of tokens that are kept.
    pub tokens: u64,
}

/// A beginning of a prompt: its first parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Beginning {
    /// Hash of the service and of all parts up to the last one of the beginning.
    key: u64,
    /// Number of tokens of these parts.
    tokens: u64,
}

/// The beginnings of one prompt that other prompts may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptBeginnings {
    /// The beginnings, the shortest first.
    ///
    /// Invariant: no more than `MAX_PARTS`, each longer than the one before it, and none longer than
    /// the prompt.
    beginnings: SmallVec<[Beginning; 4]>,
    /// Number of tokens of the whole prompt.
    tokens: u64,
}

impl PromptBeginnings {
    /// Creates the beginnings from the shared parts of a prompt and their numbers of tokens.
    ///
    /// `tokens` is the number of tokens of the whole prompt, if it is known.
    pub fn new(
        service: &ServiceId,
        parts: impl IntoIterator<Item = (PromptPartId, u64)>,
        tokens: Option<u64>,
    ) -> Self {
        let mut key = xxh3_64(service.as_str().as_bytes());
        let mut length = 0_u64;
        let parts = parts.into_iter().take(MAX_PARTS);
        let mut beginnings = parts
            .map(|(part, tokens)| {
                key = xxh3_64_with_seed(&part.0.to_le_bytes(), key);
                length = length.saturating_add(tokens);
                Beginning {
                    key,
                    tokens: length,
                }
            })
            .collect::<SmallVec<[Beginning; 4]>>();
        let tokens = tokens.unwrap_or(length);
        for beginning in &mut beginnings {
            beginning.tokens = beginning.tokens.min(tokens);
        }
        // A beginning that is no longer than the one before it saves nothing more.
        let mut length = 0;
        beginnings.retain(|beginning| {
            let is_longer = beginning.tokens > length;
            length = beginning.tokens;
            is_longer
        });
        Self { beginnings, tokens }
    }

    /// The number of tokens of the whole prompt.
    #[must_use]
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// The backend servers that probably hold a beginning of one prompt.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PromptHolders {
    /// The holders with the number of tokens that they hold, those of longer beginnings first.
    holders: SmallVec<[(HolderKey, u64); MAX_PROMPT_HOLDERS]>,
    /// One bit for the bucket of each holder: a choice asks about every backend server, of which few
    /// are holders.
    buckets: u64,
}

impl PromptHolders {
    /// Whether no backend server holds a beginning.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the number of prompt tokens that a backend server probably holds, if any.
    #[must_use]
    pub fn tokens_at(&self, holder: HolderKey) -> Option<u64> {
        let mut holders = self.holders.iter();
        holders
            .find(|(known, _)| *known == holder)
            .map(|(_, tokens)| *tokens)
    }

    /// Whether a backend server whose key is in this bucket may be a holder.
    #[must_use]
    pub const fn has_bucket(&self, bucket: u8) -> bool {
        self.buckets >> bucket & 1 == 1
    }

    fn add(&mut self, holder: HolderKey, tokens: u64) {
        self.holders.push((holder, tokens));
        self.buckets |= 1 << holder.bucket();
    }
}

/// A beginning held by one backend server.
#[derive(Debug, Clone, Copy)]
struct Holding {
    holder: HolderKey,
    /// When an answer to a prompt with it last began.
    since: TimePoint,
    /// The count of tokens sent to the backend server at that time.
    mark: u64,
}

/// A bounded index of the beginnings of prompts that backend servers probably hold.
///
/// Invariant: at most `MAX_BEGINNINGS` beginnings with `MAX_PROMPT_HOLDERS` holders each are
/// tracked, and the tokens of at most `MAX_BACKENDS` backend servers counted; the least recently used
/// ones are dropped.
#[derive(Debug)]
pub struct PromptIndex {
    beginnings: LruCache<u64, SmallVec<[Holding; 2]>, KeyHasher>,
    /// Counts of the tokens that each backend server has read.
    ///
    /// Invariant: a count only increases, also if it was dropped and begins anew, so that what was
    /// held before does not seem to be held again.
    read: LruCache<HolderKey, u64, KeyHasher>,
    /// Sum of all tokens counted, at which new counts begin.
    total: u64,
}

impl Default for PromptIndex {
    fn default() -> Self {
        Self {
            beginnings: LruCache::with_hasher(MAX_BEGINNINGS, KeyHasher::default()),
            read: LruCache::with_hasher(MAX_BACKENDS, KeyHasher::default()),
            total: 0,
        }
    }
}

impl PromptIndex {
    /// Returns the number of beginnings whose holders are tracked.
    #[must_use]
    pub fn len(&self) -> usize {
        self.beginnings.len()
    }

    /// Whether no holder is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.beginnings.is_empty()
    }

    /// Records that a prompt is sent to a backend server, which evicts older ones.
    ///
    /// What the backend server holds of the prompt needs no further memory. `answer_tokens` is the
    /// expected length of the answer, and `entries` the number of entries, which are assumed to
    /// send as much.
    pub fn note_sent(
        &mut self,
        prompt: &PromptBeginnings,
        holder: HolderKey,
        answer_tokens: u64,
        entries: u32,
        retention: PromptRetention,
        now: TimePoint,
    ) {
        let held = self.holders(prompt, retention, now).tokens_at(holder);
        let missing = prompt.tokens.saturating_sub(held.unwrap_or(0));
        let tokens = missing.saturating_add(answer_tokens);
        // More than all of the memory cannot be evicted, whatever size a caller has announced.
        let tokens = tokens
            .saturating_mul(u64::from(entries.max(1)))
            .min(retention.tokens.saturating_add(1));
        let total = self.total;
        let read = self.read.get_or_insert_mut(holder, || total);
        *read = read.saturating_add(tokens);
        self.total = self.total.saturating_add(tokens);
    }

    /// Records that an answer of a backend server to a prompt has begun, so that it holds the prompt.
    pub fn note_begun(&mut self, prompt: &PromptBeginnings, holder: HolderKey, now: TimePoint) {
        let total = self.total;
        let mark = *self.read.get_or_insert(holder, || total);
        for beginning in &prompt.beginnings {
            let holdings = self
                .beginnings
                .get_or_insert_mut(beginning.key, SmallVec::new);
            holdings.retain(|holding| holding.holder != holder);
            if holdings.len() == MAX_PROMPT_HOLDERS {
                holdings.remove(0);
            }
            holdings.push(Holding {
                holder,
                since: now,
                mark,
            });
        }
    }

    /// Returns the backend servers that probably hold a beginning of a prompt.
    #[must_use]
    pub fn holders(
        &self,
        prompt: &PromptBeginnings,
        retention: PromptRetention,
        now: TimePoint,
    ) -> PromptHolders {
        let mut found = PromptHolders::default();
        let beginnings = prompt.beginnings.iter().rev();
        let fitting = beginnings.filter(|it| (1..=retention.tokens).contains(&it.tokens));
        for beginning in fitting {
            let holdings = self.beginnings.peek(&beginning.key);
            // The latest holdings are last.
            for holding in holdings.into_iter().flatten().rev() {
                if found.holders.len() == MAX_PROMPT_HOLDERS {
                    return found;
                }
                if found.tokens_at(holding.holder).is_none()
                    && self.is_held(holding, retention, now)
                {
                    found.add(holding.holder, beginning.tokens);
                }
            }
        }
        found
    }

    fn is_held(&self, holding: &Holding, retention: PromptRetention, now: TimePoint) -> bool {
        let read = self.read.peek(&holding.holder);
        let is_in_memory = read.is_some_and(|read| read - holding.mark <= retention.tokens);
        is_in_memory && now.since(holding.since) < retention.span
    }
}
