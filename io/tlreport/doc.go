// Package tlreport writes what an experiment measured as a table, CSV and plots.
package tlreport
