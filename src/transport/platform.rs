//! Clients of the platform: one for its HTTP service, and one embedded in the entry VMs of a small
//! site.

use crate::{
    config::PlatformSettings,
    coordination::{
        config_update::WriteResult,
        configuration::{ConfigDocument, ConfigRow},
        members::MemberInfo,
    },
    protocol::platform::{
        CONFIG_ROW_PATH, IF_VERSION_HEADER, Row, VMS_PATH, VmList, WorkerList, workers_path,
    },
    state::{
        id::{ConfigVersion, VmName, ZoneName},
        pool::WorkerInfo,
    },
    transport::{
        http::{HttpError, HttpRequest},
        traffic::PLATFORM_TRAFFIC,
    },
};
use derive_more::{Display, Error, From};
use hyper::{Method, StatusCode, header::IF_NONE_MATCH};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Why a request to the platform failed.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// The platform's service could not be reached or did not answer as expected.
    #[display("platform: {_0}")]
    Http(HttpError),
}

/// Operations on the platform that the daemon needs.
pub trait Platform {
    /// Reads the configuration row. Returns `None` if its version is `known` or if there is no row
    /// yet.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the platform can't be read.
    fn read_config(
        &self,
        known: ConfigVersion,
    ) -> impl Future<Output = Result<Option<ConfigRow>, PlatformError>> + Send;

    /// Writes the configuration row on condition that the table holds the version before it.
    fn write_config(&self, row: &ConfigRow) -> impl Future<Output = WriteResult> + Send;

    /// Reads the list of entry VMs of all zones.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the platform can't be read.
    fn members(&self) -> impl Future<Output = Result<Vec<MemberInfo>, PlatformError>> + Send;

    /// Reads the list of a zone's workers.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the platform can't be read.
    fn workers(
        &self,
        zone: &ZoneName,
    ) -> impl Future<Output = Result<Vec<WorkerInfo>, PlatformError>> + Send;
}

/// Client of the platform's HTTP service.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    timeout: Duration,
    vms: Arc<Mutex<Cached<VmList>>>,
    workers: Arc<Mutex<Cached<WorkerList>>>,
}

/// Value of the latest read and its entity tag, with which the next read is conditional.
#[derive(Debug, Default)]
struct Cached<T> {
    etag: Option<String>,
    value: T,
}

impl HttpPlatform {
    /// Creates a client of the service at `address`; `timeout` limits each request.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        HttpPlatform { address, timeout, vms: Arc::default(), workers: Arc::default() }
    }

    fn request(&self, method: Method, path: impl Into<String>) -> HttpRequest {
        HttpRequest::new(method, path).timeout(self.timeout).count_traffic(&PLATFORM_TRAFFIC)
    }

    async fn read_list<T>(&self, path: &str, cache: &Mutex<Cached<T>>) -> Result<T, PlatformError>
    where
        T: Clone + DeserializeOwned,
    {
        let mut req = self.request(Method::GET, path);
        if let Some(etag) = &cache.lock().etag {
            req = req.header(IF_NONE_MATCH, etag);
        }
        let res = req.send(self.address).await?;
        if res.status != StatusCode::NOT_MODIFIED {
            let value: T = res.json()?;
            *cache.lock() = Cached { etag: res.header("etag").map(str::to_owned), value };
        }
        Ok(cache.lock().value.clone())
    }
}

impl Platform for HttpPlatform {
    async fn read_config(&self, known: ConfigVersion) -> Result<Option<ConfigRow>, PlatformError> {
        let etag = format!("\"{}\"", known.0);
        let req = self.request(Method::GET, CONFIG_ROW_PATH).header(IF_NONE_MATCH, etag);
        let res = req.send(self.address).await?;
        if matches!(res.status, StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED) {
            return Ok(None);
        }
        let row: Row = res.json()?;
        Ok(Some(row.into()))
    }

    async fn write_config(&self, row: &ConfigRow) -> WriteResult {
        let Ok(body) = serde_json::to_vec(row.document.as_ref()) else {
            return WriteResult::Lost;
        };
        let expected_version = row.version.0.saturating_sub(1);
        let req = self
            .request(Method::PUT, CONFIG_ROW_PATH)
            .header(IF_VERSION_HEADER, expected_version)
            .body(body);
        match req.send(self.address).await.map(|res| res.status) {
            Ok(StatusCode::OK) => WriteResult::Written,
            Ok(StatusCode::PRECONDITION_FAILED) => WriteResult::Mismatch,
            _ => WriteResult::Lost,
        }
    }

    async fn members(&self) -> Result<Vec<MemberInfo>, PlatformError> {
        Ok(self.read_list(VMS_PATH, &self.vms).await?.vms)
    }

    async fn workers(&self, zone: &ZoneName) -> Result<Vec<WorkerInfo>, PlatformError> {
        Ok(self.read_list(&workers_path(zone), &self.workers).await?.workers)
    }
}

/// Embedded platform of a small site. The lists come from the settings. Only the first entry VM
/// accepts changes of the configuration and keeps them, in memory.
#[derive(Clone, Debug)]
pub struct EmbeddedPlatform {
    stores_config: bool,
    row: Arc<Mutex<ConfigRow>>,
    members: Vec<MemberInfo>,
    workers: Vec<WorkerInfo>,
}

impl EmbeddedPlatform {
    /// Creates the platform as seen by `vm`, with `document` as version 1 of the configuration.
    pub fn new(
        vm: &VmName,
        document: ConfigDocument,
        members: Vec<MemberInfo>,
        workers: Vec<WorkerInfo>,
    ) -> Self {
        let row = ConfigRow { version: ConfigVersion(1), document: Arc::new(document) };
        EmbeddedPlatform {
            stores_config: members.first().is_none_or(|first| first.vm == *vm),
            row: Arc::new(Mutex::new(row)),
            members,
            workers,
        }
    }
}

impl Platform for EmbeddedPlatform {
    async fn read_config(&self, known: ConfigVersion) -> Result<Option<ConfigRow>, PlatformError> {
        let row = self.row.lock().clone();
        Ok((row.version != known).then_some(row))
    }

    async fn write_config(&self, row: &ConfigRow) -> WriteResult {
        let mut current = self.row.lock();
        if !self.stores_config {
            return WriteResult::Lost;
        }
        if current.version.0 + 1 != row.version.0 {
            return WriteResult::Mismatch;
        }
        *current = row.clone();
        WriteResult::Written
    }

    async fn members(&self) -> Result<Vec<MemberInfo>, PlatformError> {
        Ok(self.members.clone())
    }

    async fn workers(&self, _zone: &ZoneName) -> Result<Vec<WorkerInfo>, PlatformError> {
        Ok(self.workers.clone())
    }
}

/// Client of the kind of platform that the settings select.
#[derive(Clone, Debug)]
pub enum AnyPlatform {
    /// The platform is an HTTP service.
    Service(HttpPlatform),
    /// The platform is embedded in the entry VMs.
    Embedded(EmbeddedPlatform),
}

impl AnyPlatform {
    /// Creates the client of the platform that the settings select.
    pub fn new(vm: &VmName, settings: &PlatformSettings) -> Self {
        match settings {
            PlatformSettings::Service { address, timeout_ms, .. } => {
                let timeout = Duration::from_millis(*timeout_ms);
                AnyPlatform::Service(HttpPlatform::new(*address, timeout))
            }
            PlatformSettings::Embedded { configuration, members, workers } => {
                let document =
                    ConfigDocument { configuration: configuration.clone(), history: Vec::new() };
                let (members, workers) = (members.clone(), workers.clone());
                AnyPlatform::Embedded(EmbeddedPlatform::new(vm, document, members, workers))
            }
        }
    }
}

impl Platform for AnyPlatform {
    async fn read_config(&self, known: ConfigVersion) -> Result<Option<ConfigRow>, PlatformError> {
        match self {
            AnyPlatform::Service(platform) => platform.read_config(known).await,
            AnyPlatform::Embedded(platform) => platform.read_config(known).await,
        }
    }

    async fn write_config(&self, row: &ConfigRow) -> WriteResult {
        match self {
            AnyPlatform::Service(platform) => platform.write_config(row).await,
            AnyPlatform::Embedded(platform) => platform.write_config(row).await,
        }
    }

    async fn members(&self) -> Result<Vec<MemberInfo>, PlatformError> {
        match self {
            AnyPlatform::Service(platform) => platform.members().await,
            AnyPlatform::Embedded(platform) => platform.members().await,
        }
    }

    async fn workers(&self, zone: &ZoneName) -> Result<Vec<WorkerInfo>, PlatformError> {
        match self {
            AnyPlatform::Service(platform) => platform.workers(zone).await,
            AnyPlatform::Embedded(platform) => platform.workers(zone).await,
        }
    }
}
