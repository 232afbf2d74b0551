//! The script that lists the known failures, which `test.sh` skips: it accepts at most three existing tests, each with its
//! cause and issue.

use std::process::Command;

/// The tests that the script skips for a list with these lines, or the error with which it rejects the list.
fn skipped_tests(lines: &str) -> Result<String, String> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let directory = std::env::temp_dir().join(format!("known-red-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("create the directory");
    let (file, tests) = (directory.join("file"), directory.join("tests"));
    std::fs::write(&file, lines).expect("write the file");
    std::fs::write(&tests, "a::one\na::two\nb::one\nb::two\ntwice\ntwice\n")
        .expect("write the file");
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../.ci/known-red");
    let output = Command::new(script).arg(&file).arg(&tests).output();
    std::fs::remove_dir_all(&directory).expect("remove the directory");
    let output = output.expect("run the script");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    match output.status.success() {
        true => Ok(text(output.stdout)),
        false => Err(text(output.stderr)),
    }
}

#[test]
fn known_failures_are_at_most_three_existing_tests_each_with_its_cause_and_issue() {
    assert_eq!(skipped_tests(""), Ok(String::new()));
    let one = "a::one | a late answer is lost | #29\n";
    assert_eq!(skipped_tests(one), Ok("a::one\n".to_string()));
    let three = format!("{one}a::two | why | 30\nb::one | why | 9\n");
    assert_eq!(
        skipped_tests(&three),
        Ok("a::one\na::two\nb::one\n".to_string())
    );
    for (lines, reason) in [
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
        let result = skipped_tests(&lines);
        assert!(
            result.as_ref().is_err_and(|error| error.contains(reason)),
            "{lines}: {result:?}"
        );
    }
}
