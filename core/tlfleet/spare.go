package tlfleet

import "trefoillanding/core/tlwire"

// The replicas of a role that must remain when one is taken away. Where an
// engine does not refuse old fencing numbers, a former holder of the lease may
// be taking another one away at the same moment.
const (
	remainFenced   = 1
	remainUnfenced = 2
)

// canSpare says whether the roles that an engine gives up can do without it.
func (v *view) canSpare(e *engine) bool {
	for _, r := range []tlwire.Role{tlwire.RolePrefill, tlwire.RoleDecode} {
		isGivenUp := e.serves(r) && e.declared.Role != r && e.declared.Role != tlwire.RoleBoth
		if isGivenUp && !v.remains(e, r) {
			return false
		}
	}
	return true
}

// remains says whether enough other engines of a role are ready, and whether
// those have room for the decode memory that e holds.
func (v *view) remains(e *engine, r tlwire.Role) bool {
	others, free := 0, 0
	need := remainFenced
	for _, o := range v.engines {
		if !o.declared.ChecksFencing {
			need = remainUnfenced
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
