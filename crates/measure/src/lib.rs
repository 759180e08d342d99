//! The measurements behind docs/.
