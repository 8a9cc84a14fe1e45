package trefoillanding

import "embed"

// Examples holds the deployments of the brief as declarative files and settings.
//
//go:embed examples/yengec/*.yaml examples/sprue/*.yaml
var Examples embed.FS
