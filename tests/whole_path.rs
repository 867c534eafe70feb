//! Tests of the whole path of a job through separate processes: caller, entry VMs and workers.

mod common;

use common::{Site, SiteLayout, is_complete, job};
use std::time::Duration;

#[tokio::test]
async fn submit_through_other_entry_vm_joins_first_run() {
    let layout = SiteLayout::new(
        &[("bactu-1", "hn-bactu"), ("bactu-2", "hn-bactu"), ("longbien-1", "hn-longbien")],
        &[("w-1", "hn-bactu", 8), ("w-2", "hn-bactu", 8), ("w-3", "hn-longbien", 8)],
    );
    let site = Site::start(layout).await;
    let spec = job(20, 80);
    let id = site.vms[0].caller().tickets(1).await.expect("ids").remove(0);
    let (first, second, third) = (site.vms[0].caller(), site.vms[1].caller(), site.vms[2].caller());
    let (a, b, c) =
        tokio::join!(first.submit(&id, &spec), second.submit(&id, &spec), third.submit(&id, &spec));
    let (a, b, c) = (a.expect("a reply"), b.expect("a reply"), c.expect("a reply"));
    assert!(is_complete(&a), "{a:?}");
    assert_eq!(a, b);
    assert_eq!(a, c);
    let later = third.get(&id, Duration::ZERO).await.expect("a reply");
    assert_eq!(a, later);
    assert_eq!(site.starts().await.len(), 20);
    site.assert_no_double_start().await;
}

#[tokio::test]
async fn submit_many_jobs_through_all_entry_vms_completes_each() {
    let layout = SiteLayout::new(
        &[("a-1", "a"), ("a-2", "a")],
        &[("w-1", "a", 8), ("w-2", "a", 8), ("w-3", "a", 8)],
    );
    let site = Site::start(layout).await;
    let spec = job(6, 30);
    let mut ids = site.vms[0].caller().tickets(20).await.expect("ids");
    ids.extend(site.vms[1].caller().tickets(20).await.expect("ids"));
    let callers: Vec<_> = site.vms.iter().map(|vm| vm.caller()).collect();
    let submissions = ids.iter().enumerate().map(|(i, id)| callers[i % 2].submit(id, &spec));
    for reply in futures_util::future::join_all(submissions).await {
        let reply = reply.expect("a reply");
        assert!(is_complete(&reply), "{reply:?}");
    }
    assert_eq!(site.starts().await.len(), 240);
    site.assert_no_double_start().await;
}
