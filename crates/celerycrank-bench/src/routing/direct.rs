//! The direct entry's choice, with and without the prompts that backend servers hold.

use std::net::SocketAddr;

use celerycrank_routing::{
    BlockHash, HolderKey, LoadReport, PromptBeginnings, PromptIndex, PromptRetention,
};
use celerycrank_serving::{
    BackendRegistration, BackendTable, ChoiceQuery, EngineProfile, LoadLimit,
    LoadReport as AgentReport, PromptWeighing, RegistrationChange, RegistrationState,
    choose_backend,
};
use celerycrank_types::{DomainId, PromptPartId, ServiceId, TimePoint, TimeSpan};
use rand_chacha::ChaCha8Rng;

use super::{engine, policy::worker_name};

/// Latency target of the requests.
const TARGET: TimeSpan = TimeSpan::from_millis(super::TARGET_MILLIS);

/// The engines evict prompts only for want of memory.
const RETENTION: PromptRetention = PromptRetention {
    span: TimeSpan::from_secs(3_600),
    tokens: engine::CACHE_BLOCKS as u64 * engine::BLOCK_TOKENS,
};

/// Mean length of the answers of the trace, in tokens.
const MEAN_ANSWER_TOKENS: u64 = 100;

/// The view of one direct entry.
#[derive(Debug)]
pub(super) struct DirectView {
    table: BackendTable,
    /// `None` if the choice goes by load alone.
    index: Option<PromptIndex>,
    profile: EngineProfile,
    service: ServiceId,
    domain: DomainId,
    /// The incarnations of the workers.
    incarnations: Vec<u64>,
    /// Number of entries.
    entries: u32,
    /// The limit on what a worker may hold.
    load_limit: Option<LoadLimit>,
}

impl DirectView {
    pub(super) fn new(workers: usize, entries: u32, is_weighed: bool) -> Self {
        let mut view = Self {
            table: BackendTable::default(),
            index: is_weighed.then(PromptIndex::default),
            profile: EngineProfile {
                slots: engine::SLOTS,
                kv_cache_tokens: RETENTION.tokens,
                step: TimeSpan::from_secs_f64(engine::TOKEN_SECONDS),
                step_per_request: TimeSpan::ZERO,
                steps_per_pass: 1,
                prefill_rate: engine::BLOCK_TOKENS as f64 / engine::BLOCK_SECONDS,
                mean_answer_tokens: MEAN_ANSWER_TOKENS as f64,
                group: None,
            },
            service: "drafting".parse().expect("a valid name"),
            domain: "estremoz".parse().expect("a valid name"),
            incarnations: vec![0; workers],
            entries,
            load_limit: None,
        };
        for worker in 0..workers {
            view.set_ready(TimePoint(0), worker, true);
        }
        view
    }

    /// Limits what the workers may hold, as for the requests of an urgency in between.
    pub(super) const fn with_load_limit(mut self) -> Self {
        self.load_limit = Some(LoadLimit {
            requests: engine::SLOTS,
            entries: self.entries,
            part: 0.9,
            reserve: 3.0,
            max_reserve: 0.1,
        });
        self
    }

    /// Registers a new incarnation of a worker, or removes its registration.
    pub(super) fn set_ready(&mut self, now: TimePoint, worker: usize, is_ready: bool) {
        let port = u16::try_from(worker + 1).expect("there are fewer workers than ports");
        let backend = worker_name(worker);
        let state = if is_ready {
            self.incarnations[worker] += 1;
            RegistrationState::Ready
        } else {
            RegistrationState::Draining
        };
        let registration = BackendRegistration {
            backend,
            service: self.service.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            domain: self.domain.clone(),
            slots: engine::SLOTS,
            state,
            incarnation: self.incarnations[worker],
            warm_up_remaining: TimeSpan::ZERO,
        };
        let change = RegistrationChange::Written(registration);
        self.table.apply(change, now);
    }

    pub(super) fn choose(
        &self,
        now: TimePoint,
        blocks: &[BlockHash],
        rng: &mut ChaCha8Rng,
    ) -> usize {
        let index = self.index.as_ref();
        let prompt = index.map(|_| self.beginnings(blocks));
        let holders = index.zip(prompt.as_ref());
        let holders = holders.map(|(index, prompt)| index.holders(prompt, RETENTION, now));
        let weighing = prompt.as_ref().zip(holders.as_ref());
        let weighing = weighing.and_then(|(prompt, holders)| {
            PromptWeighing::new(holders, &self.profile, prompt.tokens(), TARGET)
        });
        let query = ChoiceQuery {
            load_limit: self.load_limit,
            service: &self.service,
            domain: &self.domain,
            tried: &[],
            now,
            prompt: weighing.as_ref(),
        };
        let chosen = choose_backend(&self.table, &query, rng).chosen();
        let registration = &chosen.expect("a worker is always ready").registration;
        usize::from(registration.address.port()) - 1
    }

    pub(super) fn note_sent(&mut self, now: TimePoint, worker: usize, blocks: &[BlockHash]) {
        self.table.begin(&worker_name(worker), now);
        let (prompt, holder) = (self.beginnings(blocks), self.holder(worker));
        if let Some(index) = &mut self.index {
            let answer = MEAN_ANSWER_TOKENS;
            index.note_sent(&prompt, holder, answer, self.entries, RETENTION, now);
        }
    }

    pub(super) fn note_begun(&mut self, now: TimePoint, worker: usize, blocks: &[BlockHash]) {
        let (prompt, holder) = (self.beginnings(blocks), self.holder(worker));
        if let Some(index) = &mut self.index {
            index.note_begun(&prompt, holder, now);
        }
    }

    pub(super) fn note_finished(&mut self, worker: usize) {
        self.table.finish(&worker_name(worker));
    }

    pub(super) fn note_load(&mut self, now: TimePoint, worker: usize, report: LoadReport) {
        let report = AgentReport {
            running: report.running,
            waiting: report.waiting,
            pace: 1.0,
            group: None,
            is_open: true,
            entries: self.entries,
        };
        if let Some(state) = self.table.find_mut(&worker_name(worker)) {
            state.load.observe(report, now);
        }
    }

    fn holder(&self, worker: usize) -> HolderKey {
        HolderKey::new(&worker_name(worker), self.incarnations[worker])
    }

    /// The last block of a prompt belongs to its request alone.
    fn beginnings(&self, blocks: &[BlockHash]) -> PromptBeginnings {
        let shared = blocks.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared = shared.iter();
        let parts = shared.map(|block| (PromptPartId(block.0.into()), engine::BLOCK_TOKENS));
        let tokens = blocks.len() as u64 * engine::BLOCK_TOKENS;
        PromptBeginnings::new(&self.service, parts, Some(tokens))
    }
}
