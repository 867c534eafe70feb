//! Clients of the platform: its service over HTTP, or the embedded stand-in of a small site.

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
        http::{Call, HttpError},
        traffic::PLATFORM,
    },
};
use derive_more::{Display, Error, From};
use hyper::{Method, StatusCode, header::IF_NONE_MATCH};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Why the platform can't be asked.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// Its service does not answer as it should.
    #[display("platform: {_0}")]
    Http(HttpError),
}

/// What the daemon needs from the platform.
pub trait Platform {
    /// Reads the configuration row if its version is not `known`; none if it is, or if there is
    /// no row yet.
    ///
    /// # Errors
    ///
    /// A [`PlatformError`] if the platform does not answer.
    fn read_config(
        &self,
        known: ConfigVersion,
    ) -> impl Future<Output = Result<Option<ConfigRow>, PlatformError>> + Send;

    /// Writes the configuration row if the version in the table is the one before it.
    fn write_config(&self, row: &ConfigRow) -> impl Future<Output = WriteResult> + Send;

    /// Reads the list of entry VMs.
    ///
    /// # Errors
    ///
    /// A [`PlatformError`] if the platform does not answer.
    fn members(&self) -> impl Future<Output = Result<Vec<MemberInfo>, PlatformError>> + Send;

    /// Reads the list of a zone's workers.
    ///
    /// # Errors
    ///
    /// A [`PlatformError`] if the platform does not answer.
    fn workers(
        &self,
        zone: &ZoneName,
    ) -> impl Future<Output = Result<Vec<WorkerInfo>, PlatformError>> + Send;
}

/// The platform's service.
#[derive(Clone, Debug)]
pub struct ServicePlatform {
    address: SocketAddr,
    timeout: Duration,
    vms: Arc<Mutex<Cached<VmList>>>,
    workers: Arc<Mutex<Cached<WorkerList>>>,
}

/// The last answer to a read, and the tag that asks whether it still holds.
#[derive(Debug, Default)]
struct Cached<T> {
    tag: Option<String>,
    value: T,
}

impl ServicePlatform {
    /// The service at `address`; each call waits for `timeout` at most.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        ServicePlatform { address, timeout, vms: Arc::default(), workers: Arc::default() }
    }

    fn call(&self, method: Method, path: impl Into<String>) -> Call {
        Call::new(method, path).timeout(self.timeout).counted(&PLATFORM)
    }

    async fn read_list<T>(&self, path: &str, cache: &Mutex<Cached<T>>) -> Result<T, PlatformError>
    where
        T: Clone + DeserializeOwned,
    {
        let mut call = self.call(Method::GET, path);
        if let Some(tag) = &cache.lock().tag {
            call = call.header(IF_NONE_MATCH, tag);
        }
        let res = call.send(self.address).await?;
        if res.status != StatusCode::NOT_MODIFIED {
            let value: T = res.json()?;
            *cache.lock() = Cached { tag: res.header("etag").map(str::to_owned), value };
        }
        Ok(cache.lock().value.clone())
    }
}

impl Platform for ServicePlatform {
    async fn read_config(&self, known: ConfigVersion) -> Result<Option<ConfigRow>, PlatformError> {
        let tag = format!("\"{}\"", known.0);
        let call = self.call(Method::GET, CONFIG_ROW_PATH).header(IF_NONE_MATCH, tag);
        let res = call.send(self.address).await?;
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
        let before = row.version.0.saturating_sub(1);
        let call =
            self.call(Method::PUT, CONFIG_ROW_PATH).header(IF_VERSION_HEADER, before).body(body);
        match call.send(self.address).await.map(|res| res.status) {
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

/// The embedded platform of a small site: lists from the settings, the configuration in the
/// memory of the first entry VM.
#[derive(Clone, Debug)]
pub struct EmbeddedPlatform {
    keeper: bool,
    row: Arc<Mutex<ConfigRow>>,
    members: Vec<MemberInfo>,
    workers: Vec<WorkerInfo>,
}

impl EmbeddedPlatform {
    /// The platform as `vm` sees it.
    pub fn new(
        vm: &VmName,
        document: ConfigDocument,
        members: Vec<MemberInfo>,
        workers: Vec<WorkerInfo>,
    ) -> Self {
        let row = ConfigRow { version: ConfigVersion(1), document: Arc::new(document) };
        EmbeddedPlatform {
            keeper: members.first().is_none_or(|first| first.vm == *vm),
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
        if !self.keeper {
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

/// Either kind of platform.
#[derive(Clone, Debug)]
pub enum AnyPlatform {
    /// The platform's service.
    Service(ServicePlatform),
    /// The embedded one.
    Embedded(EmbeddedPlatform),
}

impl AnyPlatform {
    /// The platform that the settings name.
    pub fn new(vm: &VmName, settings: &PlatformSettings) -> Self {
        match settings {
            PlatformSettings::Service { address, timeout_ms, .. } => {
                let timeout = Duration::from_millis(*timeout_ms);
                AnyPlatform::Service(ServicePlatform::new(*address, timeout))
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
