//! Faults of a settings file: what is wrong, where, and how to correct it.

use std::fmt;

use derive_more::Display;
use thiserror::Error;

/// One fault of a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{place}: {problem}: {remedy}")]
pub struct SettingsFault {
    /// Path of the faulty value, as `section.key` or `section[index].key`; the name of the file if
    /// it cannot be read or parsed; `the file` if its root is not a mapping.
    pub place: String,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

/// Every fault of a settings file, in the order in which its sections are checked.
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
