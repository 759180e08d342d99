//! `cyclamen token`: the hash of a token, for the settings of the daemons.

use argh::FromArgs;
use cyclamen_daemon::TokenHash;
use serde::Serialize;

use super::Cx;
use crate::error::Failure;
use crate::input;
use crate::output;
use crate::status::Status;

/// Print the hash of a token read from standard input, for the daemons' settings.
#[derive(FromArgs)]
#[argh(subcommand, name = "token")]
pub struct Token {}

#[derive(Serialize)]
struct HashAnswer {
    hash: String,
}

impl Token {
    pub(super) fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let text = input::read_stdin()?;
        let token = text.trim();
        if token.is_empty() {
            let message = "no token on standard input: `printf '%s' TOKEN | cyclamen token`";
            return Err(Failure::Usage(message.into()));
        }
        let hash = TokenHash::of(token).to_hex();
        if cx.json {
            output::print_json(&HashAnswer { hash })?;
        } else {
            output::print_text(&format!("{hash}\n"))?;
        }
        Ok(Status::Done)
    }
}
