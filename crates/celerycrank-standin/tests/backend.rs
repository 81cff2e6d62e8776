//! Tests the engine and ledger stand-ins over HTTP.

use std::net::SocketAddr;

use awc::Client;
use celerycrank_standin::{
    AnswerFaultKind, EngineFaults, EngineOptions, EngineStandin, LedgerFaults, LedgerStandin,
    REQUEST_ID_HEADER,
};
use celerycrank_types::TimeSpan;
use futures_util::StreamExt;
use serde_json::{Value, json};

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_engine(resume_window: TimeSpan) -> EngineStandin {
    let options = EngineOptions::builder()
        .model("drafter".parse().unwrap())
        .token_time(TimeSpan::from_millis(1))
        .resume_window(resume_window)
        .fencing(true)
        .build();
    EngineStandin::start(loopback(), options).await.unwrap()
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

fn prompt(tokens: usize) -> Value {
    json!({
        "model": "drafter",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "stone ".repeat(64) }],
    })
}

#[actix_rt::test]
async fn stream_is_complete_and_its_prefix_is_cached() {
    let engine = start_engine(TimeSpan::ZERO).await;
    let client = Client::default();
    for _ in 0..2 {
        let request = client.post(url(engine.address(), "/v1/chat/completions"));
        let request = request.insert_header((REQUEST_ID_HEADER, "7"));
        let mut response = request.send_json(&prompt(3)).await.unwrap();
        assert_eq!(response.headers().get(REQUEST_ID_HEADER).unwrap(), "7");
        let body = response.body().await.unwrap();
        let text = String::from_utf8(body.to_vec()).unwrap();
        assert_eq!(text.matches("id: 7:").count(), 3, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
    let counts = engine.counts();
    assert_eq!((counts.prefilled_tokens, counts.cached_tokens), (64, 64));
    assert_eq!(counts.finished, 2);
}

#[actix_rt::test]
async fn interrupted_stream_resumes_and_unread_stream_is_cancelled() {
    let engine = start_engine(TimeSpan::from_millis(50)).await;
    let client = Client::default();
    engine.set_faults(EngineFaults {
        close_after: Some(2),
        ..EngineFaults::default()
    });
    let request = client.post(url(engine.address(), "/v1/chat/completions"));
    let request = request.insert_header((REQUEST_ID_HEADER, "7"));
    let mut response = request.send_json(&prompt(5)).await.unwrap();
    let mut events = 0;
    while let Some(Ok(_)) = response.next().await {
        events += 1;
    }
    assert!(events <= 2);
    engine.set_faults(EngineFaults::default());
    let request = client.post(url(engine.address(), "/v1/chat/completions"));
    let request = request.insert_header(("last-event-id", "7:1"));
    let body = request.send().await.unwrap().body().await.unwrap();
    let text = String::from_utf8(body.to_vec()).unwrap();
    assert!(text.starts_with("id: 7:2\n"), "{text}");
    assert!(text.ends_with("[DONE]\n\n"), "{text}");

    let request = client.post(url(engine.address(), "/v1/chat/completions"));
    let response = request.send_json(&prompt(100_000)).await.unwrap();
    drop(response);
    while engine.counts().cancelled == 0 {
        actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

#[actix_rt::test]
async fn stale_fencing_number_is_refused() {
    let engine = start_engine(TimeSpan::ZERO).await;
    let client = Client::default();
    for (number, status) in [("2", 200), ("1", 409), ("2", 200)] {
        let request = client.post(url(engine.address(), "/orders"));
        let request = request.insert_header(("x-fencing-number", number));
        let response = request.send_json(&json!({ "change_role": "decode" })).await;
        assert_eq!(response.unwrap().status().as_u16(), status);
    }
}

#[actix_rt::test]
async fn ledger_records_every_call_despite_answer_faults() {
    let ledger = LedgerStandin::start(loopback()).await.unwrap();
    let client = Client::default();
    let answer_faults = [
        AnswerFaultKind::None,
        AnswerFaultKind::Close,
        AnswerFaultKind::CloseMidway,
        AnswerFaultKind::Garbage,
        AnswerFaultKind::OtherId,
    ];
    for answer_fault in answer_faults {
        ledger.set_faults(LedgerFaults {
            answer_fault,
            faulty_answers: 1,
            ..LedgerFaults::default()
        });
        let request = client.post(url(ledger.address(), "/bids/42"));
        let request = request.insert_header(("idempotency-key", "k1"));
        let request = request.insert_header((REQUEST_ID_HEADER, "9"));
        let answer = async {
            let mut response = request.send_body("bid").await.ok()?;
            let id = response.headers().get(REQUEST_ID_HEADER)?.clone();
            let body = response.body().await.ok()?;
            let value = serde_json::from_slice::<Value>(&body).ok()?;
            (id == "9").then_some(value)
        };
        let is_correct = answer.await.is_some();
        assert_eq!(
            is_correct,
            answer_fault == AnswerFaultKind::None,
            "{answer_fault:?}"
        );
    }
    assert_eq!(ledger.runs_of_key("k1"), answer_faults.len());
    assert_eq!(ledger.records()[0].path, "/bids/42");
}
