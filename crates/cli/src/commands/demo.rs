//! `cyclamen demo`: a good and a bad move under load, in this process.

use argh::FromArgs;
use cyclamen_lab::Deployment;
use cyclamen_lab::demo::{self, DemoOptions, Summary};
use tokio::runtime::Builder;

use super::Cx;
use crate::error::Failure;
use crate::output;
use crate::status::Status;

/// Show a good move that ends done and a bad one that is taken back, under load, in one process.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// served system: spolek or quillfield
    #[argh(option, default = "String::from(\"spolek\")")]
    deployment: String,
    /// seed of all randomness
    #[argh(option, default = "1")]
    seed: u64,
}

impl Demo {
    pub(super) async fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let Some(deployment) = Deployment::named(&self.deployment) else {
            let message = format!("no deployment `{}`: use spolek or quillfield", self.deployment);
            return Err(Failure::Usage(message));
        };
        let options = DemoOptions { deployment, seed: self.seed };
        let summary = play(options).await.map_err(|err| Failure::Demo(format!("{err:#}")))?;
        if cx.json {
            output::print_json(&summary)?;
        } else {
            summary.print();
        }
        Ok(if summary.good() { Status::Done } else { Status::Failed })
    }
}

/// Runs the demonstration on a runtime with several threads of its own.
async fn play(options: DemoOptions) -> anyhow::Result<Summary> {
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    tokio::task::spawn_blocking(move || {
        let summary = runtime.block_on(demo::run(options));
        runtime.shutdown_background();
        summary
    })
    .await?
}
