//! Routing and execution of requests.

use celerycrank_routing::{LoadReport, RouteQuery};
use celerycrank_shares::{QueueRequest, ShareBand};
use celerycrank_types::{RequestId, ShareWeight, TimePoint, TimeSpan, TokenCount};

use super::{
    Fleet, MEAN_TOKENS, MICROS_PER_SECOND, NETWORK_DELAY, PREFILL_TIME, Request, RunEvent,
    START_DEADLINE, TOKEN_TIME, is_after_warm_up, may_retry, request_index,
};
use crate::shares::scenario::SharePolicy;

impl Fleet {
    pub(super) fn route(&mut self, index: usize) {
        self.remove_awaiting(index);
        let request = &self.requests[index];
        let query = RouteQuery {
            prefix: &request.prefix,
            tried: &request.tried,
        };
        let router = &mut self.entries[request.entry].router;
        let Some(choice) = router.choose(self.now, &query, &mut self.rng) else {
            return;
        };
        router.note_sent(&choice.backend, &request.prefix);
        let worker = self
            .worker_names
            .iter()
            .position(|name| *name == choice.backend);
        let worker = worker.expect("a known worker");
        self.schedule(
            NETWORK_DELAY,
            RunEvent::Delivery {
                request: index,
                worker,
            },
        );
    }

    pub(super) fn deliver(&mut self, index: usize, worker: usize) {
        let queued = self.queue_request(index);
        match self.queues[worker].push(self.now, &queued) {
            Ok(evicted) => {
                self.accepted += 1;
                self.waiting += 1;
                if let Some(refusal) = evicted {
                    self.waiting -= 1;
                    self.refused_late += 1;
                    self.retry(request_index(refusal.id), worker);
                }
                self.most_waiting = self.most_waiting.max(self.queues[worker].waiting());
                let until_overdue = queued.start_by.since(self.now) + TimeSpan(1);
                self.schedule(until_overdue, RunEvent::Advance { worker });
            }
            Err(_) => self.retry(index, worker),
        }
        self.advance(worker);
    }

    pub(super) fn queue_request(&self, index: usize) -> QueueRequest {
        let request = &self.requests[index];
        let account = &self.scenario.accounts[request.account];
        let (id, weight) = match self.policy {
            SharePolicy::Shares => (account.id.clone(), account.weight),
            // With a single account for all requests, the fair queue is a plain queue.
            _ => ("all".parse().expect("a valid name"), ShareWeight::ONE),
        };
        let start_by = match self.policy {
            SharePolicy::Unrefused => TimePoint(u64::MAX),
            _ => self.attempt_deadline(request),
        };
        QueueRequest::builder()
            .id(RequestId(index as u128))
            .account(id)
            .weight(weight)
            .class(account.class)
            .band(request.band)
            .cost(TokenCount(MEAN_TOKENS))
            .start_by(start_by)
            .build()
    }

    /// Returns the deadline of the current attempt, which leaves half of the remaining time for
    /// another attempt if the request may be retried.
    pub(super) fn attempt_deadline(&self, request: &Request) -> TimePoint {
        let deadline = request.arrival + START_DEADLINE;
        if !may_retry(request) {
            return deadline;
        }
        let left = deadline.since(self.now);
        self.now + TimeSpan(left.0 / 2)
    }

    pub(super) fn retry(&mut self, index: usize, worker: usize) {
        self.note_ended(index, worker);
        let name = self.worker_names[worker].clone();
        let request = &mut self.requests[index];
        if may_retry(request) {
            request.tried.push(name);
            self.retries += 1;
            self.route(index);
        }
    }

    pub(super) fn note_ended(&mut self, index: usize, worker: usize) {
        let queue = &self.queues[worker];
        let waiting = match self.policy {
            SharePolicy::Shares => queue.effective_queue_length(),
            _ => queue.waiting(),
        };
        let load = LoadReport {
            running: u32::try_from(queue.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            waiting_cost: queue.waiting_cost(ShareBand::Within),
        };
        let router = &mut self.entries[self.requests[index].entry].router;
        router.note_finished(&self.worker_names[worker]);
        router.note_load(self.now, &self.worker_names[worker], load);
    }

    pub(super) fn advance(&mut self, worker: usize) {
        let step = self.queues[worker].advance(self.now);
        for refusal in step.refused {
            self.waiting -= 1;
            self.refused_late += 1;
            self.retry(request_index(refusal.id), worker);
        }
        for started in step.started {
            self.waiting -= 1;
            self.running += 1;
            self.start(request_index(started.id), worker);
        }
    }

    pub(super) fn start(&mut self, index: usize, worker: usize) {
        let request = &self.requests[index];
        let wait = self.now.since(request.arrival);
        if wait <= START_DEADLINE {
            let second =
                usize::try_from(request.arrival.0 / MICROS_PER_SECOND).expect("the run is short");
            let tokens = request.tokens as f64;
            self.tallies[request.account].served[second] += tokens;
            if is_after_warm_up(self.now) {
                self.useful += tokens;
            }
        }
        let class = self.scenario.accounts[request.account].class;
        if class == celerycrank_config::PriorityClass::High && is_after_warm_up(request.arrival) {
            self.wait_histogram.saturating_record(wait.0 / 1_000);
        }
        let hold = TimeSpan(PREFILL_TIME.0 + request.tokens * TOKEN_TIME.0);
        self.schedule(
            hold,
            RunEvent::Finish {
                request: index,
                worker,
            },
        );
    }

    pub(super) fn finish(&mut self, index: usize, worker: usize) {
        self.running -= 1;
        let tokens = TokenCount(self.requests[index].tokens);
        self.queues[worker].settle(self.now, RequestId(index as u128), tokens);
        self.note_ended(index, worker);
        let request = &self.requests[index];
        let router = &mut self.entries[request.entry].router;
        router.note_answered(self.now, &request.prefix);
        self.advance(worker);
    }
}
