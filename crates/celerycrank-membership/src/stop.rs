//! Planned stops and their impact on the remaining capacity.

use std::{collections::BTreeMap, fmt, str::FromStr, sync::Arc};

use celerycrank_types::{BackendId, DomainId, EntryId, GroupId, VmId};
use serde::{Deserialize, Serialize};

use crate::{MemberTable, VmDescriptor, VmRole};

/// Minimum percentage of a role's live members that must remain after planned stops.
const MIN_REMAINING_PERCENT: usize = 50;

/// The target of an announced stop.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopTarget {
    /// One backend server.
    Backend(BackendId),
    /// One VM with everything that runs on it.
    Vm(VmId),
    /// One entry.
    Entry(EntryId),
    /// Every VM of a lock-step group.
    Group(GroupId),
    /// Every VM of a failure domain.
    Domain(DomainId),
}

/// `{0}` is not a target: write backend:NAME, vm:NAME, entry:NAME, group:NAME or domain:NAME
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct StopTargetError(pub Arc<str>);

impl std::error::Error for StopTargetError {}

impl fmt::Display for StopTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Backend(backend) => write!(f, "backend:{backend}"),
            Self::Vm(vm) => write!(f, "vm:{vm}"),
            Self::Entry(entry) => write!(f, "entry:{entry}"),
            Self::Group(group) => write!(f, "group:{group}"),
            Self::Domain(domain) => write!(f, "domain:{domain}"),
        }
    }
}

impl FromStr for StopTarget {
    type Err = StopTargetError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || StopTargetError(text.into());
        let (kind, name) = text.split_once(':').ok_or_else(error)?;
        match kind {
            "backend" => name.parse().map(Self::Backend),
            "vm" => name.parse().map(Self::Vm),
            "entry" => name.parse().map(Self::Entry),
            "group" => name.parse().map(Self::Group),
            "domain" => name.parse().map(Self::Domain),
            _ => return Err(error()),
        }
        .ok()
        .ok_or_else(error)
    }
}

impl StopTarget {
    /// Whether the stop includes this VM.
    #[must_use]
    pub fn covers(&self, descriptor: &VmDescriptor) -> bool {
        match self {
            Self::Backend(backend) => descriptor.backend.as_ref() == Some(backend),
            Self::Vm(vm) => descriptor.vm == *vm,
            Self::Entry(entry) => {
                descriptor.role == VmRole::Entry && descriptor.vm.as_str() == entry.as_str()
            }
            Self::Group(group) => descriptor.group.as_ref() == Some(group),
            Self::Domain(domain) => descriptor.domain == *domain,
        }
    }
}

/// A role with too few members remaining.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleShortfall {
    /// The role: a model, a service or the entry role.
    pub role: VmRole,
    /// Number of members that accept work now.
    pub live: usize,
    /// Number of members that would remain.
    pub remaining: usize,
}

/// The impact of planned stops on the members of each role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopImpact {
    /// Number of VMs that accept work now and are included in the stops.
    pub affected: usize,
    /// Roles with too few members remaining, sorted by role.
    pub shortfalls: Vec<RoleShortfall>,
}

impl StopImpact {
    /// Computes the members of each role that remain once `targets` have stopped.
    #[must_use]
    pub fn of(table: &MemberTable, targets: &[StopTarget]) -> Self {
        let mut counts = BTreeMap::<VmRole, (usize, usize)>::new();
        let mut affected = 0;
        for descriptor in table
            .descriptors()
            .filter(|descriptor| table.state(&descriptor.vm).accepts_work())
        {
            let count = counts.entry(descriptor.role.clone()).or_default();
            count.0 += 1;
            if targets.iter().any(|target| target.covers(descriptor)) {
                affected += 1;
            } else {
                count.1 += 1;
            }
        }
        let shortfalls = counts
            .into_iter()
            .filter(|(_, (live, remaining))| {
                remaining < live && remaining * 100 < live * MIN_REMAINING_PERCENT
            })
            .map(|(role, (live, remaining))| RoleShortfall {
                role,
                live,
                remaining,
            })
            .collect();
        Self {
            affected,
            shortfalls,
        }
    }
}
