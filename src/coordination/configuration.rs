//! The configuration that operators declare: its document, its checks, its row in the platform's
//! table, and the version in force on this entry VM, which never decreases.

use super::{
    action::{Action, Event},
    core::Core,
};
use crate::state::id::{ConfigVersion, TeamName};
use derive_more::{Display, Error};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Largest number of changes kept in the history of the configuration row.
pub const MAX_HISTORY_CHANGES: usize = 64;

/// Settings of one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSettings {
    /// Weight in fair sharing, relative to the other teams; above 0, at most 1000.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Quota of task starts a second, over all entry VMs; `None` means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub starts_per_s: Option<f64>,
}

fn default_weight() -> f64 {
    1.0
}

impl Default for TeamSettings {
    fn default() -> Self {
        TeamSettings { weight: default_weight(), starts_per_s: None }
    }
}

/// The configuration that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Settings by team; jobs of other teams are not accepted.
    pub teams: IndexMap<TeamName, TeamSettings>,
}

/// Why a configuration document is rejected.
#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum ConfigError {
    /// A weight is out of its range.
    #[display("teams.{team}.weight: must be above 0 and at most 1000, is {value}")]
    Weight {
        /// Team with the weight.
        team: TeamName,
        /// Weight in the document.
        value: f64,
    },
    /// A quota is not a finite positive number.
    #[display("teams.{team}.starts_per_s: must be above 0, is {value}")]
    Quota {
        /// Team with the quota.
        team: TeamName,
        /// Quota in the document.
        value: f64,
    },
    /// The document is not JSON of the expected structure.
    #[display("{path}: {message}")]
    Document {
        /// Path of the field, such as `teams.drafting.weight`.
        path: String,
        /// Message of the JSON parser.
        message: String,
    },
}

impl Configuration {
    /// Parses a JSON document and checks its values.
    ///
    /// ```
    /// use cranberrytray::coordination::configuration::Configuration;
    ///
    /// let document = br#"{ "teams": { "rounds": { "weight": 2.0, "starts_per_s": 50.0 } } }"#;
    /// assert_eq!(Configuration::parse(document).unwrap().teams.len(), 1);
    /// let e = Configuration::parse(br#"{ "teams": { "rounds": { "weight": 0 } } }"#).unwrap_err();
    /// assert!(e.to_string().starts_with("teams.rounds.weight: "));
    /// ```
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] that names the field.
    pub fn parse(document: &[u8]) -> Result<Self, ConfigError> {
        let mut de = serde_json::Deserializer::from_slice(document);
        let config: Configuration = serde_path_to_error::deserialize(&mut de).map_err(|e| {
            ConfigError::Document { path: e.path().to_string(), message: e.inner().to_string() }
        })?;
        config.check()?;
        Ok(config)
    }

    /// Checks that weights and quotas are in their ranges.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] that names the field.
    pub fn check(&self) -> Result<(), ConfigError> {
        for (team, settings) in &self.teams {
            if !(settings.weight > 0.0 && settings.weight <= 1_000.0) {
                return Err(ConfigError::Weight { team: team.clone(), value: settings.weight });
            }
            match settings.starts_per_s {
                Some(value) if !(value > 0.0 && value.is_finite()) => {
                    return Err(ConfigError::Quota { team: team.clone(), value });
                }
                _ => {}
            }
        }
        Ok(())
    }
}

/// Entry of the history in the configuration row, as stored in the platform's table. The types in
/// [`client`](crate::client) hold the requests and replies of the operator interface instead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Version of the configuration that the change created.
    pub version: ConfigVersion,
    /// Operation id chosen by the operator's client; a repeated request carries the same one.
    pub operation: String,
    /// Name of the operator.
    pub operator: String,
    /// Reason for the change, as the operator wrote it; may be empty.
    pub note: String,
}

/// Content of the row in the platform's table: a configuration and the history of its changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Configuration of the row's version.
    pub configuration: Configuration,
    /// The latest changes, at most [`MAX_HISTORY_CHANGES`], oldest first.
    #[serde(default)]
    pub history: Vec<ChangeRecord>,
}

/// The configuration row: a version and its document.
#[derive(Clone, Debug, Default)]
pub struct ConfigRow {
    /// Version of the row; 0 before the first configuration is written.
    pub version: ConfigVersion,
    /// Content of the row.
    pub document: Arc<ConfigDocument>,
}

impl ConfigRow {
    /// Builds the row that succeeds this one, with `change` at the end of its history.
    pub fn next(&self, configuration: Configuration, mut change: ChangeRecord) -> ConfigRow {
        let version = ConfigVersion(self.version.0 + 1);
        change.version = version;
        let mut history = self.document.history.clone();
        history.push(change);
        let excess = history.len().saturating_sub(MAX_HISTORY_CHANGES);
        history.drain(..excess);
        ConfigRow { version, document: Arc::new(ConfigDocument { configuration, history }) }
    }
}

/// The configuration in force in this process; its version never decreases.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    row: ConfigRow,
}

impl ActiveConfig {
    /// Replaces the row if the version of `row` is higher, whatever its source. Returns whether
    /// it was replaced.
    pub fn replace_if_newer(&mut self, row: ConfigRow) -> bool {
        let newer = row.version > self.row.version;
        if newer {
            self.row = row;
        }
        newer
    }

    /// The row in force.
    pub fn row(&self) -> &ConfigRow {
        &self.row
    }
}

impl Core {
    /// Puts a configuration row in force if its version is higher than the present one. Returns
    /// whether it did.
    pub fn replace_config_if_newer(&self, row: ConfigRow, out: &mut Vec<Action>) -> bool {
        let mut config = self.config.lock();
        let version = row.version;
        if !config.replace_if_newer(row) {
            return false;
        }
        self.scheduler.lock().configure(&config.row().document.configuration);
        out.push(Action::Record(Event::ConfigInForce { version }));
        true
    }

    /// Returns the configuration row in force.
    pub fn config(&self) -> ConfigRow {
        self.config.lock().row().clone()
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.lock().row().version
    }
}
