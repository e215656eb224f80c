//! The engine between clients that leave and attempts that end in every order: answers, time-outs, resets, connections
//! that come up late, second answers. Drawn from seeds; a failure names its seed.

use gannetproxy::engine::{Answer, Attempt, Bounds, Done, Engine, Listed, News, Upstream};
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
/// A request's time in seconds, and how much later its answer may come on a busy machine.
const BUDGET: f64 = 0.4;
const SLACK: Duration = Duration::from_millis(600);
/// Keyed requests may be repeated for so long, inside the cell of the first attempt that may have run.
const WINDOW: f64 = 0.15;

/// What a request is to the test: what was sent for it, and what has become of it.
#[derive(Debug, Default)]
struct Account {
    class: usize,
    /// It has had its answer, or its client has left.
    closed: Cell<bool>,
    /// Attempts of which the first byte went out: when, where to, and how each ended, if it has.
    sent: RefCell<Vec<(Instant, u32, Option<Outcome>)>>,
    wrong: RefCell<Vec<String>>,
}

/// Backends that end attempts as a seed says.
struct Script {
    rng: Rc<RefCell<SmallRng>>,
}

impl Script {
    fn draw<T>(&self, from: impl FnOnce(&mut SmallRng) -> T) -> T {
        from(&mut self.rng.borrow_mut())
    }
}

fn may_have_run(outcome: Option<Outcome>) -> bool {
    !matches!(outcome, Some(Outcome::Rejected | Outcome::NoConnection | Outcome::NeverSent))
}

impl Account {
    /// The first byte of an attempt goes out now: is that allowed?
    fn begins(&self, backend: u32) {
        let mut wrong = self.wrong.borrow_mut();
        if self.closed.get() {
            wrong.push("sent after its end".into());
        }
        let sent = self.sent.borrow();
        let Some((first, origin, _)) = sent.iter().find(|(.., outcome)| may_have_run(*outcome)) else {
            return;
        };
        match self.class {
            UNSAFE => wrong.push("an unsafe request sent twice".into()),
            KEYED if cell(backend) != cell(*origin) => wrong.push("a keyed request outside its cell".into()),
            // The decision was made within it; to that come the steps of a busy machine.
            KEYED if first.elapsed().as_secs_f64() > WINDOW + CONNECTS[1] + SLACK.as_secs_f64() => {
                wrong.push(format!("a keyed request after its window: {:?}", first.elapsed()));
            }
            _ => {}
        }
    }
}

const SAFE: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;
/// How long connections take to come up at least and at most, in seconds.
const CONNECTS: [f64; 2] = [0.0, 0.25];

fn cell(backend: u32) -> u32 {
    backend / 2
}

impl Upstream for Script {
    type Payload = Rc<Account>;
    type Reply = ();
    type Endpoint = ();

    fn endpoint(&self, _: SocketAddr) {}
    fn moved(&self, (): &(), _: SocketAddr) {}
    fn release(&self, (): &()) {}
    fn sweep(&self, (): &()) {}
    fn full(&self) -> bool {
        false
    }
    fn idle_since(&self, (): &()) -> Option<tokio::time::Instant> {
        None
    }
    fn evict(&self, (): &()) {}

    // It does not ask whether its request still wants it: the engine has to end it by itself.
    fn attempt(
        &self,
        _: Rc<()>,
        payload: Rc<Rc<Account>>,
        attempt: Attempt<()>,
    ) -> impl Future<Output = Done<()>> + 'static {
        let connects = self.draw(|rng| match rng.random_range(0..3) {
            0 => rng.random_range(CONNECTS[0]..CONNECTS[1]),
            _ => 0.0,
        });
        let takes = self.draw(|rng| rng.random_range(0.0..0.2));
        let end = self.draw(|rng| rng.random_range(0..8));
        async move {
            sleep(Duration::from_secs_f64(connects)).await;
            let backend = attempt.backend.0;
            payload.begins(backend);
            attempt.written.set(true);
            let place = payload.sent.borrow().len();
            payload.sent.borrow_mut().push((Instant::now(), backend, None));
            sleep(Duration::from_secs_f64(takes)).await;
            let (outcome, served) = match end {
                0 | 1 => (Outcome::Served, Some(())),
                2 => (Outcome::Error, None),
                3 => (Outcome::Rejected, None),
                4 => (Outcome::Reset, None),
                // Broken before its last byte.
                5 => {
                    attempt.written.set(false);
                    (Outcome::NoConnection, None)
                }
                // Nothing comes: the engine stops waiting.
                _ => std::future::pending().await,
            };
            payload.sent.borrow_mut()[place].2 = Some(outcome);
            Done { outcome, served, fallback: None, report: None }
        }
    }

    fn probe(&self, _: Rc<()>, _: Attempt<()>) -> impl Future<Output = Done<()>> + 'static {
        std::future::ready(Done::without_answer(Outcome::Served))
    }
}

fn settings(cancel: bool) -> Settings {
    let class = |effect| Class { aim: BUDGET, deadline: BUDGET, effect, late_worth: 1.0, ..Class::default() };
    let keyed = Effect::Keyed { group: DedupGroup::Cell, window: WINDOW };
    Settings {
        classes: vec![class(Effect::Safe), class(keyed), class(Effect::Unsafe)],
        can_cancel: cancel,
        allow_concurrent_attempts: true,
        max_attempts: 4,
        quantum: 0.002,
        tier: 1,
        instance_count: 1,
        ..Settings::default()
    }
}

/// Plays one seed; tells what was wrong.
async fn play(seed: u64) -> Vec<String> {
    let rng = Rc::new(RefCell::new(SmallRng::seed_from_u64(seed)));
    let draw = |from: &dyn Fn(&mut SmallRng) -> f64| from(&mut rng.borrow_mut());
    let bounds = Bounds { drain_grace: Duration::from_secs(1), max_open: 1000 };
    // Where attempts may not be withdrawn, those that were not sent yet must end all the same.
    let engine = Engine::start(settings(seed.is_multiple_of(2)), bounds, seed, Script { rng: rng.clone() });
    let listed = |id: u32| Listed {
        entry: BackendEntry { id: BackendId(id), cell: cell(id), ..BackendEntry::default() },
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
    };
    engine.news(News::Full((0..BACKENDS).map(listed).collect()));
    let mut clients = Vec::new();
    for _ in 0..REQUESTS {
        sleep(Duration::from_secs_f64(draw(&|rng| rng.random_range(0.0..0.03)))).await;
        let class = draw(&|rng| f64::from(rng.random_range(0..3u8))) as usize;
        let account = Rc::new(Account { class, ..Account::default() });
        let leaves = draw(&|rng| if rng.random_bool(0.4) { rng.random_range(0.0..BUDGET) } else { 9.0 });
        let request = Request { id: RequestId(0), class, budget: BUDGET, ..Request::default() };
        let begun = Instant::now();
        let Some((id, mut answer)) = engine.request(None, request, account.clone()) else { continue };
        let (engine, known) = (engine.clone(), account.clone());
        let client = spawn_local(async move {
            let wait = Duration::from_secs_f64(leaves);
            let answered = tokio::select! {
                biased;
                answered = &mut answer => Some(answered),
                () = sleep(wait) => None,
            };
            known.closed.set(true);
            match answered {
                None => engine.client_left(id),
                Some(Err(_)) => known.wrong.borrow_mut().push("no final answer".into()),
                Some(Ok(answer)) => {
                    if begun.elapsed() > Duration::from_secs_f64(BUDGET) + SLACK {
                        known.wrong.borrow_mut().push(format!("answered after {:?}", begun.elapsed()));
                    }
                    let ran = known.sent.borrow().iter().any(|(.., outcome)| may_have_run(*outcome));
                    if matches!(answer, Answer::Refused(..)) && ran && known.class != SAFE {
                        known.wrong.borrow_mut().push("refused although it may have run".into());
                    }
                }
            }
        });
        clients.push((client, account));
    }
    for (client, _) in &mut clients {
        let _ = client.await; // a panic there shows as an account that is not closed
    }
    // Whatever is still out, and every timer.
    sleep(Duration::from_secs_f64(BUDGET + CONNECTS[1])).await;
    assert!(!engine.owes_answers(), "seed {seed}: requests that nobody answers");
    let mut wrong = Vec::new();
    for (_, account) in clients {
        if !account.closed.get() {
            wrong.push(format!("seed {seed}: a client that never ended"));
        }
        wrong.extend(account.wrong.borrow().iter().map(|what| format!("seed {seed}: {what}")));
    }
    wrong
}

#[test]
fn one_answer_no_second_effect_and_nothing_sent_after_the_end_in_any_order() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let wrong = LocalSet::new().block_on(&runtime, async {
        let mut wrong = Vec::new();
        // Many at once, as most of the time is waiting.
        for first in (0..SEEDS).step_by(50) {
            let plays: Vec<_> = (first..first + 50).map(|seed| spawn_local(play(seed))).collect();
            for play in plays {
                wrong.extend(play.await.expect("it plays"));
            }
        }
        wrong
    });
    assert!(wrong.is_empty(), "{} faults, as {:?}", wrong.len(), &wrong[..wrong.len().min(10)]);
}
