//! The cost of one decision at the stated size.

fn main() {}
