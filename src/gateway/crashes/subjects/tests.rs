use super::*;
use crate::gateway::request_head::PromptPart;

#[test]
fn content_hash_separates_path_key_and_body() {
    let base = content_hash("/a/", Some("k"), b"b");
    assert_eq!(base, content_hash("/a/", Some("k"), b"b"));
    assert_ne!(base, content_hash("/a/k", None, b"b"));
    assert_ne!(base, content_hash("/a/", Some("kb"), b""));
}

fn prompt(model: &str, ids: &[u64]) -> Prompt {
    Prompt {
        model: model.to_owned(),
        input_tokens: 100,
        max_output_tokens: 10,
        expected_output_tokens: None,
        parts: (ids.iter())
            .map(|id| PromptPart { id: *id, tokens: 1 })
            .collect(),
    }
}

/// Guards against a part of one team, route or model that blocks another's.
#[test]
fn parts_are_separate_by_team_route_and_model() {
    let of = |model, team, route| parts(&prompt(model, &[5, 6]), team, route).collect::<Vec<_>>();
    let base = of("m", 1, 2);
    assert_eq!(base.len(), 1);
    assert_eq!(base, of("m", 1, 2));
    for other in [of("n", 1, 2), of("m", 3, 2), of("m", 1, 3)] {
        assert_ne!(base, other);
    }
}

#[test]
fn last_part_and_those_beyond_the_bound_are_not_judged() {
    assert_eq!(parts(&prompt("m", &[5]), 1, 2).count(), 0);
    let many: Vec<u64> = (1..=20).collect();
    let subjects = Subjects::new(1, 2, parts(&prompt("m", &many), 1, 2));
    assert_eq!(subjects.parts().count(), MAX_PARTS_JUDGED);
}
