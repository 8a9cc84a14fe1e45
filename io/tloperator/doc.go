// Package tloperator serves the operator API below /v1/operator/.
package tloperator
