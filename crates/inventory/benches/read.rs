//! Compares the time to read a table of 100,000 rows with that of the `csv` crate alone, at most 3 times as long, and
//! measures the memory of the list.
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

/// Number of rows of the table.
const ROWS: usize = 100_000;
/// Number of timed runs, of which the median counts.
const RUNS: usize = 15;

/// Writes a table whose comment column has quotes or not.
fn write_table(quoted: bool) -> String {
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

/// Runs a function [`RUNS`] times and returns the median time.
fn median_time(mut run: impl FnMut()) -> Duration {
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
        let text = write_table(quoted);
        let options = Options { format: Some(Format::Csv), ..Options::default() };
        let inventory_time = median_time(|| {
            let list = dewpier_inventory::read(text.as_bytes(), "nodes.csv", &options);
            assert_eq!(black_box(list).expect("read whole").backends.len(), ROWS);
        });
        let csv_records_time = median_time(|| {
            let mut reader = csv::Reader::from_reader(text.as_bytes());
            let records: Vec<csv::StringRecord> = reader.records().map_while(Result::ok).collect();
            black_box(records.len());
        });
        let csv_reused_record_time = median_time(|| {
            let (mut reader, mut record, mut rows) =
                (csv::Reader::from_reader(text.as_bytes()), csv::StringRecord::new(), 0);
            while reader.read_record(&mut record).unwrap_or(false) {
                rows += 1;
            }
            black_box(rows);
        });
        let bytes_before = IN_USE_BYTES.load(Ordering::Relaxed);
        PEAK_BYTES.store(bytes_before, Ordering::Relaxed);
        let list = dewpier_inventory::read(text.as_bytes(), "nodes.csv", &options).expect("read whole");
        let (held_bytes, peak_bytes) = (
            IN_USE_BYTES.load(Ordering::Relaxed) - bytes_before,
            PEAK_BYTES.load(Ordering::Relaxed) - bytes_before,
        );
        drop(list);
        let (kind, ms) = (if quoted { "quoted" } else { "bare" }, |d: Duration| d.as_secs_f64() * 1000.0);
        println!(
            "{ROWS} rows, {kind}, {:.1} MB: inventory {:.1} ms; csv into records {:.1} ms, ratio {:.2} (limit 3); \
             csv through one record {:.1} ms, ratio {:.2}; memory {:.1} MB held, {:.1} MB at most",
            text.len() as f64 / 1e6,
            ms(inventory_time),
            ms(csv_records_time),
            inventory_time.as_secs_f64() / csv_records_time.as_secs_f64(),
            ms(csv_reused_record_time),
            inventory_time.as_secs_f64() / csv_reused_record_time.as_secs_f64(),
            held_bytes as f64 / 1e6,
            peak_bytes as f64 / 1e6
        );
    }
}
