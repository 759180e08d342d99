//! `cyclamen explain`: the way of one call over all daemons, from their log lines.

use std::path::PathBuf;

use argh::FromArgs;
use cyclamen_decisions::{Explanation, LogLine, explain};
use serde::Serialize;

use super::Cx;
use crate::error::Failure;
use crate::input;
use crate::output;
use crate::status::Status;

/// Tell the way of one call from the log lines of the daemons.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// id of the call
    #[argh(positional)]
    id: String,
    /// files of log lines; standard input when there is none
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// The explanation as JSON.
#[derive(Serialize)]
struct ExplainAnswer {
    steps: Vec<String>,
    beliefs: Vec<String>,
    cause: Option<String>,
}

impl Explain {
    pub(super) fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let lines = self.lines()?;
        let Explanation { steps, beliefs, cause } = explain(&self.id, &lines);
        let found = cause.is_some();
        if cx.json {
            output::print_json(&ExplainAnswer { steps, beliefs, cause })?;
        } else {
            output::print_text(&render(&self.id, &steps, &beliefs, cause.as_deref()))?;
        }
        Ok(if found { Status::Done } else { Status::Refused })
    }

    fn lines(&self) -> Result<Vec<LogLine>, Failure> {
        let mut lines = Vec::new();
        if self.files.is_empty() {
            read(&input::read_stdin()?, &mut lines);
        }
        for path in &self.files {
            read(&input::read_text(path)?, &mut lines);
        }
        Ok(lines)
    }
}

/// Adds the lines of a text. What stands before the first brace, such as a time that a collector
/// of logs put there, is left out, and so are lines of other kinds.
fn read(text: &str, lines: &mut Vec<LogLine>) {
    for row in text.lines() {
        let Some(start) = row.find('{') else {
            continue;
        };
        lines.extend(LogLine::from_json(&row[start..]));
    }
}

fn render(id: &str, steps: &[String], beliefs: &[String], cause: Option<&str>) -> String {
    let Some(cause) = cause else {
        return format!(
            "no line is about call {id}: it went well and was not sampled, its lines were left \
             out (look for `omitted` lines), or a daemon's file is missing\n"
        );
    };
    let mut text = format!("call {id}\n");
    for step in steps {
        text += &format!("  {step}\n");
    }
    if !beliefs.is_empty() {
        text += "around it\n";
    }
    for belief in beliefs {
        text += &format!("  {belief}\n");
    }
    text + &format!("cause: {cause}\n")
}
