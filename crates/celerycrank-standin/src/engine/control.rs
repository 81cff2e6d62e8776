//! The engine's metrics, cache events, orders and fault injection.

use std::cell::{Cell, RefCell};

use actix_http::StatusCode;
use celerycrank_types::TimePoint;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{HttpAnswer, HttpCall, engine::EngineService};

/// Header that carries the fencing number of an order.
const FENCING_HEADER: &str = "x-fencing-number";

/// An order to an engine.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum EngineOrder {
    LoadModel(String),
    ChangeRole(String),
}

/// Records orders and, if fencing is on, refuses those with a stale fencing number.
#[derive(Debug)]
pub(crate) struct OrderHandler {
    fencing: bool,
    highest_number: Cell<u64>,
    executed: RefCell<Vec<EngineOrder>>,
    refused: Cell<u64>,
    load: Cell<LoadSample>,
}

/// The most recent sample of the load.
#[derive(Debug, Default, Clone, Copy)]
struct LoadSample {
    sampled_at: TimePoint,
    running: usize,
    waiting: usize,
}

impl OrderHandler {
    pub(crate) fn new(fencing: bool) -> Self {
        Self {
            fencing,
            highest_number: Cell::new(0),
            executed: RefCell::default(),
            refused: Cell::new(0),
            load: Cell::default(),
        }
    }

    fn accept(&self, number: u64, order: EngineOrder) -> bool {
        if self.fencing && number < self.highest_number.get() {
            self.refused.set(self.refused.get() + 1);
            return false;
        }
        self.highest_number
            .set(self.highest_number.get().max(number));
        self.executed.borrow_mut().push(order);
        true
    }
}

impl EngineService {
    pub(crate) fn answer_control(&self, call: &HttpCall) -> HttpAnswer {
        match call.path.as_str() {
            "/metrics" => self.report_load(),
            "/cache/events" => {
                let after = call.header("last-event-id").and_then(|id| id.parse().ok());
                let cache = self.cache.borrow();
                let events = cache.events_after(after.unwrap_or(0), self.now());
                HttpAnswer::json(StatusCode::OK, &events)
            }
            "/orders" => self.handle_order(call),
            "/standin/counts" => HttpAnswer::json(StatusCode::OK, &self.counts.get()),
            "/standin/orders" => {
                let order_handler = &self.order_handler;
                let counts = json!({
                    "carried_out": *order_handler.executed.borrow(),
                    "refused": order_handler.refused.get(),
                    "highest": order_handler.highest_number.get(),
                });
                HttpAnswer::json(StatusCode::OK, &counts)
            }
            "/standin/faults" => match serde_json::from_slice(&call.body) {
                Ok(faults) => {
                    self.faults.set(faults);
                    HttpAnswer::json(StatusCode::OK, &faults)
                }
                Err(e) => HttpAnswer::text(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            _ => HttpAnswer::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn handle_order(&self, call: &HttpCall) -> HttpAnswer {
        let number = call.header(FENCING_HEADER).and_then(|n| n.parse().ok());
        let order = match serde_json::from_slice::<EngineOrder>(&call.body) {
            Ok(order) => order,
            Err(e) => return HttpAnswer::text(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        if self.order_handler.accept(number.unwrap_or(0), order) {
            HttpAnswer::text(StatusCode::OK, "carried out")
        } else {
            HttpAnswer::text(StatusCode::CONFLICT, "the fencing number is old")
        }
    }

    /// Reports the last load sample, renewed once it is as old as the configured lag.
    fn report_load(&self) -> HttpAnswer {
        let now = self.now();
        let mut sample = self.order_handler.load.get();
        if now.since(sample.sampled_at) >= self.options.load_lag {
            sample = LoadSample {
                sampled_at: now,
                running: self.slots.running(),
                waiting: self.slots.waiting(),
            };
            self.order_handler.load.set(sample);
        }
        let text = format!(
            "engine_requests_running {}\nengine_requests_waiting {}\n",
            sample.running, sample.waiting
        );
        HttpAnswer::text(StatusCode::OK, &text)
    }
}
