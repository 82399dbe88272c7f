//! Drives the reducers in virtual time and measures goodput by tier and wasted prefill.
