//! Experiments with requests through a mesh of separate processes, some of them with a baseline.
//!
//! `request_choice` runs the load balancer alone, in its own process.

mod bench_mesh;
mod request_chain;
mod request_choice;
mod request_cost;
mod request_latency;
mod request_overload;
mod restart_herd;
mod sick_server;
