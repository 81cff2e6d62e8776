//! A simulated VM: an engine and the agent that drives it.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_types::{TimePoint, VmId};

use crate::{
    AgentIncarnation, EngineReport, ExpertMap, FormationTimes, GroupAgent, GroupAgentSettings,
    GroupMessage, MemberAssignment, MemberIndex, RecordAnswer, RecordRequestId, SwitchTimes,
    simulation::SimulatedEngine,
};

/// An input of an agent.
#[derive(Debug, Clone)]
pub(crate) enum NodeInput {
    /// A message from a member.
    Message(MemberIndex, GroupMessage),
    /// A report of the engine to one incarnation of the agent.
    Report(AgentIncarnation, EngineReport),
    /// An answer of the key-value service to one incarnation of the agent.
    Answer(AgentIncarnation, RecordRequestId, RecordAnswer),
}

/// A simulated VM: an engine and the agent that drives it.
#[derive(Debug)]
pub(crate) struct SimulatedNode {
    pub(crate) index: MemberIndex,
    pub(crate) vm: VmId,
    pub(crate) agent_incarnation: AgentIncarnation,
    pub(crate) agent: GroupAgent,
    pub(crate) engine: SimulatedEngine,
    /// The agent process does nothing before this time.
    pub(crate) frozen_until: TimePoint,
    /// The ranks begin no step before this time.
    pub(crate) stalled_until: TimePoint,
    /// Inputs that arrived while the agent was frozen.
    pub(crate) inbox: Vec<NodeInput>,
    /// When the latest order of each agent incarnation reaches the engine; keeps the orders of one
    /// incarnation in sequence.
    pub(crate) last_order_arrival: BTreeMap<AgentIncarnation, TimePoint>,
    /// Whether the VM was replaced.
    pub(crate) is_replaced: bool,
}

/// The settings that all nodes share.
#[derive(Debug, Clone)]
pub(crate) struct NodeSettings {
    pub(crate) members: usize,
    pub(crate) first_map: Arc<ExpertMap>,
    pub(crate) formation: FormationTimes,
    pub(crate) switch: SwitchTimes,
}

impl SimulatedNode {
    /// Creates a VM whose agent starts now.
    pub(crate) fn new(
        index: MemberIndex,
        vm: VmId,
        agent_incarnation: AgentIncarnation,
        settings: &NodeSettings,
        now: TimePoint,
    ) -> Self {
        Self {
            index,
            agent: settings.agent(index, &vm, agent_incarnation, now),
            vm,
            agent_incarnation,
            engine: SimulatedEngine::default(),
            frozen_until: now,
            stalled_until: now,
            inbox: Vec::new(),
            last_order_arrival: BTreeMap::new(),
            is_replaced: false,
        }
    }

    /// Replaces the agent process by a new one; the engine keeps running.
    pub(crate) fn restart(
        &mut self,
        agent_incarnation: AgentIncarnation,
        settings: &NodeSettings,
        now: TimePoint,
    ) {
        self.agent_incarnation = agent_incarnation;
        self.agent = settings.agent(self.index, &self.vm, agent_incarnation, now);
        self.frozen_until = now;
        self.inbox.clear();
    }
}

impl NodeSettings {
    fn agent(
        &self,
        index: MemberIndex,
        vm: &VmId,
        agent_incarnation: AgentIncarnation,
        now: TimePoint,
    ) -> GroupAgent {
        let settings = GroupAgentSettings::builder()
            .index(index)
            .members(self.members)
            .assignment(MemberAssignment {
                vm: vm.clone(),
                agent_incarnation,
            })
            .first_map(Arc::clone(&self.first_map))
            .formation(self.formation)
            .switch(self.switch)
            .build();
        GroupAgent::new(settings, now)
    }
}
