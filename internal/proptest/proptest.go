package proptest

import "flag"

const seed = "20261202"

// FixSeed fixes the seed of the property tests, unless a seed is given on the command line.
func FixSeed() {
	flag.Parse()
	setUnlessGiven("rapid.seed", seed)
	_ = flag.Set("rapid.nofailfile", "true")
}

// SetChecks sets how many cases of each property are drawn, unless a number is given on the command line.
func SetChecks(count string) { setUnlessGiven("rapid.checks", count) }

func setUnlessGiven(name, value string) {
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
	if !isSet {
		_ = flag.Set(name, value)
	}
}
