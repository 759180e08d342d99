//! `cyclamen check`: checks files of declarations without a daemon.

use std::fmt::Display;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use cyclamen_declarations::parse_change;
use cyclamen_ledger::{Ledger, LogRecord, verify};
use cyclamen_types::{NameError, Wall};
use serde::Serialize;

use super::Cx;
use crate::error::Failure;
use crate::input;
use crate::output;
use crate::status::Status;

/// Check files of declarations without a daemon, each on top of those before it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file of declarations (YAML); `-` is standard input
    #[argh(option, short = 'f')]
    file: Vec<PathBuf>,
}

impl Check {
    pub(super) fn run(self, cx: &Cx) -> Result<Status, Failure> {
        if self.file.is_empty() {
            return Err(Failure::Usage("no file to check: give -f FILE".into()));
        }
        let mut report = CheckAnswer::default();
        let mut ledger = Ledger::default();
        for path in &self.file {
            let text = input::read_text(path)?;
            check(&path.display().to_string(), &text, &mut ledger, &mut report)?;
        }
        if cx.json {
            output::print_json(&report)?;
        } else {
            output::print_text(&render(&report))?;
        }
        let status = if report.faults.is_empty() { Status::Done } else { Status::Refused };
        Ok(status)
    }
}

/// What the check found, each with its file, place and remedy.
#[derive(Default, Serialize)]
struct CheckAnswer {
    faults: Vec<String>,
    warnings: Vec<String>,
}

/// Checks one file against what the files before it declared, and adds what it declares.
fn check(
    file: &str,
    text: &str,
    ledger: &mut Ledger,
    report: &mut CheckAnswer,
) -> Result<(), Failure> {
    let offset = ledger.version().next_offset();
    let id = name(&format!("check-{offset}"))?;
    let change = match parse_change(text, id, name("anyone")?, now()) {
        Ok(change) => change,
        Err(faults) => {
            report.faults.extend(texts(file, &faults.0));
            return Ok(());
        }
    };
    let found = verify(&change, ledger.config());
    report.faults.extend(texts(file, &found.faults));
    report.warnings.extend(texts(file, &found.warnings));
    let payload = Ledger::change_payload(&change).into();
    ledger.fold(&LogRecord { offset, payload });
    Ok(())
}

fn name<N: FromStr<Err = NameError>>(text: &str) -> Result<N, Failure> {
    text.parse().map_err(|error: NameError| Failure::Usage(error.to_string()))
}

fn now() -> Wall {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Wall(u64::try_from(unix.as_millis()).unwrap_or(u64::MAX))
}

fn texts<T: Display>(file: &str, findings: &[T]) -> Vec<String> {
    findings.iter().map(|finding| format!("{file}: {finding}")).collect()
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
