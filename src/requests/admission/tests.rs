use super::*;

const DOCUMENT: &str = include_str!("../../../sample_configs/valid/kitagawa.json");

#[test]
fn pools_with_a_common_model_share_a_group() {
    let document = Document::parse(DOCUMENT).unwrap();
    let groups = groups(&document);
    let group = |name| groups[document.find_pool(name).unwrap().index()];
    assert_eq!(group("frame-models"), group("frame-models-isles"));
    assert_ne!(group("frame-models"), group("catalogue"));
}
