//! Tests of formatting JSON as tables.

use serde_json::json;

use super::render;

#[test]
fn list_is_formatted_as_table_of_all_fields() {
    let answer = json!({
        "revision": 7,
        "nodes": [
            {"failure_domain": "hala-a", "load": {"cpu": 3}, "name": "n1", "state": "live"},
            {"name": "node-22", "leave_at_ms": null, "state": "leaving\u{1b}[2J"},
        ],
        "leaving": [],
    });
    let expected = "revision: 7\n\nleaving (0)\n\n\nnodes (2)\n\
                    name     state        failure_domain  load.cpu  leave_at_ms\n\
                    n1       live         hala-a          3\n\
                    node-22  leaving\u{fffd}[2J                            -\n";
    assert_eq!(render(&answer), expected);
}
