//! Entry point of `lifthollow-sim`.

fn main() {}
