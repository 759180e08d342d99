//! The subcommands.

mod blocked;
mod check;
mod demo;
mod explain;
mod get;
mod members;
mod moves;
mod order;
mod publish;
mod state;
mod token;
mod verdict;

use std::path::PathBuf;

use argh::FromArgs;

use crate::client::Client;
use crate::error::Failure;
use crate::input;
use crate::status::Status;

/// Publish configuration to the mesh and read back verdicts.
#[derive(FromArgs)]
pub struct Cli {
    /// daemon to ask, as IP:PORT of its administration API; may be given several times, and then
    /// they are tried in turn (or CYCLAMEN_DAEMON, joined by commas)
    #[argh(option)]
    daemon: Vec<String>,
    /// file that holds the token (or CYCLAMEN_TOKEN, CYCLAMEN_TOKEN_FILE)
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON in place of tables
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Publish(publish::Publish),
    Check(check::Check),
    Demo(demo::Demo),
    Explain(explain::Explain),
    Get(get::Get),
    Moves(moves::Moves),
    Verdict(verdict::Verdict),
    State(state::State),
    Members(members::Members),
    Blocked(blocked::Blocked),
    Unblock(blocked::Unblock),
    Order(order::Order),
    Token(token::Token),
}

/// What a subcommand runs with.
pub(crate) struct Cx {
    pub(crate) json: bool,
    daemon: Vec<String>,
    token_file: Option<PathBuf>,
}

impl Cx {
    /// A client of the daemons that the operator names.
    pub(crate) fn client(&self) -> Result<Client, Failure> {
        let daemons = input::daemons(&self.daemon)?;
        Ok(Client::new(daemons, input::token(self.token_file.as_deref())?))
    }
}

impl Cli {
    /// Runs the subcommand.
    pub(crate) async fn run(self) -> Result<Status, Failure> {
        let cx = Cx { json: self.json, daemon: self.daemon, token_file: self.token_file };
        match self.command {
            Command::Publish(args) => args.run(&cx).await,
            Command::Check(args) => args.run(&cx),
            Command::Demo(args) => args.run(&cx).await,
            Command::Explain(args) => args.run(&cx),
            Command::Get(args) => args.run(&cx).await,
            Command::Moves(args) => args.run(&cx).await,
            Command::Verdict(args) => args.run(&cx).await,
            Command::State(args) => args.run(&cx).await,
            Command::Members(args) => args.run(&cx).await,
            Command::Blocked(args) => args.run(&cx).await,
            Command::Unblock(args) => args.run(&cx).await,
            Command::Order(args) => args.run(&cx).await,
            Command::Token(args) => args.run(&cx),
        }
    }
}
