package pwfleet

import "github.com/pomeloweir/pomeloweir/internal/fake/pwscript"

func init() { pwscript.FixSeed() }
