// Package tlprompt measures prompts the way engines do: in tokens and in
// chained blocks of the prefix cache.
package tlprompt
