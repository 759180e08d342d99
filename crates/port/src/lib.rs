//! What the daemon needs of the platform that it runs on, as plain types. An adapter fills them
//! in; nothing here knows how the platform spells or sends them.

mod headers;
mod stored;

pub use headers::CallHeaders;
pub use stored::{
    CallerLimits, MoveState, RecordedMove, StoredConfig, StoredEmptying, StoredMember, StoredOrder,
};
