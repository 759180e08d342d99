//! Writes the committed border types from their schema.

fn main() {}
