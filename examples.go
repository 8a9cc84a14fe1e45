package trefoillanding

import "embed"

// Examples holds the declarative files and settings of the deployments described in the brief.
//
//go:embed examples/yengec/*.yaml examples/sprue/*.yaml
var Examples embed.FS
