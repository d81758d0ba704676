package peers

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/sock"
)

// What is framed comes out as it went in, and nothing comes of a frame in which a bit
// was turned or that was cut.
func TestFrame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := rapid.SliceOfN(rapid.Byte(), 0, Room).Draw(t, "message")
		at := rapid.Uint32().Draw(t, "tick")
		kind := Kind(rapid.IntRange(0, 15).Draw(t, "kind"))
		frame := appendFrame(nil, kind, at, message)
		if k, tick, m, why := readFrame(frame); k != kind || tick != at || !bytes.Equal(m, message) || why != "" || len(frame) > Most {
			t.Fatalf("%d bytes came back as kind %d, tick %d, %d bytes (%s)", len(message), k, tick, len(m), why)
		}
		if _, _, _, why := readFrame(frame[:rapid.IntRange(0, len(frame)-1).Draw(t, "cut")]); why == "" && len(message) > 0 {
			t.Fatal("a cut frame was read")
		}
		bit := rapid.IntRange(0, 8*len(frame)-1).Draw(t, "bit")
		frame[bit/8] ^= 1 << (bit % 8)
		if _, _, _, why := readFrame(frame); why == "" {
			t.Fatal("a damaged frame was read")
		}
	})
}

// Messages reach the peer, each once and no older than the last; strangers, own ones,
// other kinds and long ones do not, and after a silence a clock may begin anew.
func TestLink(t *testing.T) {
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	at := func(host byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, 3, host}), 7946)
	}
	var got []string
	addresses := Addresses{Peers: []netip.AddrPort{at(1), at(2), at(3)}}
	links := make([]*Link, 3)
	for i := range links {
		to := addresses
		to.Me, to.Listen = i, to.Peers[i]
		if links[i], err = Open(l, zerolog.Nop(), to, func(from int, kind Kind, m []byte) {
			got = append(got, string([]byte{'0' + byte(i), '<', '0' + byte(from), ':', '0' + byte(kind), ':'})+string(m))
		}); err != nil {
			t.Fatal(err)
		}
		defer links[i].Close()
	}
	play := func(what string, want ...string) {
		t.Helper()
		got = nil
		var timer loop.Timer
		timer.Task = loop.Func(l.Stop)
		l.Set(&timer, l.Now()+20*time.Millisecond)
		if err := l.Run(); err != nil {
			t.Fatal(err)
		}
		if len(got) != len(want) {
			t.Fatalf("%s: heard %q, want %q", what, got, want)
		}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("%s: heard %q, want %q", what, got, want)
			}
		}
	}
	links[0].Tell(Counts, []byte("a"))
	play("a message", "1<0:0:a", "2<0:0:a")
	links[0].Tell(Counts, make([]byte, Room+1))
	play("one that is too long")
	links[0].Tell(15, []byte("a"))
	play("one of a kind that is not known")
	stranger, err := sock.Datagrams(at(9))
	if err != nil {
		t.Fatal(err)
	}
	defer sock.Close(stranger)
	sock.SendTo(stranger, appendFrame(nil, Counts, 1<<31, []byte("s")), at(2))
	play("a stranger's")
	now := uint32(l.Now() / tick)
	links[0].out = appendFrame(nil, Counts, now+1000, []byte("new"))
	links[0].send(at(2))
	links[0].send(at(2)) // doubled: says the same
	links[0].out = appendFrame(nil, Counts, now+900, []byte("old"))
	links[0].send(at(2))
	links[0].out = appendFrame(nil, Leaving, now+900, []byte("old"))
	links[0].send(at(2))
	play("late ones", "1<0:0:new", "1<0:0:new", "1<0:1:old")
	links[1].last[0].at[Counts] -= lapse
	links[0].out = appendFrame(nil, Counts, 7, []byte("anew"))
	links[0].send(at(2))
	play("a clock that was set back", "1<0:0:anew")
	to := addresses
	to.Me, to.All = 0, at(3)
	links[0].Set(to)
	links[0].Tell(Counts, []byte("all"))
	play("by the address of all", "2<0:0:all")
}
