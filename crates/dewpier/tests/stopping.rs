//! A rolling restart where two proxies are all there is: one stops while the other has just begun, and the front
//! does not deal to that one yet. No request is without an answer, and no order runs twice.

use dewpier_standins::faulty::FaultyBackend;
use dewpier_standins::relay::Relay;
use dewpier_standins::shop::{duplicate_orders, run_clients};
use dewpier_trials::process::DewpierProcess;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;

/// After SIGTERM to the first proxy: when the second one gets it, when the first one is started again, and how
/// long the front takes to notice that one proxy stops and that another is there.
const SECOND: Duration = Duration::from_millis(3000);
const STARTED: Duration = Duration::from_millis(4400);
const NOTICES_STOP: Duration = Duration::from_millis(300);
const NOTICES_START: Duration = Duration::from_millis(800);

#[test]
fn two_proxies_that_restart_one_after_the_other_answer_everything() {
    let nodes = [1, 2, 3].map(|seed| FaultyBackend::start(seed, 0.0, &[]));
    let rows: String = nodes.iter().enumerate().map(|(i, n)| format!("node-{i},{}\n", n.address)).collect();
    let start = || DewpierProcess::serve_inventory("nodes.csv", format!("id,address\n{rows}").as_bytes(), "");
    let (first, second) = (start(), start());
    let front = Relay::round_robin(vec![first.address, second.address]);
    let accounts = std::thread::scope(|scope| {
        let shop = scope.spawn(|| run_clients(front.address, CLIENTS, 6000, Duration::from_millis(10)));
        std::thread::sleep(Duration::from_millis(500)); // answers tell how long answers take
        let began = Instant::now();
        let at = |when: Duration| std::thread::sleep(when.saturating_sub(began.elapsed()));
        let to_second = vec![second.address];
        first.send_signal("-TERM");
        at(NOTICES_STOP);
        front.set_targets(to_second);
        at(SECOND);
        second.send_signal("-TERM");
        at(SECOND + NOTICES_STOP);
        front.set_targets(Vec::new());
        at(STARTED);
        let again = start();
        at(STARTED + NOTICES_START);
        front.set_targets(vec![again.address]);
        let accounts = shop.join().expect("the shop closes");
        again.terminate();
        accounts
    });
    assert_eq!(duplicate_orders(&nodes), Vec::<String>::new());
    for account in [&accounts.safe, &accounts.orders] {
        assert_eq!((account.succeeded, account.total()), (3000, 3000), "{account:?}");
        // Each client loses its connection to each of the two once, and may be asking just then.
        assert!(account.resent <= 2 * CLIENTS as u64, "{}", account.resent);
    }
    assert!(
        accounts.duration > STARTED + NOTICES_START,
        "it was over before the restarts: {:?}",
        accounts.duration
    );
}
