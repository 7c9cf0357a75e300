use super::*;

#[test]
fn an_office_reads_its_routes_in_lines() {
    let shown = r#"{"edition":4,"routes":{"entries":[["n","h","/a/x/","safe",30,0.3,1,1,
        [{"service":"s","share":1},{"service":"t","share":0.5}]]]},
        "unfit":[{"depot":"h","lane_prefix":"/a/x/","why":["one","two"]}]}"#;
    let wanted = "edition 4\nh/a/x/ safe s=1 t=0.5\nnot in force: h/a/x/: one; two";
    assert_eq!(lines(shown), wanted);
    let drawn = draw_key().unwrap();
    let (key, hash) = drawn.strip_prefix("key ").unwrap().split_once("\nhash ").unwrap();
    assert_eq!(KeyHash::read(hash), Some(KeyHash::of(key)));
}
