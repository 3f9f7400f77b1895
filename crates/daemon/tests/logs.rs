//! Tests of the log rate limit and of the metrics format.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    thread,
};

use bronzelb_kernel::clock::ClockInstant;
use bronzelbd::{
    log::{EventName, LineBatch, LogLimiter, NodeLogger},
    metrics::MetricSink,
};
use cadence::{CountedExt, Timed};
use expect_test::expect;
use slog::info;

/// Output that passes on each write, or keeps a writer waiting while it is stopped.
struct StoppableOutput {
    writes: mpsc::Sender<Vec<u8>>,
    gate: Arc<Mutex<()>>,
}

impl Write for StoppableOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        drop(self.gate.lock());
        let _ = self.writes.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn batch_to_channel() -> (Arc<LineBatch>, mpsc::Receiver<Vec<u8>>, Arc<Mutex<()>>) {
    let (writes, received) = mpsc::channel();
    let gate = Arc::default();
    let output = StoppableOutput {
        writes,
        gate: Arc::clone(&gate),
    };
    let batch = LineBatch::start(output).expect("the log's thread starts");
    (Arc::new(batch), received, gate)
}

#[test]
fn lines_of_several_threads_are_whole_and_share_writes() {
    const THREADS: usize = 4;
    const LINES: usize = 200;
    let (batch, received, _) = batch_to_channel();
    let node = "node-1".parse().expect("the name is valid");
    let centre = "leuven".parse().expect("the name is valid");
    let logger = NodeLogger::build(&node, &centre, Arc::clone(&batch));
    let threads = [(); THREADS].map(|()| {
        let logger = logger.clone();
        thread::spawn(move || {
            for number in 0..LINES {
                info!(logger, # "request", "{}", EventName::RequestRan; "number" => number);
            }
        })
    });
    for thread in threads {
        thread.join().expect("the thread ends");
    }
    drop((logger, batch));
    let writes: Vec<Vec<u8>> = received.iter().collect();
    let text = String::from_utf8(writes.concat()).expect("lines are text");
    let lines: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line is JSON"))
        .collect();
    assert_eq!(lines.len(), THREADS * LINES);
    assert!(
        lines
            .iter()
            .all(|line| line["event"] == "request-ran" && line["node"] == "node-1")
    );
    assert!(writes.len() <= lines.len() / 10, "{} writes", writes.len());
}

#[test]
fn line_about_the_node_does_not_wait_for_others() {
    let (batch, received, _) = batch_to_channel();
    for number in 0..3 {
        batch.push(b"frequent\n", true);
        batch.push(b"rare\n", false);
        let mut written = Vec::new();
        while !written.ends_with(b"rare\n") {
            written.extend(received.recv().expect("the line is written"));
        }
        assert_eq!(written, b"frequent\nrare\n", "{number}");
    }
}

#[test]
fn output_that_is_not_read_costs_bounded_memory_and_the_loss_is_told() {
    const LINES: usize = 10_000;
    let (batch, received, gate) = batch_to_channel();
    let stopped = gate.lock().expect("the gate is free");
    let line = [b'x'; 99].into_iter().chain([b'\n']).collect::<Vec<_>>();
    for _ in 0..LINES {
        batch.push(&line, true);
    }
    drop(stopped);
    drop(batch);
    let text = String::from_utf8(received.iter().flatten().collect()).expect("lines are text");
    let kept = text.lines().filter(|line| line.starts_with('x')).count();
    assert!(kept < LINES / 2, "{kept} lines were kept");
    let told: usize = text
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter(|line| line["event"] == "lines-suppressed")
        .map(|line| line["lines"].as_u64().expect("a number of lines") as usize)
        .sum();
    assert_eq!(kept + told, LINES);
}

#[test]
fn lines_of_an_event_are_bounded_each_second_and_the_rest_is_counted() {
    let mut limiter = LogLimiter::default();
    let mut written = [0_u32; 10];
    for millis in 0..10_000_u64 {
        let now = ClockInstant::from_millis(1_000_000 + millis);
        let second = (millis / 1_000) as usize;
        written[second] += u32::from(limiter.try_acquire(now, EventName::RequestFailed));
    }
    assert!(
        written.iter().all(|lines| (1..=100).contains(lines)),
        "{written:?}"
    );
    let suppressed = limiter.take_suppressed();
    let total: u32 = written.iter().sum();
    let expected = [(EventName::RequestFailed, 10_000 - u64::from(total))];
    assert_eq!(suppressed, expected);
    assert!(limiter.take_suppressed().is_empty());
}

#[test]
fn one_event_does_not_use_up_the_lines_of_another() {
    let mut limiter = LogLimiter::default();
    let now = ClockInstant::from_millis(1_000_000);
    while limiter.try_acquire(now, EventName::RequestAttempted) {}
    assert!(limiter.try_acquire(now, EventName::RequestFailed));
}

#[test]
fn counters_and_latencies_are_rendered_with_labels_and_cumulative_buckets() {
    let sink = MetricSink::default();
    let client = sink.client();
    client.incr("retries").expect("the sink is in memory");
    for _ in 0..2 {
        client
            .incr_with_tags("request_errors")
            .with_tag("kind", "no-backend")
            .try_send()
            .expect("the sink is in memory");
    }
    for millis in [3_u64, 40, 9_000] {
        client
            .time_with_tags("request_ms", millis)
            .with_tag("outcome", "served")
            .try_send()
            .expect("the sink is in memory");
    }
    expect![[r#"
        bronzelb_request_errors{kind="no-backend"} 2
        bronzelb_retries 1
        bronzelb_request_ms_bucket{outcome="served",le="1"} 0
        bronzelb_request_ms_bucket{outcome="served",le="2"} 0
        bronzelb_request_ms_bucket{outcome="served",le="5"} 1
        bronzelb_request_ms_bucket{outcome="served",le="10"} 1
        bronzelb_request_ms_bucket{outcome="served",le="25"} 1
        bronzelb_request_ms_bucket{outcome="served",le="50"} 2
        bronzelb_request_ms_bucket{outcome="served",le="100"} 2
        bronzelb_request_ms_bucket{outcome="served",le="250"} 2
        bronzelb_request_ms_bucket{outcome="served",le="500"} 2
        bronzelb_request_ms_bucket{outcome="served",le="1000"} 2
        bronzelb_request_ms_bucket{outcome="served",le="2500"} 2
        bronzelb_request_ms_bucket{outcome="served",le="5000"} 2
        bronzelb_request_ms_bucket{outcome="served",le="+Inf"} 3
        bronzelb_request_ms_sum{outcome="served"} 9043
        bronzelb_request_ms_count{outcome="served"} 3
    "#]]
    .assert_eq(&sink.render());
}
