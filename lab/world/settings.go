package world

import "cherryramp/rules"

// configSettings returns the settings of a zone's fronts in the platform's
// configuration format (WIRE, the first message).
func (s *Spec) configSettings(zone int) map[string]any {
	x := s.settings(zone)
	type list = []any
	type object = map[string]any
	var writes, parts, fresh, grace, old, grades list
	for _, c := range x.Classes {
		writes, parts, fresh, grace, old = append(writes, c.Write), append(parts, c.Parts), append(fresh, c.Fresh), append(grace, c.Grace), append(old, c.OldWorth)
		effect := "read_like"
		if c.Effect == rules.Unsafe {
			effect = "non_idempotent"
		}
		grade := object{"name": c.Name, "effect": effect, "goal-time-us": c.Aim, "aim-stretch": c.AimStretch,
			"give-up-us": c.GiveUp, "importance": c.Worth, "late-value": c.LateWorth}
		if c.Effect == rules.Keyed {
			grade["effect"], grade["memory-span-us"] = "idempotency_key", c.MemorySpan
		}
		grades = append(grades, grade)
	}
	return object{
		"balancers": x.Gateways, "zone": x.Zone, "zones": s.zones(), "machine-types": serverKinds, "weights": "nominal", "discovery": "pushed",
		"tick-us": x.Tick, "grades": grades,
		"extra": object{"zone-balancers": x.ZoneGates, "hub-by-zone": x.ZoneHub, "upper-kind": x.ParentKind, "store-kind": x.OriginKind,
			"flow-kb-per-s": x.Flow, "direct": x.Direct, "shares-fills": x.Joins, "lateral": "any", "note-level": "all",
			"obey-after-us": x.PurgeGrace, "purge-settles-us": x.PurgeSettle, "parent-cold-from": x.ParentColdFrom,
			"upper-cold-us": x.ParentWarmUp, "parent-limit-factor": x.ParentFallMultiple, "origin-limit-factor": x.OriginFallMultiple,
			"root-fall-us": x.OriginFallTime, "price-of-link": x.Prices.Link, "class-write": writes, "in-parts": parts,
			"max-age-us": fresh, "usable-after-us": grace, "old-copy-worth": old},
		"limits": object{"cancel": x.Cancel, "second-copies": x.Hedges, "retry-after": x.RetryAfter, "max-attempts": x.MaxAttempts,
			"most-held": x.MaxHeld, "max-retry-after-us": x.MaxAway, "connect-timeout-us": x.ConnectTime, "streams-per-conn": streamsPerConn,
			"conn-idle-us": connIdleTimeout},
		"rules": object{"drain-grace-us": x.DrainGrace, "fall-multiple": x.FallMultiple, "fall-us": x.FallTime, "cold-from": x.ColdFrom,
			"warm-up-us": x.WarmUp, "grace-to-answer-us": x.AnswerGrace},
		"penalties": object{"late-fail": x.Prices.LateFail, "origin": x.Prices.Origin, "waste": x.Prices.Waste, "cross-zone": x.Prices.CrossZone},
	}
}
