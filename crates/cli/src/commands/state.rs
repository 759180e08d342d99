//! `cyclamen state`: the whole state of one daemon.

use argh::FromArgs;
use cyclamen_daemon::admin::api::{MemberList, StateAnswer};

use super::Cx;
use crate::client::{Ask, Client};
use crate::error::Failure;
use crate::output::{self, Table};
use crate::status::Status;

/// Show the whole state of one daemon, without secrets.
#[derive(FromArgs)]
#[argh(subcommand, name = "state")]
pub struct State {
    /// show the daemon of this instance, found through the one asked
    #[argh(option)]
    instance: Option<String>,
}

impl State {
    pub(super) async fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let mut client = cx.client()?;
        if let Some(instance) = &self.instance {
            client = find(&client, instance).await?;
        }
        let state: StateAnswer = client.ask(&Ask::get("/v1/state")).await?;
        if cx.json {
            output::print_json(&state)?;
        } else {
            output::print_text(&render(&state))?;
        }
        Ok(Status::Done)
    }
}

async fn find(client: &Client, instance: &str) -> Result<Client, Failure> {
    let list: MemberList = client.ask(&Ask::get("/v1/members")).await?;
    let Some(member) = list.members.iter().find(|member| member.instance == instance) else {
        return Err(Failure::NoDaemon(instance.into()));
    };
    Ok(client.at(member.admin))
}

fn render(state: &StateAnswer) -> String {
    let mut facts = Table::new(&["INSTANCE", state.instance.as_str()]);
    let mut fact = |name: &str, value: String| facts.row(vec![name.into(), value]);
    fact("failure domain", state.domain.to_string());
    fact("region", state.region.to_string());
    fact("ready", state.ready.to_string());
    fact("relay", state.relay.to_string());
    fact("version", state.version.to_string());
    fact("table version", state.table_version.to_string());
    fact("hash", state.hash.to_string());
    fact("routes", state.routes.len().to_string());
    fact("members", state.members.len().to_string());
    fact("moves", state.moves.len().to_string());
    fact("calls", state.router.calls.to_string());
    fact("retries", state.router.retries.to_string());
    fact("refused as not run", state.router.refused.to_string());
    fact("outcome unknown", state.router.unknown.to_string());
    fact("changes accepted", state.ledger.accepted.to_string());
    fact("changes refused", state.ledger.refused.to_string());
    fact("gossip bytes sent", state.membership.bytes_sent.to_string());
    fact("gossip bytes received", state.membership.bytes_received.to_string());
    fact("reads of the log", state.distribution.log_reads.to_string());
    let servers = servers(state);
    format!("{}\n{servers}", facts.render())
}

fn servers(state: &StateAnswer) -> String {
    let heading = ["SERVER", "SERVICE", "VERSION", "FAILURE DOMAIN", "HOST", "STATE", "SLOTS"];
    let mut table = Table::new(&heading);
    for server in &state.servers {
        table.row(vec![
            server.name.to_string(),
            server.service.to_string(),
            server.version.to_string(),
            server.domain.to_string(),
            server.host.to_string(),
            server.state.to_string(),
            server.slots.to_string(),
        ]);
    }
    table.render()
}
