//! A seeded trace of conversations.

use std::{cmp::Reverse, collections::BinaryHeap};

use celerycrank_routing::{BlockHash, PromptPrefix};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Exponent of the popularity of system prompts.
const POPULARITY_EXPONENT: f64 = 0.9;

/// Mean number of requests of one conversation.
const MEAN_TURNS: f64 = 4.0;

/// Mean pause of a caller between an answer and the next request, in seconds.
const MEAN_THINK_SECONDS: f64 = 15.0;

/// One request of the trace.
#[derive(Debug, Clone)]
pub(super) struct TraceRequest {
    pub(super) arrival: f64,
    pub(super) conversation: u64,
    pub(super) prefix: PromptPrefix,
    /// Hash of all that the requests of one conversation have in common.
    pub(super) session: BlockHash,
    pub(super) output_tokens: u32,
    pub(super) entry: usize,
}

/// How a trace is drawn.
#[derive(Debug, Clone, Copy)]
pub(super) struct TraceShape {
    pub(super) requests_per_second: f64,
    pub(super) seconds: f64,
    pub(super) system_prompts: usize,
    pub(super) entries: usize,
}

/// A conversation's next request.
#[derive(Debug, Clone)]
struct PendingTurn {
    arrival: f64,
    conversation: u64,
    blocks: Vec<BlockHash>,
    session: BlockHash,
}

impl PendingTurn {
    fn order(&self) -> (u64, u64) {
        (self.arrival.to_bits(), self.conversation)
    }
}

impl PartialEq for PendingTurn {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
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
        self.order().cmp(&other.order())
    }
}

/// Draws the whole trace, in order of arrival.
pub(super) fn draw(shape: TraceShape, rng: &mut ChaCha8Rng) -> Vec<TraceRequest> {
    let prompts = draw_system_prompts(shape.system_prompts, rng);
    let starts_per_second = shape.requests_per_second / MEAN_TURNS;
    let mut pending = BinaryHeap::new();
    // Conversations begin well before the trace, so that it starts in a steady state.
    let mut clock = -10.0 * MEAN_THINK_SECONDS;
    while clock < shape.seconds {
        clock += exponential(1.0 / starts_per_second, rng);
        let blocks = pick_popular(&prompts, rng).clone();
        pending.push(Reverse(first_turn(clock, blocks, rng)));
    }
    let mut requests = Vec::new();
    while let Some(Reverse(turn)) = pending.pop() {
        if turn.arrival >= shape.seconds {
            break;
        }
        let request = to_request(&turn, shape, rng);
        if rng.random_bool(1.0 - 1.0 / MEAN_TURNS) {
            pending.push(Reverse(next_turn(turn, &request, rng)));
        }
        if request.arrival >= 0.0 {
            requests.push(request);
        }
    }
    requests
}

/// Draws from an exponential distribution of this mean.
pub(super) fn exponential(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn draw_system_prompts(count: usize, rng: &mut ChaCha8Rng) -> Vec<Vec<BlockHash>> {
    (0..count)
        .map(|_| draw_blocks(rng.random_range(4..=16), rng))
        .collect()
}

fn draw_blocks(count: usize, rng: &mut ChaCha8Rng) -> Vec<BlockHash> {
    (0..count).map(|_| BlockHash(rng.random())).collect()
}

fn pick_popular<'a>(prompts: &'a [Vec<BlockHash>], rng: &mut ChaCha8Rng) -> &'a Vec<BlockHash> {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-POPULARITY_EXPONENT);
    let total: f64 = (0..prompts.len()).map(weight).sum();
    let mut draw = rng.random::<f64>() * total;
    for (rank, prompt) in prompts.iter().enumerate() {
        draw -= weight(rank);
        if draw <= 0.0 {
            return prompt;
        }
    }
    &prompts[0]
}

fn first_turn(arrival: f64, mut blocks: Vec<BlockHash>, rng: &mut ChaCha8Rng) -> PendingTurn {
    blocks.extend(draw_blocks(rng.random_range(1..=3), rng));
    PendingTurn {
        arrival,
        conversation: rng.random(),
        session: blocks[blocks.len() - 1],
        blocks,
    }
}

fn to_request(turn: &PendingTurn, shape: TraceShape, rng: &mut ChaCha8Rng) -> TraceRequest {
    TraceRequest {
        arrival: turn.arrival,
        conversation: turn.conversation,
        prefix: PromptPrefix::from_blocks(turn.blocks.iter().copied())
            .with_conversation_hash(turn.session),
        session: turn.session,
        output_tokens: rng.random_range(20..=180),
        entry: rng.random_range(0..shape.entries),
    }
}

fn next_turn(turn: PendingTurn, request: &TraceRequest, rng: &mut ChaCha8Rng) -> PendingTurn {
    let answer_seconds = f64::from(request.output_tokens) * super::engine::TOKEN_SECONDS;
    let mut blocks = turn.blocks;
    blocks.extend(draw_blocks(rng.random_range(1..=4), rng));
    PendingTurn {
        arrival: turn.arrival + answer_seconds + exponential(MEAN_THINK_SECONDS, rng),
        blocks,
        ..turn
    }
}
