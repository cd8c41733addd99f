// Package slopes measures the cost of each part of the control plane at several
// sizes, fits a line through the points and computes the cost at the target scale
// of section 1.5 of docs/design.md. docs/CAPACITY.md is written from its output.
//
// Counts, bytes and virtual times depend only on the code. CPU times depend on
// the machine that runs the measurement and are marked "clock" in the output.
package slopes
