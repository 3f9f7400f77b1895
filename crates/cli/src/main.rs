//! .

fn main() {}
