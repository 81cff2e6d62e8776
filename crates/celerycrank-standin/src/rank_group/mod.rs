//! A stand-in for the engines of a lock-step group and their rate-limited weight store.
//!
//! Each member accepts orders at `/members/N/orders` and reports their results at
//! `/members/N/reports`. A step begins only when all members are ready for it; its
//! duration is that of its most loaded rank.

mod member;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use actix_rt::time::sleep;
use celerycrank_groups::{EngineOrder, StepAudit};
use celerycrank_types::TimeSpan;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::{Deserialize, Serialize};

use crate::{HttpAnswer, HttpCall, HttpHandler, StandinServer, rank_group::member::GroupMember};

/// Header that carries the fencing number of an order.
const FENCING_HEADER: &str = "x-fencing-number";

/// How often a group that cannot begin a step checks again.
const STEP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Options of the group.
#[derive(Debug, Clone, bon::Builder)]
pub struct RankGroupOptions {
    /// Number of agents that drive the group's ranks.
    pub members: usize,
    /// Duration of a step when all ranks are equally loaded.
    #[builder(default = TimeSpan::from_millis(5))]
    pub step_time: TimeSpan,
    /// Time for the weight store to deliver one expert; all members share this rate.
    #[builder(default = TimeSpan::from_millis(10))]
    pub expert_time: TimeSpan,
    /// Whether orders with a stale fencing number are refused.
    #[builder(default)]
    pub fencing: bool,
}

/// Injected faults and the simulated workload; they apply until they are replaced.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RankGroupFaults {
    /// Indices of members whose ranks stall.
    pub stalled: Vec<usize>,
    /// How many of the next orders to copy weights fail.
    pub failing_loads: u32,
    /// Relative load of each expert, the same in every layer; empty means equal loads.
    pub popularity: Vec<u32>,
}

/// Counts of the group's steps, weight copies and refused orders.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RankGroupCounts {
    /// Steps begun.
    pub steps: u64,
    /// Experts whose weights were copied; an expert counts once per copy.
    pub loaded_experts: u64,
    /// Orders refused because of a stale fencing number.
    pub refused_orders: u64,
    /// Ratio of the highest to the mean rank load, in the worst layer of the last step.
    pub skew: f64,
}

/// A running group stand-in.
#[derive(Debug)]
pub struct RankGroupStandin {
    server: StandinServer,
    service: Rc<RankGroupService>,
}

#[derive(Debug)]
struct RankGroupService {
    options: RankGroupOptions,
    members: RefCell<Vec<GroupMember>>,
    /// Asserts that all ranks begin a step with the same map.
    audit: RefCell<StepAudit>,
    faults: RefCell<RankGroupFaults>,
    counts: Cell<RankGroupCounts>,
    /// When the weight store finishes the weight copies requested so far.
    store_idle_at: Cell<Instant>,
}

impl RankGroupStandin {
    /// Starts an unformed group on this address; with port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, options: RankGroupOptions) -> io::Result<Self> {
        let members = (0..options.members).map(|index| GroupMember::new(index, options.members));
        let service = Rc::new(RankGroupService {
            members: RefCell::new(members.collect()),
            audit: RefCell::default(),
            faults: RefCell::default(),
            counts: Cell::default(),
            store_idle_at: Cell::new(Instant::now()),
            options,
        });
        let handler: Rc<dyn HttpHandler> = Rc::<RankGroupService>::clone(&service);
        let server = StandinServer::start(address, handler).await?;
        actix_rt::spawn(run_steps(Rc::downgrade(&service)));
        Ok(Self { server, service })
    }

    /// The address on which the group listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: RankGroupFaults) {
        self.service.faults.replace(faults);
    }

    /// The counts so far.
    #[must_use]
    pub fn counts(&self) -> RankGroupCounts {
        self.service.counts.get()
    }
}

/// Begins steps one after another until the group is dropped.
async fn run_steps(service: Weak<RankGroupService>) {
    loop {
        let Some(group) = service.upgrade() else {
            return;
        };
        let pause = group.begin_step().unwrap_or(STEP_POLL_INTERVAL);
        drop(group);
        sleep(pause).await;
    }
}

impl HttpHandler for RankGroupService {
    fn answer(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpAnswer> {
        let answer = match call.path.as_str() {
            "/standin/counts" => HttpAnswer::json(StatusCode::OK, &self.counts.get()),
            "/standin/faults" => self.update_faults(&call),
            _ => self.answer_member(&call),
        };
        std::future::ready(answer).boxed_local()
    }
}

impl RankGroupService {
    fn update_faults(&self, call: &HttpCall) -> HttpAnswer {
        match serde_json::from_slice(&call.body) {
            Ok(faults) => self.faults.replace(faults),
            Err(e) => return HttpAnswer::text(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        HttpAnswer::json(StatusCode::OK, &*self.faults.borrow())
    }

    fn answer_member(self: &Rc<Self>, call: &HttpCall) -> HttpAnswer {
        let mut parts = call.path.trim_start_matches('/').split('/');
        let (collection, index, resource) = (parts.next(), parts.next(), parts.next());
        let index = index.and_then(|index| index.parse::<usize>().ok());
        match (collection, index, resource) {
            (Some("members"), Some(index), Some(resource)) if index < self.options.members => {
                match resource {
                    "orders" => self.handle_order(index, call),
                    "reports" => self.report(index, call),
                    _ => HttpAnswer::text(StatusCode::NOT_FOUND, "no such path"),
                }
            }
            _ => HttpAnswer::text(StatusCode::NOT_FOUND, "no such member"),
        }
    }

    fn report(&self, index: usize, call: &HttpCall) -> HttpAnswer {
        let after = call.header("last-event-id").and_then(|id| id.parse().ok());
        let members = self.members.borrow();
        let reports = members[index].reports_after(after.unwrap_or(0));
        HttpAnswer::json(StatusCode::OK, &reports)
    }

    fn handle_order(self: &Rc<Self>, index: usize, call: &HttpCall) -> HttpAnswer {
        let order = match serde_json::from_slice::<EngineOrder>(&call.body) {
            Ok(order) => order,
            Err(e) => return HttpAnswer::text(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        let number = call.header(FENCING_HEADER).and_then(|n| n.parse().ok());
        let mut members = self.members.borrow_mut();
        let member = &mut members[index];
        if !member.accept_fencing_number(number.unwrap_or(0), self.options.fencing) {
            self.count(|counts| counts.refused_orders += 1);
            return HttpAnswer::text(StatusCode::CONFLICT, "the fencing number is old");
        }
        let experts = member.execute(&order);
        drop(members);
        if let EngineOrder::Load { attempt, .. } = order {
            let load_task = Rc::clone(self).load(index, attempt, experts);
            actix_rt::spawn(load_task);
        }
        HttpAnswer::text(StatusCode::OK, "carried out")
    }

    /// Copies experts' weights from the weight store, which serves one request at a time, in order.
    async fn load(
        self: Rc<Self>,
        index: usize,
        attempt: celerycrank_groups::AttemptId,
        experts: usize,
    ) {
        let experts = u32::try_from(experts).unwrap_or(u32::MAX);
        let start = self.store_idle_at.get().max(Instant::now());
        let done = start + self.options.expert_time.as_duration() * experts;
        self.store_idle_at.set(done);
        sleep(done.saturating_duration_since(Instant::now())).await;
        let failed = self.take_load_failure();
        if !failed {
            self.count(|counts| counts.loaded_experts += u64::from(experts));
        }
        self.members.borrow_mut()[index].report_load(attempt, failed);
    }

    fn take_load_failure(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let fails = faults.failing_loads > 0;
        faults.failing_loads = faults.failing_loads.saturating_sub(1);
        fails
    }

    /// Begins a step if all members are ready for it, and returns its duration.
    fn begin_step(&self) -> Option<Duration> {
        let mut members = self.members.borrow_mut();
        let faults = self.faults.borrow();
        let next_step = members.first()?.next_step()?;
        let ready = |(index, member): (usize, &GroupMember)| {
            member.next_step() == Some(next_step)
                && !member.is_held()
                && !faults.stalled.contains(&index)
        };
        if !members.iter().enumerate().all(ready) {
            return None;
        }
        let mut audit = self.audit.borrow_mut();
        for member in members.iter_mut() {
            member.begin_step(&mut audit);
        }
        let skew = members[0].skew(&faults.popularity);
        self.count(|counts| {
            counts.steps += 1;
            counts.skew = skew;
        });
        Some(self.options.step_time.as_duration().mul_f64(skew))
    }

    fn count(&self, increment: impl FnOnce(&mut RankGroupCounts)) {
        let mut counts = self.counts.get();
        increment(&mut counts);
        self.counts.set(counts);
    }
}
