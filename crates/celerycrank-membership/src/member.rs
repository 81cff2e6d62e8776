//! The state of each VM, merged from all evidence about it.
//!
//! Evidence takes precedence in this order, strongest first: the VM was replaced or is no longer
//! in the VM list; the list marks it as leaving; operators announced its stop; requests to
//! it succeeded or failed; the list marks it as live. The state chart `charts/member.json`
//! defines the rules. An agent that refuses new work says so in each of its replies; that
//! state holds until its next reply and is not part of the chart.

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

/// The role of a VM in the deployment.
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

/// Identity, address and role of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmDescriptor {
    /// The VM's id. A replacement at the same address has a different id.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The address at which its process listens for peers.
    pub address: SocketAddr,
    /// Its role.
    pub role: VmRole,
    /// The backend server on it, if known.
    pub backend: Option<BackendId>,
    /// The lock-step group that it belongs to, if any.
    pub group: Option<GroupId>,
}

impl VmDescriptor {
    /// The VM's id and failure domain, as used to assign watchers.
    #[must_use]
    pub fn peer(&self) -> PeerDescriptor {
        PeerDescriptor {
            vm: self.vm.clone(),
            domain: self.domain.clone(),
        }
    }
}

/// The state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// No evidence yet.
    Unseen,
    /// It gets an increasing fraction of its usual work (slow start).
    Ramping,
    /// It gets its usual work.
    Live,
    /// It failed and gets no work until the next probe.
    Suspect,
    /// It failed and may get one request that checks whether it has recovered.
    Probing,
    /// Operators announced its stop; it gets no new work.
    Stopping,
    /// It is leaving and never gets new work again.
    Leaving,
    /// It no longer exists.
    Gone,
}

impl MemberState {
    /// Whether new work may be sent to the VM.
    #[must_use]
    pub const fn accepts_work(self) -> bool {
        matches!(self, Self::Ramping | Self::Live | Self::Probing)
    }
}

/// One piece of evidence about a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberEvidence {
    /// The VM list marks it as live.
    Listed,
    /// The VM list marks it as leaving.
    ListLeaving,
    /// The VM list no longer contains it.
    ListGone,
    /// Another VM is live at its address.
    Replaced,
    /// An operator's announced stop has begun.
    StopAnnounced,
    /// The announcement was withdrawn.
    StopWithdrawn,
    /// Its agent answered.
    Answered,
    /// A connection to it failed, or it stopped responding.
    Failed,
    /// Its slow start has ended.
    RampEnded,
    /// Its next probe is due.
    ProbeDue,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum MemberAction {
    StartRamp,
    ScheduleProbe,
    ClearFailures,
}

/// The fraction of its usual work that a member gets, in thousandths.
///
/// Invariant: from 0 to 1000.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RampWeight(u16);

impl RampWeight {
    /// All of the usual work.
    pub const FULL: Self = Self(1_000);
    /// No work.
    pub const NONE: Self = Self(0);
    /// The minimum weight of a member that accepts work.
    const MIN: Self = Self(50);

    /// The weight in thousandths.
    #[must_use]
    pub const fn thousandths(self) -> u16 {
        self.0
    }
}

/// Timing parameters of failure detection and slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberTimings {
    /// Duration of the slow start.
    pub ramp: TimeSpan,
    /// Delay before the first probe; doubled after each failure.
    pub initial_probe_delay: TimeSpan,
    /// Maximum delay between probes.
    pub max_probe_delay: TimeSpan,
    /// Maximum lag of the VM list: a VM that answered within this span is not considered gone
    /// when a list doesn't contain it.
    pub list_lag: TimeSpan,
    /// How long the record of a gone VM is kept, so that an outdated list can't bring it back.
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

/// The view of a member that the router uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberView<'table> {
    /// The VM's descriptor.
    pub descriptor: &'table VmDescriptor,
    /// Its state.
    pub state: MemberState,
    /// The fraction of its usual work that it gets.
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
    /// Invariant: `Some` exactly while the state is `Gone`.
    gone_at: Option<TimePoint>,
}

/// All VMs that this process knows.
#[derive(Debug, Default)]
pub struct MemberTable {
    timings: MemberTimings,
    /// Invariant: at each address, at most one record is not `Gone`.
    records: BTreeMap<VmId, MemberRecord>,
}

impl MemberTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(timings: MemberTimings) -> Self {
        Self {
            timings,
            records: BTreeMap::new(),
        }
    }

    /// Records a VM that is known to be live.
    pub fn on_live_vm(&mut self, descriptor: &VmDescriptor, now: TimePoint) {
        self.insert(descriptor, now);
        self.observe(&descriptor.vm, MemberEvidence::Listed, now);
    }

    /// Applies a complete reading of the VM list.
    ///
    /// Each descriptor is paired with whether the list marks the VM as leaving. Members that
    /// the list doesn't contain are gone, unless they answered within the list lag.
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

    /// Applies one piece of evidence; evidence about an unknown VM is ignored.
    ///
    /// # Panics
    ///
    /// Panics if the chart allows a leaving VM to accept work again.
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
            "a leaving VM must not accept work again"
        );
        record.state = state;
        if state == MemberState::Gone {
            record.gone_at = Some(now);
        }
        for action in actions {
            record.perform(*action, timings, now);
        }
    }

    /// Applies the planned stops that have begun.
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
            .existing()
            .filter_map(|record| Some((record.descriptor.vm.clone(), evidence(record)?)))
            .collect::<Vec<_>>();
        for (vm, evidence) in changed {
            self.observe(&vm, evidence, now);
        }
    }

    /// Ends slow starts, begins due probes and removes the records of VMs that are long gone.
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

    /// The state of a VM.
    #[must_use]
    pub fn state(&self, vm: &VmId) -> MemberState {
        self.records
            .get(vm)
            .map_or(MemberState::Unseen, |record| record.state)
    }

    /// The descriptor of a VM, unless it is gone.
    #[must_use]
    pub fn descriptor(&self, vm: &VmId) -> Option<&VmDescriptor> {
        let record = self
            .records
            .get(vm)
            .filter(|record| record.state != MemberState::Gone);
        record.map(|record| &record.descriptor)
    }

    /// The descriptors of all VMs to be probed.
    pub fn probing(&self) -> impl Iterator<Item = &VmDescriptor> {
        let probing = self
            .existing()
            .filter(|record| record.state == MemberState::Probing);
        probing.map(|record| &record.descriptor)
    }

    /// The descriptors of all VMs that are not gone, sorted by id.
    pub fn descriptors(&self) -> impl Iterator<Item = &VmDescriptor> {
        self.existing().map(|record| &record.descriptor)
    }

    /// The router's view of all VMs that are not gone, sorted by id.
    pub fn views(&self, now: TimePoint) -> impl Iterator<Item = MemberView<'_>> {
        self.existing().map(move |record| MemberView {
            descriptor: &record.descriptor,
            state: record.state,
            weight: record.weight(self.timings, now),
        })
    }

    fn existing(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records
            .values()
            .filter(|record| record.state != MemberState::Gone)
    }

    fn insert(&mut self, descriptor: &VmDescriptor, now: TimePoint) {
        if let Some(record) = self.records.get_mut(&descriptor.vm) {
            // A process may listen at another address after a restart.
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
