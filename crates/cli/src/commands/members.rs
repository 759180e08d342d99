//! `cyclamen members`: the daemons of the mesh.

use argh::FromArgs;
use cyclamen_daemon::admin::api::{MemberHealth, MemberList};

use super::Cx;
use crate::client::Ask;
use crate::error::Failure;
use crate::output::{self, Table};
use crate::status::Status;

/// List the daemons that the one asked knows.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
pub struct Members {}

impl Members {
    pub(super) async fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let list: MemberList = cx.client()?.ask(&Ask::get("/v1/members")).await?;
        if cx.json {
            output::print_json(&list)?;
            return Ok(Status::Done);
        }
        let heading = ["INSTANCE", "FAILURE DOMAIN", "STATE", "CUT OFF", "VERSION", "ADMIN"];
        let mut table = Table::new(&heading);
        for member in list.members {
            let cut_off = if member.cut_off { "cut off" } else { "-" };
            table.row(vec![
                member.instance,
                member.failure_domain,
                health_text(member.state).into(),
                cut_off.into(),
                output::or_dash(member.version),
                member.admin.to_string(),
            ]);
        }
        output::print_text(&table.render())?;
        Ok(Status::Done)
    }
}

fn health_text(health: MemberHealth) -> &'static str {
    match health {
        MemberHealth::Alive => "alive",
        MemberHealth::Suspect => "suspect",
        MemberHealth::Dead => "dead",
        MemberHealth::Left => "left",
    }
}
