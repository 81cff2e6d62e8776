//! A stand-in for the VM list, published as Kubernetes `EndpointSlice` objects.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use actix_rt::time::sleep;
use bytes::Bytes;
use celerycrank_types::{DomainId, ModelId, ServiceId, TimeSpan, VmId};
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::mpsc::{self, UnboundedSender};

use crate::{HttpAnswer, HttpCall, HttpHandler, StandinServer};

/// One VM as the stand-in lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedVm {
    /// The id of this incarnation of the VM.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The address on which its agent listens for links.
    pub address: SocketAddr,
    /// The model or plain service that it offers.
    pub offers: ListedOffer,
    /// Whether the VM is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// What a listed VM offers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedOffer {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
    /// No backend server: the VM runs an entry.
    Entry,
}

/// A running stand-in for the VM list.
#[derive(Debug)]
pub struct VmListStandin {
    server: StandinServer,
    service: Rc<VmListService>,
}

#[derive(Debug, Default)]
struct VmListService {
    state: RefCell<ListState>,
}

#[derive(Debug, Default)]
struct ListState {
    /// How long it takes until a change is published.
    lag: Duration,
    /// The published list.
    published: Vec<ListedVm>,
    /// Lists that are not published yet, each with its due time, oldest first.
    pending: VecDeque<(Instant, Vec<ListedVm>)>,
    outage: bool,
    reads: u64,
    /// Number of lists published so far, used as the resource version.
    version: u64,
    /// Open watches.
    watchers: Vec<UnboundedSender<Bytes>>,
}

/// An order to the stand-in; absent fields leave the state unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ListOrder {
    lag: Option<TimeSpan>,
    outage: Option<bool>,
    vms: Option<Vec<ListedVm>>,
}

impl VmListStandin {
    /// Starts an empty list on this address; with port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let service = Rc::new(VmListService::default());
        let handler: Rc<dyn HttpHandler> = Rc::<VmListService>::clone(&service);
        let server = StandinServer::start(address, handler).await?;
        Ok(Self { server, service })
    }

    /// The address on which the stand-in listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The URL of the list.
    #[must_use]
    pub fn url(&self) -> String {
        format!(
            "{}/apis/discovery.k8s.io/v1/endpointslices",
            self.server.url()
        )
    }

    /// Replaces the list; it is published once the lag has passed.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.service.state.borrow_mut().set_vms(vms);
        self.service.schedule_publish();
    }

    /// Sets how long it takes until later changes are published.
    pub fn set_lag(&self, lag: TimeSpan) {
        self.service.state.borrow_mut().lag = lag.as_duration();
    }

    /// Starts or ends an outage, in which the list answers with 503; a start closes all watches.
    pub fn set_outage(&self, outage: bool) {
        let mut state = self.service.state.borrow_mut();
        state.outage = outage;
        if outage {
            state.watchers.clear();
        }
    }

    /// Number of reads and watch requests received so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.service.state.borrow().reads
    }
}

impl HttpHandler for VmListService {
    fn answer(self: Rc<Self>, call: HttpCall) -> LocalBoxFuture<'static, HttpAnswer> {
        let answer = match call.path.as_str() {
            "/standin/vms" => self.handle_order(&call),
            _ if call.query.contains("watch=1") => self.state.borrow_mut().watch(&call.query),
            _ => self.state.borrow_mut().read(),
        };
        std::future::ready(answer).boxed_local()
    }
}

impl VmListService {
    /// Schedules publishing after the lag, so that watches get changes without a read.
    fn schedule_publish(self: &Rc<Self>) {
        let service = Rc::clone(self);
        let lag = self.state.borrow().lag;
        actix_rt::spawn(async move {
            sleep(lag).await;
            service.state.borrow_mut().publish();
        });
    }

    fn handle_order(self: &Rc<Self>, call: &HttpCall) -> HttpAnswer {
        self.schedule_publish();
        let mut state = self.state.borrow_mut();
        if !call.body.is_empty() {
            match serde_json::from_slice::<ListOrder>(&call.body) {
                Ok(order) => state.apply(order),
                Err(e) => return HttpAnswer::text(StatusCode::BAD_REQUEST, &e.to_string()),
            }
        }
        HttpAnswer::json(StatusCode::OK, &state.published)
    }
}

impl ListState {
    fn apply(&mut self, order: ListOrder) {
        if let Some(lag) = order.lag {
            self.lag = lag.as_duration();
        }
        if let Some(outage) = order.outage {
            self.outage = outage;
            self.watchers.clear();
        }
        if let Some(vms) = order.vms {
            self.set_vms(vms);
        }
    }

    fn set_vms(&mut self, vms: Vec<ListedVm>) {
        self.pending.push_back((Instant::now() + self.lag, vms));
        self.publish();
    }

    fn publish(&mut self) {
        let now = Instant::now();
        while let Some((due, _)) = self.pending.front()
            && *due <= now
        {
            if let Some((_, vms)) = self.pending.pop_front() {
                self.notify_watchers(&vms);
                self.published = vms;
            }
        }
    }

    /// Sends the differences between the published list and this one to all watches.
    fn notify_watchers(&mut self, vms: &[ListedVm]) {
        self.version += 1;
        let event =
            |kind: &str, vm: &ListedVm| json!({ "type": kind, "object": endpoint_slice(vm) });
        let old = by_id(&self.published);
        let new = by_id(vms);
        let removed = self.published.iter().filter(|vm| !new.contains_key(&vm.vm));
        let changed = vms.iter().filter_map(|vm| match old.get(&vm.vm) {
            None => Some(event("ADDED", vm)),
            Some(old) if *old != vm => Some(event("MODIFIED", vm)),
            Some(_) => None,
        });
        let events = removed.map(|vm| event("DELETED", vm)).chain(changed);
        let lines = events
            .map(|event| Bytes::from(format!("{event}\n")))
            .collect::<Vec<_>>();
        self.watchers.retain(|watcher| {
            lines.iter().all(|line| watcher.send(line.clone()).is_ok()) && !watcher.is_closed()
        });
    }

    fn watch(&mut self, query: &str) -> HttpAnswer {
        self.reads += 1;
        if self.outage {
            return HttpAnswer::text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let current = format!("resourceVersion={}", self.version);
        if query.split('&').any(|part| part == current) {
            self.watchers.push(sender);
        } else {
            let status = json!({ "kind": "Status", "code": 410, "reason": "Expired" });
            let line = json!({ "type": "ERROR", "object": status });
            // The send cannot fail: the receiver is passed to the response below.
            let _ = sender.send(Bytes::from(format!("{line}\n")));
        }
        HttpAnswer::lines(receiver, Duration::ZERO)
    }

    fn read(&mut self) -> HttpAnswer {
        self.reads += 1;
        if self.outage {
            return HttpAnswer::text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        self.publish();
        let items = self
            .published
            .iter()
            .map(endpoint_slice)
            .collect::<Vec<_>>();
        let list = json!({
            "apiVersion": "discovery.k8s.io/v1",
            "kind": "EndpointSliceList",
            "metadata": { "resourceVersion": self.version.to_string() },
            "items": items,
        });
        HttpAnswer::json(StatusCode::OK, &list)
    }
}

/// Formats a VM as a slice of its own, since all endpoints of a slice share the same ports.
fn endpoint_slice(vm: &ListedVm) -> Value {
    let (kind, name) = match &vm.offers {
        ListedOffer::Model(model) => ("model", model.as_str()),
        ListedOffer::Service(service) => ("service", service.as_str()),
        ListedOffer::Entry => ("entry", "celerycrank-entry"),
    };
    let family = if vm.address.is_ipv4() { "IPv4" } else { "IPv6" };
    json!({
        "addressType": family,
        "metadata": {
            "name": format!("{name}-{}", vm.vm),
            "labels": { "kubernetes.io/service-name": name, "celerycrank/kind": kind },
        },
        "ports": [{ "name": "link", "protocol": "UDP", "port": vm.address.port() }],
        "endpoints": [{
            "addresses": [vm.address.ip()],
            "conditions": { "ready": !vm.leaving, "serving": true, "terminating": vm.leaving },
            "zone": vm.domain,
            "targetRef": { "kind": "Node", "name": vm.vm, "uid": vm.vm },
        }],
    })
}

fn by_id(vms: &[ListedVm]) -> HashMap<&VmId, &ListedVm> {
    vms.iter().map(|vm| (&vm.vm, vm)).collect()
}
