//! The memory that metrics take. A test of its own process, whose memory it measures.

use std::time::Duration;

use futures_lite::future::or;
use lentilreach_steer::process::metric::{self, ANSWER_SECONDS};
use metrics_exporter_prometheus::PrometheusBuilder;
use smol::Timer;

/// Number of samples in a batch, and of batches. Kept until they are read, all of them take
/// 32 MB.
const SAMPLES: (u32, u32) = (100_000, 20);

/// The largest growth that is allowed, in bytes: five batches.
const MAX_GROWTH: usize = 8_000_000;

/// Resident memory of this process in bytes.
fn memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a Linux system");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let text = line.expect("the resident size").trim().trim_end_matches(" kB");
    text.parse::<usize>().expect("a number") * 1_024
}

/// An agent whose metrics nobody read kept each sample of a histogram in memory, 16 bytes for
/// each delivered segment, until it reached its limit.
#[test]
fn memory_does_not_grow_while_nobody_reads_the_metrics() {
    let handle = PrometheusBuilder::new().install_recorder().expect("the first recorder");
    let record = async {
        let mut before = 0;
        for batch in 0..SAMPLES.1 {
            if batch == 1 {
                before = memory();
            }
            for _ in 0..SAMPLES.0 {
                metric::record(&ANSWER_SECONDS, 0.03);
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        memory().saturating_sub(before)
    };
    let upkeep = async {
        metric::keep_up(handle, Duration::from_millis(10)).await;
        usize::MAX
    };

    let growth = smol::block_on(or(record, upkeep));

    assert!(growth < MAX_GROWTH, "{growth} bytes");
}
