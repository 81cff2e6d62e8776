//! No process ends an answer that its backend server still gives and its caller still reads.

mod support;

use support::{
    caller::{BodyEnd, Caller, KEY, call},
    deployment::Deployment,
};

#[test]
fn answer_that_ends_with_its_connection_arrives_whole() {
    let deployment = Deployment::start();
    let answer = call(
        deployment.entry.listen,
        "GET",
        "/svc/until-close",
        Some(KEY),
        "",
    );
    assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
    assert_eq!(answer.end, BodyEnd::Complete);
}

#[test]
fn length_of_an_answer_without_a_body_ends_no_answer() {
    let deployment = Deployment::start();
    let mut caller = Caller::connect(deployment.entry.listen);
    caller.send_request("HEAD", "/svc/length-only", Some(KEY), "");
    let head = caller.read_head();
    assert_eq!(
        (head.status, head.field("content-length")),
        (200, Some("10"))
    );
    caller.send_request("GET", "/svc/next", Some(KEY), "");
    assert_eq!(caller.read_answer().body, "ok:");
}

#[test]
fn interim_answer_does_not_end_the_answer() {
    let deployment = Deployment::start();
    let answer = call(
        deployment.entry.listen,
        "GET",
        "/svc/early-hints",
        Some(KEY),
        "",
    );
    assert_eq!((answer.status, answer.body.as_str()), (200, "hinted"));
}
