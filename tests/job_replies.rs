//! Tests of the bound on requests that wait for the owner's answer.

use carobhitch::job::replies::Replies;

#[test]
fn no_more_than_the_bound_wait_and_an_answer_makes_room() {
    let mut replies = Replies::new(2);
    let first = replies.register("first");
    assert!(!replies.is_full());
    let second = replies.register("second");
    assert!(replies.is_full());
    assert_eq!(replies.take(first), Some("first"));
    assert!(!replies.is_full());
    let third = replies.register("third");
    assert!(first != third && second != third, "numbers are not used again");
    assert!(replies.is_full());
}

#[test]
fn a_request_is_answered_once() {
    let mut replies = Replies::new(2);
    let request = replies.register(());
    assert_eq!(replies.take(request), Some(()));
    assert_eq!(replies.take(request), None);
}
