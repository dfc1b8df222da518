//! Entry point of `lifthollowctl`.

fn main() {}
