//! `cyclamen blocked` and `cyclamen unblock`: calls that crash backend servers.

use std::time::{Duration, UNIX_EPOCH};

use argh::FromArgs;
use cyclamen_daemon::admin::api::{BlockedCallList, UnblockAnswer};

use super::Cx;
use crate::client::Ask;
use crate::error::Failure;
use crate::output::{self, Table};
use crate::status::Status;

/// List the calls that are refused because backend servers crashed while they ran them.
#[derive(FromArgs)]
#[argh(subcommand, name = "blocked")]
pub struct Blocked {}

/// Serve a blocked call again, at all daemons.
#[derive(FromArgs)]
#[argh(subcommand, name = "unblock")]
pub struct Unblock {
    /// digest of the call, as `cyclamen blocked` lists it
    #[argh(positional)]
    digest: String,
}

impl Blocked {
    pub(super) async fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let list: BlockedCallList = cx.client()?.ask(&Ask::get("/v1/blocked-calls")).await?;
        if cx.json {
            output::print_json(&list)?;
            return Ok(Status::Done);
        }
        let heading = ["DIGEST", "CALL", "CRASHED SERVERS", "SINCE", "UNTIL", "REFUSED"];
        let mut table = Table::new(&heading);
        for call in list.calls {
            table.row(vec![
                call.digest,
                output::or_dash(Some(call.call).filter(|call| !call.is_empty())),
                call.crashed_servers.join(", "),
                time_text(call.since_ms),
                time_text(call.until_ms),
                call.refused.to_string(),
            ]);
        }
        output::print_text(&table.render())?;
        Ok(Status::Done)
    }
}

impl Unblock {
    pub(super) async fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let path = format!("/v1/blocked-calls/{}/unblock", self.digest);
        let answer: UnblockAnswer = cx.client()?.ask(&Ask::post(path, "")).await?;
        if cx.json {
            output::print_json(&answer)?;
            return Ok(Status::Done);
        }
        output::print_text(&format!("{} is served again\n", answer.digest))?;
        Ok(Status::Done)
    }
}

fn time_text(unix_ms: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms));
    output::or_dash(time.map(humantime::format_rfc3339_seconds))
}
