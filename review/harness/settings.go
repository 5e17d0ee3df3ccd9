package harness

import "encoding/json"

// Settings returns settings of a small deployment as nested JSON values, with every key
// of the example in WIRE-cherryramp.md. Zones 0 and 1 are hubs, zone 2 has the front.
func Settings() map[string]any {
	const text = `{
"balancers":1,"rank":0,"clients":{"marks-retry":true},"discovery":"pushed","domain-type":"edge",
"extra":{"class-write":[false,false,true],"direct":true,"flow-kb-per-s":5600.0,"hub-by-zone":[0,1,0],"in-parts":[true,false,false],
 "inlet-kb-per-s":[0,0,0],"lateral":"any","max-age-us":[0,8000000,0],"note-level":"all","obey-after-us":300000,
 "old-copy-worth":[0.7,0.7,0.7],"origin-limit-factor":2.5,"parent-cold-from":0.067,"parent-limit-factor":2.0,"price-of-link":0.02,
 "purge-settles-us":6000000,"report-x0":"share_of_hits","report-x1":"link","root-fall-us":3000000,"shares-fills":false,
 "store-kind":2,"upper-cold-us":20000000,"upper-kind":1,"usable-after-us":[0,10000000,0],"zone-balancers":[0,0,1]},
"goal":{"whole":0.6,"worst-class":0.2,"worst-tenant":0.0,"worst-window":0.2},
"grades":[
 {"name":"guide-video","aim-stretch":2.0,"dedup-scope":"all","effect":"read_like","give-up-us":5000000,"goal-time-us":600000,"importance":2.0,"late-value":0.15,"memory-span-us":5000000,"stream":false},
 {"name":"page-asset","aim-stretch":2.0,"dedup-scope":"all","effect":"read_like","give-up-us":3000000,"goal-time-us":250000,"importance":1.0,"late-value":0.2,"memory-span-us":5000000,"stream":false},
 {"name":"payout-confirm","dedup-scope":"all","effect":"non_idempotent","give-up-us":3000000,"goal-time-us":600000,"importance":3.0,"late-value":0.0,"memory-span-us":5000000,"stream":false}],
"layers":["branch-cache"],
"limits":{"cancel":true,"conn-idle-us":15000000,"connect-timeout-us":400000,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,
 "max-attempts":6,"max-retry-after-us":500000,"most-held":20000,"peers":false,"probes":false,"retry-after":true,"second-copies":true,"streams-per-conn":32},
"machine-types":["small-box","parent","origin"],
"over-share-worth":0.1,
"penalties":{"connection":0.0,"cross-zone":0.01,"discovery":0.0,"handshake":0.0,"late-fail":0.03,"moves":0.0,"origin":0.25,"peer":0.0,"probe":0.0,"waste":0.22},
"projects":[],
"report":{"fields":["util","x0","x1"],"source":"inline"},
"rules":{"cold-from":0.28,"drain-grace-us":500000,"fall-multiple":2.0,"fall-us":1000000,"grace-to-answer-us":8000,"must-ask-in-us":10000000,"warm-up-us":15000000},
"tick-us":2000,"tier":0,"weights":"rough","worth-by":"request","zone":2,"zones":["north-hub","delta-hub","edge-1"]}`
	var s map[string]any
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	return s
}
