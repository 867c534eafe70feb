//! The platform's interface: conditional table writes and lists, JSON over HTTP.

use crate::{
    coordination::{
        configuration::{ConfigDocument, ConfigRow},
        members::MemberInfo,
    },
    state::{
        id::{ConfigVersion, ZoneName},
        pool::WorkerInfo,
    },
};
use hyper::header::HeaderName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The row that holds the configuration.
pub const CONFIG_ROW_PATH: &str = "/v1/tables/cranberrytray/rows/configuration";
/// The list of entry VMs.
pub const VMS_PATH: &str = "/v1/vms";
/// A write takes effect only if the row has this version; 0 means that there is no row.
pub const IF_VERSION_HEADER: HeaderName = HeaderName::from_static("if-version");

/// The list of a zone's workers.
pub fn workers_path(zone: &ZoneName) -> String {
    format!("/v1/zones/{zone}/workers")
}

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its version, 1 for the first.
    pub version: u64,
    /// Its value.
    pub value: ConfigDocument,
}

impl From<Row> for ConfigRow {
    fn from(row: Row) -> Self {
        ConfigRow { version: ConfigVersion(row.version), document: Arc::new(row.value) }
    }
}

/// The list of live and leaving entry VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<MemberInfo>,
}

/// The list of a zone's workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerList {
    /// The workers.
    pub workers: Vec<WorkerInfo>,
}
