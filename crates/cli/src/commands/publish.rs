//! `cyclamen publish`: publishes a file of declarations.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use cyclamen_daemon::admin::api::{ChangeAnswer, MemberHealth, MemberList, OutcomeKind};
use tokio::time::Instant;

use super::Cx;
use crate::client::{Ask, Client};
use crate::error::Failure;
use crate::input;
use crate::output;
use crate::status::Status;

/// Wait for the outcome within one request.
const REQUEST_WAIT: Duration = Duration::from_secs(5);

/// Pause between two looks at the members.
const MEMBERS_PAUSE: Duration = Duration::from_millis(250);

/// Publish the declarations of a file, together or not at all.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// file of declarations (YAML); `-` is standard input
    #[argh(option, short = 'f')]
    file: PathBuf,
    /// only check against the configuration that the daemon holds
    #[argh(switch)]
    dry_run: bool,
    /// wait until every live daemon holds the change
    #[argh(switch)]
    wait: bool,
    /// longest wait, in seconds; 60 when absent
    #[argh(option, default = "60")]
    timeout: u64,
    /// name of the change, to repeat one whose outcome you do not know
    #[argh(option)]
    change_id: Option<String>,
}

impl Publish {
    pub(super) async fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let text = input::read_text(&self.file)?;
        let client = cx.client()?;
        let id = self.change_id.clone().unwrap_or_else(fresh_id);
        let deadline = Instant::now() + Duration::from_secs(self.timeout);
        let mut answer = self.publish(&client, &id, &text).await?;
        while self.wait && answer.outcome == OutcomeKind::Pending && Instant::now() < deadline {
            answer = self.publish(&client, &id, &text).await?;
        }
        report(cx, &answer)?;
        match (answer.outcome, answer.offset) {
            (OutcomeKind::Accepted, Some(offset)) if self.wait => {
                wait_in_force(cx, &client, offset, deadline).await
            }
            (OutcomeKind::Accepted | OutcomeKind::Checked, _) => Ok(Status::Done),
            (OutcomeKind::Refused, _) => Ok(Status::Refused),
            (OutcomeKind::Pending, _) => Ok(Status::Pending),
        }
    }

    async fn publish(
        &self,
        client: &Client,
        id: &str,
        text: &str,
    ) -> Result<ChangeAnswer, Failure> {
        let dry_run = self.dry_run;
        let wait_ms = REQUEST_WAIT.as_millis();
        let path = format!("/v1/changes?change_id={id}&dry_run={dry_run}&wait_ms={wait_ms}");
        client.ask(&Ask::post(path, text.to_owned()).waiting(REQUEST_WAIT)).await
    }
}

/// A name for a change that no other change has.
fn fresh_id() -> String {
    format!("change-{:032x}", rand::random::<u128>())
}

/// Prints what became of a change.
pub(super) fn report(cx: &Cx, answer: &ChangeAnswer) -> Result<(), Failure> {
    if cx.json {
        return output::print_json(answer);
    }
    let id = &answer.id;
    let mut text = match (answer.outcome, answer.offset) {
        (OutcomeKind::Checked, _) => "checked: no faults\n".into(),
        (OutcomeKind::Accepted, Some(offset)) => format!("accepted at offset {offset} ({id})\n"),
        (OutcomeKind::Accepted, None) => format!("accepted ({id})\n"),
        (OutcomeKind::Refused, _) => format!("refused ({id})\n"),
        (OutcomeKind::Pending, _) => {
            format!("pending: the log has not shown it yet; repeat with --change-id {id}\n")
        }
    };
    for fault in &answer.faults {
        text.push_str(&format!("  {fault}\n"));
    }
    for warning in &answer.warnings {
        text.push_str(&format!("  warning: {warning}\n"));
    }
    output::print_text(&text)
}

/// Waits until every live daemon holds the record at `offset`.
async fn wait_in_force(
    cx: &Cx,
    client: &Client,
    offset: u64,
    deadline: Instant,
) -> Result<Status, Failure> {
    loop {
        let list: MemberList = client.ask(&Ask::get("/v1/members")).await?;
        let mut live = 0;
        let mut behind = Vec::new();
        for member in &list.members {
            if member.state != MemberHealth::Alive || member.cut_off {
                continue;
            }
            live += 1;
            if member.version.is_none_or(|version| version <= offset) {
                behind.push(member.instance.as_str());
            }
        }
        if behind.is_empty() {
            tell(cx, &format!("in force on {live} daemons"));
            return Ok(Status::Done);
        }
        if Instant::now() >= deadline {
            tell(cx, &format!("not yet in force on {}", behind.join(", ")));
            return Ok(Status::Pending);
        }
        tokio::time::sleep(MEMBERS_PAUSE).await;
    }
}

/// Says something beside the answer; programs that read JSON see it on standard error.
fn tell(cx: &Cx, line: &str) {
    if cx.json {
        eprintln!("{line}");
    } else {
        println!("{line}");
    }
}
