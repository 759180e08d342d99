//! `cyclamen order`: orders a move by hand.

use std::time::Duration;

use argh::{FromArgValue, FromArgs};
use cyclamen_daemon::admin::api::{ChangeAnswer, OrderBody, OrderKind, OutcomeKind};

use super::{Cx, publish};
use crate::client::Ask;
use crate::error::Failure;
use crate::status::Status;

/// Wait for the outcome.
const ORDER_WAIT: Duration = Duration::from_secs(5);

/// Order a move to pause, resume, hasten or be taken back.
#[derive(FromArgs)]
#[argh(subcommand, name = "order")]
pub struct Order {
    /// the move
    #[argh(positional)]
    name: String,
    /// pause, resume, hasten or take-back
    #[argh(positional)]
    order: OrderArg,
}

struct OrderArg(OrderKind);

impl FromArgValue for OrderArg {
    fn from_arg_value(text: &str) -> Result<Self, String> {
        let order = match text {
            "pause" => OrderKind::Pause,
            "resume" => OrderKind::Resume,
            "hasten" => OrderKind::Hasten,
            "take-back" => OrderKind::TakeBack,
            _ => return Err("write pause, resume, hasten or take-back".into()),
        };
        Ok(Self(order))
    }
}

impl Order {
    pub(super) async fn run(self, cx: &Cx) -> Result<Status, Failure> {
        let body = serde_json::to_vec(&OrderBody { order: self.order.0 })
            .map_err(|error| Failure::Answer(format!("the order is no JSON ({error})")))?;
        let path = format!("/v1/moves/{}/orders?wait_ms={}", self.name, ORDER_WAIT.as_millis());
        let ask = Ask::post(path, body).waiting(ORDER_WAIT);
        let answer: ChangeAnswer = cx.client()?.ask(&ask).await?;
        publish::report(cx, &answer)?;
        match answer.outcome {
            OutcomeKind::Accepted | OutcomeKind::Checked => Ok(Status::Done),
            OutcomeKind::Refused => Ok(Status::Refused),
            OutcomeKind::Pending => Ok(Status::Pending),
        }
    }
}
