// Package tlreport writes the results of an experiment as a table, CSV and plots.
package tlreport
