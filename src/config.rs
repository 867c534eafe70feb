//! Settings of the daemon: JSON with comments, validated when they are loaded.

use crate::{
    coordination::{configuration::Configuration, members::MemberInfo},
    protocol::callers::Limits,
    state::{
        id::{VmName, ZoneName, deserialize_plain},
        policy::Policy,
        pool::WorkerInfo,
    },
};
use derive_more::{Display, Error};
use json_comments::StripComments;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use std::{io::Read, net::SocketAddr, path::Path, time::Duration};

/// Why settings can't be loaded.
#[derive(Debug, Display, Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("{file}: can't be read")]
    #[diagnostic(code(settings::file), help("check the path given with --settings"))]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        #[error(source)]
        cause: std::io::Error,
    },
    /// A field is missing, unknown, or of the wrong type.
    #[display("{file}: {field}: {message}")]
    #[diagnostic(code(settings::field), help("docs/OPERATIONS.md lists every field"))]
    Field {
        /// Path of the file.
        file: String,
        /// Path of the field in the document; `.` for the whole document.
        field: String,
        /// Error of the parser.
        message: String,
    },
    /// A field has a value that is not allowed.
    #[display("{file}: {field}: {value} is not allowed, expected {allowed}")]
    #[diagnostic(code(settings::value), help("change the field to an allowed value"))]
    Value {
        /// Path of the file.
        file: String,
        /// Path of the field in the document.
        field: String,
        /// Value that was found.
        value: String,
        /// Values that are allowed.
        allowed: String,
    },
}

/// Where the configuration and the lists of entry VMs and workers are read from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "PlatformDocument", into = "PlatformDocument")]
pub enum PlatformSettings {
    /// A service of the platform, reached over HTTP.
    Service {
        /// Address of the service.
        address: SocketAddr,
        /// Time between two reads of the configuration and the lists, in milliseconds.
        poll_ms: u64,
        /// Longest wait for the response to one request, in milliseconds.
        timeout_ms: u64,
    },
    /// No service: the settings hold the configuration and the lists.
    Embedded {
        /// Initial configuration, which gets version 1.
        configuration: Configuration,
        /// Entry VMs of the site; empty if there is only this one. The first of them holds the
        /// configuration and is the only one that accepts changes.
        members: Vec<MemberInfo>,
        /// Workers of this zone.
        workers: Vec<WorkerInfo>,
    },
}

/// Value of the field `kind`, which selects the variant of [`PlatformSettings`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum PlatformKind {
    Service,
    Embedded,
}

/// The fields of all kinds of platform, as written in the file. A struct instead of a tagged enum,
/// so that an error names the field.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlatformDocument {
    kind: PlatformKind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    address: Option<SocketAddr>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    poll_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    timeout_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    configuration: Option<Configuration>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    members: Option<Vec<MemberInfo>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    workers: Option<Vec<WorkerInfo>>,
}

/// A field that the kind of platform requires is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("{field} is missing")]
struct MissingField {
    field: &'static str,
}

/// Default of [`PlatformSettings::Service::poll_ms`].
const DEFAULT_POLL_MS: u64 = 2_000;
/// Default of [`PlatformSettings::Service::timeout_ms`].
const DEFAULT_TIMEOUT_MS: u64 = 1_500;

impl TryFrom<PlatformDocument> for PlatformSettings {
    type Error = MissingField;

    fn try_from(document: PlatformDocument) -> Result<Self, MissingField> {
        let missing = |field| MissingField { field };
        Ok(match document.kind {
            PlatformKind::Service => PlatformSettings::Service {
                address: document.address.ok_or(missing("address"))?,
                poll_ms: document.poll_ms.unwrap_or(DEFAULT_POLL_MS),
                timeout_ms: document.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS),
            },
            PlatformKind::Embedded => PlatformSettings::Embedded {
                configuration: document.configuration.ok_or(missing("configuration"))?,
                members: document.members.unwrap_or_default(),
                workers: document.workers.ok_or(missing("workers"))?,
            },
        })
    }
}

impl From<PlatformSettings> for PlatformDocument {
    fn from(settings: PlatformSettings) -> Self {
        let mut document = PlatformDocument {
            kind: PlatformKind::Service,
            address: None,
            poll_ms: None,
            timeout_ms: None,
            configuration: None,
            members: None,
            workers: None,
        };
        match settings {
            PlatformSettings::Service { address, poll_ms, timeout_ms } => {
                document.address = Some(address);
                document.poll_ms = Some(poll_ms);
                document.timeout_ms = Some(timeout_ms);
            }
            PlatformSettings::Embedded { configuration, members, workers } => {
                document.kind = PlatformKind::Embedded;
                document.configuration = Some(configuration);
                document.members = Some(members);
                document.workers = Some(workers);
            }
        }
        document
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    #[display("json")]
    Json,
    /// One line of text per record, for reading in a terminal.
    #[display("text")]
    Text,
}

/// Which log records are written, and in which format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Format of log lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { level: "info".to_owned(), format: LogFormat::default() }
    }
}

/// The settings of one `cranberrytrayd`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this entry VM.
    #[serde(deserialize_with = "deserialize_plain")]
    pub vm: VmName,
    /// Availability zone of this entry VM.
    #[serde(deserialize_with = "deserialize_plain")]
    pub zone: ZoneName,
    /// Address at which callers are served (HTTP).
    pub callers: SocketAddr,
    /// Address at which peers are served (Cap'n Proto RPC).
    pub peers: SocketAddr,
    /// Address at which operators are served (Cap'n Proto RPC).
    pub operators: SocketAddr,
    /// Address at which metrics and the load balancer's health checks are served (HTTP).
    pub health: SocketAddr,
    /// Where the configuration and the lists are read from.
    pub platform: PlatformSettings,
    /// Peers' addresses from which the configuration is also read at the start, so that the process
    /// can start while the platform is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of the decision core.
    #[serde(default)]
    pub policy: Policy,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Longest time for accepted jobs to finish when the process is stopped, in milliseconds.
    #[serde(default = "default_leave_ms")]
    pub leave_ms: u64,
    /// Time between two heartbeats to a zone peer, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Most events kept in the timeline.
    #[serde(default = "default_timeline_events")]
    pub timeline_events: usize,
}

fn default_leave_ms() -> u64 {
    70_000
}

fn default_heartbeat_ms() -> u64 {
    500
}

fn default_timeline_events() -> usize {
    65_536
}

impl Settings {
    /// Reads settings from a file and validates them.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] that names the file, the field and the allowed values; its source is the
    /// I/O error if the file can't be read.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Read { file: file.clone(), cause })?;
        Settings::parse(&file, &text)
    }

    /// Reads settings from a text and validates them; errors name `file` as their origin.
    ///
    /// ```
    /// use cranberrytray::config::Settings;
    ///
    /// let e = Settings::parse("x.json", r#"{ "vm": "Upper" /* not allowed */ }"#).unwrap_err();
    /// assert!(e.to_string().starts_with("x.json: vm: "));
    /// ```
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] that names the field.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let field_error = |field: String, message: String| SettingsError::Field {
            file: file.to_owned(),
            field,
            message,
        };
        let mut json = String::new();
        StripComments::new(text.as_bytes())
            .read_to_string(&mut json)
            .map_err(|e| field_error(".".to_owned(), e.to_string()))?;
        let mut de = serde_json::Deserializer::from_str(&json);
        let settings: Settings = serde_path_to_error::deserialize(&mut de)
            .map_err(|e| field_error(e.path().to_string(), e.inner().to_string()))?;
        de.end().map_err(|e| field_error(".".to_owned(), e.to_string()))?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Checks for values that the fields' types allow but the daemon can't use.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Value`] for the first such value; `file` is the file that it names.
    pub fn check(&self, file: &str) -> Result<(), SettingsError> {
        let check = Checker { file };
        self.check_addresses(&check)?;
        self.check_limits(&check)?;
        self.check_policy(&check)?;
        check.range("heartbeat_ms", self.heartbeat_ms, 50, 2_000)?;
        check.range("timeline_events", self.timeline_events as u64, 16, 10_000_000)?;
        check.range("leave_ms", self.leave_ms, 1, 3_600_000)?;
        let levels = ["error", "warn", "info", "debug", "trace"];
        let is_known = levels.contains(&self.log.level.as_str());
        check.require(is_known, "log.level", &self.log.level, &levels.join(", "))?;
        self.check_platform(&check)
    }

    fn check_addresses(&self, check: &Checker<'_>) -> Result<(), SettingsError> {
        let addresses = [
            ("callers", self.callers),
            ("peers", self.peers),
            ("operators", self.operators),
            ("health", self.health),
        ];
        for (i, (name, address)) in addresses.iter().enumerate() {
            let is_used = addresses[..i].iter().any(|(_, other)| other == address);
            check.require(!is_used, name, address, "an address that no other field has")?;
        }
        Ok(())
    }

    fn check_limits(&self, check: &Checker<'_>) -> Result<(), SettingsError> {
        let limits = &self.limits;
        check.range("limits.max_body_bytes", limits.max_body_bytes as u64, 1_024, 1 << 30)?;
        check.range("limits.max_tasks", limits.max_tasks as u64, 1, 10_000)?;
        check.range("limits.max_tickets", u64::from(limits.max_tickets), 1, 100_000)?;
        check.range("limits.max_requests", limits.max_requests as u64, 1, 1_000_000)?;
        check.range("limits.header_timeout_ms", limits.header_timeout_ms, 100, 600_000)?;
        check.range("limits.body_timeout_ms", limits.body_timeout_ms, 100, 600_000)?;
        check.range("limits.max_header_bytes", limits.max_header_bytes as u64, 8_192, 1 << 20)?;
        check.range("limits.max_connections", limits.max_connections() as u64, 1, 2_000_000)?;
        let body_memory = limits.max_body_memory_bytes as u64;
        check.range("limits.max_body_memory_bytes", body_memory, 1_024, 1 << 40)?;
        check.range("limits.idle_timeout_ms", limits.idle_timeout_ms, 100, 3_600_000)?;
        check.range("limits.max_deadline_ms", limits.max_deadline_ms, 1, 3_600_000)
    }

    fn check_policy(&self, check: &Checker<'_>) -> Result<(), SettingsError> {
        let policy = &self.policy;
        let weight = policy.waste_weight;
        let in_range = (0.0..=1.0).contains(&weight);
        check.require(in_range, "policy.waste_weight", weight, "0 to 1")?;
        let share = policy.express_share;
        check.require((0.0..=0.5).contains(&share), "policy.express_share", share, "0 to 0.5")?;
        let share = policy.retry_share;
        check.require((0.0..=1.0).contains(&share), "policy.retry_share", share, "0 to 1")?;
        check.range("policy.dispatchers", u64::from(policy.dispatchers), 1, 64)?;
        let connections = u64::from(policy.connections_per_worker);
        check.range("policy.connections_per_worker", connections, 1, 64)?;
        let ticket_life = policy.ticket_life_ms;
        let max_deadline = self.limits.max_deadline_ms;
        check.range("policy.ticket_life_ms", ticket_life, max_deadline, 86_400_000)
    }

    fn check_platform(&self, check: &Checker<'_>) -> Result<(), SettingsError> {
        match &self.platform {
            PlatformSettings::Service { poll_ms, timeout_ms, .. } => {
                check.range("platform.poll_ms", *poll_ms, 100, 4_000)?;
                check.range("platform.timeout_ms", *timeout_ms, 50, 60_000)
            }
            PlatformSettings::Embedded { configuration, members, workers } => {
                let checked = configuration.check();
                let message = checked.as_ref().err().map_or(String::new(), ToString::to_string);
                check.require(
                    checked.is_ok(),
                    "platform.configuration",
                    message,
                    "a valid configuration",
                )?;
                for worker in workers {
                    let is_valid = worker.address.parse::<SocketAddr>().is_ok();
                    let field = format!("platform.workers.{}.address", worker.name);
                    check.require(is_valid, &field, &worker.address, "an IP address and a port")?;
                    let field = format!("platform.workers.{}.slots", worker.name);
                    check.range(&field, u64::from(worker.slots), 1, 4_096)?;
                }
                let lists_this_vm = members.is_empty() || members.iter().any(|m| m.vm == self.vm);
                check.require(
                    lists_this_vm,
                    "platform.members",
                    "a list without this VM",
                    "a list with this VM",
                )
            }
        }
    }

    /// Returns the time between two heartbeats to a zone peer.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }
}

/// Checks values of settings; its errors name `file` as their origin.
struct Checker<'a> {
    file: &'a str,
}

impl Checker<'_> {
    fn require<V>(
        &self,
        ok: bool,
        field: &str,
        value: V,
        allowed: &str,
    ) -> Result<(), SettingsError>
    where
        V: ToString,
    {
        if ok {
            return Ok(());
        }
        Err(SettingsError::Value {
            file: self.file.to_owned(),
            field: field.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        })
    }

    /// Returns an error unless `value` is from `min` to `max`, both included.
    fn range(&self, field: &str, value: u64, min: u64, max: u64) -> Result<(), SettingsError> {
        let in_range = (min..=max).contains(&value);
        self.require(in_range, field, value, &format!("{min} to {max}"))
    }
}
