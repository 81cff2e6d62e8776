//! What is known of each VM, merged from all evidence by one rule.
//!
//! The order of trust, strongest first: the VM was replaced or left the list; the VM
//! list's leaving mark; the operators' announcements; what requests show; the VM list's
//! live mark. The chart `charts/member.json` is the rule. An agent's own word that it
//! takes no work travels with each of its replies and holds until its next one.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::LazyLock,
};

use celerycrank_chart::{ChartStep, StateChart};
use celerycrank_types::{
    BackendId, DomainId, GroupId, ModelId, ServiceId, TimePoint, TimeSpan, VmId,
};
use serde::{Deserialize, Serialize};

use crate::{PeerDescriptor, StopTarget};

static CHART: LazyLock<StateChart<MemberState, MemberEvidence, MemberAction>> =
    LazyLock::new(|| {
        StateChart::parse(include_str!("../charts/member.json")).expect("the member chart is valid")
    });

/// What a VM does in the deployment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// It runs an entry.
    Entry,
    /// It runs an agent beside a model engine.
    Engine(ModelId),
    /// It runs an agent beside a plain service.
    Service(ServiceId),
}

impl VmRole {
    /// Whether the VM runs an entry.
    #[must_use]
    pub const fn is_entry(&self) -> bool {
        matches!(self, Self::Entry)
    }
}

/// The unchanging descriptors of one life of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmDescriptor {
    /// The VM's id; a VM replaced at the same address has another.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where its process listens for peers.
    pub address: SocketAddr,
    /// What it does.
    pub role: VmRole,
    /// The backend server on it, where that is known.
    pub backend: Option<BackendId>,
    /// The lock-step group that it belongs to, if any.
    pub group: Option<GroupId>,
}

impl VmDescriptor {
    /// The VM as the watcher roster sees it.
    #[must_use]
    pub fn peer(&self) -> PeerDescriptor {
        PeerDescriptor {
            vm: self.vm.clone(),
            domain: self.domain.clone(),
        }
    }
}

/// How a VM stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Nothing is known.
    Unseen,
    /// It takes a growing part of its work.
    Ramping,
    /// It takes work.
    Live,
    /// It failed and gets no work until it is probed.
    Suspect,
    /// It failed and may get one request, to see whether it is back.
    Probing,
    /// Operators announced its stop; it gets no new work.
    Stopping,
    /// It is leaving and never gets new work again.
    Leaving,
    /// It no longer exists.
    Gone,
}

impl MemberState {
    /// Whether new work may be sent.
    #[must_use]
    pub const fn accepts_work(self) -> bool {
        matches!(self, Self::Ramping | Self::Live | Self::Probing)
    }
}

/// One piece of evidence about a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberEvidence {
    /// The VM list names it as live.
    Listed,
    /// The VM list names it as leaving.
    ListLeaving,
    /// The VM list no longer names it.
    ListGone,
    /// Another VM is live at its address.
    Replaced,
    /// An operator's announced stop has begun.
    StopAnnounced,
    /// The announcement was withdrawn.
    StopWithdrawn,
    /// Its agent answered.
    Answered,
    /// A connection to it failed, or it fell silent.
    Failed,
    /// Its slow start has ended.
    RampEnded,
    /// It is time to probe it.
    ProbeDue,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum MemberAction {
    StartRamp,
    ScheduleProbe,
    ClearFailures,
}

/// The part of its usual work that a member gets, in thousandths.
///
/// Invariant: from 0 to 1000.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RampWeight(u16);

impl RampWeight {
    /// The whole of the usual work.
    pub const FULL: Self = Self(1_000);
    /// No work.
    pub const NONE: Self = Self(0);
    /// The least weight of a member that takes work.
    const MIN: Self = Self(50);

    /// The weight in thousandths.
    #[must_use]
    pub const fn thousandths(self) -> u16 {
        self.0
    }
}

/// Spans that govern suspicion and slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberTimings {
    /// Length of the slow start.
    pub ramp: TimeSpan,
    /// Wait before the first probe; doubled after each failure.
    pub initial_probe_delay: TimeSpan,
    /// Longest wait between probes.
    pub max_probe_delay: TimeSpan,
    /// A VM that answered within this span is not taken as gone because the list, which
    /// lags, does not name it.
    pub list_lag: TimeSpan,
    /// How long a gone VM is remembered, so that a late list cannot bring it back.
    pub tombstone_ttl: TimeSpan,
}

impl Default for MemberTimings {
    fn default() -> Self {
        Self {
            ramp: TimeSpan::from_secs(10),
            initial_probe_delay: TimeSpan::from_secs(1),
            max_probe_delay: TimeSpan::from_secs(15),
            list_lag: TimeSpan::from_secs(30),
            tombstone_ttl: TimeSpan::from_secs(600),
        }
    }
}

/// One member as the router sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberView<'table> {
    /// The descriptor of the VM.
    pub descriptor: &'table VmDescriptor,
    /// How it stands.
    pub state: MemberState,
    /// The part of its usual work that it gets.
    pub weight: RampWeight,
}

#[derive(Debug)]
struct MemberRecord {
    descriptor: VmDescriptor,
    /// Invariant: once `Leaving`, only `Gone` follows.
    state: MemberState,
    ramp_since: TimePoint,
    failures: u32,
    probe_at: TimePoint,
    answered_at: Option<TimePoint>,
    /// Invariant: present exactly while the state is `Gone`.
    gone_at: Option<TimePoint>,
}

/// Every VM that this process knows.
#[derive(Debug, Default)]
pub struct MemberTable {
    timings: MemberTimings,
    /// Invariant: at most one record that is not gone at each address.
    records: BTreeMap<VmId, MemberRecord>,
}

impl MemberTable {
    /// A table that knows nobody.
    #[must_use]
    pub fn new(timings: MemberTimings) -> Self {
        Self {
            timings,
            records: BTreeMap::new(),
        }
    }

    /// Takes the descriptor of one VM that is known to be live.
    pub fn on_live_vm(&mut self, descriptor: &VmDescriptor, now: TimePoint) {
        self.insert(descriptor, now);
        self.observe(&descriptor.vm, MemberEvidence::Listed, now);
    }

    /// Takes one whole reading of the VM list.
    ///
    /// Each descriptor comes with whether the list marks the VM as leaving. Members that the
    /// reading does not name are gone, unless they answered lately.
    pub fn on_list(&mut self, descriptors: &[(VmDescriptor, bool)], now: TimePoint) {
        for (descriptor, leaving) in descriptors {
            let evidence = if *leaving {
                MemberEvidence::ListLeaving
            } else {
                MemberEvidence::Listed
            };
            self.insert(descriptor, now);
            self.observe(&descriptor.vm, evidence, now);
        }
        let named = descriptors
            .iter()
            .map(|(descriptor, _)| &descriptor.vm)
            .collect::<BTreeSet<_>>();
        let missing = self
            .records
            .iter()
            .filter(|(vm, record)| !named.contains(vm) && !record.answered(self.timings, now))
            .map(|(vm, _)| vm.clone())
            .collect::<Vec<_>>();
        for vm in missing {
            self.observe(&vm, MemberEvidence::ListGone, now);
        }
    }

    /// Takes one piece of evidence; evidence about an unknown VM is dropped.
    ///
    /// # Panics
    ///
    /// Panics if the chart lets a leaving VM take work again.
    pub fn observe(&mut self, vm: &VmId, evidence: MemberEvidence, now: TimePoint) {
        let timings = self.timings;
        let Some(record) = self.records.get_mut(vm) else {
            return;
        };
        if evidence == MemberEvidence::Answered {
            record.answered_at = Some(now);
        }
        let ChartStep::Moved { state, actions } = CHART.step(record.state, evidence) else {
            return;
        };
        let may_change = !matches!(record.state, MemberState::Leaving);
        assert!(
            may_change || state == MemberState::Gone,
            "a leaving VM never takes work again"
        );
        record.state = state;
        if state == MemberState::Gone {
            record.gone_at = Some(now);
        }
        for action in actions {
            record.perform(*action, timings, now);
        }
    }

    /// Takes the planned stops that have begun.
    pub fn on_stops(&mut self, active: &[StopTarget], now: TimePoint) {
        let evidence = |record: &MemberRecord| {
            let covered = active
                .iter()
                .any(|target| target.covers(&record.descriptor));
            match (covered, record.state) {
                (true, state) if state != MemberState::Stopping => {
                    Some(MemberEvidence::StopAnnounced)
                }
                (false, MemberState::Stopping) => Some(MemberEvidence::StopWithdrawn),
                _ => None,
            }
        };
        let changed = self
            .present()
            .filter_map(|record| Some((record.descriptor.vm.clone(), evidence(record)?)))
            .collect::<Vec<_>>();
        for (vm, evidence) in changed {
            self.observe(&vm, evidence, now);
        }
    }

    /// Ends slow starts, begins probes whose time has come and forgets VMs long gone.
    pub fn on_tick(&mut self, now: TimePoint) {
        let tombstone_ttl = self.timings.tombstone_ttl;
        self.records.retain(|_, record| {
            record
                .gone_at
                .is_none_or(|at| now.since(at) < tombstone_ttl)
        });
        let due = self
            .records
            .values()
            .filter_map(|record| {
                Some((record.descriptor.vm.clone(), record.due(self.timings, now)?))
            })
            .collect::<Vec<_>>();
        for (vm, evidence) in due {
            self.observe(&vm, evidence, now);
        }
    }

    /// How a VM stands.
    #[must_use]
    pub fn state(&self, vm: &VmId) -> MemberState {
        self.records
            .get(vm)
            .map_or(MemberState::Unseen, |record| record.state)
    }

    /// The descriptor of one VM that is not gone.
    #[must_use]
    pub fn descriptor(&self, vm: &VmId) -> Option<&VmDescriptor> {
        let record = self
            .records
            .get(vm)
            .filter(|record| record.state != MemberState::Gone);
        record.map(|record| &record.descriptor)
    }

    /// The descriptors of every VM that is due to be probed.
    pub fn probing(&self) -> impl Iterator<Item = &VmDescriptor> {
        let probing = self
            .present()
            .filter(|record| record.state == MemberState::Probing);
        probing.map(|record| &record.descriptor)
    }

    /// The descriptors of every VM that is not gone, in order of id.
    pub fn descriptors(&self) -> impl Iterator<Item = &VmDescriptor> {
        self.present().map(|record| &record.descriptor)
    }

    /// Every VM that is not gone as the router sees it, in order of id.
    pub fn views(&self, now: TimePoint) -> impl Iterator<Item = MemberView<'_>> {
        self.present().map(move |record| MemberView {
            descriptor: &record.descriptor,
            state: record.state,
            weight: record.weight(self.timings, now),
        })
    }

    fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records
            .values()
            .filter(|record| record.state != MemberState::Gone)
    }

    fn insert(&mut self, descriptor: &VmDescriptor, now: TimePoint) {
        if let Some(record) = self.records.get_mut(&descriptor.vm) {
            // A process may listen elsewhere after a restart.
            record.descriptor.address = descriptor.address;
            if descriptor.backend.is_some() {
                record.descriptor.backend.clone_from(&descriptor.backend);
            }
            return;
        }
        let replaced = self
            .records
            .values()
            .filter(|record| {
                record.descriptor.address == descriptor.address && record.gone_at.is_none()
            })
            .map(|record| record.descriptor.vm.clone())
            .collect::<Vec<_>>();
        for vm in replaced {
            self.observe(&vm, MemberEvidence::Replaced, now);
        }
        let record = MemberRecord {
            descriptor: descriptor.clone(),
            state: CHART.initial(),
            ramp_since: now,
            failures: 0,
            probe_at: now,
            answered_at: None,
            gone_at: None,
        };
        self.records.insert(descriptor.vm.clone(), record);
    }
}

impl MemberRecord {
    fn perform(&mut self, action: MemberAction, timings: MemberTimings, now: TimePoint) {
        match action {
            MemberAction::StartRamp => self.ramp_since = now,
            MemberAction::ClearFailures => self.failures = 0,
            MemberAction::ScheduleProbe => {
                let doublings = self.failures.min(u64::BITS - 1);
                let wait = timings.initial_probe_delay.0.saturating_mul(1 << doublings);
                self.probe_at = now + TimeSpan(wait.min(timings.max_probe_delay.0));
                self.failures = self.failures.saturating_add(1);
            }
        }
    }

    fn answered(&self, timings: MemberTimings, now: TimePoint) -> bool {
        self.answered_at
            .is_some_and(|at| now.since(at) < timings.list_lag)
    }

    fn due(&self, timings: MemberTimings, now: TimePoint) -> Option<MemberEvidence> {
        match self.state {
            MemberState::Ramping if now.since(self.ramp_since) >= timings.ramp => {
                Some(MemberEvidence::RampEnded)
            }
            MemberState::Suspect if now >= self.probe_at => Some(MemberEvidence::ProbeDue),
            _ => None,
        }
    }

    fn weight(&self, timings: MemberTimings, now: TimePoint) -> RampWeight {
        match self.state {
            MemberState::Live => RampWeight::FULL,
            MemberState::Probing => RampWeight::MIN,
            MemberState::Ramping => ramp_weight(now.since(self.ramp_since), timings.ramp),
            _ => RampWeight::NONE,
        }
    }
}

fn ramp_weight(elapsed: TimeSpan, ramp: TimeSpan) -> RampWeight {
    let full = u64::from(RampWeight::FULL.0);
    let part = (elapsed.0.saturating_mul(full) / ramp.0.max(1)).min(full);
    let part = u16::try_from(part).unwrap_or(RampWeight::FULL.0);
    RampWeight(part.max(RampWeight::MIN.0))
}
