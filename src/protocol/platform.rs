//! The platform's HTTP interface: a table with conditional writes, and lists of VMs and workers,
//! all in JSON.

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

/// Path of the table row that holds the configuration.
pub const CONFIG_ROW_PATH: &str = "/v1/tables/cranberrytray/rows/configuration";
/// Path of the list of entry VMs.
pub const VMS_PATH: &str = "/v1/vms";
/// Header of a conditional write: the version that the row must have, where 0 requires that there
/// is no row.
pub const IF_VERSION_HEADER: HeaderName = HeaderName::from_static("if-version");

/// Returns the path of the list of a zone's workers.
pub fn workers_path(zone: &ZoneName) -> String {
    format!("/v1/zones/{zone}/workers")
}

/// The configuration's row as stored in the platform's table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Version of the row: 1 for the first, and one more with each write.
    pub version: u64,
    /// Configuration and history stored in the row.
    pub value: ConfigDocument,
}

impl From<Row> for ConfigRow {
    fn from(row: Row) -> Self {
        ConfigRow { version: ConfigVersion(row.version), document: Arc::new(row.value) }
    }
}

/// The platform's list of entry VMs, including those that are leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Entry VMs of all zones.
    pub vms: Vec<MemberInfo>,
}

/// The platform's list of the workers of one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerList {
    /// Workers of the zone, including those that are leaving.
    pub workers: Vec<WorkerInfo>,
}
