package lru

import "testing"

func TestList(t *testing.T) {
	type thing struct{ spot Spot[thing] }
	var l List[thing]
	things := make([]thing, 3)
	for i := range things {
		l.Remove(&things[i].spot) // in no list yet
		l.Add(&things[i].spot, &things[i])
	}
	l.Remove(&things[1].spot)
	l.Remove(&things[1].spot)
	for _, want := range []*thing{&things[0], &things[2], nil} {
		got := l.Oldest()
		if got != want {
			t.Fatalf("oldest is %p, want %p", got, want)
		}
		if got != nil {
			l.Remove(&got.spot)
		}
	}
}
