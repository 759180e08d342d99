//! Files, standard input and environment of a command.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

use crate::error::Failure;

/// The daemon asked where neither option nor environment names one.
const DEFAULT_DAEMON: &str = "127.0.0.1:7102";

/// Names the daemons to ask, joined by commas.
const DAEMON_VARIABLE: &str = "CYCLAMEN_DAEMON";

/// Holds the token.
const TOKEN_VARIABLE: &str = "CYCLAMEN_TOKEN";

/// Names the file that holds the token.
const TOKEN_FILE_VARIABLE: &str = "CYCLAMEN_TOKEN_FILE";

/// The text of a file; `-` is standard input.
pub fn read_text(path: &Path) -> Result<String, Failure> {
    if path == Path::new("-") {
        return read_stdin();
    }
    let failure = |cause| Failure::File { path: path.into(), cause };
    std::fs::read_to_string(path).map_err(failure)
}

/// All of standard input.
pub fn read_stdin() -> Result<String, Failure> {
    let mut text = String::new();
    let failure = |cause| Failure::File { path: "-".into(), cause };
    std::io::stdin().read_to_string(&mut text).map_err(failure)?;
    Ok(text)
}

/// The daemons to ask, from the options or else the environment.
pub fn daemons(options: &[String]) -> Result<Vec<SocketAddr>, Failure> {
    let named = match options {
        [] => std::env::var(DAEMON_VARIABLE).unwrap_or_else(|_| DEFAULT_DAEMON.into()),
        some => some.join(","),
    };
    let mut daemons = Vec::new();
    for text in named.split(',') {
        let text = text.trim();
        let parsed = text.parse().map_err(|_| {
            Failure::Usage(format!("`{text}` is no daemon: write IP:PORT, as in {DEFAULT_DAEMON}"))
        })?;
        daemons.push(parsed);
    }
    Ok(daemons)
}

/// The token, from the file named or else the environment.
pub fn token(file: Option<&Path>) -> Result<Option<String>, Failure> {
    if let Some(path) = file {
        return read_text(path).map(|text| Some(text.trim().into()));
    }
    if let Ok(token) = std::env::var(TOKEN_VARIABLE) {
        return Ok(Some(token.trim().into()));
    }
    match std::env::var_os(TOKEN_FILE_VARIABLE) {
        Some(path) => read_text(Path::new(&path)).map(|text| Some(text.trim().into())),
        None => Ok(None),
    }
}
