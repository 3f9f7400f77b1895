//! Tests of the fault proxy between a caller and a backend stand-in.

use std::{net::SocketAddr, path::Path, time::Duration};

use bronzelb_emulator::{
    backend::BackendAddresses,
    http::{CallRequest, CallResponse, CallerClient, JsonClient},
    mesh::ProxyStandIn,
    process::ChildProcess,
    proxy::{ProxyAction, ProxyRule, ProxyRules},
};
use bronzelb_kernel::error::MeshError;

const LISTENER: &str = "dc1/server";

struct ProxiedServer {
    proxy: ProxyStandIn,
    listen_address: SocketAddr,
    server: BackendAddresses,
    caller: CallerClient,
    _process: ChildProcess,
    _directory: tempfile::TempDir,
}

impl ProxiedServer {
    async fn start() -> Self {
        let emulator = Path::new(env!("CARGO_BIN_EXE_bronzelb-emulator"));
        let directory = tempfile::tempdir().expect("temporary directory is created");
        let args = ["backend", "--name", "t1", "--service", "tracker"];
        let mut process = ChildProcess::start("t1", emulator, args, directory.path())
            .expect("backend stand-in starts");
        let server: BackendAddresses = process
            .wait_listening()
            .await
            .expect("backend stand-in prints its addresses");
        let proxy = ProxyStandIn::start(emulator, directory.path())
            .await
            .expect("proxy starts");
        let listen_address = proxy
            .listen(LISTENER, Some(server.address))
            .await
            .expect("proxy opens a listener");
        Self {
            proxy,
            listen_address,
            server,
            caller: CallerClient::new(),
            _process: process,
            _directory: directory,
        }
    }

    async fn call(&self, timeout: Duration) -> Result<CallResponse, MeshError> {
        let request = CallRequest::get("/a").with_timeout(timeout);
        self.caller.call(self.listen_address, &request).await
    }

    async fn set_rules(&self, rules: impl Into<Vec<ProxyRule>>) {
        let rules = ProxyRules {
            rules: rules.into(),
        };
        self.proxy
            .set_rules(&rules)
            .await
            .expect("proxy accepts the rules");
    }

    async fn runs(&self) -> u64 {
        let totals: bronzelb_emulator::backend::TallyTotals = JsonClient::new()
            .get(self.server.control, "/totals")
            .await
            .expect("control listener responds");
        totals.run
    }
}

const LONG_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

#[actix_web::test]
async fn cut_closes_connections_until_the_rule_is_removed() {
    let server = ProxiedServer::start().await;
    assert!(server.call(LONG_TIMEOUT).await.is_ok());
    server
        .set_rules([ProxyRule::new(ProxyAction::Cut).with_listener("dc1/")])
        .await;
    for _ in 0..3 {
        assert!(server.call(LONG_TIMEOUT).await.is_err());
    }
    let other_source = ProxyRule::new(ProxyAction::Cut).with_source("127.0.9.");
    server.set_rules([other_source]).await;
    assert!(server.call(LONG_TIMEOUT).await.is_ok());
    assert_eq!(server.runs().await, 2, "nothing passes a cut connection");
}

#[actix_web::test]
async fn stall_delays_the_request_until_the_rule_is_removed() {
    let server = ProxiedServer::start().await;
    assert!(server.call(LONG_TIMEOUT).await.is_ok());
    server.set_rules([ProxyRule::new(ProxyAction::Stall)]).await;
    assert!(server.call(SHORT_TIMEOUT).await.is_err());
    assert_eq!(server.runs().await, 1);
    let remove_rules = async {
        tokio::time::sleep(SHORT_TIMEOUT).await;
        server.set_rules([]).await;
    };
    let (response, ()) = tokio::join!(server.call(LONG_TIMEOUT), remove_rules);
    assert!(response.is_ok(), "{response:?}");
}

#[actix_web::test]
async fn lost_and_truncated_responses_follow_a_run() {
    let server = ProxiedServer::start().await;
    for action in [ProxyAction::LoseAnswer, ProxyAction::Truncate(150)] {
        server
            .set_rules([ProxyRule::new(action).with_next(1)])
            .await;
        assert!(server.call(LONG_TIMEOUT).await.is_err(), "{action:?}");
        assert!(server.call(LONG_TIMEOUT).await.is_ok(), "{action:?}");
    }
    assert_eq!(server.runs().await, 4);
}

#[actix_web::test]
async fn duplicate_rule_runs_the_request_twice() {
    let server = ProxiedServer::start().await;
    let rule = ProxyRule::new(ProxyAction::Duplicate).with_next(1);
    server.set_rules([rule]).await;
    assert!(server.call(LONG_TIMEOUT).await.is_ok());
    let has_second_run = async || server.runs().await == 2;
    bronzelb_emulator::mesh::wait_until(
        "a second run",
        bronzelb_kernel::clock::TimeBudget::from_secs(10),
        has_second_run,
    )
    .await
    .expect("duplicate request runs");
}

#[actix_web::test]
async fn delay_and_throttle_forward_complete_responses() {
    let server = ProxiedServer::start().await;
    server
        .set_rules([
            ProxyRule::new(ProxyAction::Delay(20)),
            ProxyRule::new(ProxyAction::Throttle(10_000)),
        ])
        .await;
    let started_at = std::time::Instant::now();
    let response = server
        .call(LONG_TIMEOUT)
        .await
        .expect("response is complete");
    assert!(response.is_response_to(&CallRequest::get("/a")));
    assert!(started_at.elapsed() >= Duration::from_millis(40));
}
