package logic_test

import (
	"fmt"
	"time"

	"bramblefall/logic"
)

// The caller passes each event to the gateway with the time, and carries out the actions in order.
func Example() {
	g := logic.New(logic.Settings{
		Gateways: 1, MaxAttempts: 3, Cancelling: true,
		Classes: []logic.Class{{Aim: 500 * time.Millisecond, Deadline: time.Second, Worth: 1}},
		Plans:   []logic.Plan{{Rate: 5, Burst: 1, Price: 1, OverCost: 1}},
	}, 42)
	now := 10 * time.Second
	show := func(ev logic.Event) {
		for _, a := range g.Handle(now, ev) {
			switch a := a.(type) {
			case logic.Send:
				fmt.Printf("%v: send request %d to server %d\n", now, a.ID, a.Server)
			case logic.Refuse:
				fmt.Printf("%v: refuse request %d\n", now, a.ID)
			}
		}
	}
	show(logic.ServerList{Complete: true, Servers: []logic.Server{{ID: 7, Weight: 1, State: logic.Ready}}})
	for id := uint64(1); id <= 4; id++ {
		show(logic.Request{ID: id, Customer: 99, TTL: time.Second, Units: 1, Spread: 1})
	}
	now += 210 * time.Millisecond
	show(logic.Timer{Token: 0}) // the gateway's own tick, from the timer that it sets
	// Output:
	// 10s: send request 1 to server 7
	// 10s: refuse request 4
	// 10.21s: send request 2 to server 7
}
