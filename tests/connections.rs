//! Which connection makes room for a new one, without a network.

use cranberrytray::transport::connections::{ConnectionGuard, Connections, Stage};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// Time after which a wait counts as endless.
const ENDLESS: Duration = Duration::from_millis(300);

async fn is_closing(guard: &ConnectionGuard) -> bool {
    timeout(ENDLESS, guard.connection.closing()).await.is_ok()
}

/// Guards against a full set that keeps new callers out.
#[tokio::test]
async fn connection_accepted_first_makes_room_for_a_new_one() {
    let connections = Connections::new(2);
    let (first, second) = (connections.add().await, connections.add().await);
    let adding = tokio::spawn({
        let connections = Arc::clone(&connections);
        async move { connections.add().await }
    });
    assert!(is_closing(&first).await);
    drop(first);
    let third = timeout(ENDLESS, adding).await.expect("a free place").expect("a connection");
    assert_eq!(connections.len(), 2);
    drop((second, third));
    assert!(connections.is_empty());
}

/// Guards against a complete request that is broken off for a new connection.
#[tokio::test]
async fn connection_with_a_complete_request_makes_no_room() {
    let connections = Connections::new(2);
    let (first, second) = (connections.add().await, connections.add().await);
    first.connection.enter(Stage::Service);
    let adding = connections.add();
    let closing = tokio::select! {
        _ = adding => panic!("there is no free place"),
        closing = is_closing(&second) => closing,
    };
    assert!(closing);
    assert!(!is_closing(&first).await);
    assert_eq!(connections.displaced(), 1);
}

/// Guards against the same where the request becomes complete just before its connection is closed.
#[tokio::test]
async fn connection_whose_request_is_complete_by_now_is_not_closed() {
    let connections = Connections::new(1);
    let only = connections.add().await;
    assert!(timeout(ENDLESS, connections.add()).await.is_err());
    assert_eq!(connections.displaced(), 1);
    only.connection.enter(Stage::Service);
    assert!(!is_closing(&only).await);
}
