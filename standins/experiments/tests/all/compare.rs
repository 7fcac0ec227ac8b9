//! Tests of `compare`, which compares two builds by their reports of the same days.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

/// A temporary directory of reports, removed on drop.
struct ReportDirectory {
    path: PathBuf,
}

impl ReportDirectory {
    fn new(name: &str) -> Self {
        let name = format!("lovagelatch-compare-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("the directory can be created");
        Self { path }
    }

    fn write(&self, day: &str, label: &str, worth: f64, breaks: &str) {
        let text = format!(
            r#"{{"G":{worth},"failed":0.01,"refused":0.0,"breaks":{{{breaks}}},
            "all":{{"n":1000,"late":20,"p99_ms":80.5}},"prices":[["machine-seconds",10.0,0.02]]}}"#
        );
        fs::write(self.path.join(format!("{day}.{label}.json")), text)
            .expect("the file can be written");
    }

    fn compare(&self) -> Output {
        Command::new(env!("CARGO_BIN_EXE_lovagelatch-experiments"))
            .arg("--out")
            .arg(self.path.join("out"))
            .arg("compare")
            .arg(&self.path)
            .args(["old", "new"])
            .output()
            .expect("the command starts")
    }
}

impl Drop for ReportDirectory {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.path);
    }
}

struct VerdictCase {
    name: &'static str,
    /// Change of worth on each day.
    changes: &'static [f64],
    verdict: &'static str,
}

#[test]
fn differences_within_chance_are_not_reported() {
    let cases = [
        VerdictCase {
            name: "the same",
            changes: &[0.0, 0.0, 0.0, 0.0],
            verdict: "no difference",
        },
        VerdictCase {
            name: "noise",
            changes: &[0.01, -0.012, 0.004, -0.003, 0.0],
            verdict: "no difference",
        },
        VerdictCase {
            name: "better",
            changes: &[0.01, 0.02, 0.015, 0.008],
            verdict: "more",
        },
        VerdictCase {
            name: "worse",
            changes: &[-0.01, -0.02, -0.015],
            verdict: "less",
        },
        VerdictCase {
            name: "two days",
            changes: &[0.1, 0.1],
            verdict: "too few days",
        },
    ];
    for case in cases {
        let directory = ReportDirectory::new(&case.name.replace(' ', "-"));
        for (number, change) in case.changes.iter().enumerate() {
            let day = format!("site+day+{number}");
            directory.write(&day, "old", 0.9, "");
            directory.write(&day, "new", 0.9 + change, "");
        }
        let output = directory.compare();
        let stdout = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{}: {stdout}", case.name);
        let worth = stdout.lines().find(|line| line.contains("worth"));
        let worth = worth.unwrap_or_default();
        assert!(worth.contains(case.verdict), "{}: {stdout}", case.name);
        let drawn = fs::read_to_string(directory.path.join("out/compare-old-new.svg"));
        assert!(drawn.is_ok_and(|svg| svg.contains("<svg")), "{}", case.name);
    }
}

#[test]
fn unpaired_and_malformed_reports_are_named() {
    let directory = ReportDirectory::new("faults");
    let errors = |output: &Output| String::from_utf8_lossy(&output.stderr).into_owned();
    let output = directory.compare();
    assert!(!output.status.success());
    assert!(errors(&output).contains("no day"), "{}", errors(&output));
    directory.write("site+a+1", "old", 0.9, "");
    directory.write("site+b+1", "old", 0.9, "");
    directory.write("site+b+1", "new", 0.8, "\"EVAC\":7");
    let output = directory.compare();
    assert!(output.status.success());
    assert!(errors(&output).contains("site+a+1"), "{}", errors(&output));
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(stdout.contains("EVAC"), "{stdout}");
    fs::write(directory.path.join("site+b+1.new.json"), "{}").expect("the file can be written");
    let output = directory.compare();
    assert!(!output.status.success());
    assert!(
        errors(&output).contains("cannot parse report"),
        "{}",
        errors(&output)
    );
}
