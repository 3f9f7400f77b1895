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
    http::{CallAnswer, CallRequest, CallerClient},
    load::{
        CallOutcome, CallRecord, LatencySummary, LoadPlan, LoadReport, TargetPolicy,
        route_stats::{CallSample, RouteStats, error_name, histogram},
    },
};

const MAX_BODY_BYTES: usize = 1024 * 1024;
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);
const DRAIN_INTERVAL: Duration = Duration::from_millis(5);

/// What a generator has counted.
#[derive(Clone, Debug)]
struct LoadStats {
    routes: Vec<RouteStats>,
    lag_micros: Histogram<u64>,
    records: Vec<CallRecord>,
    warm_up_done: u64,
    in_flight: usize,
}

/// Everything that the calls of a generator share.
struct LoadGenerator {
    plan: LoadPlan,
    client: CallerClient,
    body: Bytes,
    figures: RefCell<LoadStats>,
}

/// One request that is due.
struct ScheduledCall {
    route: usize,
    token: String,
    first_target: usize,
    due_at: Instant,
    is_measured: bool,
}

/// Generates a load from the calling thread and waits for the last answer.
///
/// # Errors
///
/// `Invalid` when the plan has no address, no route or no rate.
pub async fn run_load(plan: &LoadPlan) -> Result<LoadReport, MeshError> {
    let figures = generate(plan.clone()).await?;
    Ok(report(plan, &figures))
}

/// Generates a load from several threads, each with its share of the rate, and waits for the last
/// answer.
///
/// # Errors
///
/// `Invalid` when the plan has no address, no route or no rate.
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
        let figures = handle.join().map_err(|_| {
            MeshError::new(
                ErrorKind::LocalIo,
                "a thread of the load generator panicked",
            )
        })??;
        match &mut sum {
            Some(sum) => sum.add(figures),
            None => sum = Some(figures),
        }
    }
    let sum = sum.expect("at least one thread has run");
    Ok(report(plan, &sum))
}

async fn generate(plan: LoadPlan) -> Result<LoadStats, MeshError> {
    plan.check()?;
    let share = Rc::new(LoadGenerator {
        client: CallerClient::new(),
        body: Bytes::from(vec![b'x'; MAX_BODY_BYTES]),
        figures: RefCell::new(LoadStats::new(plan.routes.len())),
        plan,
    });
    let mut random = StdRng::seed_from_u64(share.plan.seed);
    let started_at = Instant::now();
    let measured_from = share.plan.warm_up.to_std();
    let end = measured_from + share.plan.duration.to_std();
    let mut offset = Duration::ZERO;
    for number in 0_u64.. {
        offset += gap(&mut random, share.plan.rate);
        if offset >= end {
            break;
        }
        let call = ScheduledCall {
            route: pick_route(&mut random, &share.plan),
            token: format!("{}-{number}", share.plan.seed),
            first_target: pick_target(&mut random, number, &share.plan),
            due_at: started_at + offset,
            is_measured: offset >= measured_from,
        };
        wait_until(call.due_at).await;
        share.start(call);
    }
    while share.figures.borrow().in_flight > 0 {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    Ok(share.figures.replace(LoadStats::new(0)))
}

/// Draws the time to the next arrival of a Poisson process.
fn gap(random: &mut StdRng, rate: f64) -> Duration {
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

/// Sleeps while the instant is far, then yields until it is reached, because timers are coarse.
async fn wait_until(instant: Instant) {
    let left = instant.saturating_duration_since(Instant::now());
    if left > TIMER_RESOLUTION {
        tokio::time::sleep(left - TIMER_RESOLUTION).await;
    }
    while Instant::now() < instant {
        tokio::task::yield_now().await;
    }
}

fn report(plan: &LoadPlan, figures: &LoadStats) -> LoadReport {
    let mut total = RouteStats::new();
    for tally in &figures.routes {
        total.add(tally);
    }
    let routes = plan.routes.iter().zip(&figures.routes);
    LoadReport {
        seed: plan.seed,
        rate: plan.rate,
        seconds: plan.duration.as_secs_f64(),
        total: total.report("total"),
        routes: routes
            .map(|(route, tally)| tally.report(&route.name))
            .collect(),
        send_lag: LatencySummary::of(&figures.lag_micros),
        warm_up_done: figures.warm_up_done,
        records: figures.records.clone(),
    }
}

impl LoadStats {
    fn new(routes: usize) -> Self {
        Self {
            routes: vec![RouteStats::new(); routes],
            lag_micros: histogram(),
            records: Vec::new(),
            warm_up_done: 0,
            in_flight: 0,
        }
    }

    fn add(&mut self, other: Self) {
        for (tally, added) in self.routes.iter_mut().zip(&other.routes) {
            tally.add(added);
        }
        self.lag_micros += &other.lag_micros;
        self.records.extend(other.records);
        self.warm_up_done += other.warm_up_done;
    }
}

impl LoadGenerator {
    fn start(self: &Rc<Self>, call: ScheduledCall) {
        {
            let mut figures = self.figures.borrow_mut();
            if figures.in_flight >= self.plan.max_in_flight {
                if call.is_measured {
                    figures.routes[call.route].unsent += 1;
                }
                return;
            }
            figures.in_flight += 1;
            if call.is_measured {
                figures.routes[call.route].sent += 1;
                let lag = call.due_at.elapsed().as_micros();
                let lag = u64::try_from(lag).unwrap_or(u64::MAX);
                figures.lag_micros.saturating_record(lag);
            }
        }
        let share = Rc::clone(self);
        actix_web::rt::spawn(async move {
            share.run(call).await;
            share.figures.borrow_mut().in_flight -= 1;
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
            self.figures.borrow_mut().warm_up_done += u64::from(is_done);
            return;
        }
        let header = |name: &str| result.as_ref().map_or("", |answer| answer.header(name));
        let figures = CallSample {
            outcome,
            error: match outcome {
                CallOutcome::Done => String::new(),
                _ => error_name(&result),
            },
            build: header("x-bronzelb-build"),
            latency: call.due_at.elapsed(),
            attempts,
            deadline,
        };
        let mut shared = self.figures.borrow_mut();
        shared.routes[call.route].count(&figures);
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
                error: figures.error,
                request_id: header("x-bronzelb-request").to_owned(),
                build: header("x-bronzelb-build").to_owned(),
                latency: figures.latency,
                target: request.target,
            });
        }
    }

    /// Sends the request, again after a failure if the policy says so.
    async fn attempt(
        &self,
        request: &CallRequest,
        first_target: usize,
    ) -> (u64, Result<CallAnswer, MeshError>) {
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
