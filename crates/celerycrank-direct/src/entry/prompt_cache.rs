//! Applies what the entry knows of the prompts that backend servers still hold.

use std::cell::RefCell;

use celerycrank_config::{DirectEntrySettings, PromptCacheSettings};
use celerycrank_http::RequestHead;
use celerycrank_platform::{RequestMetadata, read_part_tokens};
use celerycrank_routing::{
    HolderKey, PromptBeginnings, PromptHolders, PromptIndex, PromptRetention,
};
use celerycrank_serving::{
    BackendState, BackendTable, EngineProfile, GroupLoads, PromptOutcome, PromptWeighing,
};
use celerycrank_types::{BackendId, ServiceId, TimePoint, TimeSpan};
use serde::Serialize;
use smallvec::SmallVec;

use super::{
    request::AdmittedRequest,
    state::{ConfigurationInForce, EntryState},
};

/// The index of held prompts; empty while the settings do not say that engines keep any.
#[derive(Debug)]
pub(crate) struct PromptCache {
    index: RefCell<Option<PromptIndex>>,
    groups: RefCell<GroupLoads>,
}

/// The state of the prompt cache, for the operators.
#[derive(Debug, Serialize)]
pub(crate) struct PromptCacheStatus {
    is_active: bool,
    retention: Option<String>,
    memory: Option<String>,
    /// Number of beginnings of prompts whose holders are known.
    beginnings: usize,
}

/// The probable holders of the prompt of one request, and what is needed to weigh them.
pub(super) struct HeldPrompt {
    holders: PromptHolders,
    profile: EngineProfile,
    prompt_tokens: u64,
    target_left: TimeSpan,
}

impl HeldPrompt {
    pub(super) fn weighing(&self) -> Option<PromptWeighing<'_>> {
        PromptWeighing::new(
            &self.holders,
            &self.profile,
            self.prompt_tokens,
            self.target_left,
        )
    }
}

impl PromptCache {
    pub(super) fn new(settings: Option<PromptCacheSettings>) -> Self {
        Self {
            index: RefCell::new(settings.map(|_| PromptIndex::default())),
            groups: RefCell::default(),
        }
    }

    /// Updates the loads of lock-step groups after a report.
    pub(super) fn note_load(&self, backends: &RefCell<BackendTable>, now: TimePoint) {
        if self.index.borrow().is_some() {
            let mut groups = self.groups.borrow_mut();
            groups.refresh(&mut backends.borrow_mut(), now);
        }
    }

    /// Applies changed settings; what is known of held prompts stays, unless engines keep none.
    pub(super) fn reload(&self, settings: Option<PromptCacheSettings>) {
        let mut index = self.index.borrow_mut();
        *index = settings.map(|_| index.take().unwrap_or_default());
        Self::log(settings);
    }

    /// Logs whether the entry considers held prompts.
    pub(super) fn log(settings: Option<PromptCacheSettings>) {
        match settings {
            Some(PromptCacheSettings { retention, memory }) => {
                tracing::info!(%retention, %memory, "prompts that engines hold are considered");
            }
            None => {
                tracing::info!(
                    "prompts that engines hold are not considered; the settings have no prompt_cache"
                );
            }
        }
    }

    pub(super) fn status(&self, settings: &DirectEntrySettings) -> PromptCacheStatus {
        let index = self.index.borrow();
        let settings = settings.prompt_cache;
        PromptCacheStatus {
            is_active: index.is_some(),
            retention: settings.map(|it| it.retention.to_string()),
            memory: settings.map(|it| it.memory.to_string()),
            beginnings: index.as_ref().map_or(0, PromptIndex::len),
        }
    }
}

impl EntryState {
    /// Returns the beginnings of a prompt, if the engines of the service keep prompts.
    ///
    /// A prompt without shared parts has none, but evicts others.
    pub(super) fn prompt_beginnings(
        &self,
        in_force: &ConfigurationInForce,
        service: &ServiceId,
        metadata: &RequestMetadata,
        head: &RequestHead,
    ) -> Option<PromptBeginnings> {
        self.settings().prompt_cache?;
        in_force.engines.get(service)?;
        let mut tokens = SmallVec::new();
        if !metadata.shared_parts.is_empty() {
            tokens = read_part_tokens(head).unwrap_or_else(|error| {
                tracing::info!(
                    request = %metadata.attempt,
                    fault = %error,
                    "sizes of prompt parts are ignored"
                );
                SmallVec::new()
            });
        }
        let parts = metadata.shared_parts.iter().copied().zip(tokens);
        let prompt_tokens = metadata.prompt.map(|prompt| prompt.prompt_tokens);
        Some(PromptBeginnings::new(service, parts, prompt_tokens))
    }

    /// Returns the probable holders of a prompt.
    ///
    /// After a failed attempt, only the load counts.
    pub(super) fn held_prompt(
        &self,
        request: &AdmittedRequest,
        tried: &[BackendId],
        now: TimePoint,
    ) -> Option<HeldPrompt> {
        let beginnings = request.beginnings.as_ref()?;
        if !tried.is_empty() {
            return None;
        }
        let (profile, retention) = self.retention(request)?;
        let index = self.prompt_cache.index.borrow();
        let holders = index.as_ref()?.holders(beginnings, retention, now);
        (!holders.is_empty()).then(|| HeldPrompt {
            holders,
            profile,
            prompt_tokens: beginnings.tokens(),
            target_left: (request.arrival + request.route.target).since(now),
        })
    }

    /// Records that a prompt is sent to a backend server.
    pub(super) fn note_prompt_sent(&self, request: &AdmittedRequest, holder: HolderKey) {
        let Some(beginnings) = &request.beginnings else {
            return;
        };
        let Some((profile, retention)) = self.retention(request) else {
            return;
        };
        let now = self.clock.now();
        let entries = self.entry_count.borrow_mut().get(now);
        if let Some(index) = self.prompt_cache.index.borrow_mut().as_mut() {
            let answer_tokens = whole_tokens(profile.mean_answer_tokens);
            index.note_sent(beginnings, holder, answer_tokens, entries, retention, now);
        }
    }

    /// Records that an answer to a prompt has begun.
    pub(super) fn note_prompt_begun(&self, request: &AdmittedRequest, holder: HolderKey) {
        let Some(beginnings) = &request.beginnings else {
            return;
        };
        if let Some(index) = self.prompt_cache.index.borrow_mut().as_mut() {
            index.note_begun(beginnings, holder, self.clock.now());
        }
    }

    /// Counts what became of the probable holders of a prompt.
    pub(super) fn note_prompt_outcome(
        &self,
        request: &AdmittedRequest,
        chosen: &BackendState,
        outcome: PromptOutcome,
    ) {
        match outcome {
            PromptOutcome::Holder { saved_tokens } => {
                self.metrics.prompts.holder_requests.inc();
                self.metrics.prompts.saved_tokens.inc_by(saved_tokens);
            }
            PromptOutcome::Outweighed => self.metrics.prompts.outweighed_holders.inc(),
            PromptOutcome::NoCandidate => {}
        }
        tracing::debug!(
            request = %request.attempt,
            backend = %chosen.registration.backend,
            why = %outcome,
            "holders of the prompt considered"
        );
    }

    /// The engines of the requested service, and what they keep.
    fn retention(&self, request: &AdmittedRequest) -> Option<(EngineProfile, PromptRetention)> {
        let settings = self.settings().prompt_cache?;
        let in_force = self.in_force()?;
        let profile = *in_force.engines.get(&request.service)?;
        let memory = profile.kv_cache_tokens as f64 * settings.memory.get();
        let retention = PromptRetention {
            span: settings.retention,
            tokens: whole_tokens(memory),
        };
        Some((profile, retention))
    }
}

/// Rounds a number of tokens down; a negative one is zero.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates"
)]
fn whole_tokens(tokens: f64) -> u64 {
    tokens as u64
}
