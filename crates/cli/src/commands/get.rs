//! `cyclamen get`: lists declarations, or shows one.

use argh::FromArgs;
use cyclamen_daemon::admin::api::{DeclarationAnswer, DeclarationList};
use serde::Serialize;

use super::Cx;
use crate::client::Ask;
use crate::error::Failure;
use crate::output::{self, Table};
use crate::status::Status;

/// List the declarations in force, or show one.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// kind (service, version, route, policy or move), then name; that of a version is
    /// SERVICE/VERSION
    #[argh(positional, arg_name = "kind-and-name")]
    what: Vec<String>,
}

impl Get {
    pub(super) async fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let client = cx.client()?;
        let kind = match self.what.as_slice() {
            [] => None,
            [kind] => Some(kind),
            [kind, name] => {
                let path = format!("/v1/declarations/{kind}/{}", name.replace('/', "%2F"));
                show(cx, &client.ask(&Ask::get(path)).await?)?;
                return Ok(Status::Done);
            }
            _ => return Err(Failure::Usage("give a kind and a name at most".into())),
        };
        let mut list: DeclarationList = client.ask(&Ask::get("/v1/declarations")).await?;
        list.declarations
            .retain(|declaration| kind.is_none_or(|kind| *kind == declaration.kind.to_string()));
        show_list(cx, &list)?;
        Ok(Status::Done)
    }
}

fn show(cx: &Cx, answer: &DeclarationAnswer) -> Result<(), Failure> {
    if cx.json {
        return output::print_json(answer);
    }
    let file = ChangeFile { declarations: vec![&answer.body] };
    let text = serde_yaml_ng::to_string(&file)
        .map_err(|error| Failure::Answer(format!("the body is no YAML ({error})")))?;
    let summary = &answer.summary;
    output::print_text(&format!("# team {}, offset {}\n{text}", summary.team, summary.offset))
}

/// A declaration as a file that can be edited and published.
#[derive(Serialize)]
struct ChangeFile<'a> {
    declarations: Vec<&'a serde_json::Value>,
}

fn show_list(cx: &Cx, list: &DeclarationList) -> Result<(), Failure> {
    if cx.json {
        return output::print_json(list);
    }
    let mut table = Table::new(&["KIND", "NAME", "TEAM", "OFFSET"]);
    for declaration in &list.declarations {
        table.row(vec![
            declaration.kind.to_string(),
            declaration.name.clone(),
            declaration.team.clone(),
            declaration.offset.to_string(),
        ]);
    }
    output::print_text(&table.render())
}
