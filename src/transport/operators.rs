//! Servers of the `Peer` and `Operator` interfaces; they run on the RPC thread.

use super::rpc::{RpcError, connect};
use crate::{
    coordination::{
        config_update::UpdateOutcome, configuration::ChangeRecord, members::MemberInfo,
    },
    cranberrytray_capnp as wire,
    daemon::{
        Daemon,
        jobs::JobRequest,
        operators::{TimelineEvent, VmStatus},
    },
    protocol::peers::{
        WireError, read_config_row, read_heartbeat, read_ledger, read_member, read_slots,
        write_config_row, write_heartbeat, write_reply, write_slots,
    },
    state::id::{ConfigVersion, IdError},
};
use bytes::Bytes;
use capnp::{Error, capability::Rc};
use futures_util::future::join_all;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Timeout for another entry VM's reply while an operator's call is served.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);

struct PeerServer {
    daemon: Arc<Daemon>,
}

/// Creates the client of this process's `Peer` interface that incoming connections are given.
pub fn peer_client(daemon: Arc<Daemon>) -> wire::peer::Client {
    capnp_rpc::new_client(PeerServer { daemon })
}

impl wire::peer::Server for PeerServer {
    async fn heartbeat(
        self: Rc<Self>,
        params: wire::peer::HeartbeatParams,
        mut results: wire::peer::HeartbeatResults,
    ) -> Result<(), Error> {
        let received = read_heartbeat(params.get()?.get_beat()?)?;
        let reply = self.daemon.answer_heartbeat(&received);
        write_heartbeat(results.get().init_beat(), &reply);
        Ok(())
    }

    async fn forward(
        self: Rc<Self>,
        params: wire::peer::ForwardParams,
        mut results: wire::peer::ForwardResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let job_id = params.get_job()?.to_str()?;
        let req = JobRequest {
            id: job_id.parse().map_err(|e: IdError| WireError::from(e))?,
            verb: params.get_verb()?,
            wait: Duration::from_millis(params.get_wait_ms()),
            body: Bytes::copy_from_slice(params.get_body()?),
        };
        let daemon = Arc::clone(&self.daemon);
        let serving = self.daemon.runtime().spawn(async move { daemon.serve_forwarded(req).await });
        let reply = serving.await.map_err(|e| Error::failed(e.to_string()))?;
        write_reply(results.get().init_reply(), &reply);
        Ok(())
    }

    async fn borrow(
        self: Rc<Self>,
        params: wire::peer::BorrowParams,
        mut results: wire::peer::BorrowResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let from = read_member(params.get_from()?)?;
        let granted = self.daemon.core.lend(self.daemon.now(), &from.vm, params.get_slots());
        write_slots(results.get().init_granted(granted.len() as u32), &granted);
        Ok(())
    }

    async fn give_back(
        self: Rc<Self>,
        params: wire::peer::GiveBackParams,
        _results: wire::peer::GiveBackResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let from = read_member(params.get_from()?)?;
        let slots = read_slots(params.get_slots()?)?;
        let now = self.daemon.now();
        self.daemon.drive(|daemon, out| daemon.core.on_loan_returned(now, &from.vm, &slots, out));
        Ok(())
    }

    async fn push_config(
        self: Rc<Self>,
        params: wire::peer::PushConfigParams,
        mut results: wire::peer::PushConfigResults,
    ) -> Result<(), Error> {
        let row = read_config_row(params.get()?.get_row()?)?;
        self.daemon.apply_config(row);
        results.get().set_version(self.daemon.core.config_version().0);
        Ok(())
    }

    async fn read_config(
        self: Rc<Self>,
        _params: wire::peer::ReadConfigParams,
        mut results: wire::peer::ReadConfigResults,
    ) -> Result<(), Error> {
        let snapshot = self.daemon.platform_snapshot();
        let mut results = results.get();
        write_config_row(results.reborrow().init_row(), &snapshot.row)?;
        results.set_members(&serde_json::to_vec(&snapshot.members).map_err(WireError::from)?);
        results.set_workers(&serde_json::to_vec(&snapshot.workers).map_err(WireError::from)?);
        Ok(())
    }

    async fn issue(
        self: Rc<Self>,
        params: wire::peer::IssueParams,
        mut results: wire::peer::IssueResults,
    ) -> Result<(), Error> {
        let count = params.get()?.get_count().min(self.daemon.settings.limits.max_tickets);
        let ids = self.daemon.core.issue(self.daemon.now(), count);
        let mut list = results.get().init_ids(ids.len() as u32);
        for (i, id) in ids.iter().enumerate() {
            list.set(i as u32, id.to_string().as_str());
        }
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: wire::peer::HandOverParams,
        _results: wire::peer::HandOverResults,
    ) -> Result<(), Error> {
        let ledger = read_ledger(params.get()?.get_ledger()?)?;
        if self.daemon.core.is_leaving() {
            return Err(Error::failed("leaving".to_owned()));
        }
        let now = self.daemon.now();
        self.daemon.drive(|daemon, out| daemon.core.inherit_ledger(now, ledger, out));
        Ok(())
    }
}

struct OperatorServer {
    daemon: Arc<Daemon>,
}

/// Creates the client of this process's `Operator` interface that incoming connections are given.
pub fn operator_client(daemon: Arc<Daemon>) -> wire::operator::Client {
    capnp_rpc::new_client(OperatorServer { daemon })
}

impl OperatorServer {
    fn other_members(&self) -> Vec<MemberInfo> {
        self.daemon.core.with_members(|members| members.peers().cloned().collect())
    }
}

impl wire::operator::Server for OperatorServer {
    async fn status(
        self: Rc<Self>,
        _params: wire::operator::StatusParams,
        mut results: wire::operator::StatusResults,
    ) -> Result<(), Error> {
        let others = self.other_members();
        let queries = others.iter().map(query_status);
        let mut statuses = vec![self.daemon.status()];
        statuses.extend(join_all(queries).await);
        statuses.sort_by(|a, b| (&a.zone, &a.vm).cmp(&(&b.zone, &b.vm)));
        let mut list = results.get().init_vms(statuses.len() as u32);
        for (i, status) in statuses.iter().enumerate() {
            write_status(list.reborrow().get(i as u32), status);
        }
        Ok(())
    }

    async fn local_status(
        self: Rc<Self>,
        _params: wire::operator::LocalStatusParams,
        mut results: wire::operator::LocalStatusResults,
    ) -> Result<(), Error> {
        write_status(results.get().init_vm(), &self.daemon.status());
        Ok(())
    }

    async fn config_show(
        self: Rc<Self>,
        _params: wire::operator::ConfigShowParams,
        mut results: wire::operator::ConfigShowResults,
    ) -> Result<(), Error> {
        let row = self.daemon.core.config();
        let json = serde_json::to_vec(&row.document.configuration).map_err(WireError::from)?;
        let mut out = results.get().init_row();
        out.set_version(row.version.0);
        out.set_document(&json);
        Ok(())
    }

    async fn config_accept(
        self: Rc<Self>,
        params: wire::operator::ConfigAcceptParams,
        mut results: wire::operator::ConfigAcceptResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let base = ConfigVersion(params.get_base());
        let change = ChangeRecord {
            version: ConfigVersion::default(),
            operation: params.get_operation()?.to_string()?,
            operator: params.get_operator()?.to_string()?,
            note: params.get_note()?.to_string()?,
        };
        let result = self.daemon.accept_config(base, params.get_document()?, change).await;
        let mut results = results.get();
        let (outcome, version, message) = match &result {
            Ok(outcome @ UpdateOutcome::Accepted { version, .. }) => {
                (wire::AcceptOutcome::Accepted, *version, outcome.to_string())
            }
            Ok(outcome @ UpdateOutcome::Conflict(row)) => {
                (wire::AcceptOutcome::Conflict, row.version, outcome.to_string())
            }
            Ok(outcome @ UpdateOutcome::Unsettled) => {
                (wire::AcceptOutcome::Unsettled, ConfigVersion::default(), outcome.to_string())
            }
            Err(e) => (wire::AcceptOutcome::Invalid, ConfigVersion::default(), e.to_string()),
        };
        results.set_outcome(outcome);
        results.set_version(version.0);
        results.set_message(message.as_str());
        Ok(())
    }

    async fn config_history(
        self: Rc<Self>,
        _params: wire::operator::ConfigHistoryParams,
        mut results: wire::operator::ConfigHistoryResults,
    ) -> Result<(), Error> {
        let row = self.daemon.core.config();
        let history = &row.document.history;
        let mut list = results.get().init_changes(history.len() as u32);
        for (i, change) in history.iter().enumerate() {
            let mut out = list.reborrow().get(i as u32);
            out.set_version(change.version.0);
            out.set_operation(change.operation.as_str());
            out.set_operator(change.operator.as_str());
            out.set_note(change.note.as_str());
        }
        Ok(())
    }

    async fn timeline(
        self: Rc<Self>,
        params: wire::operator::TimelineParams,
        mut results: wire::operator::TimelineResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let cause = params.get_cause()?.to_str()?;
        let limit = params.get_limit();
        let others = self.other_members();
        let queries = others.iter().map(|member| query_events(member, cause, limit));
        let mut missing = Vec::new();
        let mut events = self.daemon.events(cause, limit as usize);
        for (member, result) in others.iter().zip(join_all(queries).await) {
            match result {
                Ok(received) => events.extend(received),
                Err(_) => missing.push(member.vm.to_string()),
            }
        }
        events.sort_by(|a, b| {
            (a.at_unix_us, &a.vm, a.sequence).cmp(&(b.at_unix_us, &b.vm, b.sequence))
        });
        let excess = events.len().saturating_sub(limit as usize);
        events.drain(..excess);
        let mut results = results.get();
        write_events(results.reborrow().init_events(events.len() as u32), &events);
        let mut list = results.init_missing(missing.len() as u32);
        for (i, vm) in missing.iter().enumerate() {
            list.set(i as u32, vm.as_str());
        }
        Ok(())
    }

    async fn local_timeline(
        self: Rc<Self>,
        params: wire::operator::LocalTimelineParams,
        mut results: wire::operator::LocalTimelineResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let cause = params.get_cause()?.to_str()?;
        let events = self.daemon.events(cause, params.get_limit() as usize);
        write_events(results.get().init_events(events.len() as u32), &events);
        Ok(())
    }
}

async fn connect_to_member(member: &MemberInfo) -> Result<wire::operator::Client, RpcError> {
    let malformed_address = |_| RpcError::Timeout;
    let address: SocketAddr = member.operators.parse().map_err(malformed_address)?;
    connect(address).await
}

async fn query_status(member: &MemberInfo) -> VmStatus {
    let query = async {
        let client = connect_to_member(member).await?;
        let res = client.local_status_request().send().promise.await?;
        Ok::<_, RpcError>(read_status(res.get()?.get_vm()?)?)
    };
    match timeout(QUERY_TIMEOUT, query).await {
        Ok(Ok(status)) => status,
        _ => VmStatus::unreachable(member),
    }
}

async fn query_events(
    member: &MemberInfo,
    cause: &str,
    limit: u32,
) -> Result<Vec<TimelineEvent>, RpcError> {
    let query = async {
        let client = connect_to_member(member).await?;
        let mut req = client.local_timeline_request();
        req.get().set_cause(cause);
        req.get().set_limit(limit);
        let res = req.send().promise.await?;
        Ok(read_events(res.get()?.get_events()?)?)
    };
    timeout(QUERY_TIMEOUT, query).await.unwrap_or(Err(RpcError::Timeout))
}

fn write_status(mut out: wire::vm_status::Builder<'_>, status: &VmStatus) {
    out.set_vm(status.vm.as_str());
    out.set_zone(status.zone.as_str());
    out.set_incarnation(status.incarnation);
    out.set_config_version(status.version.0);
    out.set_config_age_ms(status.config_age.as_millis() as u64);
    out.set_ready(status.ready);
    out.set_leaving(status.leaving);
    out.set_unreachable(status.unreachable);
    out.set_queued_tasks(status.queued);
    out.set_running_tasks(status.running);
    out.set_owned_slots(status.owned);
    out.set_idle_slots(status.idle);
    out.set_open_jobs(status.open_jobs);
    out.set_workers_set_aside(status.set_aside);
}

/// Reads the status of an entry VM.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_status(status: wire::vm_status::Reader<'_>) -> Result<VmStatus, WireError> {
    Ok(VmStatus {
        vm: status.get_vm()?.to_str()?.parse()?,
        zone: status.get_zone()?.to_str()?.parse()?,
        incarnation: status.get_incarnation(),
        version: ConfigVersion(status.get_config_version()),
        config_age: Duration::from_millis(status.get_config_age_ms()),
        ready: status.get_ready(),
        leaving: status.get_leaving(),
        unreachable: status.get_unreachable(),
        queued: status.get_queued_tasks(),
        running: status.get_running_tasks(),
        owned: status.get_owned_slots(),
        idle: status.get_idle_slots(),
        open_jobs: status.get_open_jobs(),
        set_aside: status.get_workers_set_aside(),
    })
}

fn write_events(
    mut list: capnp::struct_list::Builder<'_, wire::event::Owned>,
    events: &[TimelineEvent],
) {
    for (i, event) in events.iter().enumerate() {
        let mut out = list.reborrow().get(i as u32);
        out.set_at_unix_us(event.at_unix_us);
        out.set_sequence(event.sequence);
        out.set_vm(event.vm.as_str());
        out.set_kind(event.kind.as_str());
        out.set_cause(event.cause.as_str());
        out.set_detail(event.detail.as_str());
    }
}

/// Reads events of the timeline.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_events(
    list: capnp::struct_list::Reader<'_, wire::event::Owned>,
) -> Result<Vec<TimelineEvent>, WireError> {
    list.iter()
        .map(|event| {
            Ok(TimelineEvent {
                at_unix_us: event.get_at_unix_us(),
                sequence: event.get_sequence(),
                vm: event.get_vm()?.to_str()?.to_owned(),
                kind: event.get_kind()?.to_str()?.to_owned(),
                cause: event.get_cause()?.to_str()?.to_owned(),
                detail: event.get_detail()?.to_str()?.to_owned(),
            })
        })
        .collect()
}
