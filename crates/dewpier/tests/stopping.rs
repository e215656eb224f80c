//! A rolling restart of two proxies behind a load balancer that notices stops and starts late: every request is
//! answered, and no order runs more than once.

use dewpier_standins::faulty::FaultyBackend;
use dewpier_standins::relay::Relay;
use dewpier_standins::shop::{duplicate_orders, run_clients};
use dewpier_trials::process::DewpierProcess;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;

/// The time from SIGTERM of the first proxy to SIGTERM of the second one.
const SECOND_STOP_AFTER: Duration = Duration::from_millis(3000);
/// The time from SIGTERM of the first proxy to its restart.
const RESTART_AFTER: Duration = Duration::from_millis(4400);
/// How long the load balancer takes to notice a stopping proxy.
const STOP_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// How long the load balancer takes to notice a new proxy.
const START_NOTICE_DELAY: Duration = Duration::from_millis(800);

#[test]
fn rolling_restart_of_two_proxies_answers_every_request() {
    let nodes = [1, 2, 3].map(|seed| FaultyBackend::start(seed, 0.0, &[]));
    let rows: String = nodes.iter().enumerate().map(|(i, n)| format!("node-{i},{}\n", n.address)).collect();
    let start = || DewpierProcess::serve_inventory("nodes.csv", format!("id,address\n{rows}").as_bytes(), "");
    let (first, second) = (start(), start());
    let balancer = Relay::round_robin(vec![first.address, second.address]);
    let accounts = std::thread::scope(|scope| {
        let clients = scope.spawn(|| run_clients(balancer.address, CLIENTS, 6000, Duration::from_millis(10)));
        std::thread::sleep(Duration::from_millis(500)); // the proxies learn the response times
        let signalled_at = Instant::now();
        let wait_until = |when: Duration| std::thread::sleep(when.saturating_sub(signalled_at.elapsed()));
        let to_second = vec![second.address];
        first.send_signal("-TERM");
        wait_until(STOP_NOTICE_DELAY);
        balancer.set_targets(to_second);
        wait_until(SECOND_STOP_AFTER);
        second.send_signal("-TERM");
        wait_until(SECOND_STOP_AFTER + STOP_NOTICE_DELAY);
        balancer.set_targets(Vec::new());
        wait_until(RESTART_AFTER);
        let restarted = start();
        wait_until(RESTART_AFTER + START_NOTICE_DELAY);
        balancer.set_targets(vec![restarted.address]);
        let accounts = clients.join().expect("the clients end");
        restarted.terminate();
        accounts
    });
    assert_eq!(duplicate_orders(&nodes), Vec::<String>::new());
    for account in [&accounts.safe, &accounts.orders] {
        assert_eq!((account.succeeded, account.total()), (3000, 3000), "{account:?}");
        // Each client may lose one request with its connection to each of the two proxies.
        assert!(account.resent <= 2 * CLIENTS as u64, "{}", account.resent);
    }
    assert!(
        accounts.duration > RESTART_AFTER + START_NOTICE_DELAY,
        "the load ended before the restarts: {:?}",
        accounts.duration
    );
}
