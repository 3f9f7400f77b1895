use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use bronzelb_kernel::error::{ErrorKind, MeshError};
use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    http::{CallRequest, CallResponse, CallerClient},
    load::{
        CallOutcome, CallRecord, LatencySummary, LoadPlan, LoadReport, TargetPolicy,
        route_stats::{CallSample, RouteStats, error_name, latency_histogram},
    },
};

const MAX_BODY_BYTES: usize = 1024 * 1024;
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Statistics accumulated by one generator.
#[derive(Clone, Debug)]
struct LoadStats {
    routes: Vec<RouteStats>,
    send_lag_us: Histogram<u64>,
    records: Vec<CallRecord>,
    warm_up_done: u64,
    in_flight: usize,
}

/// State shared by all calls of one generator thread.
struct LoadGenerator {
    plan: LoadPlan,
    client: CallerClient,
    body: Bytes,
    stats: RefCell<LoadStats>,
}

/// One request with its scheduled send time.
struct ScheduledCall {
    route: usize,
    token: String,
    first_target: usize,
    scheduled_at: Instant,
    is_measured: bool,
}

/// Generates a load on the calling thread and waits for all responses.
///
/// # Errors
///
/// `Invalid` when the plan has no target address, no route with a weight or no positive rate.
pub async fn run_load(plan: &LoadPlan) -> Result<LoadReport, MeshError> {
    let stats = generate(plan.clone()).await?;
    Ok(build_report(plan, &stats))
}

/// Generates a load on several threads, each with an equal share of the rate, and waits for all
/// responses.
///
/// # Errors
///
/// `Invalid` when the plan has no target address, no route with a weight or no positive rate.
pub fn run_load_threads(plan: &LoadPlan, threads: u32) -> Result<LoadReport, MeshError> {
    let handles: Vec<_> = (0..threads.max(1))
        .map(|index| {
            let mut part = plan.clone();
            part.rate /= f64::from(threads.max(1));
            part.seed = plan.seed.wrapping_add(u64::from(index) << 32);
            thread::spawn(move || actix_web::rt::System::new().block_on(generate(part)))
        })
        .collect();
    let mut sum: Option<LoadStats> = None;
    for handle in handles {
        let stats = handle
            .join()
            .map_err(|_| MeshError::new(ErrorKind::LocalIo, "load generator thread panicked"))??;
        match &mut sum {
            Some(sum) => sum.merge(stats),
            None => sum = Some(stats),
        }
    }
    let sum = sum.expect("at least one thread has run");
    Ok(build_report(plan, &sum))
}

async fn generate(plan: LoadPlan) -> Result<LoadStats, MeshError> {
    plan.check()?;
    let generator = Rc::new(LoadGenerator {
        client: CallerClient::new(),
        body: Bytes::from(vec![b'x'; MAX_BODY_BYTES]),
        stats: RefCell::new(LoadStats::new(plan.routes.len())),
        plan,
    });
    let mut random = StdRng::seed_from_u64(generator.plan.seed);
    let started_at = Instant::now();
    let measured_from = generator.plan.warm_up.to_std();
    let end = measured_from + generator.plan.duration.to_std();
    let mut offset = Duration::ZERO;
    for number in 0_u64.. {
        offset += interarrival_time(&mut random, generator.plan.rate);
        if offset >= end {
            break;
        }
        let call = ScheduledCall {
            route: pick_route(&mut random, &generator.plan),
            token: format!("{}-{number}", generator.plan.seed),
            first_target: pick_target(&mut random, number, &generator.plan),
            scheduled_at: started_at + offset,
            is_measured: offset >= measured_from,
        };
        wait_until(call.scheduled_at).await;
        generator.start(call);
    }
    while generator.stats.borrow().in_flight > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    Ok(generator.stats.replace(LoadStats::new(0)))
}

/// Samples the time to the next arrival of a Poisson process.
fn interarrival_time(random: &mut StdRng, rate: f64) -> Duration {
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

fn pick_route(random: &mut StdRng, plan: &LoadPlan) -> usize {
    let total: u32 = plan.routes.iter().map(|route| route.weight).sum();
    let mut rest = random.random_range(0..total);
    for (index, route) in plan.routes.iter().enumerate() {
        if rest < route.weight {
            return index;
        }
        rest -= route.weight;
    }
    unreachable!("the drawn number is below the sum of the weights")
}

fn pick_target(random: &mut StdRng, number: u64, plan: &LoadPlan) -> usize {
    match plan.policy {
        TargetPolicy::Random => random.random_range(0..plan.targets.len()),
        TargetPolicy::RoundRobin(_) => {
            let targets = plan.targets.len() as u64;
            usize::try_from(number % targets).unwrap_or(0)
        }
    }
}

/// Sleeps until shortly before `instant`, then yields until it is reached, because the timer's
/// resolution is too coarse.
async fn wait_until(instant: Instant) {
    let left = instant.saturating_duration_since(Instant::now());
    if left > TIMER_RESOLUTION {
        tokio::time::sleep(left - TIMER_RESOLUTION).await;
    }
    while Instant::now() < instant {
        tokio::task::yield_now().await;
    }
}

fn build_report(plan: &LoadPlan, stats: &LoadStats) -> LoadReport {
    let mut total = RouteStats::new();
    for route_stats in &stats.routes {
        total.merge(route_stats);
    }
    let routes = plan.routes.iter().zip(&stats.routes);
    LoadReport {
        seed: plan.seed,
        rate: plan.rate,
        seconds: plan.duration.as_secs_f64(),
        total: total.report("total"),
        routes: routes
            .map(|(route, route_stats)| route_stats.report(&route.name))
            .collect(),
        send_lag: LatencySummary::of(&stats.send_lag_us),
        warm_up_done: stats.warm_up_done,
        records: stats.records.clone(),
    }
}

impl LoadStats {
    fn new(routes: usize) -> Self {
        Self {
            routes: vec![RouteStats::new(); routes],
            send_lag_us: latency_histogram(),
            records: Vec::new(),
            warm_up_done: 0,
            in_flight: 0,
        }
    }

    fn merge(&mut self, other: Self) {
        for (route_stats, added) in self.routes.iter_mut().zip(&other.routes) {
            route_stats.merge(added);
        }
        self.send_lag_us += &other.send_lag_us;
        self.records.extend(other.records);
        self.warm_up_done += other.warm_up_done;
    }
}

impl LoadGenerator {
    fn start(self: &Rc<Self>, call: ScheduledCall) {
        {
            let mut stats = self.stats.borrow_mut();
            if stats.in_flight >= self.plan.max_in_flight {
                if call.is_measured {
                    stats.routes[call.route].unsent += 1;
                }
                return;
            }
            stats.in_flight += 1;
            if call.is_measured {
                stats.routes[call.route].sent += 1;
                let lag = call.scheduled_at.elapsed().as_micros();
                let lag = u64::try_from(lag).unwrap_or(u64::MAX);
                stats.send_lag_us.saturating_record(lag);
            }
        }
        let generator = Rc::clone(self);
        actix_web::rt::spawn(async move {
            generator.run(call).await;
            generator.stats.borrow_mut().in_flight -= 1;
        });
    }

    async fn run(&self, call: ScheduledCall) {
        let route = &self.plan.routes[call.route];
        let deadline = Duration::from_millis(route.deadline_ms);
        let request = route
            .request(&call.token, &self.body)
            .with_timeout(deadline + self.plan.deadline_grace);
        let (attempts, result) = self.attempt(&request, call.first_target).await;
        let outcome = CallOutcome::of(&request, &result);
        if !call.is_measured {
            let is_done = outcome == CallOutcome::Done;
            self.stats.borrow_mut().warm_up_done += u64::from(is_done);
            return;
        }
        let header = |name: &str| result.as_ref().map_or("", |answer| answer.header(name));
        let sample = CallSample {
            outcome,
            error: match outcome {
                CallOutcome::Done => String::new(),
                _ => error_name(&result),
            },
            build: header("x-bronzelb-build"),
            latency: call.scheduled_at.elapsed(),
            attempts,
            deadline,
        };
        let mut shared = self.stats.borrow_mut();
        shared.routes[call.route].record(&sample);
        if shared.records.len() < self.plan.max_records {
            shared.records.push(CallRecord {
                route: route.name.clone(),
                key: request
                    .headers
                    .get("idempotency-key")
                    .cloned()
                    .unwrap_or_default(),
                outcome,
                status: result.as_ref().map_or(0, |answer| answer.status),
                error: sample.error,
                request_id: header("x-bronzelb-request").to_owned(),
                build: header("x-bronzelb-build").to_owned(),
                latency: sample.latency,
                target: request.target,
            });
        }
    }

    /// Sends the request and retries failures as the policy allows.
    async fn attempt(
        &self,
        request: &CallRequest,
        first_target: usize,
    ) -> (u64, Result<CallResponse, MeshError>) {
        let retries = match self.plan.policy {
            TargetPolicy::Random => 0,
            TargetPolicy::RoundRobin(retries) => retries as usize,
        };
        let mut attempts = 0;
        loop {
            let result = self
                .client
                .call(self.target(first_target + attempts), request)
                .await;
            attempts += 1;
            let is_good = result.as_ref().is_ok_and(|answer| answer.status < 500);
            if is_good || attempts > retries {
                return (attempts as u64, result);
            }
        }
    }

    fn target(&self, index: usize) -> SocketAddr {
        self.plan.targets[index % self.plan.targets.len()]
    }
}
