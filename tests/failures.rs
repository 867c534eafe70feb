//! Tests of failures that need real processes and sockets: killed, suspended and stopped processes,
//! platform faults and network partitions.

mod common;

use common::{Site, SiteLayout, is_complete, job, random_loopback_ip, wait_until};
use cranberrytray::{
    client::{AcceptOutcome, ConfigChangeRequest, JobReply},
    fake::{platform::PlatformFaults, worker::WorkerFaults},
    protocol::callers::{ReplyBody, ReplyState},
    state::{
        id::{ConfigVersion, JobId},
        job::{Answer, FailReason, RefuseReason, TaskReport},
    },
};
use std::time::Duration;
use tokio::time::sleep;

fn is_unknown(reply: &JobReply) -> bool {
    matches!(reply.body, ReplyBody::State(ReplyState::Unknown { .. }))
}

/// Returns the reason of a `not_run` answer, or `None` for other replies.
fn not_run_reason(reply: &JobReply) -> Option<RefuseReason> {
    match &reply.body {
        ReplyBody::Answer(Answer::NotRun { reason, .. }) => Some(*reason),
        _ => None,
    }
}

/// Returns the reason and the task reports of a `failed` answer, or `None` for other replies.
fn failure_of(reply: &JobReply) -> Option<(FailReason, &[TaskReport])> {
    match &reply.body {
        ReplyBody::Answer(Answer::Failed { reason, tasks }) => Some((*reason, tasks)),
        _ => None,
    }
}

/// Returns the layout of one zone with two entry VMs and two workers.
fn one_zone() -> SiteLayout {
    SiteLayout::new(&[("a-1", "a"), ("a-2", "a")], &[("w-1", "a", 8), ("w-2", "a", 8)])
}

/// Fetches a job id from an entry VM; the zone's dispatcher issues it.
async fn ticket(site: &Site, vm: usize) -> JobId {
    site.vms[vm].caller().tickets(1).await.expect("ids").remove(0)
}

/// Returns a request to change the configuration by adding a team.
fn change_request(base: u64, operation: &str, team: &str) -> ConfigChangeRequest {
    let document = serde_json::json!({ "teams": { "drafting": {}, "rounds": {}, team: {} } });
    ConfigChangeRequest {
        base: ConfigVersion(base),
        operation: operation.to_owned(),
        operator: "test".to_owned(),
        note: String::new(),
        document: document.to_string().into_bytes(),
    }
}

#[tokio::test]
async fn issuer_killed_with_tasks_started_stays_unknown() {
    let mut site = Site::start(one_zone()).await;
    let id = ticket(&site, 0).await;
    let spec = job(4, 3_000);
    let (issuer, other) = site.issuer_and_other(&id);
    let other = site.vms[other].caller();
    let waiting = tokio::spawn({
        let (id, spec) = (id.clone(), spec.clone());
        async move { other.submit(&id, &spec).await }
    });
    wait_until(|| async { site.starts().await.len() == 4 }).await;
    site.vms[issuer].process.kill();
    let reply = waiting.await.expect("joined").expect("a reply");
    assert!(is_unknown(&reply), "{reply:?}");
    site.restart_vm(issuer).await;
    wait_until(|| site.vms[issuer].is_ready()).await;
    for vm in &site.vms {
        let again = vm.caller().submit(&id, &spec).await.expect("a reply");
        assert!(is_unknown(&again), "{again:?}");
    }
    assert_eq!(site.starts().await.len(), 4);
    site.assert_no_double_start().await;
}

#[tokio::test]
async fn issuer_suspended_past_deadline_starts_nothing_late() {
    let layout = SiteLayout::new(&[("a-1", "a"), ("a-2", "a")], &[("w-1", "a", 4)]);
    let site =
        Site::start(layout.with_settings(serde_json::json!({ "policy": { "admission": false } })))
            .await;
    let id = ticket(&site, 0).await;
    // More tasks than slots, so that some still wait when the issuer is suspended.
    let spec = job(12, 400).deadline_ms(1_000);
    let (issuer, other) = site.issuer_and_other(&id);
    let later_caller = site.vms[other].caller();
    let other = site.vms[other].caller();
    let waiting = tokio::spawn({
        let (id, spec) = (id.clone(), spec.clone());
        async move { other.submit(&id, &spec).await }
    });
    wait_until(|| async { !site.starts().await.is_empty() }).await;
    site.vms[issuer].process.suspend();
    let reply = waiting.await.expect("joined").expect("a reply");
    assert!(is_unknown(&reply), "{reply:?}");
    let before = site.starts().await.len();
    site.vms[issuer].process.resume();
    let later = later_caller.get(&id, Duration::from_secs(5)).await.expect("a reply");
    let (reason, tasks) = failure_of(&later).expect("failed");
    assert_eq!(reason, FailReason::Deadline);
    assert!(tasks.contains(&TaskReport::NotStarted));
    assert_eq!(site.starts().await.len(), before);
    site.assert_no_double_start().await;
}

#[tokio::test]
async fn worker_killed_with_task_started_fails_job_with_all_reports() {
    let layout =
        SiteLayout::new(&[("a-1", "a"), ("a-2", "a")], &[("w-1", "a", 8), ("w-2", "a", 8)]);
    let mut site = Site::start(layout).await;
    let id = ticket(&site, 0).await;
    let spec = job(12, 5_000);
    let caller = site.vms[0].caller();
    let waiting = tokio::spawn({
        let (id, spec) = (id.clone(), spec.clone());
        async move { caller.submit(&id, &spec).await }
    });
    wait_until(|| async { !site.workers[0].starts().await.is_empty() }).await;
    wait_until(|| async { !site.workers[1].starts().await.is_empty() }).await;
    site.workers[0].process.kill();
    let reply = waiting.await.expect("joined").expect("a reply");
    let (reason, tasks) = failure_of(&reply).expect("failed");
    assert_eq!(reason, FailReason::TaskUnknown);
    assert_eq!(tasks.len(), 12);
    assert!(tasks.contains(&TaskReport::Unknown));
    let again = site.vms[1].caller().submit(&id, &spec).await.expect("a reply");
    assert_eq!(reply, again);
    let starts = site.workers[1].starts().await;
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[tokio::test]
async fn worker_dead_from_start_gets_no_task() {
    let mut site = Site::start(one_zone()).await;
    site.workers[0].process.kill();
    let caller = site.vms[0].caller();
    let ids = caller.tickets(10).await.expect("ids");
    for id in &ids {
        let reply = caller.submit(id, &job(3, 20)).await.expect("a reply");
        assert!(is_complete(&reply), "{reply:?}");
    }
    let starts = site.workers[1].starts().await;
    assert_eq!(starts.len(), 30);
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[tokio::test]
async fn platform_killed_jobs_still_complete() {
    let mut site = Site::start(one_zone()).await;
    site.platform.kill();
    let caller = site.vms[0].caller();
    for id in caller.tickets(10).await.expect("ids") {
        let reply = site.vms[1].caller().submit(&id, &job(4, 20)).await.expect("a reply");
        assert!(is_complete(&reply), "{reply:?}");
    }
    let unsettled =
        site.vms[0].operator().accept(&change_request(1, "op-1", "x")).await.expect("a reply");
    assert_eq!(unsettled.outcome, AcceptOutcome::Unsettled);
    site.assert_no_double_start().await;
}

#[tokio::test]
async fn platform_down_restarted_vm_reads_config_from_seed() {
    let ip = random_loopback_ip();
    let layout =
        SiteLayout::new(&[("a-1", "a"), ("a-2", "a")], &[("w-1", "a", 8)]).with_first_ip(ip);
    let layout = layout.with_settings(serde_json::json!({ "seeds": [format!("{ip}:7101")] }));
    let mut site = Site::start(layout).await;
    let accepted =
        site.vms[0].operator().accept(&change_request(1, "op-1", "new")).await.expect("a reply");
    assert_eq!(accepted.outcome, AcceptOutcome::Accepted);
    site.set_platform_faults(PlatformFaults { down: true, ..Default::default() }).await;
    site.vms[1].process.kill();
    site.restart_vm(1).await;
    site.wait_ready().await;
    let status = site.vms[1].operator().status().await.expect("a reply");
    assert!(status.iter().all(|vm| vm.version == ConfigVersion(2)), "{status:?}");
    let id = ticket(&site, 1).await;
    let reply = site.vms[1].caller().submit(&id, &job(4, 20)).await.expect("a reply");
    assert!(is_complete(&reply), "{reply:?}");
}

#[tokio::test]
async fn platform_loses_answer_change_applies_once() {
    let site = Site::start(one_zone()).await;
    site.set_platform_faults(PlatformFaults { lose_write_answers: 1, ..Default::default() }).await;
    let first =
        site.vms[0].operator().accept(&change_request(1, "op-1", "x")).await.expect("a reply");
    assert_eq!((first.outcome, first.version), (AcceptOutcome::Accepted, ConfigVersion(2)));
    let again =
        site.vms[1].operator().accept(&change_request(1, "op-1", "x")).await.expect("a reply");
    assert_eq!((again.outcome, again.version), (AcceptOutcome::Accepted, ConfigVersion(2)));
    let other =
        site.vms[1].operator().accept(&change_request(1, "op-2", "y")).await.expect("a reply");
    assert_eq!((other.outcome, other.version), (AcceptOutcome::Conflict, ConfigVersion(2)));
    let history = site.vms[1].operator().history().await.expect("a reply");
    assert_eq!(history.len(), 1);
}

#[tokio::test]
async fn platform_reads_stale_row_version_does_not_fall() {
    let site = Site::start(one_zone()).await;
    let accepted =
        site.vms[0].operator().accept(&change_request(1, "op-1", "x")).await.expect("a reply");
    assert_eq!(accepted.outcome, AcceptOutcome::Accepted);
    site.set_platform_faults(PlatformFaults { stale_reads: true, ..Default::default() }).await;
    // The entry VMs poll every 200 ms, so several polls read the row before the latest one.
    for _ in 0..20 {
        for vm in site.vms[0].operator().status().await.expect("a reply") {
            assert!(vm.vm.as_str() != "a-1" || vm.version == ConfigVersion(2), "{vm:?}");
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn operators_race_one_change_is_accepted_on_all_vms() {
    let site = Site::start(one_zone()).await;
    let (first, second) = (site.vms[0].operator(), site.vms[1].operator());
    let (first_change, second_change) =
        (change_request(1, "op-1", "x"), change_request(1, "op-2", "y"));
    let (a, b) = tokio::join!(first.accept(&first_change), second.accept(&second_change));
    let outcomes = [a.expect("a reply").outcome, b.expect("a reply").outcome];
    assert!(outcomes.contains(&AcceptOutcome::Accepted), "{outcomes:?}");
    assert!(outcomes.contains(&AcceptOutcome::Conflict), "{outcomes:?}");
    wait_until(|| async {
        let status = first.status().await.unwrap_or_default();
        status.iter().all(|vm| vm.version == ConfigVersion(2))
    })
    .await;
    assert_eq!(first.config().await.expect("a reply"), second.config().await.expect("a reply"));
}

#[tokio::test]
async fn entry_vm_stopped_finishes_jobs_and_hands_over_ledger() {
    let mut site = Site::start(one_zone()).await;
    let caller = site.vms[0].caller();
    let ids = caller.tickets(21).await.expect("ids");
    let (issuer, other) = site.issuer_and_other(&ids[0]);
    let (unsubmitted, ids) = ids.split_first().expect("ids");
    let spec = job(4, 300);
    let others: Vec<_> = site.vms.iter().map(|vm| vm.caller()).collect();
    let submissions: Vec<_> =
        ids.iter().enumerate().map(|(i, id)| others[i % 2].submit(id, &spec)).collect();
    let stop = async {
        wait_until(|| async { site.starts().await.len() >= 8 }).await;
        site.vms[issuer].process.terminate();
    };
    let (replies, ()) = tokio::join!(futures_util::future::join_all(submissions), stop);
    let replies: Vec<_> = replies.into_iter().map(|reply| reply.expect("a reply")).collect();
    for reply in &replies {
        let refused = not_run_reason(reply) == Some(RefuseReason::Leaving);
        assert!(is_complete(reply) || refused, "{reply:?}");
    }
    assert!(replies.iter().any(is_complete));
    wait_until_ended(&mut site, issuer).await;
    let peer = site.vms[other].caller();
    for (id, reply) in ids.iter().zip(&replies) {
        assert_eq!(&peer.get(id, Duration::ZERO).await.expect("a reply"), reply);
    }
    let late = peer.submit(unsubmitted, &spec).await.expect("a reply");
    assert_eq!(not_run_reason(&late), Some(RefuseReason::Leaving));
    site.assert_no_double_start().await;
}

async fn wait_until_ended(site: &mut Site, vm: usize) {
    while !site.vms[vm].process.has_ended() {
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn entry_vm_stopped_under_resubmissions_gives_one_answer() {
    let layout = SiteLayout::new(
        &[("a-1", "a"), ("a-2", "a"), ("b-1", "b")],
        &[("w-1", "a", 8), ("w-2", "a", 8), ("w-3", "b", 8)],
    );
    let mut site = Site::start(layout).await;
    let ids = site.vms[0].caller().tickets(10).await.expect("ids");
    let (issuer, _) = site.issuer_and_other(&ids[0]);
    let spec = job(3, 150);
    let callers: Vec<_> = site.vms.iter().map(|vm| vm.caller()).collect();
    let resubmissions = ids.iter().map(|id| async {
        let mut replies = Vec::new();
        for round in 0..8 {
            let caller = &callers[round % callers.len()];
            replies.push(caller.submit(id, &spec).await);
        }
        replies
    });
    let stop = async { site.vms[issuer].process.terminate() };
    let (replies, ()) = tokio::join!(futures_util::future::join_all(resubmissions), stop);
    for replies in replies {
        let mut answers: Vec<JobReply> = replies.into_iter().filter_map(Result::ok).collect();
        answers.retain(|reply| !is_unknown(reply));
        assert!(!answers.is_empty());
        let bodies: Vec<_> = answers.iter().map(|reply| &reply.body).collect();
        let all_not_run = answers.iter().all(|reply| not_run_reason(reply).is_some());
        assert!(all_not_run || bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
    }
    wait_until_ended(&mut site, issuer).await;
    site.assert_no_double_start().await;
}

#[tokio::test]
async fn worker_listed_as_leaving_gets_no_new_task() {
    let site = Site::start(one_zone()).await;
    site.list_workers_as_leaving(&["w-1"]).await;
    // The list is read every 200 ms; the guarantee is that a leaving worker gets no new task after
    // a few seconds.
    sleep(Duration::from_secs(3)).await;
    let before = site.workers[0].starts().await.len();
    let caller = site.vms[0].caller();
    for id in caller.tickets(10).await.expect("ids") {
        let reply = caller.submit(&id, &job(6, 20)).await.expect("a reply");
        assert!(is_complete(&reply), "{reply:?}");
    }
    assert_eq!(site.workers[0].starts().await.len(), before);
    site.assert_no_double_start().await;
}

#[tokio::test]
async fn worker_reports_leaving_gets_no_new_task() {
    let site = Site::start(one_zone()).await;
    let leaving = WorkerFaults { leaving: true, ..Default::default() };
    site.workers[0].set_faults(leaving).await;
    let caller = site.vms[0].caller();
    for id in caller.tickets(10).await.expect("ids") {
        let reply = caller.submit(&id, &job(6, 20)).await.expect("a reply");
        assert!(is_complete(&reply), "{reply:?}");
    }
    assert!(site.workers[0].starts().await.is_empty());
    site.assert_no_double_start().await;
}

#[tokio::test]
async fn zone_isolated_keeps_serving_and_gets_config_after() {
    let layout =
        SiteLayout::new(&[("a-1", "a"), ("b-1", "b")], &[("w-1", "a", 8), ("w-2", "b", 8)]);
    let site = Site::start(layout.isolate_zone("b")).await;
    let own_id = ticket(&site, 1).await;
    let foreign_id = ticket(&site, 0).await;
    site.cut_network().await;
    let caller = site.vms[1].caller();
    let reply = caller.submit(&own_id, &job(6, 30)).await.expect("a reply");
    assert!(is_complete(&reply), "{reply:?}");
    let reply = caller.submit(&foreign_id, &job(1, 30)).await.expect("a reply");
    assert!(is_unknown(&reply), "{reply:?}");
    let accepted =
        site.vms[0].operator().accept(&change_request(1, "op-1", "x")).await.expect("a reply");
    assert_eq!(accepted.outcome, AcceptOutcome::Accepted);
    site.restore_network().await;
    wait_until(|| async {
        let (version, _) = site.vms[1].operator().config().await.expect("a reply");
        version == ConfigVersion(2)
    })
    .await;
    site.assert_no_double_start().await;
}

#[tokio::test]
async fn dispatcher_killed_other_takes_over() {
    let mut site = Site::start(one_zone()).await;
    let id = ticket(&site, 0).await;
    let (dispatcher, other) = site.issuer_and_other(&id);
    site.vms[dispatcher].process.kill();
    let caller = site.vms[other].caller();
    wait_until(|| async {
        let id = caller.tickets(1).await.expect("ids").remove(0);
        is_complete(&caller.submit(&id, &job(4, 20)).await.expect("a reply"))
    })
    .await;
    site.restart_vm(dispatcher).await;
    wait_until(|| site.vms[dispatcher].is_ready()).await;
    let id = ticket(&site, dispatcher).await;
    assert_eq!(
        id.issuer.vm.as_str(),
        site.vms[other].name,
        "the dispatcher's role does not move back"
    );
    let reply = caller.submit(&id, &job(4, 20)).await.expect("a reply");
    assert!(is_complete(&reply), "{reply:?}");
    site.assert_no_double_start().await;
}

#[tokio::test]
async fn dispatcher_suspended_other_takes_over_and_returns_role() {
    let site = Site::start(one_zone()).await;
    let id = ticket(&site, 0).await;
    let (dispatcher, other) = site.issuer_and_other(&id);
    site.vms[dispatcher].process.suspend();
    let caller = site.vms[other].caller();
    wait_until(|| async {
        let id = caller.tickets(1).await.expect("ids").remove(0);
        is_complete(&caller.submit(&id, &job(4, 20)).await.expect("a reply"))
    })
    .await;
    site.vms[dispatcher].process.resume();
    wait_until(|| async {
        let id = caller.tickets(1).await.expect("ids").remove(0);
        let reply = caller.submit(&id, &job(4, 20)).await.expect("a reply");
        is_complete(&reply) && id.issuer.vm.as_str() == site.vms[dispatcher].name
    })
    .await;
    let reply = caller.submit(&id, &job(2, 20)).await.expect("a reply");
    assert!(is_complete(&reply), "{reply:?}");
    site.assert_no_double_start().await;
}

#[tokio::test]
async fn worker_leaves_before_list_update_completes_all_jobs() {
    let site = Site::start(one_zone()).await;
    site.set_platform_faults(PlatformFaults { list_lag_ms: 1_000, ..Default::default() }).await;
    site.list_workers_as_leaving(&["w-1"]).await;
    let leaving = WorkerFaults { leaving: true, ..Default::default() };
    let caller = site.vms[0].caller();
    let ids = caller.tickets(40).await.expect("ids");
    let spec = job(3, 50);
    let jobs = futures_util::future::join_all(ids.iter().map(|id| caller.submit(id, &spec)));
    let leave = async {
        wait_until(|| async { !site.workers[0].starts().await.is_empty() }).await;
        site.workers[0].set_faults(leaving).await;
    };
    let (replies, ()) = tokio::join!(jobs, leave);
    for reply in replies {
        let reply = reply.expect("a reply");
        assert!(is_complete(&reply), "{reply:?}");
    }
    site.assert_no_double_start().await;
}
