//! Claims of the fake agents at the key-value service.

use celerycrank_types::Incarnation;

use super::{
    caller::{CallPlan, CallRule},
    entry::key_seconds,
    fault::AgentIndex,
    message::Message,
    run::ModelRun,
};
use crate::{
    AttemptEvent, CallKey, ClaimAnswer, ClaimOperation, ClaimOutput, ClaimReply, OperationId,
};

impl ModelRun<'_> {
    /// Handles a reply of the key-value service on an agent.
    pub(super) fn handle_key_value_reply(
        &mut self,
        agent: AgentIndex,
        incarnation: Incarnation,
        operation: OperationId,
        reply: ClaimReply,
    ) {
        let node = &mut self.agents[agent.0];
        if !node.is_alive || node.ledger.incarnation() != incarnation {
            return;
        }
        if node.frozen_until > self.now {
            let message = Message::FromKeyValue(agent, incarnation, operation, reply);
            node.inbox.push(message);
            return;
        }
        let now = node.clock(self.now);
        let outputs = node.claims.handle(operation, reply, now);
        self.handle_claim_outputs(agent, outputs);
    }

    pub(super) fn tick_agent(&mut self, agent: AgentIndex) {
        let node = &mut self.agents[agent.0];
        if !node.is_alive {
            return;
        }
        if node.frozen_until > self.now {
            let until = node.frozen_until;
            self.plan_tick(agent, until);
            return;
        }
        let now = node.clock(self.now);
        let outputs = node.claims.tick(now);
        self.handle_claim_outputs(agent, outputs);
    }

    /// Carries out the outputs of an agent's claim ledger.
    pub(super) fn handle_claim_outputs(&mut self, agent: AgentIndex, outputs: Vec<ClaimOutput>) {
        for output in outputs {
            match output {
                ClaimOutput::Operation(operation) => self.send_operation(agent, operation),
                ClaimOutput::Answer(claimant, answer) => {
                    let jobs = &self.agents[agent.0].jobs;
                    let attempt = jobs
                        .iter()
                        .find_map(|(attempt, job)| (job.claimant == claimant).then_some(*attempt));
                    if answer == ClaimAnswer::Unavailable {
                        self.agents[agent.0].unstarted_claimants.insert(claimant);
                    }
                    if let Some(attempt) = attempt {
                        self.trace_line(&format!("{attempt} claim: {answer:?}"));
                        self.handle_attempt_event(
                            agent,
                            attempt,
                            AttemptEvent::Claimed(answer),
                            None,
                        );
                    }
                }
            }
        }
        let node = &self.agents[agent.0];
        if let Some(at) = node.claims.wake_at() {
            self.plan_tick(agent, node.model_time(at));
        }
    }

    fn send_operation(&mut self, agent: AgentIndex, operation: ClaimOperation) {
        let incarnation = self.agents[agent.0].ledger.incarnation();
        self.send(Message::ToKeyValue(agent, incarnation, operation));
    }
}

/// Returns the idempotency key of a call.
pub(super) fn call_key(plan: &CallPlan) -> CallKey {
    let number = match plan.rule {
        CallRule::Keyed(key) => key.0,
        CallRule::Once | CallRule::Repeatable => u32::MAX,
    };
    let text = format!("{}-{number}", key_seconds(plan.key_time));
    let account = format!("account{}", plan.account)
        .parse()
        .expect("the name of a fake account is a valid ID");
    let service = "ledger"
        .parse()
        .expect("the name of a fake service is a valid ID");
    CallKey::parse(&account, &service, &text).expect("the key of a planned call contains a time")
}
