//! `cyclamen check`: checks a file of declarations without a daemon.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use cyclamen_declarations::parse_change;
use cyclamen_ledger::{Config, verify};
use cyclamen_types::{NameError, Wall};
use serde::Serialize;

use super::Cx;
use crate::error::Failure;
use crate::input;
use crate::output;
use crate::status::Status;

/// Check a file of declarations without a daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file of declarations (YAML); `-` is standard input
    #[argh(option, short = 'f')]
    file: PathBuf,
}

impl Check {
    pub(super) fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let text = input::read_text(&self.file)?;
        let report = check(&text)?;
        if cx.json {
            output::print_json(&report)?;
        } else {
            output::print_text(&render(&report))?;
        }
        let status = if report.faults.is_empty() { Status::Done } else { Status::Refused };
        Ok(status)
    }
}

/// What the check found, each with its place and remedy.
#[derive(Serialize)]
struct CheckAnswer {
    faults: Vec<String>,
    warnings: Vec<String>,
}

/// Checks a file by itself, against a mesh that holds nothing.
fn check(text: &str) -> Result<CheckAnswer, Failure> {
    let id = name("check")?;
    let team = name("anyone")?;
    let change = match parse_change(text, id, team, now()) {
        Ok(change) => change,
        Err(faults) => {
            return Ok(CheckAnswer { faults: texts(&faults.0), warnings: Vec::new() });
        }
    };
    let report = verify(&change, &Config::default());
    Ok(CheckAnswer { faults: texts(&report.faults), warnings: texts(&report.warnings) })
}

fn name<N: FromStr<Err = NameError>>(text: &str) -> Result<N, Failure> {
    text.parse().map_err(|error: NameError| Failure::Usage(error.to_string()))
}

fn now() -> Wall {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Wall(u64::try_from(unix.as_millis()).unwrap_or(u64::MAX))
}

fn texts<T: ToString>(findings: &[T]) -> Vec<String> {
    findings.iter().map(ToString::to_string).collect()
}

fn render(report: &CheckAnswer) -> String {
    let mut text = match report.faults.len() {
        0 => "no faults\n".into(),
        1 => "1 fault\n".into(),
        count => format!("{count} faults\n"),
    };
    for fault in &report.faults {
        text.push_str(&format!("  {fault}\n"));
    }
    for warning in &report.warnings {
        text.push_str(&format!("  warning: {warning}\n"));
    }
    text
}
