//! The platform's VM list, published as Kubernetes `EndpointSlice` objects.

use std::{
    cell::Cell,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
};

use awc::{Client, ClientResponse};
use celerycrank_types::{DomainId, ModelId, ServiceId, TimeSpan, VmId};
use serde::Deserialize;

use crate::{body::read_body, line::LineStream};

/// Maximum size of a VM list.
const MAX_LIST_BYTES: usize = 64 << 20;

/// Label with the name of the model or service that a slice's VMs offer.
const SERVICE_LABEL: &str = "kubernetes.io/service-name";

/// Label that states whether a slice belongs to a model, a plain service or the entries.
const KIND_LABEL: &str = "celerycrank/kind";

/// Name of the port on which agents accept links.
const LINK_PORT: &str = "link";

/// Why the VM list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum VmListError {
    /// the VM list could not be fetched: {0}
    Unreachable(Arc<str>),
    /// the VM list answered with status {0}
    Status(u16),
    /// the VM list is malformed: {0}
    Malformed(Arc<str>),
}

impl std::error::Error for VmListError {}

/// One VM, as last published by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmRecord {
    /// This incarnation of the VM.
    pub vm: VmId,
    /// The failure domain in which it runs.
    pub domain: DomainId,
    /// The address on which it accepts links.
    pub address: SocketAddr,
    /// What its backend server offers.
    pub offers: VmOffer,
    /// Whether it takes new work.
    pub state: VmState,
}

/// What a backend server offers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum VmOffer {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
    /// Nothing: the VM runs an entry instead of a backend server.
    Entry,
}

/// Whether a VM takes new work, as last published by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM takes new work.
    Live,
    /// The VM is terminating or not ready, and takes no new work.
    Leaving,
}

/// A client of the VM list.
#[derive(Debug, Clone)]
pub struct VmListClient {
    shared: Rc<ListState>,
}

struct ListState {
    url: Arc<str>,
    http: Client,
    fetches: Cell<u64>,
}

impl std::fmt::Debug for ListState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ListState({})", self.url)
    }
}

impl VmListClient {
    /// Creates a client of the list at this URL with a timeout for each fetch.
    #[must_use]
    pub fn new(url: Arc<str>, timeout: TimeSpan) -> Self {
        let http = Client::builder().timeout(timeout.as_duration()).finish();
        let state = ListState {
            url,
            http,
            fetches: Cell::new(0),
        };
        Self {
            shared: Rc::new(state),
        }
    }

    /// The number of fetches made by this client and its clones, including starts of watches.
    #[must_use]
    pub fn fetches(&self) -> u64 {
        self.shared.fetches.get()
    }

    /// Fetches the complete list.
    ///
    /// # Errors
    ///
    /// Fails if the list cannot be fetched or any of its items cannot be parsed: in a partial
    /// list, VMs would seem to be gone.
    pub async fn fetch(&self) -> Result<Vec<VmRecord>, VmListError> {
        let list = self.fetch_list().await?;
        read_slices(&list.items)
    }

    /// Fetches the complete list in its published form.
    pub(crate) async fn fetch_list(&self) -> Result<SliceList, VmListError> {
        let mut response = self.get(&self.shared.url).await?;
        let body = read_body(&mut response, MAX_LIST_BYTES).await;
        let bytes = body.map_err(|e| VmListError::Unreachable(e.into()))?;
        serde_json::from_slice::<SliceList>(&bytes).map_err(|e| malformed(&e.to_string()))
    }

    /// Starts a watch for changes after a version of the list.
    pub(crate) async fn watch(&self, version: &str) -> Result<LineStream, VmListError> {
        let url = format!("{}?watch=1&resourceVersion={version}", self.shared.url);
        Ok(LineStream::new(self.get(&url).await?))
    }

    async fn get(&self, url: &str) -> Result<ClientResponse, VmListError> {
        self.shared.fetches.set(self.shared.fetches.get() + 1);
        let sent = self.shared.http.get(url).send().await;
        let response = sent.map_err(|e| VmListError::Unreachable(e.to_string().into()))?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(VmListError::Status(response.status().as_u16()))
    }
}

/// Reads all endpoints of these slices.
pub(crate) fn read_slices<'list>(
    slices: impl IntoIterator<Item = &'list EndpointSlice>,
) -> Result<Vec<VmRecord>, VmListError> {
    let mut records = Vec::new();
    for slice in slices {
        let Some(port) = slice.link_port() else {
            continue;
        };
        let offers = slice.offers()?;
        for endpoint in &slice.endpoints {
            records.push(endpoint.read(port, offers.clone())?);
        }
    }
    Ok(records)
}

/// A list and the version from which a watch continues.
#[derive(Debug, Deserialize)]
pub(crate) struct SliceList {
    #[serde(default)]
    pub(crate) metadata: ListMetadata,
    pub(crate) items: Vec<EndpointSlice>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ListMetadata {
    #[serde(default)]
    pub(crate) resource_version: Arc<str>,
}

/// Endpoints that share a port.
#[derive(Debug, Deserialize)]
pub(crate) struct EndpointSlice {
    pub(crate) metadata: SliceMetadata,
    #[serde(default)]
    endpoints: Vec<SliceEndpoint>,
    #[serde(default)]
    ports: Vec<SlicePort>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct SliceMetadata {
    #[serde(default)]
    pub(crate) name: Arc<str>,
    #[serde(default)]
    labels: std::collections::BTreeMap<Arc<str>, Arc<str>>,
}

#[derive(Debug, Deserialize)]
struct SlicePort {
    name: Option<Arc<str>>,
    port: Option<u16>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct SliceEndpoint {
    addresses: Vec<IpAddr>,
    #[serde(default)]
    conditions: EndpointConditions,
    zone: Option<DomainId>,
    target_ref: Option<TargetRef>,
}

/// Conditions of an endpoint; Kubernetes defines an absent `ready` as ready.
#[derive(Debug, Default, Deserialize)]
struct EndpointConditions {
    ready: Option<bool>,
    terminating: Option<bool>,
}

#[derive(Debug, Deserialize)]
struct TargetRef {
    uid: VmId,
}

impl EndpointSlice {
    fn link_port(&self) -> Option<u16> {
        let named = |port: &&SlicePort| port.name.as_deref() == Some(LINK_PORT);
        self.ports.iter().find(named)?.port
    }

    fn offers(&self) -> Result<VmOffer, VmListError> {
        let labels = &self.metadata.labels;
        let name = labels
            .get(SERVICE_LABEL)
            .ok_or_else(|| malformed("a slice has no service name"))?;
        match labels.get(KIND_LABEL).map(|kind| &**kind) {
            Some("model") => name.parse().map(VmOffer::Model),
            Some("service") => name.parse().map(VmOffer::Service),
            Some("entry") => Ok(VmOffer::Entry),
            _ => {
                return Err(malformed(
                    "a slice is neither a model's, a service's nor the entries'",
                ));
            }
        }
        .map_err(|e| malformed(&e.to_string()))
    }
}

impl SliceEndpoint {
    fn read(&self, port: u16, offers: VmOffer) -> Result<VmRecord, VmListError> {
        let address = self.addresses.first();
        let target = self.target_ref.as_ref();
        let domain = self.zone.clone();
        Ok(VmRecord {
            vm: target
                .ok_or_else(|| malformed("an endpoint has no uid"))?
                .uid
                .clone(),
            domain: domain.ok_or_else(|| malformed("an endpoint has no zone"))?,
            address: SocketAddr::new(
                *address.ok_or_else(|| malformed("an endpoint has no address"))?,
                port,
            ),
            offers,
            state: self.conditions.state(),
        })
    }
}

impl EndpointConditions {
    fn state(&self) -> VmState {
        if self.ready.unwrap_or(true) && !self.terminating.unwrap_or(false) {
            VmState::Live
        } else {
            VmState::Leaving
        }
    }
}

pub(crate) fn malformed(message: &str) -> VmListError {
    VmListError::Malformed(message.into())
}
