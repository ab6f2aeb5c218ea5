use super::*;

/// Guards against a response without an id that counts as one to the request, though it may be a late copy of an earlier one.
#[test]
fn response_without_an_id_answers_only_the_first_request_of_its_connection() {
    assert!(is_about_request(NamedRequest::Unnamed, false));
    assert!(!is_about_request(NamedRequest::Unnamed, true));
    for is_reused in [false, true] {
        assert!(is_about_request(NamedRequest::Own, is_reused));
        assert!(!is_about_request(NamedRequest::Other, is_reused));
    }
}
