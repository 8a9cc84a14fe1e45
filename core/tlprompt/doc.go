// Package tlprompt measures prompts as the engines do: in tokens and in chained
// blocks of the prefix cache.
package tlprompt
