package pwsoak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	seeds   = flag.Int("soak.seeds", 1, "number of seeds to play")
	first   = flag.Uint64("soak.first", 1, "first seed")
	seconds = flag.Int("soak.seconds", 5, "seconds of faults for each seed")
	keep    = flag.String("soak.dir", "", "directory that keeps the logs of the processes")
)

// regressions are seeds that failed once, with what was wrong.
var regressions = map[uint64]string{}

func TestSoak(t *testing.T) {
	dir := *keep
	if dir == "" {
		dir = t.TempDir()
	}
	binary := filepath.Join(t.TempDir(), "pomeloweir")
	if out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/pomeloweir").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	play := func(seed uint64) {
		logs := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(logs, 0o755); err != nil {
			t.Fatal(err)
		}
		rep, err := Run(t.Context(), Options{
			Binary: binary,
			Seed:   seed,
			Time:   time.Duration(*seconds) * time.Second,
			Dir:    logs,
		})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %d asked, %d served, %d refused, %d failed; faults: %q", seed, rep.Asked, rep.Served, rep.Refused, rep.Failed, rep.Faults)
		for _, b := range rep.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		if rep.Served == 0 {
			t.Errorf("seed %d: nothing was served", seed)
		}
		if rep.SoundBad > 0 {
			t.Errorf("seed %d: %d requests were not served when all was sound again", seed, rep.SoundBad)
		}
	}
	for seed := range regressions {
		play(seed)
	}
	for i := range *seeds {
		play(*first + uint64(i))
	}
}
