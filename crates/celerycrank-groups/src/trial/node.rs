//! One VM of a trial: an agent's life beside an engine.

use std::{collections::BTreeMap, sync::Arc};

use celerycrank_types::{TimePoint, VmId};

use crate::{
    AgentIncarnation, EngineReport, ExpertMap, FormationTimes, GroupAgent, GroupMessage, GroupSeat,
    MemberIndex, MemberSeat, RecordAnswer, RecordCall, SwitchTimes, trial::TrialEngine,
};

/// Something that reaches an agent.
#[derive(Debug, Clone)]
pub(crate) enum NodeInput {
    /// A message of a member.
    Message(MemberIndex, GroupMessage),
    /// A report of the engine to one life of the agent.
    Report(AgentIncarnation, EngineReport),
    /// An answer of the key-value service to one life of the agent.
    Answer(AgentIncarnation, RecordCall, RecordAnswer),
}

/// One VM: an engine, and the agent beside it.
#[derive(Debug)]
pub(crate) struct TrialNode {
    pub(crate) index: MemberIndex,
    pub(crate) vm: VmId,
    pub(crate) life: AgentIncarnation,
    pub(crate) agent: GroupAgent,
    pub(crate) engine: TrialEngine,
    /// The agent process does nothing before this time.
    pub(crate) frozen_until: TimePoint,
    /// The ranks begin no step before this time.
    pub(crate) stalled_until: TimePoint,
    /// What has reached the frozen agent.
    pub(crate) inbox: Vec<NodeInput>,
    /// When the last order of each life reaches the engine; orders keep their sequence.
    pub(crate) order_at: BTreeMap<AgentIncarnation, TimePoint>,
    /// Whether the VM was replaced.
    pub(crate) is_replaced: bool,
}

/// What every node of a trial shares.
#[derive(Debug, Clone)]
pub(crate) struct NodeSettings {
    pub(crate) members: usize,
    pub(crate) first_map: Arc<ExpertMap>,
    pub(crate) formation: FormationTimes,
    pub(crate) switch: SwitchTimes,
}

impl TrialNode {
    /// A new VM whose agent starts now.
    pub(crate) fn new(
        index: MemberIndex,
        vm: VmId,
        life: AgentIncarnation,
        settings: &NodeSettings,
        now: TimePoint,
    ) -> Self {
        Self {
            index,
            agent: settings.agent(index, &vm, life, now),
            vm,
            life,
            engine: TrialEngine::default(),
            frozen_until: now,
            stalled_until: now,
            inbox: Vec::new(),
            order_at: BTreeMap::new(),
            is_replaced: false,
        }
    }

    /// Replaces the agent process by a new one; the engine runs on.
    pub(crate) fn restart(
        &mut self,
        life: AgentIncarnation,
        settings: &NodeSettings,
        now: TimePoint,
    ) {
        self.life = life;
        self.agent = settings.agent(self.index, &self.vm, life, now);
        self.frozen_until = now;
        self.inbox.clear();
    }
}

impl NodeSettings {
    fn agent(
        &self,
        index: MemberIndex,
        vm: &VmId,
        life: AgentIncarnation,
        now: TimePoint,
    ) -> GroupAgent {
        let seat = GroupSeat::builder()
            .index(index)
            .members(self.members)
            .seat(MemberSeat {
                vm: vm.clone(),
                life,
            })
            .first_map(Arc::clone(&self.first_map))
            .formation(self.formation)
            .switch(self.switch)
            .build();
        GroupAgent::new(seat, now)
    }
}
