//! Reading 100,000 rows against the bare `csv` crate reading the same bytes into records of its
//! own, in one run: at most 3 times its time. And how much memory the list takes.
//!
//! `cargo bench -p dewpier-inventory`

#[path = "../tests/common/counting.rs"]
mod counting;

use counting::{CountingAllocator, IN_USE_BYTES, PEAK_BYTES};
use dewpier_inventory::{Format, Options};
use std::hint::black_box;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const ROWS: usize = 100_000;
const RUNS: usize = 15;

fn table(quoted: bool) -> String {
    let mut text = "id,address,zone,cell,weight,state,comment\n".to_string();
    for i in 0..ROWS {
        let comment = if quoted {
            "\"бірінші, \"\"жылы\"\" қатар\""
        } else {
            "бірінші жылы қатар"
        };
        let (a, b, c) = (i >> 16, i >> 8 & 255, i & 255);
        text += &format!("pricing-{i:06},10.{a}.{b}.{c}:8080,alm-dc1,{},1.5,serving,{comment}\n", i % 64);
    }
    text
}

/// The median time of several runs.
fn median(mut run: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2]
}

fn main() {
    for quoted in [false, true] {
        let text = table(quoted);
        let options = Options { format: Some(Format::Csv), ..Options::default() };
        let ours = median(|| {
            let list = dewpier_inventory::read(text.as_bytes(), "nodes.csv", &options);
            assert_eq!(black_box(list).expect("read whole").backends.len(), ROWS);
        });
        let records = median(|| {
            let mut reader = csv::Reader::from_reader(text.as_bytes());
            let all: Vec<csv::StringRecord> = reader.records().map_while(Result::ok).collect();
            black_box(all.len());
        });
        let one = median(|| {
            let (mut reader, mut record, mut rows) =
                (csv::Reader::from_reader(text.as_bytes()), csv::StringRecord::new(), 0);
            while reader.read_record(&mut record).unwrap_or(false) {
                rows += 1;
            }
            black_box(rows);
        });
        let before = IN_USE_BYTES.load(Ordering::Relaxed);
        PEAK_BYTES.store(before, Ordering::Relaxed);
        let list = dewpier_inventory::read(text.as_bytes(), "nodes.csv", &options).expect("read whole");
        let (held, most) =
            (IN_USE_BYTES.load(Ordering::Relaxed) - before, PEAK_BYTES.load(Ordering::Relaxed) - before);
        drop(list);
        let (kind, ms) = (if quoted { "quoted" } else { "bare" }, |d: Duration| d.as_secs_f64() * 1000.0);
        println!(
            "{ROWS} rows, {kind}, {:.1} MB: inventory {:.1} ms; csv into records {:.1} ms, ratio {:.2} (limit 3); \
             csv through one record {:.1} ms, ratio {:.2}; memory {:.1} MB held, {:.1} MB at most",
            text.len() as f64 / 1e6,
            ms(ours),
            ms(records),
            ours.as_secs_f64() / records.as_secs_f64(),
            ms(one),
            ours.as_secs_f64() / one.as_secs_f64(),
            held as f64 / 1e6,
            most as f64 / 1e6
        );
    }
}
