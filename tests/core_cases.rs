//! Single decisions of the core.

use cranberrytray::{
    coordination::{
        action::Action,
        configuration::{ConfigDocument, ConfigRow, Configuration},
        core::Core,
        lookup::Lookup,
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

fn core(policy: Policy, workers: &[&str]) -> Core {
    let core = Core::new(parse_issuer("a", "a-1", 1).unwrap(), TagKey([1; 16]), policy, 1);
    let teams = [("drafting".parse().unwrap(), Default::default())];
    let configuration = Configuration { teams: teams.into_iter().collect() };
    let document = Arc::new(ConfigDocument { configuration, history: Vec::new() });
    let mut out = Vec::new();
    core.offer_config(ConfigRow { version: ConfigVersion(1), document }, &mut out);
    let info = |name: &&str| WorkerInfo::new(name.parse().unwrap(), "127.0.0.1:1").slots(2);
    let list: Vec<WorkerInfo> = workers.iter().map(info).collect();
    core.workers_listed(NOW, &list, &mut out);
    core
}

fn spec(tasks: usize) -> Arc<JobSpec> {
    let spec = JobSpec::new("drafting".parse().unwrap(), "sort".parse().unwrap());
    Arc::new((0..tasks).fold(spec, |spec, _| spec.task(TaskSpec::new("").declared_ms(50))))
}

fn ticket(core: &Core) -> JobId {
    core.issue(NOW, 1).remove(0)
}

fn starts(out: &[Action]) -> Vec<WorkerName> {
    let worker = |action: &Action| match action {
        Action::Start(order) => Some(order.worker.clone()),
        _ => None,
    };
    out.iter().filter_map(worker).collect()
}

#[test]
fn submit_while_leaving_is_not_run() {
    let core = core(Policy::default(), &["w-1"]);
    let id = ticket(&core);
    let mut out = Vec::new();
    core.leave(NOW, &mut out);
    let told = core.submit(NOW, &id, spec(1), &mut out);
    let Ok(Lookup::Final(answer)) = told else { panic!("{told:?}") };
    assert!(matches!(*answer, Answer::NotRun { reason: RefuseReason::Leaving, .. }), "{answer:?}");
    assert!(starts(&out).is_empty());
    assert!(core.issue(NOW, 1).is_empty());
}

#[test]
fn worker_leaving_by_its_own_word_gets_no_start() {
    let core = core(Policy::default(), &["w-1", "w-2"]);
    core.worker_leaving(&"w-1".parse().unwrap());
    let mut out = Vec::new();
    core.submit(NOW, &ticket(&core), spec(4), &mut out).unwrap();
    assert_eq!(starts(&out), ["w-2".parse().unwrap(), "w-2".parse().unwrap()]);
}

#[test]
fn ended_twice_counts_once() {
    let core = core(Policy::default(), &["w-1"]);
    let id = ticket(&core);
    let mut out = Vec::new();
    core.submit(NOW, &id, spec(2), &mut out).unwrap();
    let Some(Action::Start(order)) = out.iter().find(|a| matches!(a, Action::Start(_))) else {
        panic!("{out:?}")
    };
    let task = order.task;
    for _ in 0..2 {
        core.ended(NOW, task, StartResult::Done("x".to_owned()), &mut Vec::new());
    }
    assert_eq!(core.get(NOW, &id), Ok(Lookup::Open));
}

#[test]
fn submit_after_life_of_id_is_expired() {
    let policy = Policy { ticket_life_ms: 1_000, ..Policy::default() };
    let core = core(policy, &["w-1"]);
    let id = ticket(&core);
    let late = NOW + Duration::from_millis(5_000);
    let mut out = Vec::new();
    assert!(core.submit(late, &id, spec(1), &mut out).is_err());
    assert!(starts(&out).is_empty());
}

#[test]
fn submit_beyond_kept_answers_is_refused_until_they_expire() {
    let policy = Policy { max_kept_bytes: 10, ticket_life_ms: 1_000, ..Policy::default() };
    let core = core(policy, &["w-1"]);
    let id = ticket(&core);
    let mut out = Vec::new();
    core.submit(NOW, &id, spec(1), &mut out).unwrap();
    let Some(Action::Start(order)) = out.iter().find(|a| matches!(a, Action::Start(_))) else {
        panic!("{out:?}")
    };
    core.ended(NOW, order.task, StartResult::Done("x".repeat(11)), &mut Vec::new());
    let told = core.submit(NOW, &ticket(&core), spec(1), &mut Vec::new());
    assert!(matches!(told, Ok(Lookup::Final(_))), "{told:?}");
    let later = NOW + Duration::from_millis(5_000);
    core.sweep(later, &mut Vec::new());
    core.rechecked(later, &mut Vec::new());
    let id = core.issue(later, 1).remove(0);
    let told = core.submit(later, &id, spec(1), &mut Vec::new());
    assert_eq!(told, Ok(Lookup::Open));
}

#[test]
fn wake_after_gap_starts_nothing_before_recheck() {
    let core = core(Policy::default(), &["w-1"]);
    let mut out = Vec::new();
    core.submit(NOW, &ticket(&core), spec(4), &mut out).unwrap();
    assert_eq!(starts(&out).len(), 2);
    let later = NOW + Duration::from_secs(5);
    let list = ["w-1", "w-2"].map(|name| WorkerInfo::new(name.parse().unwrap(), "127.0.0.1:1"));
    let mut out = Vec::new();
    core.workers_listed(later, &list, &mut out);
    assert!(starts(&out).is_empty(), "{out:?}");
    assert!(out.iter().any(|action| matches!(action, Action::Recheck)), "{out:?}");
    core.rechecked(later, &mut out);
    assert_eq!(starts(&out).len(), 2);
}

#[test]
fn tick_first_of_a_late_start_is_no_gap() {
    let fresh =
        Core::new(parse_issuer("a", "a-1", 1).unwrap(), TagKey([1; 16]), Policy::default(), 1);
    let mut out = Vec::new();
    fresh.tick(NOW + Duration::from_secs(60), &mut out);
    assert!(!out.iter().any(|action| matches!(action, Action::Recheck)), "{out:?}");
}
