//! Usage caps of accounts over all nodes together, with losses of nodes and of contact.

mod mesh;

use bronzelb_kernel::member::MemberState;
use rand::{Rng, rngs::SmallRng};

use crate::mesh::{Mesh, at, cap};

const SIZES: [usize; 4] = [12, 74, 295, 986];

/// Draws nodes with most of the load on a few of them.
fn skewed(nodes: usize) -> impl FnMut(&mut SmallRng) -> usize {
    move |rng| ((rng.random::<f64>().powi(3)) * nodes as f64) as usize
}

fn print(mesh: &Mesh, what: &str, seconds: u64) {
    for account in &mesh.accounts {
        println!(
            "{what}: {} nodes, cap {}+{}: {} arrivals, {} owed, {} ran, {} refused, equal shares \
             {}, peak {} of {}, longest wait {}",
            mesh.nodes.len(),
            account.cap.rate,
            account.cap.burst,
            account.arrivals.len(),
            account.owed(),
            account.runs.len(),
            account.refusals.len(),
            account.admitted_by_equal_shares(mesh.nodes.len()),
            account.peak(),
            account.bound(),
            account.longest_wait
        );
    }
    let per = mesh.nodes.len() as f64 * seconds as f64;
    let max = mesh.nodes.iter().map(|node| node.messages).max();
    println!(
        "{what}: messages a node and second {:.2}, bytes {:.0}, busiest node {:.1}",
        mesh.messages as f64 / per,
        mesh.bytes as f64 / per,
        max.unwrap_or(0) as f64 / seconds as f64
    );
}

/// Guards against refusals within the cap, as with an equal share of it for each node, and against
/// more than the bound when demand is skewed, jumps from node to node and to eight times its usual.
#[test]
fn owed_requests_run_and_no_others_whatever_node_they_arrive_at() {
    for nodes in SIZES {
        for seed in 0..3 {
            let mut mesh = Mesh::new(nodes, 3, seed);
            let near = mesh.add_account(40.0, 40);
            let over = mesh.add_account(40.0, 40);
            let jumps = mesh.add_account(40.0, 80);
            mesh.add_load(near, 34.0, 0..12_000, skewed(nodes));
            mesh.add_load(over, 240.0, 0..12_000, skewed(nodes));
            for start in (0..12_000).step_by(3_000) {
                let node = start as usize / 1_000 % nodes;
                mesh.add_load(jumps, 10.0, start..start + 2_500, skewed(nodes));
                mesh.add_load(jumps, 80.0, start + 2_500..start + 3_000, move |_| node);
            }
            mesh.run_until(13_000);
            print(&mesh, "skewed", 12);
            for account in &mesh.accounts {
                assert!(account.peak() <= account.bound());
                assert!(account.runs.len() >= account.owed());
            }
            for account in [near, jumps] {
                assert!(mesh.accounts[account].refusals.is_empty());
            }
        }
    }
}

/// Guards against messages that grow with the size of the fleet, or with the requests of an account
/// far below its cap.
#[test]
fn account_far_below_its_cap_costs_little() {
    for nodes in SIZES {
        let mut mesh = Mesh::new(nodes, 3, 1);
        for _ in 0..4 {
            let account = mesh.add_account(1_000.0, 2_000);
            // Every node admits 11 requests a second, as on the smallest VMs.
            let rate = 11.0 * nodes as f64 / 4.0;
            let rate = rate.min(100.0);
            mesh.add_load(account, rate, 0..5_000, |rng| rng.random_range(0..nodes));
        }
        mesh.run_until(5_000);
        print(&mesh, "far below", 5);
        let requests: usize = mesh.accounts.iter().map(|account| account.runs.len()).sum();
        // A report and its reply for each request, and probes of idle owners at most.
        assert!(mesh.messages as f64 <= 2.1 * requests as f64);
        println!(
            "messages a request {:.2}",
            mesh.messages as f64 / requests as f64
        );
        assert!(
            mesh.accounts
                .iter()
                .all(|account| account.refusals.is_empty())
        );
    }
}

/// Lets the node vanish at `millis`; the others notice after 3 s. It is back after 6 s.
fn crash(mesh: &mut Mesh, node: usize, millis: u64) {
    mesh.act(millis, move |mesh| mesh.stop(node));
    mesh.act(millis + 3_000, move |mesh| {
        mesh.see_everywhere(MemberState::Suspect, node);
    });
    mesh.act(millis + 6_000, move |mesh| {
        mesh.start(node);
        mesh.see_everywhere(MemberState::Serving, node);
    });
}

/// Guards against a substitute that counts beside a working owner, and against refusals within the
/// cap while the owner of an account is away.
#[test]
fn crash_of_an_owner_keeps_the_bound_and_refuses_nothing_within_the_cap() {
    for nodes in SIZES {
        for seed in 0..3 {
            let mut mesh = Mesh::new(nodes, 3, seed);
            let below = mesh.add_account(40.0, 40);
            let over = mesh.add_account(40.0, 40);
            let owners = [mesh.owner(below), mesh.owner(over)];
            // Requests at the crashed nodes themselves are lost anyway.
            let others = move |rng: &mut SmallRng| loop {
                let node = rng.random_range(0..nodes);
                if !owners.contains(&node) {
                    return node;
                }
            };
            mesh.add_load(below, 16.0, 0..15_000, others);
            mesh.add_load(over, 240.0, 0..15_000, others);
            for owner in owners {
                crash(&mut mesh, owner, 4_000);
            }
            mesh.run_until(16_000);
            print(&mesh, "crash", 16);
            let [below, over] = [&mesh.accounts[below], &mesh.accounts[over]];
            assert!(below.refusals.is_empty());
            assert!(over.peak() <= over.bound());
            // The owner's burst is lost with it, twice: at the crash and at the return.
            assert!(over.runs.len() + 2 * 40 >= over.owed());
        }
    }
}

/// Guards against each side of a partition that spends the whole cap.
#[test]
fn both_sides_of_a_partition_together_keep_the_bound() {
    for nodes in SIZES {
        for seed in 0..3 {
            let mut mesh = Mesh::new(nodes, 3, seed);
            for _ in 0..4 {
                let account = mesh.add_account(40.0, 40);
                mesh.add_load(account, 240.0, 0..20_000, move |rng| {
                    rng.random_range(0..nodes)
                });
            }
            mesh.act(4_000, |mesh| mesh.cuts = vec![(0, 1), (0, 2)]);
            mesh.act(9_000, move |mesh| {
                mesh.see(0, MemberState::Suspect, |node| node % 3 != 0);
                mesh.see(1, MemberState::Suspect, |node| node % 3 == 0);
                mesh.see(2, MemberState::Suspect, |node| node % 3 == 0);
            });
            mesh.act(14_000, |mesh| {
                mesh.cuts.clear();
                for centre in 0..3 {
                    mesh.see(centre, MemberState::Serving, |_| true);
                }
            });
            mesh.run_until(21_000);
            print(&mesh, "partition", 21);
            for account in &mesh.accounts {
                assert!(account.peak() <= account.bound());
            }
        }
    }
}

/// Guards against a second owner where a third data centre still connects the two that have lost
/// each other.
#[test]
fn data_centres_that_lose_each_other_keep_one_owner_through_a_third() {
    for nodes in SIZES {
        for seed in 0..3 {
            let mut mesh = Mesh::new(nodes, 3, seed);
            for _ in 0..4 {
                let account = mesh.add_account(40.0, 40);
                mesh.add_load(account, 240.0, 0..15_000, move |rng| {
                    rng.random_range(0..nodes)
                });
            }
            mesh.act(4_000, |mesh| mesh.cuts = vec![(0, 1)]);
            mesh.run_until(16_000);
            print(&mesh, "two lose each other", 16);
            for account in &mesh.accounts {
                assert!(account.peak() <= account.bound());
                assert!(account.runs.len() as f64 >= 0.95 * account.owed() as f64);
            }
        }
    }
}

/// Guards against entry nodes or owners that go on with the cap of an older configuration.
#[test]
fn lowered_cap_binds_one_window_after_it_comes_into_force() {
    for nodes in SIZES {
        let mut mesh = Mesh::new(nodes, 3, 1);
        let account = mesh.add_account(200.0, 100);
        mesh.add_load(account, 240.0, 0..16_000, skewed(nodes));
        mesh.act(4_000, move |mesh| mesh.set_cap(account, cap(20.0, 10)));
        mesh.run_until(17_000);
        let account = &mesh.accounts[account];
        assert!(account.peak_since(at(9_000)) <= account.bound());
        assert!(account.peak_since(at(9_000)) >= 20 * 5 - 10);
    }
}
