//! The engine's streams, cache and deaths.

use std::time::Duration;

use serde_json::json;
use teaselline_stand_ins::engine::{BLOCK_TOKENS, Engine, EngineSettings, Finish, expected_answer};

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
        (execution.recomputed_tokens(), execution.generated_tokens),
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

#[tokio::test]
async fn a_higher_priority_leaves_the_queue_first() {
    let settings = EngineSettings { slots: 1, ..fast() };
    let engine = Engine::start(settings).await.unwrap();
    engine.change(|knobs| knobs.speed = 1e-3);
    let with = |attempt: &str, priority: u64| {
        body(attempt, attempt, "", 0, 50)
            .replace("\"priority\":5", &format!("\"priority\":{priority}"))
    };
    let bodies = [with("a.1", 9), with("b.1", 1), with("c.1", 5)];
    tokio::join!(
        stream(&engine, &bodies[0]),
        stream(&engine, &bodies[1]),
        stream(&engine, &bodies[2]),
        async {
            while engine.load().unwrap().queued < 2 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            engine.change(|knobs| knobs.speed = 1.0);
        }
    );
    let order: Vec<_> = engine
        .executions()
        .into_iter()
        .map(|it| it.attempt)
        .collect();
    let first = order[0].clone();
    let rest: Vec<_> = ["a.1", "c.1", "b.1"]
        .into_iter()
        .filter(|it| *it != first)
        .collect();
    assert_eq!(order[1..], rest);
}

// Symptom: two holders of a lease order an engine about. Sequence: one is paused past its lease,
// another takes it and orders, the first goes on. Cause: the first does not know of the second.
#[tokio::test]
async fn only_an_engine_that_checks_refuses_an_old_fencing_number() {
    for checks_orders in [true, false] {
        let engine = Engine::start(EngineSettings {
            checks_orders,
            ..fast()
        })
        .await
        .unwrap();
        let mut statuses = Vec::new();
        for fencing in [7, 6] {
            let order = json!({ "kind": "set_role", "role": format!("role-{fencing}") });
            let body = json!({ "order": order, "fencing": fencing }).to_string();
            let answer = call(engine.address(), "POST", "/v1/orders", &body)
                .await
                .unwrap();
            statuses.push(answer.status);
        }
        assert_eq!(
            statuses,
            if checks_orders {
                [200, 409]
            } else {
                [200, 200]
            }
        );
        let state = call(engine.address(), "GET", "/v1/state", "")
            .await
            .unwrap()
            .json();
        assert_eq!(
            state["role"],
            if checks_orders { "role-7" } else { "role-6" }
        );
    }
}

#[tokio::test]
async fn a_moved_cache_spares_the_prefill() {
    let (from, to) = (
        Engine::start(fast()).await.unwrap(),
        Engine::start(fast()).await.unwrap(),
    );
    from.change(|knobs| knobs.speed = 0.001);
    let prompt = "ledger ".repeat(4);
    let endless = body("r.1", &prompt, "", 0, 1_000_000);
    let (part, kv) = tokio::join!(stream(&from, &endless), async {
        loop {
            let kv = call(from.address(), "POST", "/v1/kv/r.1/export", "")
                .await
                .unwrap();
            if kv.status == 200 {
                return kv.json();
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    let part = part.unwrap();
    assert_eq!(part.last_event()["finish"], "exported");
    assert_eq!(part.last_event()["tokens"], kv["position"]);
    let import = json!({ "handle": kv["handle"], "source": from.address(), "bytes": kv["bytes"] });
    let answer = call(to.address(), "POST", "/v1/kv/import", &import.to_string())
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
    let position = kv["position"].as_u64().unwrap();
    let rest = body("r.2", &prompt, &part.text(), position, position + 5);
    let import = format!("\"import\":{},\"model\"", kv["handle"]);
    let rest = stream(&to, &rest.replace("\"model\"", &import))
        .await
        .unwrap();
    assert_eq!(rest.last_event()["computed_prompt_tokens"], 0);
    assert_eq!(
        part.text() + &rest.text(),
        expected_answer(&prompt, 7, position + 5)
    );
    from.kill();
    let import = json!({ "handle": kv["handle"], "source": from.address(), "bytes": 1 });
    let gone = call(to.address(), "POST", "/v1/kv/import", &import.to_string())
        .await
        .unwrap();
    assert_eq!(gone.status, 502);
}

#[tokio::test]
async fn a_paused_engine_goes_on_where_it_stood() {
    let engine = Engine::start(fast()).await.unwrap();
    engine.pause(true);
    let body = body("r.1", "x", "", 0, 9);
    let (answer, ()) = tokio::join!(stream(&engine, &body), async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert!(engine.executions().is_empty());
        engine.pause(false);
    });
    assert_eq!(answer.unwrap().text(), expected_answer("x", 7, 9));
}

#[tokio::test]
async fn cache_events_come_late_and_with_gaps_and_a_full_cache_evicts() {
    let gaps = EngineSettings {
        cache_tokens_capacity: 2 * BLOCK_TOKENS,
        cache_event_gap_probability: 0.5,
        ..fast()
    };
    let engine = Engine::start(gaps).await.unwrap();
    engine.change(|knobs| knobs.cache_event_lag_ms = 600_000);
    for n in 0..20 {
        let prompt = format!("{n:<600}");
        stream(&engine, &body(&format!("r.{n}"), &prompt, "", 0, 1))
            .await
            .unwrap();
    }
    let first = stream(&engine, &body("again.1", &format!("{:<600}", 0), "", 0, 1))
        .await
        .unwrap();
    assert_eq!(first.last_event()["cached_prompt_tokens"], 0);
    let at = engine.address();
    let early = call(at, "GET", "/v1/cache/events?from=0", "")
        .await
        .unwrap()
        .json();
    assert_eq!(early, json!({ "next": 0, "events": [] }));
    engine.change(|knobs| knobs.cache_event_lag_ms = 0);
    let events = call(at, "GET", "/v1/cache/events?from=0", "")
        .await
        .unwrap()
        .json();
    let events = events["events"].as_array().unwrap();
    let last = events.last().unwrap()["sequence"].as_u64().unwrap();
    assert!(events.len() > 10 && (events.len() as u64) < last);
    assert!(events.iter().any(|event| event["kind"] == "evicted"));
}

#[tokio::test]
async fn a_load_report_lags() {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    engine.change(|knobs| knobs.load_lag_ms = 600_000);
    let body = body("r.1", "x", "", 0, 1_000_000);
    let answer = stream(&engine, &body);
    let (_cut, ()) = tokio::join!(answer, async {
        while engine.load().unwrap().running == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let load = call(engine.address(), "GET", "/v1/load", "")
            .await
            .unwrap()
            .json();
        assert_eq!((&load["running"], &load["slots"]), (&json!(0), &json!(32)));
        engine.kill();
    });
}
