use super::*;

#[test]
fn each_kind_has_its_own_bound_each_second() {
    let mut limits = Limits::default();
    let admitted = |limits: &mut Limits, name: &str, now_ms| {
        (0..500).filter(|_| limits.admit(name, now_ms)).count()
    };
    assert_eq!(admitted(&mut limits, SUCCESS, 1_000), 60);
    assert_eq!(admitted(&mut limits, "attempt_failed", 1_500), 120);
    assert_eq!(admitted(&mut limits, SUCCESS, 2_000), 60);
    let left_out = limits.take_left_out();
    assert_eq!(
        left_out,
        [
            (String::from("attempt_failed"), 380),
            (SUCCESS.to_owned(), 880)
        ]
    );
    assert_eq!(limits.take_left_out(), []);
}
