//! Which connections are cut off for a body that makes no progress.

use dewpier_http::clients::{ClientConnection, ClientConnections, SWEEP_INTERVAL};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Longer than the stall limit of 15 s.
const STALL: Duration = Duration::from_secs(16);
const NOTICE_TIME: Duration = Duration::from_millis(50);

async fn is_cut_off(client: &ClientConnection) -> bool {
    timeout(NOTICE_TIME, client.wait_for_close()).await.is_ok()
}

/// Guards against a limit that cuts off a client because its backend takes its body slowly, so that the client is not
/// read, or because its backend takes long to answer.
#[tokio::test]
async fn only_responses_that_the_client_does_not_take_are_cut_off() {
    let connections = ClientConnections::new(10);
    let [upload, stalled, steady] = [connections.add(), connections.add(), connections.add()];
    for guard in [&upload, &stalled, &steady] {
        guard.client().mark_request_received();
    }
    upload.client().set_streaming(true);
    stalled.client().start_response();
    steady.client().start_response();
    let started_at = Instant::now();
    while started_at.elapsed() < STALL {
        sleep(SWEEP_INTERVAL).await;
        steady.client().record_write();
        connections.close_overdue(None);
    }
    assert!(is_cut_off(stalled.client()).await);
    assert!(!is_cut_off(steady.client()).await);
    assert!(!is_cut_off(upload.client()).await);
}
