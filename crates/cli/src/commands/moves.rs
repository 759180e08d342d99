//! `cyclamen moves`: lists the moves.

use argh::FromArgs;
use cyclamen_daemon::admin::api::{MoveList, MoveState};

use super::Cx;
use crate::client::Ask;
use crate::error::Failure;
use crate::output::{self, Table};
use crate::status::Status;

/// List the moves with their states and shares.
#[derive(FromArgs)]
#[argh(subcommand, name = "moves")]
pub struct Moves {}

impl Moves {
    pub(super) async fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let list: MoveList = cx.client()?.ask(&Ask::get("/v1/moves")).await?;
        if cx.json {
            output::print_json(&list)?;
            return Ok(Status::Done);
        }
        let heading = ["MOVE", "SERVICE", "FROM", "TO", "STATE", "SHARE", "LATE", "REASON"];
        let mut table = Table::new(&heading);
        for mv in list.moves {
            let late = if mv.late { "late" } else { "-" };
            let share = output::percent(mv.share_ppm);
            let state = state_text(mv.state).into();
            let late = late.into();
            table.row(vec![mv.name, mv.service, mv.from, mv.to, state, share, late, mv.reason]);
        }
        output::print_text(&table.render())?;
        Ok(Status::Done)
    }
}

/// A state as people read it.
pub(super) fn state_text(state: MoveState) -> &'static str {
    match state {
        MoveState::Scheduled => "scheduled",
        MoveState::Moving => "moving",
        MoveState::Paused => "paused",
        MoveState::Checking => "checking",
        MoveState::Watched => "done, watched",
        MoveState::Done => "done",
        MoveState::TakenBack => "taken back",
    }
}
