package lead

import "flag"

var simSeeds = flag.Int("play.seeds", 12, "number of seeds that TestSimulation runs")
