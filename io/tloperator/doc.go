// Package tloperator serves the operators' calls below /v1/operator/.
package tloperator
