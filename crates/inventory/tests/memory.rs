//! Memory use on hostile files is bounded by the size of the file and the maximum number of nodes.

#[path = "common/counting.rs"]
mod counting;

use counting::{CountingAllocator, IN_USE_BYTES, PEAK_BYTES};
use dewpier_inventory::Options;
use std::sync::atomic::Ordering;

/// Maximum number of YAML values per permitted node.
const VALUES_PER_NODE: usize = 16;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Reads a text. Returns the peak of allocated bytes and whether the text was accepted.
fn peak_memory(name: &str, text: &str, options: &Options) -> (usize, bool) {
    let bytes_before = IN_USE_BYTES.load(Ordering::Relaxed);
    PEAK_BYTES.store(bytes_before, Ordering::Relaxed);
    let result = dewpier_inventory::read(text.as_bytes(), name, options);
    let (error, accepted) = (result.as_ref().err().map(|error| error.to_string()), result.is_ok());
    println!("{error:?}");
    (PEAK_BYTES.load(Ordering::Relaxed) - bytes_before, accepted)
}

// A single test: the counters are global to the process.
#[test]
fn memory_is_bounded_by_file_size_and_node_limit() {
    let options = Options { max_nodes: 10_000, ..Options::default() };
    let alias_bomb: String = (0..40)
        .map(|i| match i {
            0 => "a0: &a0 [x, x, x, x, x, x, x, x]\n".to_string(),
            i => format!("a{i}: &a{i} [{}]\n", vec![format!("*a{}", i - 1); 8].join(", ")),
        })
        .collect();
    let nested_merges: String = "base: &m0 {k: 1}\n".to_string()
        + &(1..2000)
            .map(|i| format!("m{i}: &m{i} {{<<: [*m{0}, *m{0}, *m{0}], k{i}: 1}}\n", i - 1))
            .collect::<String>();
    let hosts_file = |range: &str| format!("all:\n  vars: {{ansible_port: 80}}\n  hosts:\n    n{range}:\n");
    let many_ranges: String = (0..200).map(|i| format!("    n{i}-[1:9999]:\n")).collect();
    let cases = [
        ("a.yaml", alias_bomb),
        ("a.yaml", nested_merges),
        ("a.yaml", hosts_file("[0:18446744073709551615]")),
        ("a.yaml", hosts_file("[1:9999]-[1:9999]-[1:9999]")),
        ("a.yaml", format!("all:\n  vars: {{ansible_port: 80}}\n  hosts:\n{many_ranges}")),
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
        let (peak_bytes, accepted) = peak_memory(name, &text, &options);
        // The bound for YAML is higher, as each value is a node of the tree.
        let node_bytes = if name.ends_with("csv") { 250 } else { 300 * VALUES_PER_NODE } * options.max_nodes;
        let bound = 4 * text.len() + node_bytes;
        let start: String = text.chars().take(40).collect();
        println!("{:>9} bytes: {:>9} at most: {start:?}", text.len(), peak_bytes);
        assert!(!accepted, "{start}");
        assert!(peak_bytes < bound, "{peak_bytes} of {bound} for {} bytes: {start}", text.len());
    }
    // A valid table stays below the bound for its nodes.
    let valid_rows: String = (0..10_000).map(|i| format!("n{i},10.1.{}.{}:80\n", i >> 8, i & 255)).collect();
    let (peak_bytes, accepted) = peak_memory("a.csv", &format!("id,address\n{valid_rows}"), &options);
    assert!(accepted && peak_bytes < 250 * 10_000, "{peak_bytes}");
}
