//! Tests of the supervisor: parts that fail, panic or end.

use {
    carobhitch::supervise::{Error, MAX_RESTARTS, Part, Policy, Run, Stop, Tree},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

fn part(name: &'static str, policy: Policy, run: Run) -> Part {
    Part { name, policy, run }
}

/// Returns a part that runs until it is asked to stop, and counts its stops in `stopped`.
fn run_until_stopped(stopped: &Arc<AtomicUsize>) -> Run {
    let stopped = stopped.clone();
    Arc::new(move |stop: &Stop| {
        // The channel carries nothing; it is disconnected when the part should stop.
        let _ = stop.channel().recv();
        stopped.fetch_add(1, Ordering::SeqCst);
        Ok(())
    })
}

#[test]
fn a_failed_part_is_restarted_and_the_others_go_on() {
    let (starts, stopped) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counted = starts.clone();
    let flaky: Run = Arc::new(move |_| match counted.fetch_add(1, Ordering::SeqCst) {
        0 => panic!("first start"),
        1 => Err(String::from("second start")),
        _ => Ok(()),
    });
    let parts = vec![
        part("waiting", Policy::Escalate, run_until_stopped(&stopped)),
        part("flaky", Policy::Restart, flaky),
    ];
    let ended = Tree::start(parts).and_then(Tree::join);
    assert_eq!(ended, Ok(()));
    assert_eq!((starts.load(Ordering::SeqCst), stopped.load(Ordering::SeqCst)), (3, 1));
}

#[test]
fn a_part_that_keeps_failing_ends_the_tree_and_the_others_are_stopped() {
    let stopped = Arc::new(AtomicUsize::new(0));
    let parts = vec![
        part("waiting", Policy::Escalate, run_until_stopped(&stopped)),
        part("broken", Policy::Restart, Arc::new(|_| Err(String::from("no")))),
    ];
    let ended = Tree::start(parts).and_then(Tree::join);
    let (part, cause) = (String::from("broken"), String::from("no"));
    assert_eq!(ended, Err(Error::TooManyFailures { part, times: MAX_RESTARTS, cause }));
    assert_eq!(stopped.load(Ordering::SeqCst), 1);
}

#[test]
fn a_failed_part_with_the_escalate_policy_ends_the_tree_at_once() {
    let stopped = Arc::new(AtomicUsize::new(0));
    let parts = vec![
        part("waiting", Policy::Escalate, run_until_stopped(&stopped)),
        part("engine", Policy::Escalate, Arc::new(|_| panic!("lost"))),
    ];
    let ended = Tree::start(parts).and_then(Tree::join);
    let (part, cause) = (String::from("engine"), String::from("panicked: lost"));
    assert_eq!(ended, Err(Error::Failed { part, cause }));
    assert_eq!(stopped.load(Ordering::SeqCst), 1);
}
