//! Seeded traces of conversations.

use std::{cmp::Reverse, collections::BinaryHeap};

use celerycrank_routing::{BlockHash, PromptPrefix};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Exponent of the Zipf distribution of system prompts.
const POPULARITY_EXPONENT: f64 = 0.9;

/// Mean number of requests per conversation.
const MEAN_TURNS: f64 = 4.0;

/// Mean think time between an answer and the next request of a conversation, in seconds.
const MEAN_THINK_SECONDS: f64 = 15.0;

/// One request of the trace.
#[derive(Debug, Clone)]
pub(super) struct TraceRequest {
    pub(super) arrival: f64,
    pub(super) conversation: u64,
    pub(super) prefix: PromptPrefix,
    /// Hash of the prefix that all requests of the conversation share.
    pub(super) session: BlockHash,
    pub(super) output_tokens: u32,
    pub(super) entry: usize,
}

/// Parameters of a generated trace.
#[derive(Debug, Clone, Copy)]
pub(super) struct TraceParameters {
    pub(super) requests_per_second: f64,
    pub(super) seconds: f64,
    pub(super) system_prompts: usize,
    pub(super) entries: usize,
}

/// Next request of a conversation.
#[derive(Debug, Clone)]
struct PendingTurn {
    arrival: f64,
    conversation: u64,
    blocks: Vec<BlockHash>,
    session: BlockHash,
}

impl PendingTurn {
    fn sort_key(&self) -> (u64, u64) {
        (self.arrival.to_bits(), self.conversation)
    }
}

impl PartialEq for PendingTurn {
    fn eq(&self, other: &Self) -> bool {
        self.sort_key() == other.sort_key()
    }
}

impl Eq for PendingTurn {}

impl PartialOrd for PendingTurn {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingTurn {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.sort_key().cmp(&other.sort_key())
    }
}

/// Generates a trace in order of arrival.
pub(super) fn generate(parameters: TraceParameters, rng: &mut ChaCha8Rng) -> Vec<TraceRequest> {
    let prompts = random_system_prompts(parameters.system_prompts, rng);
    let conversations_per_second = parameters.requests_per_second / MEAN_TURNS;
    let mut pending = BinaryHeap::new();
    // Conversations start well before the trace does, so that it begins in a steady state.
    let mut time = -10.0 * MEAN_THINK_SECONDS;
    while time < parameters.seconds {
        time += exponential(1.0 / conversations_per_second, rng);
        let blocks = pick_system_prompt(&prompts, rng).clone();
        pending.push(Reverse(first_turn(time, blocks, rng)));
    }
    let mut requests = Vec::new();
    while let Some(Reverse(turn)) = pending.pop() {
        if turn.arrival >= parameters.seconds {
            break;
        }
        let request = to_request(&turn, parameters, rng);
        if rng.random_bool(1.0 - 1.0 / MEAN_TURNS) {
            pending.push(Reverse(next_turn(turn, &request, rng)));
        }
        if request.arrival >= 0.0 {
            requests.push(request);
        }
    }
    requests
}

/// Samples an exponential distribution with the given mean.
pub(super) fn exponential(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn random_system_prompts(count: usize, rng: &mut ChaCha8Rng) -> Vec<Vec<BlockHash>> {
    (0..count)
        .map(|_| random_blocks(rng.random_range(4..=16), rng))
        .collect()
}

fn random_blocks(count: usize, rng: &mut ChaCha8Rng) -> Vec<BlockHash> {
    (0..count).map(|_| BlockHash(rng.random())).collect()
}

fn pick_system_prompt<'a>(
    prompts: &'a [Vec<BlockHash>],
    rng: &mut ChaCha8Rng,
) -> &'a Vec<BlockHash> {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-POPULARITY_EXPONENT);
    let total: f64 = (0..prompts.len()).map(weight).sum();
    let mut remaining = rng.random::<f64>() * total;
    for (rank, prompt) in prompts.iter().enumerate() {
        remaining -= weight(rank);
        if remaining <= 0.0 {
            return prompt;
        }
    }
    &prompts[0]
}

fn first_turn(arrival: f64, mut blocks: Vec<BlockHash>, rng: &mut ChaCha8Rng) -> PendingTurn {
    blocks.extend(random_blocks(rng.random_range(1..=3), rng));
    PendingTurn {
        arrival,
        conversation: rng.random(),
        session: blocks[blocks.len() - 1],
        blocks,
    }
}

fn to_request(
    turn: &PendingTurn,
    parameters: TraceParameters,
    rng: &mut ChaCha8Rng,
) -> TraceRequest {
    TraceRequest {
        arrival: turn.arrival,
        conversation: turn.conversation,
        prefix: PromptPrefix::from_blocks(turn.blocks.iter().copied())
            .with_conversation_hash(turn.session),
        session: turn.session,
        output_tokens: rng.random_range(20..=180),
        entry: rng.random_range(0..parameters.entries),
    }
}

fn next_turn(turn: PendingTurn, request: &TraceRequest, rng: &mut ChaCha8Rng) -> PendingTurn {
    let answer_seconds = f64::from(request.output_tokens) * super::engine::TOKEN_SECONDS;
    let mut blocks = turn.blocks;
    blocks.extend(random_blocks(rng.random_range(1..=4), rng));
    PendingTurn {
        arrival: turn.arrival + answer_seconds + exponential(MEAN_THINK_SECONDS, rng),
        blocks,
        ..turn
    }
}
