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
	seedCount    = flag.Int("soak.seeds", 4, "number of seeds to run")
	firstSeed    = flag.Uint64("soak.first", 1000, "first seed")
	faultSeconds = flag.Int("soak.seconds", 5, "seconds of faults for each seed")
	entryCount   = flag.Int("soak.entries", 0, "number of processes; 0 for the default")
	keptDir      = flag.String("soak.dir", "", "directory that keeps the logs of the processes; default a temporary one")
)

// regressions maps each seed that once failed to the fault that it found.
var regressions = map[uint64]string{
	6024: "with four model servers, the only one that neither left, rested nor was limited crashed during the recovery",
	7002: "one crash of a server under two equal lookups counted twice, and the lookup was refused from then on",
}

// buildBinary builds the program under test and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "pomeloweir")
	if out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/pomeloweir").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// Guards against requests that run twice, are lost, or get the data of another
// while processes crash, connections break and the store fails.
func TestSoak(t *testing.T) {
	dir := *keptDir
	if dir == "" {
		dir = t.TempDir()
	}
	binary := buildBinary(t)
	runSeed := func(seed uint64) {
		logs := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(logs, 0o755); err != nil {
			t.Fatal(err)
		}
		rep, err := Run(t.Context(), Options{
			Binary:        binary,
			Seed:          seed,
			FaultDuration: time.Duration(*faultSeconds) * time.Second,
			WorkDir:       logs,
			Entries:       *entryCount,
		})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %d sent, %d served, %d refused, %d failed; faults: %q", seed, rep.Sent, rep.Served, rep.Refused, rep.Failed, rep.Faults)
		for _, b := range rep.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		if rep.Served == 0 {
			t.Errorf("seed %d: no request was served", seed)
		}
		if rep.UnservedAfterRecovery > 0 {
			t.Errorf("seed %d: %d requests were refused or failed after recovery", seed, rep.UnservedAfterRecovery)
		}
	}
	for seed := range regressions {
		runSeed(seed)
	}
	for i := range *seedCount {
		runSeed(*firstSeed + uint64(i))
	}
}
