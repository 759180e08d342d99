//! Faults of a settings file.

use std::fmt;

use derive_more::Display;
use thiserror::Error;

/// One fault of a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{place}: {problem}: {remedy}")]
pub struct SettingsFault {
    /// Where it is, as `section.key` or `section[index].key`.
    pub place: String,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

/// Every fault of a settings file, in the order of the sections.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct SettingsFaults(pub Vec<SettingsFault>);

impl fmt::Display for SettingsFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.0.len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(f, "the settings have {count} {noun}")?;
        for fault in &self.0 {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}
