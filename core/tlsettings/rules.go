package tlsettings

import (
	"net/netip"
	"time"

	"trefoillanding/core/tlwire"
)

type settings = tlwire.Settings

// rules holds the defaults and ranges of all fields, in the order of the settings file.
var rules = []rule{
	notBlank("Name", func(s *settings) string { return s.Name }),
	notBlank("DataCentre", func(s *settings) string { return s.DataCentre }),
	specificAddress("Listen", func(s *settings) netip.AddrPort { return s.Listen }),
	specificAddress("PeerListen", func(s *settings) netip.AddrPort { return s.PeerListen }),
	distinctListenAddresses(),

	inRange("Platform.AppendsPerSecond", func(s *settings) *float64 { return &s.Platform.AppendsPerSecond }, 50, 0.1, 10_000),
	inRange("Platform.BatchDelay", func(s *settings) *time.Duration { return &s.Platform.BatchDelay }, 2*time.Millisecond, 0, time.Second),
	inRange("Platform.Timeout", func(s *settings) *time.Duration { return &s.Platform.Timeout }, 2*time.Second, 10*time.Millisecond, time.Minute),
	inRange("Platform.ListEvery", func(s *settings) *time.Duration { return &s.Platform.ListEvery }, time.Second, 10*time.Millisecond, time.Minute),
	inRange("Platform.ClaimStreams", func(s *settings) *int { return &s.Platform.ClaimStreams }, 16, 1, 4096),

	inRange("Limits.BodyBytes", func(s *settings) *int64 { return &s.Limits.BodyBytes }, 4<<20, 1, 1<<30),
	inRange("Limits.HeaderBytes", func(s *settings) *int { return &s.Limits.HeaderBytes }, 32<<10, 1<<10, 1<<20),
	inRange("Limits.HeaderTimeout", func(s *settings) *time.Duration { return &s.Limits.HeaderTimeout }, 5*time.Second, 10*time.Millisecond, time.Minute),
	inRange("Limits.BodyTimeout", func(s *settings) *time.Duration { return &s.Limits.BodyTimeout }, 30*time.Second, 10*time.Millisecond, 10*time.Minute),
	inRange("Limits.RequestTimeout", func(s *settings) *time.Duration { return &s.Limits.RequestTimeout }, 10*time.Minute, 10*time.Millisecond, 24*time.Hour),
	inRange("Limits.Concurrent", func(s *settings) *int { return &s.Limits.Concurrent }, 20_000, 1, 1_000_000),
	inRange("Limits.WriteStall", func(s *settings) *time.Duration { return &s.Limits.WriteStall }, 20*time.Second, 10*time.Millisecond, 10*time.Minute),

	inRange("Peers.Heartbeat", func(s *settings) *time.Duration { return &s.Peers.Heartbeat }, time.Second, 10*time.Millisecond, time.Minute),
	inRange("Peers.SuspectAfter", func(s *settings) *time.Duration { return &s.Peers.SuspectAfter }, 3*time.Second, 30*time.Millisecond, 5*time.Minute),
	inRange("Peers.OrphanGrace", func(s *settings) *time.Duration { return &s.Peers.OrphanGrace }, time.Second, 10*time.Millisecond, time.Minute),
	suspectAfterTwoHeartbeats(),

	inRange("Drain.KeepFor", func(s *settings) *time.Duration { return &s.Drain.KeepFor }, 5*time.Second, 10*time.Millisecond, time.Hour),
	inRange("Drain.Timeout", func(s *settings) *time.Duration { return &s.Drain.Timeout }, 0, 0, 24*time.Hour),

	requires("Security.Certificate", certificate, key, "Security.Key"),
	requires("Security.Key", key, certificate, "Security.Certificate"),
	requires("Security.PeerCertificate", peerCertificate, peerKey, "Security.PeerKey"),
	requires("Security.PeerKey", peerKey, peerCertificate, "Security.PeerCertificate"),
	requires("Security.PeerCertificate", peerCertificate, peerAuthority, "Security.PeerAuthority"),
	requires("Security.PeerAuthority", peerAuthority, peerCertificate, "Security.PeerCertificate"),
	eventKeys(),

	inRange("Gateway.KeepLookup", func(s *settings) *time.Duration { return &s.Gateway.KeepLookup }, time.Second, 100*time.Millisecond, time.Minute),
	inRange("Gateway.ListEvery", func(s *settings) *time.Duration { return &s.Gateway.ListEvery }, 400*time.Millisecond, 10*time.Millisecond, time.Minute),
	inRange("Gateway.InstancesEvery", func(s *settings) *time.Duration { return &s.Gateway.InstancesEvery }, 2*time.Second, 10*time.Millisecond, time.Minute),
	inRange("Gateway.Grace", func(s *settings) *time.Duration { return &s.Gateway.Grace }, 8*time.Second, 10*time.Millisecond, time.Hour),
	inRange("Gateway.AcceptFor", func(s *settings) *time.Duration { return &s.Gateway.AcceptFor }, 3*time.Second, 0, time.Hour),
	inRange("Gateway.Lease", func(s *settings) *time.Duration { return &s.Gateway.Lease }, 3*time.Second, 10*time.Millisecond, time.Minute),
	inRange("Gateway.Capacity", func(s *settings) *float64 { return &s.Gateway.Capacity }, 1, 0.01, 1024),
	inRange("Gateway.MemoryBytes", func(s *settings) *int64 { return &s.Gateway.MemoryBytes }, 256<<20, 16<<20, 1<<40),
	inRange("Gateway.Descriptors", func(s *settings) *int { return &s.Gateway.Descriptors }, 0, 0, 1<<24),
	inRange("Gateway.BodyTimeout", func(s *settings) *time.Duration { return &s.Gateway.BodyTimeout }, 10*time.Second, 10*time.Millisecond, 10*time.Minute),
	inRange("Gateway.BodyRate", func(s *settings) *int64 { return &s.Gateway.BodyRate }, 64<<10, 0, 1<<30),
	inRange("Gateway.AnswerStall", func(s *settings) *time.Duration { return &s.Gateway.AnswerStall }, 10*time.Second, 10*time.Millisecond, 10*time.Minute),
	inRange("Gateway.RetryShare", func(s *settings) *float64 { return &s.Gateway.RetryShare }, 0.2, 0, 1),
	inRange("Gateway.RetryBurst", func(s *settings) *float64 { return &s.Gateway.RetryBurst }, 50, 0, 1e6),
	inRange("Gateway.RetryWindow", func(s *settings) *time.Duration { return &s.Gateway.RetryWindow }, 10*time.Second, 100*time.Millisecond, time.Hour),
	inRange("Gateway.StoreWrites", func(s *settings) *float64 { return &s.Gateway.StoreWrites }, 400, 1, 1e6),
	inRange("Gateway.TraceEvery", func(s *settings) *int { return &s.Gateway.TraceEvery }, 16, 1, 1e9),

	oneOf("Log.Level", func(s *settings) *string { return &s.Log.Level }, "info", "debug", "warning", "error"),
	oneOf("Log.Format", func(s *settings) *string { return &s.Log.Format }, "text", "json"),
}

func certificate(s *settings) string     { return s.Security.Certificate }
func key(s *settings) string             { return s.Security.Key }
func peerCertificate(s *settings) string { return s.Security.PeerCertificate }
func peerKey(s *settings) string         { return s.Security.PeerKey }
func peerAuthority(s *settings) string   { return s.Security.PeerAuthority }

func distinctListenAddresses() rule {
	return rule{path: "PeerListen", setDefault: noDefault, check: func(s *settings) string {
		if s.PeerListen.IsValid() && s.PeerListen.Port() != 0 && s.PeerListen == s.Listen {
			return "must differ from Listen"
		}
		return ""
	}}
}

func suspectAfterTwoHeartbeats() rule {
	return rule{path: "Peers.SuspectAfter", setDefault: noDefault, check: func(s *settings) string {
		if s.Peers.SuspectAfter < 2*s.Peers.Heartbeat {
			return "must be at least twice Peers.Heartbeat"
		}
		return ""
	}}
}

// minEventKeyBytes is the minimum length of a key that signs event ids, in bytes.
const minEventKeyBytes = 16

func eventKeys() rule {
	return rule{path: "Security.EventKeys", setDefault: noDefault, check: func(s *settings) string {
		for _, k := range s.Security.EventKeys {
			if len(k) < minEventKeyBytes {
				return "must be keys of at least 16 characters"
			}
		}
		return ""
	}}
}
