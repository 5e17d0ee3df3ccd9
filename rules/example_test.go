package rules_test

import (
	"fmt"

	"cherryramp/rules"
)

// A host makes a router, passes it the server list and each request, and
// carries out the actions that come back.
func Example() {
	router, err := rules.New(rules.Settings{
		Classes: []rules.Class{{
			Name: "media", Aim: 500_000, AimStretch: 2, GiveUp: 5_000_000, Worth: 1,
		}},
		Gateways: 1, ParentKind: 1, OriginKind: 2, MaxAttempts: 3, Weights: rules.WeightsNominal,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	router.Step(1_000_000, []rules.Event{rules.Members{Full: true, List: []rules.Member{
		{ID: 10, Kind: 0, State: rules.Ready, Weight: 8},
		{ID: 20, Kind: 1, State: rules.Ready, Weight: 16},
		{ID: 30, Kind: 2, State: rules.Ready, Weight: 4},
	}}})
	for _, action := range router.Step(1_002_000, []rules.Event{
		rules.Request{ID: 7, Object: 99, Expires: 2_000_000},
	}) {
		if get, ok := action.(rules.Get); ok {
			fmt.Println("request", get.ID, "to cache", get.Server, "filled by parent", get.Source)
		}
	}
	// Output: request 7 to cache 10 filled by parent 20
}
