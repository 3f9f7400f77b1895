//! Tests of the load generator against the backend stand-in.

use std::path::Path;

use bronzelb_emulator::{
    backend::{BackendAddresses, BackendFaults, FaultAction, FaultRule, TallyTotals},
    http::JsonClient,
    load::{CallOutcome, LoadPlan, LoadReport, LoadRoute, TargetPolicy, run_load},
    process::ChildProcess,
};
use bronzelb_kernel::clock::TimeBudget;

const SEED: u64 = 7;

struct TestServer {
    addresses: BackendAddresses,
    _process: ChildProcess,
    _directory: tempfile::TempDir,
}

impl TestServer {
    async fn start() -> Self {
        let emulator = Path::new(env!("CARGO_BIN_EXE_bronzelb-emulator"));
        let directory = tempfile::tempdir().expect("a directory");
        let args = ["backend", "--name", "t1", "--service", "tracker"];
        let mut process =
            ChildProcess::start("t1", emulator, args, directory.path()).expect("a server");
        Self {
            addresses: process.wait_listening().await.expect("addresses"),
            _process: process,
            _directory: directory,
        }
    }

    async fn set_fault(&self, rule: FaultRule) {
        let faults = BackendFaults::from_rules([rule]);
        let client = JsonClient::new();
        let control = self.addresses.control;
        client
            .put(control, "/faults", &faults)
            .await
            .expect("the faults are set");
    }

    async fn totals(&self) -> TallyTotals {
        let client = JsonClient::new();
        let totals = client.get(self.addresses.control, "/totals").await;
        totals.expect("totals")
    }

    fn plan(&self) -> LoadPlan {
        let mut plan = LoadPlan::new([self.addresses.address])
            .with_seed(SEED)
            .with_rate(200.0)
            .with_duration(TimeBudget::from_millis(500))
            .with_records()
            .with_route(LoadRoute::get("/a").with_deadline_ms(20_000))
            .with_route(LoadRoute::keyed_post("/b").with_deadline_ms(20_000));
        plan.max_in_flight = 1_000;
        plan
    }
}

async fn run(plan: &LoadPlan) -> LoadReport {
    run_load(plan).await.expect("the load runs")
}

#[actix_web::test]
async fn every_call_is_sent_once_and_gets_its_own_response() {
    let server = TestServer::start().await;
    let report = run(&server.plan()).await;
    assert!(report.total.sent > 0);
    assert_eq!(
        report.total.count(CallOutcome::Done),
        report.total.sent,
        "{report}"
    );
    assert_eq!(server.totals().await.run, report.total.sent);
    assert_eq!(report.records.len() as u64, report.total.sent);
    let again = run(&server.plan()).await;
    assert_eq!(
        again.total.sent, report.total.sent,
        "the same seed generates the same load"
    );
}

#[actix_web::test]
async fn mismatched_and_truncated_responses_are_distinguished() {
    let server = TestServer::start().await;
    server
        .set_fault(FaultRule::new(FaultAction::WrongRequestId).with_path("/a"))
        .await;
    let report = run(&server.plan()).await;
    let mismatched = report.route("/a").expect("the route is reported");
    assert_eq!(
        mismatched.count(CallOutcome::WrongAnswer),
        mismatched.sent,
        "{report}"
    );
    server.set_fault(FaultRule::new(FaultAction::CutBody)).await;
    let report = run(&server.plan()).await;
    assert_eq!(
        report.total.count(CallOutcome::NoAnswer),
        report.total.sent,
        "{report}"
    );
}

#[actix_web::test]
async fn round_robin_retries_up_to_its_limit() {
    let server = TestServer::start().await;
    server.set_fault(FaultRule::new(FaultAction::Fail)).await;
    let plan = server.plan().with_policy(TargetPolicy::RoundRobin(2));
    let report = run(&plan).await;
    assert_eq!(
        report.total.count(CallOutcome::Unmarked),
        report.total.sent,
        "{report}"
    );
    assert_eq!(report.total.attempts, 3 * report.total.sent);
}
