//! Admission, choice of backend server, retries and at-most-once.
