//! Grants between a home and the grant holders, with lost, delayed and duplicated messages.

use std::collections::VecDeque;

use arbtest::arbitrary::{Result, Unstructured};
use celerycrank_shares::{
    AccountAllowance, Admission, DemandReport, GRANT_LIFETIME, GRANT_TIMEOUT, GrantHolder,
    GrantHome, TokenGrant, home_of,
};
use celerycrank_types::{AccountId, EntryId, TimePoint, TimeSpan, TokenCount, TokenRate};

const SEEDS: [u64; 4] = [
    0x0000_0001_0000_4000,
    0x0000_0002_0000_4000,
    0x0000_0003_0000_8000,
    0x0000_0004_0000_8000,
];

const CAP: TokenRate = TokenRate(1_000);

const ALLOWANCE: AccountAllowance = AccountAllowance {
    share: TokenRate(400),
    cap: Some(CAP),
};

const HOLDERS: usize = 4;

/// The grant holders and the home of one account, with the messages in flight between them.
struct GrantSimulation {
    now: TimePoint,
    account: AccountId,
    homes: [EntryId; 2],
    active: usize,
    home: GrantHome,
    holders: Vec<GrantHolder>,
    reports: VecDeque<(usize, DemandReport)>,
    grants: VecDeque<(usize, TokenGrant)>,
    admitted: u64,
    /// Tokens admitted although no home answered.
    exempt_tokens: u64,
}

impl GrantSimulation {
    fn new() -> Self {
        Self {
            now: TimePoint(1_000_000),
            account: "quarry".parse().unwrap(),
            homes: ["entry-a".parse().unwrap(), "entry-b".parse().unwrap()],
            active: 0,
            home: GrantHome::new(),
            holders: (0..HOLDERS).map(|_| GrantHolder::new()).collect(),
            reports: VecDeque::new(),
            grants: VecDeque::new(),
            admitted: 0,
            exempt_tokens: 0,
        }
    }

    fn admit_request(&mut self, holder: usize, cost: u64, unanswered: bool) {
        let (home, cost) = (&self.homes[self.active], TokenCount(cost));
        match self.holders[holder].admit(self.now, home, &self.account, cost) {
            Admission::Admitted(_) => {
                self.admitted += cost.0;
                self.exempt_tokens += if unanswered { cost.0 } else { 0 };
            }
            Admission::QueryHome(report) => self.reports.push_back((holder, report)),
            Admission::Wait | Admission::Refused { .. } => {}
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=9)? {
            0..=3 => {
                let (holder, cost) = (u.int_in_range(0..=HOLDERS - 1)?, u.int_in_range(1..=900)?);
                // Never long enough after a report for the timeout to elapse.
                self.admit_request(holder, cost, false);
            }
            4 | 5 => self.deliver_report(u)?,
            6 | 7 => self.deliver_grant(u)?,
            8 => self.now = self.now + TimeSpan(u.int_in_range(0..=GRANT_TIMEOUT.0 / 4)?),
            _ => self.lose_messages(u)?,
        }
        Ok(())
    }

    fn deliver_report(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some((holder, report)) = self.reports.pop_front() else {
            return Ok(());
        };
        let grant = self.home.grant(self.now, &report, ALLOWANCE);
        self.grants.push_back((holder, grant));
        if u.ratio(1, 8)? {
            self.reports.push_back((holder, report));
        }
        Ok(())
    }

    fn deliver_grant(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some((holder, grant)) = self.grants.pop_front() else {
            return Ok(());
        };
        self.holders[holder].apply_grant(self.now, &grant);
        if u.ratio(1, 4)? {
            self.grants.push_back((holder, grant));
        }
        Ok(())
    }

    fn lose_messages(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if u.ratio(1, 4)? {
            self.grants.pop_front();
        }
        Ok(())
    }

    /// The tokens that the cap has allowed since the start.
    fn allowed(&self) -> u64 {
        let elapsed = self.now.since(TimePoint(1_000_000));
        CAP.0 + CAP.0 * elapsed.0 / 1_000_000
    }
}

#[test]
fn a_cap_holds_across_entries() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut simulation = GrantSimulation::new();
            let mut reset_at = [TimePoint::default(); HOLDERS];
            while !u.is_empty() {
                simulation.step(u)?;
                for (holder, reset_at) in reset_at.iter_mut().enumerate() {
                    // Reset the holder, since admission without an answer is covered by
                    // another test.
                    if simulation.now.since(*reset_at) > GRANT_TIMEOUT {
                        simulation.holders[holder] = GrantHolder::new();
                        *reset_at = simulation.now;
                    }
                }
                assert!(simulation.admitted <= simulation.allowed() + 1);
            }
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn losing_a_home_overshoots_by_at_most_one_grant_lifetime() {
    let mut simulation = GrantSimulation::new();
    let mut admitted_at_loss = 0;
    for millisecond in 0..20_000_u64 {
        if millisecond == 10_000 {
            admitted_at_loss = simulation.admitted;
            simulation.active = 1;
            simulation.home = GrantHome::new();
        }
        simulation.now = TimePoint(1_000_000 + millisecond * 1_000);
        simulation.admit_request(usize::try_from(millisecond).unwrap() % HOLDERS, 10, false);
        while let Some((holder, report)) = simulation.reports.pop_front() {
            let grant = simulation.home.grant(simulation.now, &report, ALLOWANCE);
            simulation.holders[holder].apply_grant(simulation.now, &grant);
        }
    }
    let lifetime_tokens = CAP.0 * GRANT_LIFETIME.0 / 1_000_000;
    assert!(admitted_at_loss <= CAP.0 * 11, "{admitted_at_loss}");
    assert!(
        simulation.admitted - admitted_at_loss <= CAP.0 * 10 + lifetime_tokens,
        "{}",
        simulation.admitted
    );
    assert!(simulation.admitted >= CAP.0 * 19, "{}", simulation.admitted);
}

#[test]
fn unresponsive_home_does_not_block_an_account() {
    let mut simulation = GrantSimulation::new();
    simulation.admit_request(0, 100, false);
    assert_eq!(simulation.reports.len(), 1);
    simulation.admit_request(0, 100, false);
    assert_eq!(simulation.admitted, 0);
    simulation.now = simulation.now + GRANT_TIMEOUT;
    simulation.admit_request(0, 100, true);
    simulation.admit_request(0, 100, true);
    assert_eq!((simulation.admitted, simulation.exempt_tokens), (100, 100));
}

#[test]
fn a_departure_moves_only_the_homes_of_the_one_that_left() {
    let entries: Vec<EntryId> = (0..8)
        .map(|i| format!("entry-{i}").parse().unwrap())
        .collect();
    for number in 0..200 {
        let account: AccountId = format!("account-{number}").parse().unwrap();
        let before = home_of(&account, &entries).unwrap();
        let after = home_of(&account, &entries[1..]).unwrap();
        assert!(before == after || *before == entries[0]);
    }
}

#[test]
fn grant_expires_after_its_lifetime() {
    for (age, admitted) in [(TimeSpan(GRANT_LIFETIME.0 - 1), 100), (GRANT_LIFETIME, 0)] {
        let mut simulation = GrantSimulation::new();
        simulation.admit_request(0, 100, false);
        let (holder, report) = simulation.reports.pop_front().unwrap();
        let grant = simulation.home.grant(simulation.now, &report, ALLOWANCE);
        simulation.holders[holder].apply_grant(simulation.now, &grant);
        simulation.now = simulation.now + age;
        simulation.admit_request(0, 100, false);
        assert_eq!(simulation.admitted, admitted);
    }
}
