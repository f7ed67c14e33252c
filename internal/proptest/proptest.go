package proptest

import "flag"

const seed = "20261202"

// FixSeed has the property tests draw the same values each time, unless a seed is given on the command line.
func FixSeed() {
	flag.Parse()
	setUnlessGiven("rapid.seed", seed)
	_ = flag.Set("rapid.nofailfile", "true")
}

// SetChecks sets how many times each property is drawn, unless that is given on the command line.
func SetChecks(count string) { setUnlessGiven("rapid.checks", count) }

func setUnlessGiven(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}
