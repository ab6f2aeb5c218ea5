//! The plain service's records and faults.

use teaselline_stand_ins::service::{Service, ServiceFault, ServiceSettings, service_answer};

use crate::client::call_with;

// Symptom: a clerk sees a claim fail, sends it again, and the brewery is paid twice.
// Sequence: the call takes effect, its answer is cut, it comes again. Cause: the effect was done.
#[tokio::test]
async fn a_cut_after_the_effect_leaves_a_record() {
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    service.change(|knobs| {
        knobs.fault = ServiceFault::CutAfterEffect;
        knobs.fault_probability = 1.0;
    });
    let at = service.address();
    assert!(
        call_with(at, "POST", "/claims", "Attempt: r.1\r\n", "keg")
            .await
            .is_none()
    );
    service.change(|knobs| knobs.fault = ServiceFault::NotRun);
    let refused = call_with(at, "POST", "/claims", "Attempt: r.2\r\n", "keg")
        .await
        .unwrap();
    assert!(refused.status == 503 && refused.head.contains("outcome: not_run"));
    service.change(|knobs| knobs.fault = ServiceFault::None);
    let answer = call_with(at, "POST", "/claims", "Attempt: r.3\r\n", "keg")
        .await
        .unwrap();
    assert_eq!(answer.body, service_answer("/claims", b"keg"));
    let attempts: Vec<_> = service
        .executions()
        .into_iter()
        .map(|it| it.attempt)
        .collect();
    assert_eq!(attempts, ["r.1", "r.3"]);
}
