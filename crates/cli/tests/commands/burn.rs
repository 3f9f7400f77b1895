//! `report burn` lists the nodes whose requests are missing from its figures.

use crate::support::{fake_node::FakeNode, run};

#[test]
fn serving_nodes_that_were_not_queried_are_counted_as_not_heard() {
    let node = FakeNode::start("leuven-1", "leuven", 3);
    let run = run(&["report", "burn", "--node", &node.address()]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    let expected = "not heard: 98 serving nodes of data centre leuven\n";
    assert!(run.stdout.contains(expected), "{}", run.stdout);
}
