//! `status` and `publish --wait` report which nodes responded and which did not.

use bronzelb_emulator::server::broken_responses;
use expect_test::expect;

use crate::support::{CommandRun, example, fake_node::FakeNode, run};

fn status(extra: &[&str]) -> CommandRun {
    let mut args = vec!["status"];
    args.extend(extra);
    run(&args)
}

#[test]
fn nodes_are_shown_with_version_age_and_state() {
    let first = FakeNode::start("leuven-1", "leuven", 3);
    let second = FakeNode::start("ghent-1", "ghent", 2);
    let run = status(&["--node", &first.address(), "--node", &second.address()]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    expect![[r#"
        DATA CENTRE  NODE      STATE    VERSION  AGE  PLATFORM  BACKEND SERVERS
        leuven       leuven-1  serving  3        1m   answers   0
        ghent        ghent-1   serving  2        1m   answers   0
        ghent: 1 heard with version 2, 1 in doubt
        leuven: 1 heard with version 3, 98 serving and not heard
        evacuation of antwerp at revision 41, first seen 30s ago: in force at leuven-1, not in force at ghent-1
        node leuven-1 does not hear data centre antwerp
        node leuven-1 refused version 9: content has another hash
        node ghent-1 does not hear data centre antwerp
        node ghent-1 refused version 9: content has another hash
        not heard:
          node ghent-2 in ghent: ghent-1 knows it as suspect
    "#]]
    .assert_eq(&run.stdout);
}

/// Guards against accounts of an older version in the listing, which would show revoked keys as
/// valid.
#[test]
fn accounts_of_the_highest_version_are_listed_with_the_number_of_their_keys() {
    let account = |name: &str, keys: usize, cap: serde_json::Value| serde_json::json!({"account": name, "priority": "normal", "keys": keys, "cap": cap});
    let cap = serde_json::json!({"rate": 12_500, "burst": 40});
    let none = serde_json::Value::Null;
    let old = serde_json::json!([account("acme", 2, none.clone())]);
    let new = serde_json::json!([account("acme", 0, cap), account("other", 1, none)]);
    let nodes = [
        FakeNode::start_with_accounts("leuven-1", 2, old.clone()),
        FakeNode::start_with_accounts("leuven-2", 3, new),
        FakeNode::start_with_accounts("leuven-3", 2, old),
    ];
    let addresses: Vec<_> = nodes.iter().map(FakeNode::address).collect();
    let args: Vec<_> = addresses
        .iter()
        .flat_map(|address| ["--node", address.as_str()])
        .collect();
    let run = status(&args);
    assert_eq!(run.code, 0, "{}", run.stderr);
    let lines: Vec<_> = run.stdout.lines().skip(4).take(3).collect();
    expect![[r#"
        ACCOUNT  PRIORITY  KEYS  RATE    BURST
        acme     normal    0     12.5/s  40
        other    normal    1     -       -"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn unresponsive_node_is_listed() {
    let node = FakeNode::start("leuven-1", "leuven", 3);
    let gone = FakeNode::start_closing();
    let run = status(&["--node", &node.address(), "--node", &gone.address()]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    let heard = format!("not heard:\n  node {} does not answer", gone.address());
    assert!(run.stdout.contains(&heard), "{}", run.stdout);
}

#[test]
fn no_response_from_any_node_is_an_error() {
    let gone = FakeNode::start_closing();
    let run = status(&["--node", &gone.address()]);
    assert_eq!(run.code, 6);
    assert!(run.stderr.contains("no node answered"), "{}", run.stderr);
}

#[test]
fn incomplete_response_of_a_node_times_out() {
    let silent = FakeNode::start_stalling();
    let run = status(&["--node", &silent.address(), "--timeout", "300ms"]);
    assert_eq!(run.code, 6);
    assert!(run.stdout.contains("no answer in time"), "{}", run.stdout);
}

#[test]
fn json_output_is_one_document() {
    let node = FakeNode::start("leuven-1", "leuven", 3);
    let run = status(&["--node", &node.address(), "--output", "json"]);
    let document: serde_json::Value = serde_json::from_str(&run.stdout).expect("is JSON");
    assert_eq!(document["nodes"][0]["version"], 3);
    assert_eq!(document["data_centres"]["ghent"]["in_doubt"], 1);
    assert_eq!(document["data_centres"]["leuven"]["not_heard"], 98);
}

#[test]
fn publish_waits_for_the_given_nodes() {
    let node = FakeNode::start("leuven-1", "leuven", 1);
    let run = publish("wait-reached", &node, "5s");
    assert_eq!(run.code, 0, "{}", run.stderr);
    assert_eq!(run.stderr, "", "nothing but the result in a pipe");
}

#[test]
fn publish_names_the_nodes_without_the_version_at_the_timeout() {
    let node = FakeNode::start("leuven-1", "leuven", 0);
    let run = publish("wait-late", &node, "400ms");
    assert_eq!(run.code, 6);
    assert!(run.stdout.starts_with("accepted as version 1 "));
    expect![[r#"
        error: version 1 is accepted and not yet in force everywhere: node leuven-1 has version 0
    "#]]
    .assert_eq(&run.stderr);
}

fn publish(platform: &str, node: &FakeNode, timeout: &str) -> CommandRun {
    let answers = example("hemelval");
    run(&[
        "publish",
        &answers,
        "--platform",
        platform,
        "--platform-kind",
        "memory",
        "--timeout",
        timeout,
        "--wait",
        "--node",
        &node.address(),
    ])
}

#[test]
fn publish_ends_when_a_node_refuses_the_version() {
    let platform = "wait-refused";
    let node = FakeNode::start("leuven-1", "leuven", 0);
    let mut text = std::fs::read_to_string(example("hemelval")).expect("is readable");
    let folder = tempfile::tempdir().expect("is writable");
    let path = folder.path().join("answers.yaml");
    let file = path.to_str().expect("is UTF-8").to_owned();
    let mut last = None;
    for number in 1..=9 {
        text = text.replace("mesh: hemelval", &format!("# {number}\nmesh: hemelval"));
        let slots = format!("slots: {number}  ");
        std::fs::write(&path, text.replace("slots: 12  ", &slots)).expect("is writable");
        let mut args = vec!["publish", &file, "--platform", platform];
        args.extend(["--platform-kind", "memory", "--timeout", "5s"]);
        let address = node.address();
        if number == 9 {
            args.extend(["--wait", "--node", &address]);
        }
        last = Some(run(&args));
    }
    let last = last.expect("was published");
    assert_eq!(last.code, 2);
    expect![[r#"
        error: node leuven-1 refused version 9: content has another hash
    "#]]
    .assert_eq(&last.stderr);
}

#[test]
fn token_from_a_file_is_sent_to_the_node() {
    let node = FakeNode::start_with_token("token-of-the-operators");
    let folder = tempfile::tempdir().expect("is writable");
    let path = folder.path().join("token");
    let file = path.to_str().expect("is UTF-8");
    std::fs::write(&path, "token-of-the-operators\n").expect("is writable");
    let allowed = status(&["--node", &node.address(), "--token", file]);
    assert_eq!(allowed.code, 0, "{}", allowed.stderr);

    let without = status(&["--node", &node.address()]);
    assert_eq!(without.code, 3);
    assert!(without.stdout.contains("give it with --token FILE"));

    std::fs::write(&path, "another-token-1234567\n").expect("is writable");
    let wrong = status(&["--node", &node.address(), "--token", file]);
    assert_eq!(wrong.code, 3);
    assert!(!wrong.stdout.contains("another-token") && !wrong.stderr.contains("another-token"));

    for bad in ["", "two words\n", "two\nlines\n"] {
        std::fs::write(&path, bad).expect("is writable");
        let refused = status(&["--node", &node.address(), "--token", file]);
        assert_eq!(refused.code, 2, "{bad:?}");
        assert!(
            refused.stderr.contains("does not hold one line"),
            "{}",
            refused.stderr
        );
    }
    let missing = folder.path().join("missing");
    let missing = missing.to_str().expect("is UTF-8");
    let refused = status(&["--node", &node.address(), "--token", missing]);
    assert_eq!(refused.code, 1);
}

#[test]
fn broken_response_of_a_node_is_no_answer() {
    for index in 0..broken_responses("").len() {
        let node = FakeNode::start_with_response(|body| broken_responses(body).swap_remove(index));
        let run = status(&["--node", &node.address()]);
        let response = &broken_responses("{}")[index];
        assert_ne!(run.code, 0, "{response:?}: {}", run.stdout);
        assert!(
            !run.stdout.contains("leuven-1"),
            "{response:?}: {}",
            run.stdout
        );
    }
}
