// Package chiveproof holds end-to-end tests of the guarantees that the system
// gives under faults. The scripts in testdata/script run the real programs and
// inject faults into them.
package chiveproof
