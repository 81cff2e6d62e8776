//! How evidence about VMs determines their state.

use celerycrank_membership::{
    MemberEvidence, MemberState, MemberTable, MemberTimings, RampWeight, StopImpact, StopTarget,
    VmDescriptor, VmRole,
};
use celerycrank_types::{TimePoint, TimeSpan, VmId};

/// Number of runs per property. The low 32 bits of a seed are the size of its input.
const RUNS: u64 = 256;

fn seeds(first: u64) -> impl Iterator<Item = u64> {
    (0..RUNS).map(move |run| ((first + run) << 32) | 0x800)
}

const EVIDENCE: [MemberEvidence; 10] = [
    MemberEvidence::Listed,
    MemberEvidence::ListLeaving,
    MemberEvidence::ListGone,
    MemberEvidence::Replaced,
    MemberEvidence::StopAnnounced,
    MemberEvidence::StopWithdrawn,
    MemberEvidence::Answered,
    MemberEvidence::Failed,
    MemberEvidence::RampEnded,
    MemberEvidence::ProbeDue,
];

fn seconds(count: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::from_secs(count)
}

fn descriptor(name: &str, port: u16, domain: &str) -> VmDescriptor {
    VmDescriptor {
        vm: name.parse().unwrap(),
        domain: domain.parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        role: VmRole::Engine("drafting".parse().unwrap()),
        backend: None,
        group: None,
    }
}

fn table_of(descriptors: &[VmDescriptor]) -> MemberTable {
    let mut table = MemberTable::new(MemberTimings::default());
    let reading = descriptors
        .iter()
        .map(|descriptor| (descriptor.clone(), false))
        .collect::<Vec<_>>();
    table.on_list(&reading, seconds(0));
    table
}

#[test]
fn a_leaving_vm_never_takes_work_again() {
    for seed in seeds(0x2300) {
        arbtest::arbtest(|u| {
            let vm = "a".parse::<VmId>().unwrap();
            let mut table = table_of(&[descriptor("a", 1, "borba")]);
            let mut left = false;
            for step in 0..40 {
                let evidence = *u.choose(&EVIDENCE)?;
                table.observe(&vm, evidence, seconds(step));
                left |= matches!(
                    evidence,
                    MemberEvidence::ListLeaving
                        | MemberEvidence::ListGone
                        | MemberEvidence::Replaced
                );
                assert!(!left || !table.state(&vm).accepts_work());
            }
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn a_failed_vm_gets_no_work_until_it_is_probed_and_then_starts_slowly() {
    let vm = "a".parse::<VmId>().unwrap();
    let mut table = table_of(&[descriptor("a", 1, "borba")]);
    table.on_tick(seconds(10));
    assert_eq!(table.state(&vm), MemberState::Live);
    table.observe(&vm, MemberEvidence::Failed, seconds(11));
    assert!(!table.state(&vm).accepts_work());
    table.on_tick(seconds(12));
    assert_eq!(table.state(&vm), MemberState::Probing);
    table.observe(&vm, MemberEvidence::Failed, seconds(12));
    table.on_tick(seconds(13));
    assert_eq!(
        table.state(&vm),
        MemberState::Suspect,
        "the second probe delay must be twice the first"
    );
    table.on_tick(seconds(14));
    assert_eq!(table.state(&vm), MemberState::Probing);
    table.observe(&vm, MemberEvidence::Answered, seconds(15));
    let weight = |table: &MemberTable, at| table.views(seconds(at)).next().unwrap().weight;
    assert!(weight(&table, 16) < weight(&table, 20));
    assert!(weight(&table, 20) < RampWeight::FULL);
    table.on_tick(seconds(25));
    assert_eq!(weight(&table, 25), RampWeight::FULL);
}

#[test]
fn a_withdrawn_stop_brings_a_vm_back_unless_it_is_leaving() {
    let vm = "a".parse::<VmId>().unwrap();
    let mut table = table_of(&[descriptor("a", 1, "borba")]);
    table.observe(&vm, MemberEvidence::StopAnnounced, seconds(1));
    assert!(!table.state(&vm).accepts_work());
    table.observe(&vm, MemberEvidence::Listed, seconds(2));
    table.observe(&vm, MemberEvidence::Answered, seconds(2));
    assert!(
        !table.state(&vm).accepts_work(),
        "neither the list nor old answers undo a stop"
    );
    table.observe(&vm, MemberEvidence::StopWithdrawn, seconds(3));
    assert!(table.state(&vm).accepts_work());
    table.observe(&vm, MemberEvidence::ListLeaving, seconds(4));
    table.observe(&vm, MemberEvidence::StopWithdrawn, seconds(5));
    assert_eq!(table.state(&vm), MemberState::Leaving);
}

#[test]
fn a_vm_replaced_at_the_same_address_is_a_new_one() {
    let mut table = table_of(&[descriptor("old", 1, "borba")]);
    let old = "old".parse::<VmId>().unwrap();
    let new = "new".parse::<VmId>().unwrap();
    table.observe(&old, MemberEvidence::Failed, seconds(1));
    table.on_list(&[(descriptor("new", 1, "borba"), false)], seconds(2));
    assert_eq!(table.state(&old), MemberState::Gone);
    assert_eq!(table.state(&new), MemberState::Ramping);
    assert_eq!(table.descriptors().count(), 1);
}

#[test]
fn a_restarted_process_may_listen_elsewhere() {
    let mut table = table_of(&[descriptor("a", 1, "borba")]);
    table.on_list(&[(descriptor("a", 2, "borba"), false)], seconds(1));
    assert_eq!(table.descriptors().next().unwrap().address.port(), 2);
    assert_eq!(table.descriptors().count(), 1);
}

#[test]
fn late_list_neither_revives_gone_vms_nor_removes_answering_ones() {
    let both = [descriptor("a", 1, "borba"), descriptor("b", 2, "borba")];
    let mut table = table_of(&both);
    let names = ["a", "b"].map(|name| name.parse::<VmId>().unwrap());
    table.observe(&names[1], MemberEvidence::Answered, seconds(1));
    table.on_list(&[], seconds(2));
    assert_eq!(table.state(&names[0]), MemberState::Gone);
    assert!(table.state(&names[1]).accepts_work());
    let late = both.map(|descriptor| (descriptor, false));
    table.on_list(&late, seconds(3));
    assert_eq!(table.state(&names[0]), MemberState::Gone);
}

#[test]
fn reports_role_shortfalls() {
    let descriptors = [
        descriptor("a", 1, "estremoz"),
        descriptor("b", 2, "borba"),
        descriptor("c", 3, "vila-vicosa"),
        descriptor("d", 4, "borba"),
    ];
    let table = table_of(&descriptors);
    let one = StopImpact::of(&table, &[StopTarget::Vm("a".parse().unwrap())]);
    assert_eq!((one.affected, one.shortfalls.len()), (1, 0));
    let domains = ["borba", "estremoz"].map(|name| StopTarget::Domain(name.parse().unwrap()));
    let many = StopImpact::of(&table, &domains);
    assert_eq!(many.affected, 3);
    assert_eq!(
        (many.shortfalls[0].live, many.shortfalls[0].remaining),
        (4, 1)
    );
}

#[test]
fn announced_stops_hold_while_they_are_announced() {
    let mut table = table_of(&[descriptor("a", 1, "borba"), descriptor("b", 2, "estremoz")]);
    let names = ["a", "b"].map(|name| name.parse::<VmId>().unwrap());
    let borba = [StopTarget::Domain("borba".parse().unwrap())];
    table.on_stops(&borba, seconds(1));
    assert_eq!(table.state(&names[0]), MemberState::Stopping);
    assert!(table.state(&names[1]).accepts_work());
    table.on_stops(&[], seconds(2));
    assert!(table.state(&names[0]).accepts_work());
}
