//! A node without a platform, for tests of its listeners.

use std::{fmt::Write, fs, net::SocketAddr};

use bronzelb_emulator::{
    http::JsonClient,
    mesh::{NodeAddresses, wait_until},
    process::{ChildProcess, program_path},
};
use bronzelb_kernel::{clock::TimeBudget, status::NodeStatus};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Mesh key of the nodes.
pub(crate) const MESH_KEY: &str = "key of a lone node";

/// Operator token of the nodes.
pub(crate) const TOKEN: &str = "token-of-a-lone-node";

/// A running node; dropping it ends its process.
pub(crate) struct StandaloneNode {
    /// Addresses of the node's listeners; the operator listener is addressed over loopback.
    pub(crate) addresses: NodeAddresses,
    process: ChildProcess,
    // Declared last, so that the directory is removed after the process that writes to it ends.
    _directory: TempDir,
}

impl StandaloneNode {
    /// Starts a node with the seed nodes `seeds`.
    pub(crate) async fn start(name: &str, mesh_key: &str, seeds: &[SocketAddr]) -> Self {
        let directory = tempfile::tempdir().expect("is writable");
        let path = directory.path().join("node.yaml");
        fs::write(&path, settings(name, mesh_key, seeds)).expect("is writable");
        let program = program_path("bronzelbd").expect("is built");
        let args = ["--settings".into(), path.into_os_string()];
        let mut process =
            ChildProcess::start(name, &program, args, directory.path()).expect("starts");
        let mut addresses: NodeAddresses = process.wait_listening().await.expect("listens");
        addresses.operators.set_ip([127, 0, 0, 1].into());
        Self {
            addresses,
            process,
            _directory: directory,
        }
    }

    /// Asserts that the node's process is running and responds.
    pub(crate) async fn assert_healthy(&mut self) {
        assert!(self.process.is_running(), "{}", self.process.tail());
        assert_eq!(self.get_text("/v1/health").await, "ok\n");
    }

    /// Waits until the node knows `count` members, including itself.
    pub(crate) async fn wait_members(&self, count: usize, limit: TimeBudget) {
        let condition = format!("{count} members");
        let is_met = async || self.member_names().await.len() == count;
        wait_until(&condition, limit, is_met)
            .await
            .expect("happens");
    }

    /// Waits until the counter `name` has reached `value`.
    pub(crate) async fn wait_metric(&self, name: &str, value: i64, limit: TimeBudget) {
        let is_met = async || self.metric(name).await >= value;
        let condition = format!("{name} {value}");
        wait_until(&condition, limit, is_met)
            .await
            .expect("happens");
    }

    /// Returns the names of the members that the node knows.
    pub(crate) async fn member_names(&self) -> Vec<String> {
        let client = JsonClient::new();
        let status: NodeStatus = client
            .get(self.addresses.operators, "/v1/status")
            .await
            .expect("answers");
        let members = status.members.iter();
        members.map(|member| member.node.to_string()).collect()
    }

    /// Returns the peak resident memory of the process, in KiB.
    pub(crate) fn memory_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let text = fs::read_to_string(path).expect("the process runs");
        let line = text.lines().find(|line| line.starts_with("VmHWM:"));
        let mut fields = line.expect("VmHWM is present").split_whitespace();
        let value = fields.nth(1).expect("VmHWM is present");
        value.parse().expect("is a number")
    }

    /// Returns the whole log output of the node.
    pub(crate) fn log_text(&self) -> String {
        self.process.output_text()
    }

    async fn metric(&self, name: &str) -> i64 {
        let text = self.get_text("/v1/metrics").await;
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0, |value| value.trim().parse().expect("is a number"))
    }

    async fn get_text(&self, path: &str) -> String {
        let address = self.addresses.operators;
        let mut stream = TcpStream::connect(address).await.expect("is listening");
        let request = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("is taken");
        let mut response = String::new();
        stream.read_to_string(&mut response).await.expect("answers");
        let (_, body) = response.split_once("\r\n\r\n").expect("has a body");
        body.to_owned()
    }
}

fn settings(name: &str, mesh_key: &str, seeds: &[SocketAddr]) -> String {
    let mut peers = String::new();
    for address in seeds {
        write!(peers, "\"{address}\",").expect("writing to a string succeeds");
    }
    format!(
        "mesh: lone\nnode: {name}\ndata_centre: leuven\nmesh_key: {mesh_key}\n\
         callers: {{listen: \"127.0.0.1:0\"}}\n\
         peers: {{listen: \"127.0.0.1:0\", first: [{peers}]}}\n\
         operators: {{listen: \"0.0.0.0:0\", token: {TOKEN}}}\n\
         platform: {{kind: http, address: \"127.0.0.1:9\"}}\n"
    )
}
