//! Runs the engine with clients that disconnect and attempts that end in random order with every outcome, and
//! checks each request for one answer, no second effect and no send after its end. A failure names its seed.

use gannetproxy::engine::{
    Answer, AttemptContext, BackendListUpdate, Engine, EngineLimits, ListedBackend, Upstream, UpstreamResult,
};
use gannetproxy::{
    BackendEntry, BackendId, Class, DedupGroup, Effect, Outcome, Request, RequestId, Settings,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const SEEDS: u64 = 400;
const REQUESTS: usize = 12;
const BACKENDS: u32 = 4;
/// Budget of a request, in seconds.
const BUDGET: f64 = 0.4;
/// Delay that a busy host may add to an answer.
const SLACK: Duration = Duration::from_millis(600);
/// Window of keyed requests in seconds, within the cell of the first attempt that may have run.
const WINDOW: f64 = 0.25;

/// The attempts of a request, its state, and the violations found for it.
#[derive(Debug, Default)]
struct RequestRecord {
    class: usize,
    /// It has been answered, or its client has disconnected.
    closed: Cell<bool>,
    /// Attempts whose first byte was sent: the time, the backend, and the outcome if there is one.
    sent: RefCell<Vec<(Instant, u32, Option<Outcome>)>>,
    violations: RefCell<Vec<String>>,
}

/// Backends that end attempts at random times with random outcomes.
struct RandomBackends {
    rng: Rc<RefCell<SmallRng>>,
}

impl RandomBackends {
    fn draw<T>(&self, sample: impl FnOnce(&mut SmallRng) -> T) -> T {
        sample(&mut self.rng.borrow_mut())
    }
}

fn may_have_run(outcome: Option<Outcome>) -> bool {
    !matches!(outcome, Some(Outcome::Rejected | Outcome::NoConnection | Outcome::NeverSent))
}

impl RequestRecord {
    /// Checks whether the first byte of an attempt may be sent now.
    fn check_send(&self, backend: u32) {
        let mut violations = self.violations.borrow_mut();
        if self.closed.get() {
            violations.push("sent after the end of the request".into());
        }
        let sent = self.sent.borrow();
        let Some((first_sent, first_backend, _)) = sent.iter().find(|(.., outcome)| may_have_run(*outcome))
        else {
            return;
        };
        match self.class {
            UNSAFE => violations.push("an unsafe request sent twice".into()),
            KEYED if cell(backend) != cell(*first_backend) => {
                violations.push("a keyed request sent outside its cell".into())
            }
            KEYED if first_sent.elapsed().as_secs_f64() > WINDOW => {
                violations.push(format!("a keyed request sent after its window: {:?}", first_sent.elapsed()));
            }
            _ => {}
        }
    }
}

const SAFE: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;
/// Minimum and maximum time to connect, in seconds.
const CONNECT_TIME: [f64; 2] = [0.0, 0.25];

fn cell(backend: u32) -> u32 {
    backend / 2
}

impl Upstream for RandomBackends {
    type Payload = Rc<RequestRecord>;
    type Reply = ();
    type Endpoint = ();

    fn create_endpoint(&self, _: SocketAddr) {}
    fn set_address(&self, (): &(), _: SocketAddr) {}
    fn release_connections(&self, (): &()) {}
    fn close_expired(&self, (): &()) {}
    fn is_full(&self) -> bool {
        false
    }
    fn oldest_idle_since(&self, (): &()) -> Option<tokio::time::Instant> {
        None
    }
    fn close_oldest_idle(&self, (): &()) {}

    // The attempt does not check whether its request is still open, so the engine has to abort it.
    fn attempt(
        &self,
        _: Rc<()>,
        payload: Rc<Rc<RequestRecord>>,
        attempt: AttemptContext<()>,
    ) -> impl Future<Output = UpstreamResult<()>> + 'static {
        let connect_time = self.draw(|rng| match rng.random_range(0..3) {
            0 => rng.random_range(CONNECT_TIME[0]..CONNECT_TIME[1]),
            _ => 0.0,
        });
        let answer_time = self.draw(|rng| rng.random_range(0.0..0.2));
        let kind = self.draw(|rng| rng.random_range(0..8));
        async move {
            sleep(Duration::from_secs_f64(connect_time)).await;
            let backend = attempt.backend.0;
            if attempt.clock.now() >= attempt.send_by {
                return UpstreamResult::without_reply(Outcome::NeverSent);
            }
            payload.check_send(backend);
            attempt.written.set(true);
            let index = payload.sent.borrow().len();
            payload.sent.borrow_mut().push((Instant::now(), backend, None));
            sleep(Duration::from_secs_f64(answer_time)).await;
            let (outcome, served) = match kind {
                0 | 1 => (Outcome::Served, Some(())),
                2 => (Outcome::Error, None),
                3 => (Outcome::Rejected, None),
                4 => (Outcome::Reset, None),
                // The connection failed before the request was written.
                5 => {
                    attempt.written.set(false);
                    (Outcome::NoConnection, None)
                }
                // No answer arrives, and the engine stops waiting.
                _ => std::future::pending().await,
            };
            payload.sent.borrow_mut()[index].2 = Some(outcome);
            UpstreamResult { outcome, reply: served, error_response: None, report: None }
        }
    }

    fn probe(&self, _: Rc<()>, _: AttemptContext<()>) -> impl Future<Output = UpstreamResult<()>> + 'static {
        std::future::ready(UpstreamResult::without_reply(Outcome::Served))
    }
}

fn settings(can_cancel: bool) -> Settings {
    let class = |effect| Class { aim: BUDGET, deadline: BUDGET, effect, late_worth: 1.0, ..Class::default() };
    let keyed = Effect::Keyed { group: DedupGroup::Cell, window: WINDOW };
    Settings {
        classes: vec![class(Effect::Safe), class(keyed), class(Effect::Unsafe)],
        can_cancel,
        allow_concurrent_attempts: true,
        max_attempts: 4,
        quantum: 0.002,
        tier: 1,
        instance_count: 1,
        ..Settings::default()
    }
}

/// Runs one seed, and returns the violations found.
async fn run_seed(seed: u64) -> Vec<String> {
    let rng = Rc::new(RefCell::new(SmallRng::seed_from_u64(seed)));
    let draw = |sample: &dyn Fn(&mut SmallRng) -> f64| sample(&mut rng.borrow_mut());
    let bounds = EngineLimits { drain_grace: Duration::from_secs(1), max_open_requests: 1000 };
    // Where attempts may not be cancelled, the engine still has to end those that were not sent yet.
    let engine =
        Engine::start(settings(seed.is_multiple_of(2)), bounds, seed, RandomBackends { rng: rng.clone() });
    let listed = |id: u32| ListedBackend {
        entry: BackendEntry { id: BackendId(id), cell: cell(id), ..BackendEntry::default() },
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
    };
    engine.update_list(BackendListUpdate::Full((0..BACKENDS).map(listed).collect()));
    let mut clients = Vec::new();
    for _ in 0..REQUESTS {
        sleep(Duration::from_secs_f64(draw(&|rng| rng.random_range(0.0..0.03)))).await;
        let class = draw(&|rng| f64::from(rng.random_range(0..3u8))) as usize;
        let record = Rc::new(RequestRecord { class, ..RequestRecord::default() });
        let disconnect_after =
            draw(&|rng| if rng.random_bool(0.4) { rng.random_range(0.0..BUDGET) } else { 9.0 });
        let request = Request { id: RequestId(0), class, budget: BUDGET, ..Request::default() };
        let started = Instant::now();
        let Some((id, mut answer)) = engine.submit_request(None, request, record.clone()) else { continue };
        let (engine, client_record) = (engine.clone(), record.clone());
        let client = spawn_local(async move {
            let wait = Duration::from_secs_f64(disconnect_after);
            let answered = tokio::select! {
                biased;
                answered = &mut answer => Some(answered),
                () = sleep(wait) => None,
            };
            client_record.closed.set(true);
            match answered {
                None => engine.client_disconnected(id),
                Some(Err(_)) => client_record.violations.borrow_mut().push("no final answer".into()),
                Some(Ok(answer)) => {
                    if started.elapsed() > Duration::from_secs_f64(BUDGET) + SLACK {
                        client_record
                            .violations
                            .borrow_mut()
                            .push(format!("answered after {:?}", started.elapsed()));
                    }
                    let ran = client_record.sent.borrow().iter().any(|(.., outcome)| may_have_run(*outcome));
                    if matches!(answer, Answer::Rejected(..)) && ran && client_record.class != SAFE {
                        client_record
                            .violations
                            .borrow_mut()
                            .push("rejected although it may have run".into());
                    }
                }
            }
        });
        clients.push((client, record));
    }
    for (client, _) in &mut clients {
        let _ = client.await; // a panic there leaves the record open
    }
    // Open attempts and timers end within this time.
    sleep(Duration::from_secs_f64(BUDGET + CONNECT_TIME[1])).await;
    assert!(!engine.has_open_requests(), "seed {seed}: requests without an answer");
    let mut violations = Vec::new();
    for (_, record) in clients {
        if !record.closed.get() {
            violations.push(format!("seed {seed}: a client did not complete"));
        }
        violations
            .extend(record.violations.borrow().iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    violations
}

#[test]
fn each_request_gets_one_answer_no_second_effect_and_no_send_after_its_end() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let violations = LocalSet::new().block_on(&runtime, async {
        let mut violations = Vec::new();
        // The runs mostly wait, so many of them run at once.
        for first in (0..SEEDS).step_by(50) {
            let runs: Vec<_> = (first..first + 50).map(|seed| spawn_local(run_seed(seed))).collect();
            for run in runs {
                violations.extend(run.await.expect("the run completes"));
            }
        }
        violations
    });
    assert!(
        violations.is_empty(),
        "{} violations, such as {:?}",
        violations.len(),
        &violations[..violations.len().min(10)]
    );
}
