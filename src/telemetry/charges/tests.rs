//! Tests of the comparison of charges with limits.

use super::*;

const LOGS: &str = r#"
 1.0 node-a {"at_ms":10100,"event":"request_ended","team":"t1","took_ms":100,"charged":400.0,"charge_refunded":false,"window_allowance":1000.0}
 9.1 node-b {"at_ms":19000,"event":"request_ended","team":"t1","took_ms":1001,"charged":300.0,"charge_refunded":false,"window_allowance":1000.0}
 9.2 node-a {"at_ms":17999,"event":"request_ended","team":"t1","took_ms":0,"charged":500.0,"charge_refunded":false,"window_allowance":1000.0}
 9.2 node-a {"at_ms":18000,"event":"request_ended","team":"t1","took_ms":0,"charged":250.0,"charge_refunded":false,"window_allowance":1000.0}
 9.2 node-a {"at_ms":18000,"event":"request_ended","team":"t1","took_ms":0,"charged":900.0,"charge_refunded":true,"window_allowance":1000.0}
 9.3 node-a {"at_ms":18000,"event":"request_ended","team":"t2","took_ms":0,"charged":100.0,"charge_refunded":false,"window_allowance":500.0}
 9.3 node-a {"at_ms":18000,"event":"request_ended","team":"t3","outcome":"refused","reason":"over_limit","limit_cost":100.0}
 9.4 node-a {"at_ms":18100,"event":"log_lines_left_out","kind":"answered","count":7}
 9.5 node-a {"at_ms":18200,"event":"request_en
"#;

#[test]
fn windows_sum_the_charges_of_all_nodes_without_the_refunded() {
    let charges = aggregate(LOGS, 8_000);
    let expected = WorstWindow {
        team: "t1".to_owned(),
        start_ms: 10_000,
        used: 1_200.0,
        allowed: 1_000.0,
    };
    assert_eq!(charges.windows[0], expected);
    assert!((charges.windows[0].used_fraction() - 1.2).abs() < 1e-9);
    assert_eq!(charges.windows[1].team, "t2");
    assert_eq!(
        charges.windows.len(),
        2,
        "a team without charges has no window"
    );
}

#[test]
fn charge_at_the_end_of_a_window_is_outside() {
    let charges = aggregate(LOGS, 7_999);
    assert_eq!(charges.windows[0].start_ms, 17_999);
    assert!((charges.windows[0].used - 1_050.0).abs() < 1e-9);
}

#[test]
fn lines_that_were_left_out_or_malformed_are_counted() {
    let charges = aggregate(LOGS, 8_000);
    assert_eq!((charges.left_out, charges.malformed_lines), (7, 1));
    assert!(charges.to_string().contains("7 lines were left out"));
}
