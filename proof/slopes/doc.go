// Package slopes measures what each part of the control plane costs at several
// sizes, fits a line through the points and works the cost out at the target of
// section 1.5 of docs/design.md. docs/CAPACITY.md is written from its output.
//
// Counts, bytes and virtual times depend only on the code. Processor times are
// those of the machine that runs the measurement and carry the mark "clock".
package slopes
