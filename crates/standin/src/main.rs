//! Entry point of `lifthollow-standin`.

fn main() {}
