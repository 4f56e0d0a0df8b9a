package rattanrendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func names(count int) []string {
	var list []string
	for i := range count {
		list = append(list, fmt.Sprintf("vm-%d", i))
	}
	return list
}

// TestTopIsStable guards against a choice that depends on the order of the names, and
// against one that changes more than it must when a name goes.
func TestTopIsStable(t *testing.T) {
	for key := range 20 {
		all := names(50)
		top := Top(all, fmt.Sprint(key), 3)
		slices.Reverse(all)
		if again := Top(all, fmt.Sprint(key), 3); !slices.Equal(top, again) {
			t.Fatalf("the choice depends on the order: %q and %q", top, again)
		}
		rest := slices.DeleteFunc(all, func(name string) bool { return name == top[0] })
		if next := Top(rest, fmt.Sprint(key), 2); !slices.Equal(next, top[1:]) {
			t.Errorf("without %s the choice is %q, want %q first", top[0], next, top[1:])
		}
	}
	if got := Top(names(2), "key", 3); len(got) != 2 {
		t.Errorf("got %q of two names", got)
	}
}

// TestChoicesAreSpread guards against a name that is chosen for most keys.
func TestChoicesAreSpread(t *testing.T) {
	chosen := make(map[string]int)
	for key := range 1000 {
		chosen[Top(names(10), fmt.Sprint(key), 1)[0]]++
	}
	for name, count := range chosen {
		if count < 50 || count > 200 {
			t.Errorf("%s is chosen for %d of 1000 keys", name, count)
		}
	}
}
