//! The engine's streams, cache and deaths.

use std::time::Duration;

use serde_json::json;
use teaselline_stand_ins::engine::{Engine, EngineSettings, Finish, expected_answer};

use crate::client::{Answer, call};

fn fast() -> EngineSettings {
    EngineSettings {
        min_token_interval_ms: 0.0,
        tokens_per_second: 1e6,
        ..EngineSettings::default()
    }
}

fn body(attempt: &str, prompt: &str, prefix: &str, position: u64, max_tokens: u64) -> String {
    json!({
        "attempt": attempt, "model": "m", "prompt": prompt, "prefix": prefix,
        "position": position, "max_tokens": max_tokens, "priority": 5, "seed": 7,
    })
    .to_string()
}

async fn stream(engine: &Engine, body: &str) -> Option<Answer> {
    call(engine.address(), "POST", "/v1/streams", body).await
}

#[tokio::test]
async fn a_stream_gives_the_expected_answer_once_per_attempt() {
    let engine = Engine::start(fast()).await.unwrap();
    let prompt = "ohlášení škody: svitek č. 7 傷";
    let first = stream(&engine, &body("r.1", prompt, "", 0, 600))
        .await
        .unwrap();
    assert_eq!(first.text(), expected_answer(prompt, 7, 600));
    assert_eq!(first.last_event()["finish"], "length");
    let again = stream(&engine, &body("r.1", prompt, "", 0, 600))
        .await
        .unwrap();
    assert_eq!(again.text(), first.text());
    let from = call(engine.address(), "GET", "/v1/streams/r.1?from=590", "")
        .await
        .unwrap();
    assert_eq!(from.text().len(), 40);
    assert_eq!(engine.executions().len(), 1);
}

#[tokio::test]
async fn a_resumed_stream_goes_on_from_its_position() {
    let engine = Engine::start(fast()).await.unwrap();
    let whole = expected_answer("catalogue", 7, 40);
    let rest = stream(&engine, &body("r.2", "catalogue", &whole[..100], 25, 40))
        .await
        .unwrap();
    assert_eq!(rest.text(), whole[100..]);
    assert!(rest.body.starts_with("id: 25\n"));
    let execution = &engine.executions()[0];
    // 9 bytes of prompt and 100 of prefix are 28 tokens, none of which was cached.
    assert_eq!(
        (execution.recomputed_tokens, execution.generated_tokens),
        (28, 15)
    );
}

#[tokio::test]
async fn a_cached_prefix_is_not_computed_again() {
    let engine = Engine::start(fast()).await.unwrap();
    let prompt = "reel ".repeat(200);
    let first = stream(&engine, &body("r.1", &prompt, "", 0, 4))
        .await
        .unwrap()
        .last_event();
    assert_eq!(
        (
            &first["cached_prompt_tokens"],
            &first["computed_prompt_tokens"]
        ),
        (&json!(0), &json!(250))
    );
    let second = stream(&engine, &body("r.2", &prompt, "", 0, 4))
        .await
        .unwrap()
        .last_event();
    assert_eq!(
        (
            &second["cached_prompt_tokens"],
            &second["computed_prompt_tokens"]
        ),
        (&json!(192), &json!(58))
    );
    let events = call(engine.address(), "GET", "/v1/cache/events?from=0", "")
        .await
        .unwrap();
    assert!(events.json()["events"].as_array().unwrap().len() >= 3);
}

// Symptom: a request that its caller has cancelled runs after all.
// Sequence: the cancel overtakes the start, which then arrives. Cause: the cancel was not kept.
#[tokio::test]
async fn a_cancel_refuses_an_attempt_that_has_not_arrived() {
    let engine = Engine::start(fast()).await.unwrap();
    let cancel = call(engine.address(), "DELETE", "/v1/streams/r.1", "")
        .await
        .unwrap();
    assert_eq!(cancel.status, 204);
    let refused = stream(&engine, &body("r.1", "x", "", 0, 4)).await.unwrap();
    assert_eq!(
        (refused.status, &refused.json()["outcome"]),
        (503, &json!("not_run"))
    );
    assert_eq!(engine.executions().len(), 0);
}

#[tokio::test]
async fn a_running_stream_is_cancelled() {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    let body = body("r.1", "x", "", 0, 1_000_000);
    let (answer, ()) = tokio::join!(stream(&engine, &body), async {
        while engine.executions().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        call(engine.address(), "DELETE", "/v1/streams/r.1", "")
            .await
            .unwrap();
    });
    assert_eq!(answer.unwrap().last_event()["finish"], "cancelled");
    assert_eq!(engine.executions()[0].finish, Some(Finish::Cancelled));
}

// Symptom: every engine that runs one request dies, one after another.
// Sequence: the request begins, the engine dies, the caller asks another. Cause: the prompt.
#[tokio::test]
async fn a_marked_prompt_kills_the_engine_until_its_restart() {
    let settings = EngineSettings {
        crash_mark: Some("<kill>".to_owned()),
        ..fast()
    };
    let engine = Engine::start(settings).await.unwrap();
    let answer = stream(&engine, &body("r.1", "a <kill> b", "", 0, 9)).await;
    assert!(answer.is_none_or(|answer| !answer.body.contains("done")));
    assert!(!engine.is_alive());
    assert!(
        call(engine.address(), "GET", "/v1/load", "")
            .await
            .is_none()
    );
    engine.restart().await.unwrap();
    let answer = stream(&engine, &body("r.2", "a b", "", 0, 9))
        .await
        .unwrap();
    assert_eq!(answer.text(), expected_answer("a b", 7, 9));
    assert_eq!(
        (engine.executions().len(), engine.deaths_ms().len()),
        (2, 1)
    );
}

#[tokio::test]
async fn a_draining_engine_refuses_new_streams() {
    let engine = Engine::start(fast()).await.unwrap();
    engine.change(|knobs| knobs.draining = true);
    let refused = stream(&engine, &body("r.1", "x", "", 0, 4)).await.unwrap();
    assert_eq!(
        (refused.status, &refused.json()["error"]),
        (503, &json!("draining"))
    );
    let load = call(engine.address(), "GET", "/v1/load", "").await.unwrap();
    assert_eq!(load.json()["leaving"], true);
}
