use std::time::Instant;

/// Prints the steps of a trial with their elapsed times.
#[derive(Debug)]
pub(crate) struct TrialReporter {
    step_number: u32,
    step_started_at: Instant,
}

impl TrialReporter {
    pub(crate) fn new() -> Self {
        Self {
            step_number: 0,
            step_started_at: Instant::now(),
        }
    }

    /// Starts a step and prints its description.
    pub(crate) fn begin_step(&mut self, text: &str) {
        self.step_number += 1;
        self.step_started_at = Instant::now();
        println!("{}. {text}", self.step_number);
    }

    /// Prints a result of the current step.
    pub(crate) fn print(&self, text: &str) {
        for line in text.lines() {
            println!("   {line}");
        }
    }

    /// Prints a result of the current step with the time since the step started.
    pub(crate) fn print_elapsed(&self, text: &str) {
        println!(
            "   {text} after {} ms",
            self.step_started_at.elapsed().as_millis()
        );
    }
}
