//! `report burn` says whose requests are missing from its figures.

use crate::support::{run, stand_in_node::StandInNode};

#[test]
fn serving_nodes_that_were_not_asked_are_counted_as_not_heard() {
    let node = StandInNode::start("leuven-1", "leuven", 3);
    let run = run(&["report", "burn", "--node", &node.address()]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    let expected = "not heard: 98 serving nodes of data centre leuven\n";
    assert!(run.stdout.contains(expected), "{}", run.stdout);
}
