//! Checked names: shared immutable strings of a restricted alphabet.

use std::borrow::Borrow;
use std::sync::Arc;

use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Why a text is not a name. The message says what to write instead.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text has no characters.
    #[error("the name is empty: give it 1 to {MAX_NAME_BYTES} characters")]
    Empty,
    /// The text is longer than a name may be.
    #[error("`{0}` is longer than {MAX_NAME_BYTES} characters: shorten it")]
    TooLong(String),
    /// The text has a character that names do not have.
    #[error(
        "`{text}` has the character {found:?}: use lower-case letters, digits, `-`, `.` and `_`"
    )]
    Character {
        /// The whole text.
        text: String,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text starts or ends with a mark.
    #[error("`{0}` starts or ends with a mark: start and end with a letter or a digit")]
    Edge(String),
}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.chars().take(MAX_NAME_BYTES).collect()));
    }
    for found in text.chars() {
        if found.is_ascii_lowercase() || found.is_ascii_digit() || "-._".contains(found) {
            continue;
        }
        return Err(NameError::Character { text: text.into(), found });
    }
    let edge = |c: char| "-._".contains(c);
    if text.starts_with(edge) || text.ends_with(edge) {
        return Err(NameError::Edge(text.into()));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        #[as_ref(str)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::try_from(text.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::try_from(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().into()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name!(
    /// Names one publication of declarations; an append retried with the same id counts once.
    ChangeId
);
name!(
    /// Names a part of the fleet that fails, or is cut off, as a whole.
    FailureDomain
);
name!(
    /// Names one daemon and the instance it runs on.
    InstanceName
);
name!(
    /// Names a move of traffic between two versions of a service.
    MoveName
);
name!(
    /// Names a policy: limits and timeouts attached to services by selector.
    PolicyName
);
name!(
    /// Names a region: failure domains near each other.
    RegionName
);
name!(
    /// Names a client account: who pays for calls, whatever key they carry.
    AccountName
);
name!(
    /// Names a route.
    RouteName
);
name!(
    /// Names one backend server.
    ServerName
);
name!(
    /// Names a service.
    ServiceName
);
name!(
    /// Names a team of operators; a declaration belongs to one team.
    TeamName
);
name!(
    /// Names a version of a service's backend servers.
    VersionName
);
