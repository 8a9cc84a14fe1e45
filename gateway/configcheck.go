package gateway

import (
	"trefoillanding/core/tlconfigcheck"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlgateway"
	"trefoillanding/platform"
)

// CheckConfig checks a configuration as instances decode it, and compares it with another
// version unless that is nil. The settings and the number of instances tell which retries
// can be paid. The error says why the other version can't be decoded.
func CheckConfig(data, against []byte, s tlwire.GatewaySettings, instances int) (tlconfigcheck.Report, error) {
	r := tlconfigcheck.Report{Findings: []tlconfigcheck.Finding{}, Differences: []tlconfigcheck.Difference{}}
	t, ignored, err := platform.DecodeConfig(data)
	if err != nil {
		r.Findings = append(r.Findings, tlconfigcheck.RejectedBy(err))
	} else {
		r.Version = t.Version
		o := tlconfigcheck.Options{SavedRetries: retryAllowance(s).Saved(instances)}
		r.Findings = append(r.Findings, tlconfigcheck.Check(t, ignored, o)...)
	}
	if against == nil {
		return r, nil
	}
	other, _, err := platform.DecodeConfig(against)
	if err != nil || t == nil {
		return r, err
	}
	r.CompareWith(t, other)
	return r, nil
}

// retryAllowance returns the retries that all instances together may send to a service.
func retryAllowance(s tlwire.GatewaySettings) tlgateway.RetryAllowance {
	return tlgateway.RetryAllowance{
		Share:  retryBudgetFraction * s.RetryShare,
		Burst:  retryBudgetFraction * s.RetryBurst,
		Window: s.RetryWindow,
	}
}
