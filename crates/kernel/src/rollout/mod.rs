//! Version moves: the curve, the evidence, and the state machine.
