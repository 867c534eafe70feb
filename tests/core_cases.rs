//! Tests of single decisions of the daemon's core.

use cranberrytray::{
    coordination::{
        action::Action,
        configuration::{ConfigDocument, ConfigRow, Configuration},
        core::Core,
        status::JobStatus,
    },
    state::{
        id::{ConfigVersion, JobId, WorkerName},
        job::{Answer, JobSpec, RefuseReason, StartResult, TaskSpec},
        ledger::{TagKey, parse_issuer},
        policy::Policy,
        pool::WorkerInfo,
        time::Moment,
    },
};
use std::{sync::Arc, time::Duration};

const NOW: Moment = Moment::ZERO;

/// A core with one team, `drafting`, and workers of two slots each.
fn core(policy: Policy, workers: &[&str]) -> Core {
    let core = Core::new(parse_issuer("a", "a-1", 1).unwrap(), TagKey([1; 16]), policy, 1);
    let teams = [("drafting".parse().unwrap(), Default::default())];
    let configuration = Configuration { teams: teams.into_iter().collect() };
    let document = Arc::new(ConfigDocument { configuration, history: Vec::new() });
    let mut out = Vec::new();
    core.replace_config_if_newer(ConfigRow { version: ConfigVersion(1), document }, &mut out);
    let info = |name: &&str| WorkerInfo::new(name.parse().unwrap(), "127.0.0.1:1").slots(2);
    let list: Vec<WorkerInfo> = workers.iter().map(info).collect();
    core.on_worker_list(NOW, &list, &mut out);
    core
}

/// A job of `tasks` tasks.
fn spec(tasks: usize) -> Arc<JobSpec> {
    let spec = JobSpec::new("drafting".parse().unwrap(), "sort".parse().unwrap());
    Arc::new((0..tasks).fold(spec, |spec, _| spec.task(TaskSpec::new("").declared_ms(50))))
}

/// Issues one job id.
fn issue_id(core: &Core) -> JobId {
    core.issue(NOW, 1).remove(0)
}

/// The workers of all start requests among the actions.
fn started_on(out: &[Action]) -> Vec<WorkerName> {
    let worker = |action: &Action| match action {
        Action::Start(order) => Some(order.worker.clone()),
        _ => None,
    };
    out.iter().filter_map(worker).collect()
}

#[test]
fn submit_while_leaving_is_not_run() {
    let core = core(Policy::default(), &["w-1"]);
    let id = issue_id(&core);
    let mut out = Vec::new();
    core.leave(NOW, &mut out);
    let reply = core.submit(NOW, &id, spec(1), &mut out);
    let Ok(JobStatus::Final(answer)) = reply else { panic!("{reply:?}") };
    assert!(matches!(*answer, Answer::NotRun { reason: RefuseReason::Leaving, .. }), "{answer:?}");
    assert!(started_on(&out).is_empty());
    assert!(core.issue(NOW, 1).is_empty());
}

#[test]
fn on_worker_leaving_gets_no_start() {
    let core = core(Policy::default(), &["w-1", "w-2"]);
    core.on_worker_leaving(&"w-1".parse().unwrap());
    let mut out = Vec::new();
    core.submit(NOW, &issue_id(&core), spec(4), &mut out).unwrap();
    assert_eq!(started_on(&out), ["w-2".parse().unwrap(), "w-2".parse().unwrap()]);
}

#[test]
fn on_task_ended_twice_counts_once() {
    let core = core(Policy::default(), &["w-1"]);
    let id = issue_id(&core);
    let mut out = Vec::new();
    core.submit(NOW, &id, spec(2), &mut out).unwrap();
    let Some(Action::Start(order)) = out.iter().find(|a| matches!(a, Action::Start(_))) else {
        panic!("{out:?}")
    };
    let task = order.task;
    for _ in 0..2 {
        core.on_task_ended(NOW, task, StartResult::Done("x".to_owned()), &mut Vec::new());
    }
    assert_eq!(core.get(NOW, &id), Ok(JobStatus::Open));
}

#[test]
fn submit_after_lifetime_of_id_is_expired() {
    let policy = Policy { ticket_life_ms: 1_000, ..Policy::default() };
    let core = core(policy, &["w-1"]);
    let id = issue_id(&core);
    let late = NOW + Duration::from_millis(5_000);
    let mut out = Vec::new();
    assert!(core.submit(late, &id, spec(1), &mut out).is_err());
    assert!(started_on(&out).is_empty());
}

#[test]
fn submit_beyond_kept_answers_is_refused_until_they_expire() {
    let policy = Policy { max_kept_bytes: 10, ticket_life_ms: 1_000, ..Policy::default() };
    let core = core(policy, &["w-1"]);
    let id = issue_id(&core);
    let mut out = Vec::new();
    core.submit(NOW, &id, spec(1), &mut out).unwrap();
    let Some(Action::Start(order)) = out.iter().find(|a| matches!(a, Action::Start(_))) else {
        panic!("{out:?}")
    };
    core.on_task_ended(NOW, order.task, StartResult::Done("x".repeat(11)), &mut Vec::new());
    let reply = core.submit(NOW, &issue_id(&core), spec(1), &mut Vec::new());
    assert!(matches!(reply, Ok(JobStatus::Final(_))), "{reply:?}");
    let later = NOW + Duration::from_millis(5_000);
    core.sweep(later, &mut Vec::new());
    core.on_reloaded(later, &mut Vec::new());
    let id = core.issue(later, 1).remove(0);
    let reply = core.submit(later, &id, spec(1), &mut Vec::new());
    assert_eq!(reply, Ok(JobStatus::Open));
}

#[test]
fn on_worker_list_after_pause_starts_nothing_before_reload() {
    let core = core(Policy::default(), &["w-1"]);
    let mut out = Vec::new();
    core.submit(NOW, &issue_id(&core), spec(4), &mut out).unwrap();
    assert_eq!(started_on(&out).len(), 2);
    let later = NOW + Duration::from_secs(5);
    let list = ["w-1", "w-2"].map(|name| WorkerInfo::new(name.parse().unwrap(), "127.0.0.1:1"));
    let mut out = Vec::new();
    core.on_worker_list(later, &list, &mut out);
    assert!(started_on(&out).is_empty(), "{out:?}");
    assert!(out.iter().any(|action| matches!(action, Action::Reload)), "{out:?}");
    core.on_reloaded(later, &mut out);
    assert_eq!(started_on(&out).len(), 2);
}

#[test]
fn tick_first_after_late_start_is_no_pause() {
    let fresh =
        Core::new(parse_issuer("a", "a-1", 1).unwrap(), TagKey([1; 16]), Policy::default(), 1);
    let mut out = Vec::new();
    fresh.tick(NOW + Duration::from_secs(60), &mut out);
    assert!(!out.iter().any(|action| matches!(action, Action::Reload)), "{out:?}");
}
