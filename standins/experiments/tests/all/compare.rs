//! Comparing two builds by reports of the same days.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

/// A folder of reports that is removed in the end.
struct ReportFolder {
    path: PathBuf,
}

impl ReportFolder {
    fn new(name: &str) -> Self {
        let name = format!("lovagelatch-compare-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a folder");
        Self { path }
    }

    fn write(&self, day: &str, label: &str, worth: f64, breaks: &str) {
        let text = format!(
            r#"{{"G":{worth},"failed":0.01,"refused":0.0,"breaks":{{{breaks}}},
            "all":{{"n":1000,"late":20,"p99_ms":80.5}},"prices":[["machine-seconds",10.0,0.02]]}}"#
        );
        fs::write(self.path.join(format!("{day}.{label}.json")), text).expect("a file");
    }

    fn compare(&self) -> Output {
        Command::new(env!("CARGO_BIN_EXE_lovagelatch-experiments"))
            .arg("--out")
            .arg(self.path.join("out"))
            .arg("compare")
            .arg(&self.path)
            .args(["old", "new"])
            .output()
            .expect("the command runs")
    }
}

impl Drop for ReportFolder {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.path);
    }
}

struct VerdictCase {
    name: &'static str,
    /// What each day gains.
    gains: &'static [f64],
    verdict: &'static str,
}

#[test]
fn a_difference_is_one_only_beyond_chance() {
    let cases = [
        VerdictCase {
            name: "the same",
            gains: &[0.0, 0.0, 0.0, 0.0],
            verdict: "no difference",
        },
        VerdictCase {
            name: "noise",
            gains: &[0.01, -0.012, 0.004, -0.003, 0.0],
            verdict: "no difference",
        },
        VerdictCase {
            name: "better",
            gains: &[0.01, 0.02, 0.015, 0.008],
            verdict: "more",
        },
        VerdictCase {
            name: "worse",
            gains: &[-0.01, -0.02, -0.015],
            verdict: "less",
        },
        VerdictCase {
            name: "two days",
            gains: &[0.1, 0.1],
            verdict: "too few days",
        },
    ];
    for case in cases {
        let folder = ReportFolder::new(&case.name.replace(' ', "-"));
        for (number, gain) in case.gains.iter().enumerate() {
            let day = format!("site+day+{number}");
            folder.write(&day, "old", 0.9, "");
            folder.write(&day, "new", 0.9 + gain, "");
        }
        let output = folder.compare();
        let said = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{}: {said}", case.name);
        let worth = said.lines().find(|line| line.contains("worth"));
        let worth = worth.unwrap_or_default();
        assert!(worth.contains(case.verdict), "{}: {said}", case.name);
        let drawn = fs::read_to_string(folder.path.join("out/compare-old-new.svg"));
        assert!(drawn.is_ok_and(|svg| svg.contains("<svg")), "{}", case.name);
    }
}

#[test]
fn what_cannot_be_compared_is_said() {
    let folder = ReportFolder::new("faults");
    let errors = |output: &Output| String::from_utf8_lossy(&output.stderr).into_owned();
    let output = folder.compare();
    assert!(!output.status.success());
    assert!(errors(&output).contains("no day"), "{}", errors(&output));
    folder.write("site+a+1", "old", 0.9, "");
    folder.write("site+b+1", "old", 0.9, "");
    folder.write("site+b+1", "new", 0.8, "\"EVAC\":7");
    let output = folder.compare();
    assert!(output.status.success());
    assert!(errors(&output).contains("site+a+1"), "{}", errors(&output));
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(said.contains("EVAC"), "{said}");
    fs::write(folder.path.join("site+b+1.new.json"), "{}").expect("a file");
    let output = folder.compare();
    assert!(!output.status.success());
    assert!(errors(&output).contains("no report"), "{}", errors(&output));
}
