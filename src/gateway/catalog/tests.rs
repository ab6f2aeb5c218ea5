use super::*;

pub(in crate::gateway) fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        repeat: RepeatPolicy::AtMostOnce,
        is_stream: false,
        is_resumable: false,
        timeout_ms: 1_000,
        target_ms: 150,
        gap_target_ms: None,
        priority: 1,
        max_upstreams: 1,
        is_public: false,
        targets: vec![("a".to_owned(), 90), ("b".to_owned(), 10)],
    }
}

pub(in crate::gateway) fn catalog() -> Catalog {
    Catalog {
        version: 3,
        routes: vec![
            route("a.example", "/"),
            route("a.example", "/reels/"),
            route("a.example", "/reels/old/"),
            route("b.example", "/reels/"),
        ],
        keys: vec![
            ("key-1".to_owned(), TeamKey(0)),
            ("key-2".to_owned(), TeamKey(1)),
        ],
        ..Catalog::default()
    }
}

#[test]
fn route_with_longest_matching_prefix_is_chosen() {
    let catalog = catalog();
    let name = |host, path| {
        let key = catalog.route_of(host, path);
        key.map(|key| catalog.route(key).name.clone())
    };
    assert_eq!(
        name("a.example", "/reels/old/7").as_deref(),
        Some("/reels/old/")
    );
    assert_eq!(
        name("a.example", "/reels/older").as_deref(),
        Some("/reels/")
    );
    assert_eq!(name("a.example", "/reels").as_deref(), Some("/"));
    assert_eq!(name("b.example", "/other"), None);
    assert_eq!(name("c.example", "/reels/"), None);
}

#[test]
fn key_prefix_matches_no_team() {
    assert_eq!(catalog().team_of("key-2"), Some(TeamKey(1)));
    assert_eq!(catalog().team_of("key-"), None);
    assert_eq!(catalog().team_of(""), None);
}

#[test]
fn targets_are_drawn_in_proportion_to_weights() {
    let route = route("a.example", "/");
    let to_b = (0..1_000).filter(|draw| route.target(*draw) == "b").count();
    assert_eq!(to_b, 100);
}
