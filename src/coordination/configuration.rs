//! The configuration in force: its version only ever rises.

use super::{
    action::{Action, Event},
    core::Core,
};
use crate::state::id::{ConfigVersion, TeamName};
use derive_more::{Display, Error};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Changes kept in the configuration's row.
pub const HISTORY_LENGTH: usize = 64;

/// What a team may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRule {
    /// Its share against the other teams.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Task starts a second over all entry VMs; none means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub starts_per_s: Option<f64>,
}

fn default_weight() -> f64 {
    1.0
}

impl Default for TeamRule {
    fn default() -> Self {
        TeamRule { weight: default_weight(), starts_per_s: None }
    }
}

/// The configuration that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The teams whose jobs are accepted.
    pub teams: IndexMap<TeamName, TeamRule>,
}

/// Why a configuration can't be accepted.
#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum ConfigError {
    /// A weight is not a positive number.
    #[display("teams.{team}.weight: must be above 0 and at most 1000, is {value}")]
    Weight {
        /// The team.
        team: TeamName,
        /// The value.
        value: f64,
    },
    /// A quota is not a positive number.
    #[display("teams.{team}.starts_per_s: must be above 0, is {value}")]
    Quota {
        /// The team.
        team: TeamName,
        /// The value.
        value: f64,
    },
    /// The document is not a configuration.
    #[display("{path}: {message}")]
    Document {
        /// The field.
        path: String,
        /// What is wrong.
        message: String,
    },
}

impl Configuration {
    /// Reads and checks a JSON document.
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

    /// Checks values.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] that names the field.
    pub fn check(&self) -> Result<(), ConfigError> {
        for (team, rule) in &self.teams {
            if !(rule.weight > 0.0 && rule.weight <= 1_000.0) {
                return Err(ConfigError::Weight { team: team.clone(), value: rule.weight });
            }
            match rule.starts_per_s {
                Some(value) if !(value > 0.0 && value.is_finite()) => {
                    return Err(ConfigError::Quota { team: team.clone(), value });
                }
                _ => {}
            }
        }
        Ok(())
    }
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version it made.
    pub version: ConfigVersion,
    /// Its operation id, which tells a repeated request from another one.
    pub operation: String,
    /// Who made it.
    pub operator: String,
    /// Why.
    pub note: String,
}

/// The row in the platform's table: the configuration and its latest changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// What is in force.
    pub configuration: Configuration,
    /// The latest changes, oldest first.
    #[serde(default)]
    pub history: Vec<Change>,
}

/// A version with its document.
#[derive(Clone, Debug, Default)]
pub struct ConfigRow {
    /// The version.
    pub version: ConfigVersion,
    /// The document.
    pub document: Arc<ConfigDocument>,
}

impl ConfigRow {
    /// The row that follows this one.
    pub fn next(&self, configuration: Configuration, mut change: Change) -> ConfigRow {
        let version = ConfigVersion(self.version.0 + 1);
        change.version = version;
        let mut history = self.document.history.clone();
        history.push(change);
        let excess = history.len().saturating_sub(HISTORY_LENGTH);
        history.drain(..excess);
        ConfigRow { version, document: Arc::new(ConfigDocument { configuration, history }) }
    }
}

/// The configuration in force at one process.
#[derive(Debug, Default)]
pub struct InForce {
    row: ConfigRow,
}

impl InForce {
    /// Takes a row over if its version is higher; a lower one is ignored, whatever its source.
    pub fn offer(&mut self, row: ConfigRow) -> bool {
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
    /// Offers a configuration row; only a higher version is taken over.
    pub fn offer_config(&self, row: ConfigRow, out: &mut Vec<Action>) -> bool {
        let mut config = self.config.lock();
        let version = row.version;
        if !config.offer(row) {
            return false;
        }
        self.scheduler.lock().configure(&config.row().document.configuration);
        out.push(Action::Note(Event::ConfigInForce { version }));
        true
    }

    /// The configuration row in force.
    pub fn config(&self) -> ConfigRow {
        self.config.lock().row().clone()
    }

    /// The version in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.lock().row().version
    }
}
