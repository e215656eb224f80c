//! A running planner for tests over sockets.

use dewpier_plan::Plan;
use dewpier_plan::io::{Planner, Security};
use dewpier_standins::WAIT_TIMEOUT;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Starts a planner with the plan for up to `max_followers` followers, on its own thread.
pub fn planner(max_followers: usize, plan: Plan) -> (Arc<Planner>, SocketAddr) {
    let planner =
        Planner::new(Box::new(|| Duration::from_millis(400)), Duration::from_millis(400), max_followers);
    planner.publish(plan);
    let (address_sender, address) = std::sync::mpsc::channel();
    let serving = planner.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            serving.serve(listener, Security::plain()).await;
        });
    });
    (planner, address.recv_timeout(WAIT_TIMEOUT).unwrap())
}
