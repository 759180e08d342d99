//! `cyclamen verdict`: whether a move is done or has been taken back.

use std::time::Duration;

use argh::FromArgs;
use cyclamen_daemon::admin::api::{MoveAnswer, MoveState};
use tokio::time::Instant;

use super::{Cx, moves};
use crate::client::Ask;
use crate::error::Failure;
use crate::output::{self, Table};
use crate::status::Status;

/// Longest wait within one request.
const REQUEST_WAIT: Duration = Duration::from_secs(20);

/// Say whether a move is done or has been taken back, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "verdict")]
pub struct Verdict {
    /// the move
    #[argh(positional)]
    name: String,
    /// wait for the verdict
    #[argh(switch)]
    wait: bool,
    /// longest wait, in seconds; 3600 when absent
    #[argh(option, default = "3600")]
    timeout: u64,
}

impl Verdict {
    pub(super) async fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let client = cx.client()?;
        let deadline = Instant::now() + Duration::from_secs(self.timeout);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let wait = if self.wait { left.min(REQUEST_WAIT) } else { Duration::ZERO };
            let path = format!("/v1/moves/{}?wait_ms={}", self.name, wait.as_millis());
            let answer: MoveAnswer = client.ask(&Ask::get(path).waiting(wait)).await?;
            let status = status(answer.state);
            if status == Status::Pending && !wait.is_zero() {
                continue;
            }
            show(cx, &answer)?;
            return Ok(status);
        }
    }
}

/// The exit status that tells a state.
fn status(state: MoveState) -> Status {
    match state {
        MoveState::Watched | MoveState::Done => Status::Done,
        MoveState::TakenBack => Status::TakenBack,
        MoveState::Scheduled | MoveState::Moving | MoveState::Checking | MoveState::Paused => {
            Status::Pending
        }
    }
}

fn show(cx: &Cx, answer: &MoveAnswer) -> Result<(), Failure> {
    if cx.json {
        return output::print_json(answer);
    }
    let state = moves::state_text(answer.state);
    let share = output::percent(answer.share_ppm);
    let late = if answer.late { ", late" } else { "" };
    let mut text = format!("{}: {state}{late}; {share} on {}\n", answer.name, answer.to);
    text.push_str(&format!("{}\n", answer.reason));
    if !answer.evidence.is_empty() {
        text.push_str(&evidence(answer));
    }
    output::print_text(&text)
}

fn evidence(answer: &MoveAnswer) -> String {
    let heading = ["ROUTE", "VERSION", "CALLS", "FAILED", "SLOW"];
    let mut table = Table::new(&heading);
    for line in &answer.evidence {
        let old = [line.old_calls, line.old_failed, line.old_slow];
        let new = [line.new_calls, line.new_failed, line.new_slow];
        for (version, figures) in [(&answer.from, old), (&answer.to, new)] {
            let mut row = vec![line.route.clone(), version.clone()];
            row.extend(figures.map(|figure| figure.to_string()));
            table.row(row);
        }
    }
    table.render()
}
