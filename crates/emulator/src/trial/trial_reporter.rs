use std::time::Instant;

/// Prints the steps of a trial with the time that each took.
#[derive(Debug)]
pub(crate) struct TrialReporter {
    step: u32,
    step_at: Instant,
}

impl TrialReporter {
    pub(crate) fn new() -> Self {
        Self {
            step: 0,
            step_at: Instant::now(),
        }
    }

    /// Starts a step and prints what it is about to do.
    pub(crate) fn begin(&mut self, text: &str) {
        self.step += 1;
        self.step_at = Instant::now();
        println!("{}. {text}", self.step);
    }

    /// Prints a finding of the current step.
    pub(crate) fn note(&self, text: &str) {
        for line in text.lines() {
            println!("   {line}");
        }
    }

    /// Prints a finding of the current step with the time since its start.
    pub(crate) fn note_timed(&self, text: &str) {
        println!("   {text} after {} ms", self.step_at.elapsed().as_millis());
    }
}
