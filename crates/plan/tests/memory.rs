//! Memory of a follower grows with its slice, not with the fleet.

#[path = "../../inventory/tests/common/counting.rs"]
mod counting;

use dewpier_plan::{Follower, Node, Plan, PlannerMessage, Slice, Version};

fn plan(nodes: usize) -> Plan {
    let node = |i: usize| Node {
        id: format!("pricing-{i:05}.example.org"),
        address: ([10, 0, (i / 250) as u8, (i % 250) as u8], 80).into(),
        zone: "a".into(),
        cell: (i / 4) as u32,
        weight: 1.0,
        draining: false,
        age_ms: None,
    };
    Plan {
        version: Version { term: 1, generation: 1 },
        nodes: (0..nodes).map(node).collect(),
        acknowledged: Vec::new(),
    }
}

#[global_allocator]
static COUNTING: counting::CountingAllocator = counting::CountingAllocator;

/// Bytes allocated by a follower of such a plan.
fn allocated_bytes(slice: Option<Slice>, nodes: usize) -> usize {
    let now = || counting::IN_USE_BYTES.load(std::sync::atomic::Ordering::Relaxed);
    let before = now();
    let mut follower = Follower::with_slice(slice);
    follower.receive(0, PlannerMessage::Full(plan(nodes)));
    let allocated = now() - before;
    assert_eq!(follower.planned_nodes().len(), slice.map_or(nodes, |s| s.size()));
    allocated
}

// The only test in this file: the counting allocator would also count parallel tests.
#[test]
fn slice_of_a_twenty_times_larger_fleet_takes_no_more_memory() {
    let slice = Some(Slice::new("f", 64));
    let [small, large] = [1000, 20_000].map(|nodes| allocated_bytes(slice, nodes));
    println!(
        "64 nodes of 1,000: {small} bytes; of 20,000: {large}; all of 20,000: {}",
        allocated_bytes(None, 20_000)
    );
    assert!(large < small + small / 4 && large < 32_000, "{small} and {large}");
    assert!(
        allocated_bytes(None, 20_000) > 100 * large,
        "expected the whole plan to take more than 100 times the slice"
    );
}
