//! Tests of the log rate limit and of the metrics format.

use bronzelb_kernel::clock::ClockInstant;
use bronzelbd::{
    log::{EventName, LogLimiter},
    metrics::MetricSink,
};
use cadence::{CountedExt, Timed};
use expect_test::expect;

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
