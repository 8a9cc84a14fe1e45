package tlfleet

import "trefoillanding/core/tlwire"

// The number of ready replicas of a role that must remain after one is removed.
// Two are needed if an engine does not reject old fencing numbers, since a former
// lease holder may remove another replica at the same time.
const (
	minReplicasFenced   = 1
	minReplicasUnfenced = 2
)

// canSpare reports whether the roles that an engine gives up have enough other replicas.
func (v *poolView) canSpare(e *reportedEngine) bool {
	for _, r := range []tlwire.Role{tlwire.RolePrefill, tlwire.RoleDecode} {
		isGivenUp := e.serves(r) && e.declared.Role != r && e.declared.Role != tlwire.RoleBoth
		if isGivenUp && !v.hasEnoughWithout(e, r) {
			return false
		}
	}
	return true
}

// hasEnoughWithout reports whether enough engines of a role other than e are ready
// and, for decode, have enough free memory for what e has in use.
func (v *poolView) hasEnoughWithout(e *reportedEngine, r tlwire.Role) bool {
	others, free := 0, 0
	need := minReplicasFenced
	for _, o := range v.engines {
		if !o.declared.ChecksFencing {
			need = minReplicasUnfenced
		}
		if o == e || !o.serves(r) || !o.isReady() {
			continue
		}
		others++
		free += o.report.PiecesFree
	}
	held := e.report.PiecesTotal - e.report.PiecesFree
	return others >= need && (r == tlwire.RolePrefill || free >= held)
}
