//! What hostile files may make the reader allocate: bounded by their size and the bound on nodes,
//! whatever they stand for.

#[path = "common/counting.rs"]
mod counting;

use counting::{CountingAllocator, IN_USE_BYTES, PEAK_BYTES};
use dewpier_inventory::Options;
use std::sync::atomic::Ordering;

/// Values of YAML for each node that may be.
const VALUES: usize = 16;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The most that reading it took, in bytes, and whether it was read.
fn peak(name: &str, text: &str, options: &Options) -> (usize, bool) {
    let before = IN_USE_BYTES.load(Ordering::Relaxed);
    PEAK_BYTES.store(before, Ordering::Relaxed);
    let read = dewpier_inventory::read(text.as_bytes(), name, options);
    let (why, read) = (read.as_ref().err().map(|r| r.to_string()), read.is_ok());
    println!("{why:?}");
    (PEAK_BYTES.load(Ordering::Relaxed) - before, read)
}

// One test, as the counts are the process's.
#[test]
fn memory_is_bounded_by_the_file_and_the_nodes_that_may_be() {
    let options = Options { max_nodes: 10_000, ..Options::default() };
    let bomb: String = (0..40)
        .map(|i| match i {
            0 => "a0: &a0 [x, x, x, x, x, x, x, x]\n".to_string(),
            i => format!("a{i}: &a{i} [{}]\n", vec![format!("*a{}", i - 1); 8].join(", ")),
        })
        .collect();
    let merges: String = "base: &m0 {k: 1}\n".to_string()
        + &(1..2000)
            .map(|i| format!("m{i}: &m{i} {{<<: [*m{0}, *m{0}, *m{0}], k{i}: 1}}\n", i - 1))
            .collect::<String>();
    let hosts = |range: &str| format!("all:\n  vars: {{ansible_port: 80}}\n  hosts:\n    n{range}:\n");
    let many: String = (0..200).map(|i| format!("    n{i}-[1:9999]:\n")).collect();
    let cases = [
        ("a.yaml", bomb),
        ("a.yaml", merges),
        ("a.yaml", hosts("[0:18446744073709551615]")),
        ("a.yaml", hosts("[1:9999]-[1:9999]-[1:9999]")),
        ("a.yaml", format!("all:\n  vars: {{ansible_port: 80}}\n  hosts:\n{many}")),
        ("a.yaml", "[".repeat(1 << 20)),
        ("a.yaml", "- ".repeat(1 << 19)),
        ("a.yaml", "{a: ".repeat(1 << 18)),
        ("a.yaml", "- &a x\n".repeat(1 << 17)),
        ("a.yaml", format!("- id: {}\n", "x".repeat(1 << 20))),
        ("a.csv", "id,address\n".to_string() + &"\n".repeat(1 << 20)),
        ("a.csv", ",".repeat(1 << 20)),
        ("a.csv", format!("id,address\n\"{}", "\"\"".repeat(1 << 19))),
        (
            "a.csv",
            "id,address\n".to_string()
                + &(0..50_000).map(|i| format!("{i},10.1.{}.{}:80\n", i >> 8, i & 255)).collect::<String>(),
        ),
    ];
    for (name, text) in cases {
        let (peak, read) = peak(name, &text, &options);
        // The nodes of YAML take the most.
        let nodes = if name.ends_with("csv") { 250 } else { 300 * VALUES } * options.max_nodes;
        let bound = 4 * text.len() + nodes;
        let start: String = text.chars().take(40).collect();
        println!("{:>9} bytes: {:>9} at most: {start:?}", text.len(), peak);
        assert!(!read, "{start}");
        assert!(peak < bound, "{peak} of {bound} for {} bytes: {start}", text.len());
    }
    // What is good stays well within it.
    let good: String = (0..10_000).map(|i| format!("n{i},10.1.{}.{}:80\n", i >> 8, i & 255)).collect();
    let (peak, read) = peak("a.csv", &format!("id,address\n{good}"), &options);
    assert!(read && peak < 250 * 10_000, "{peak}");
}
