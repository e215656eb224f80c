//! Calls that a backend has dropped while it goes on with others: they are told from long ones and from a
//! jam, are repeated where that is allowed, and cost nobody else a chance.

mod common;
use common::*;
use gannetproxy::*;

const TOOK: Time = 0.01;

/// Two classes, safe and unsafe, over two backends whose usual answer time is known.
fn learnt(seed: u64) -> Bench {
    let mut settings = safe();
    settings.classes.push(class(Effect::Unsafe));
    let mut b = Bench::seeded(seed, settings, &[entry(1), entry(2)]);
    // They vary by a third, so that T1 lies well above them.
    for id in 0..120 {
        b.served(id, TOOK * (0.5 + 0.5 * (id % 3) as f64));
    }
    b
}

fn ask(b: &mut Bench, id: u64, class: usize) -> u32 {
    let request = Request { id: RequestId(id), class, budget: 2.0, ..Request::default() };
    let actions = b.event(Event::Request(request));
    sends(&actions)[0].1
}

/// Calls that are answered in the usual time for so long, four at once, so that both backends get some.
fn traffic(b: &mut Bench, from: u64, span: Time) {
    let (end, mut id) = (b.now + span, from);
    while b.now < end {
        let asked: Vec<(u64, u32)> = (id..id + 4).map(|id| (id, ask(b, id, 0))).collect();
        id += 4;
        b.run_to(b.now + TOOK);
        for (id, to) in asked {
            let actions = b.end(id, 0, to, Outcome::Served, TOOK);
            b.cancelled(&actions);
        }
    }
}

#[test]
fn a_safe_call_that_later_ones_have_overtaken_is_repeated() {
    for seed in 0..20 {
        let mut b = learnt(seed);
        ask(&mut b, 1000, 0);
        traffic(&mut b, 2000, 0.9);
        assert!(b.sent[&1000].len() > 1, "seed {seed}: it has waited for 90 answer times");
    }
}

#[test]
fn an_unsafe_call_is_not_however_long_it_takes() {
    let mut b = learnt(1);
    ask(&mut b, 1000, 1);
    traffic(&mut b, 2000, 0.9);
    assert_eq!(b.sent[&1000].len(), 1);
}

/// Of 40 balancers with six unsafe calls out, how many repeat a safe call that fails at once, at one of its
/// first two timers.
fn repeats(overtaken: bool) -> usize {
    let one = |seed| {
        let mut b = learnt(seed);
        for id in 1000..1006 {
            ask(&mut b, id, 1);
        }
        if overtaken {
            traffic(&mut b, 2000, 0.5);
        } else {
            b.run_to(b.now + 0.5);
        }
        let to = ask(&mut b, 9000, 0);
        b.end(9000, 0, to, Outcome::Error, 0.001);
        // T1 is the usual time and four deviations, 0.023 s; the second timer comes at three of them.
        b.run_to(b.now + 0.09);
        usize::from(b.sent[&9000].len() > 1)
    };
    (0..40).map(one).sum()
}

#[test]
fn calls_that_were_overtaken_cut_nobody_elses_chance() {
    assert!(repeats(true) >= 38, "{}", repeats(true));
}

#[test]
fn calls_of_backends_that_answer_nothing_cut_it_as_ever() {
    // What a storm is met with: p stands at its least.
    assert!(repeats(false) <= 16, "{}", repeats(false));
}

#[test]
fn what_is_given_up_late_is_told_when_to_come_again() {
    let mut settings = safe();
    settings.max_retry_after = 1.0;
    let mut b = Bench::new(settings, &[entry(1)]);
    let (_, to) = sends(&b.request(1))[0];
    let mut seen = b.end(1, 0, to, Outcome::Error, 0.01);
    seen.extend(plain(b.run_to(3.0)));
    let told = seen.iter().any(|a| matches!(a, Action::Reject { retry_after: Some(w), .. } if *w > 0.0));
    assert!(told, "{seen:?}");
}
