//! What the test command passes over: only what is named rightly, and never more than three tests.

use std::process::Command;

/// What is passed over by this file, or why it is turned down.
fn passed_over(lines: &str) -> Result<String, String> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("known-red-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (file, tests) = (folder.join("file"), folder.join("tests"));
    std::fs::write(&file, lines).expect("writes");
    std::fs::write(&tests, "a::one\na::two\nb::one\nb::two\ntwice\ntwice\n").expect("writes");
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../.ci/known-red");
    let ran = Command::new(script).arg(&file).arg(&tests).output();
    std::fs::remove_dir_all(&folder).expect("the folder goes");
    let ran = ran.expect("the script runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    match ran.status.success() {
        true => Ok(text(ran.stdout)),
        false => Err(text(ran.stderr)),
    }
}

#[test]
fn only_tests_that_there_are_are_passed_over_three_at_the_most_and_each_with_its_cause_and_issue() {
    assert_eq!(passed_over(""), Ok(String::new()));
    let one = "a::one | a late answer is lost | #29\n";
    assert_eq!(passed_over(one), Ok("a::one\n".to_string()));
    let three = format!("{one}a::two | why | 30\nb::one | why | 9\n");
    assert_eq!(
        passed_over(&three),
        Ok("a::one\na::two\nb::one\n".to_string())
    );
    for (lines, why) in [
        (format!("{three}b::two | why | 9\n"), "three at the most"),
        ("a::none | why | 9\n".to_string(), "0 tests"),
        ("one | why | 9\n".to_string(), "0 tests"),
        ("twice | why | 9\n".to_string(), "2 tests"),
        (format!("{one}{one}"), "stands there twice"),
        ("a::one\n".to_string(), "TEST | CAUSE | ISSUE"),
        ("a::one | why\n".to_string(), "TEST | CAUSE | ISSUE"),
        ("a::one |   | 9\n".to_string(), "TEST | CAUSE | ISSUE"),
        ("a::one | why | soon\n".to_string(), "TEST | CAUSE | ISSUE"),
        ("\n".to_string(), "TEST | CAUSE | ISSUE"),
    ] {
        let told = passed_over(&lines);
        assert!(
            told.as_ref().is_err_and(|told| told.contains(why)),
            "{lines}: {told:?}"
        );
    }
}
