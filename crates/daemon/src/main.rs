//! Entry point of `lifthollowd`.

fn main() {}
