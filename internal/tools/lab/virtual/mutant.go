package virtual

import "yardwharf"

// mutate breaks what a dispatcher hears of hosts, for tests of the checkers.
func (d *dispatcher) mutate(list []yardwharf.Member) []yardwharf.Member {
	switch d.w.c.mutant {
	case "deaf to drains":
		list = append([]yardwharf.Member(nil), list...)
		for i := range list {
			list[i].State = yardwharf.Ready
		}
	case "deaf to starts":
		list = append([]yardwharf.Member(nil), list...)
		for i := range list {
			list[i].Started = 0
		}
	}
	return list
}
