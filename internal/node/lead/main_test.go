package lead

import "flag"

var playSeeds = flag.Int("play.seeds", 12, "number of seeds that TestPlay runs")
