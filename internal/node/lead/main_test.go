package lead

import "flag"

var playSeeds = flag.Int("play.seeds", 12, "seeds that TestPlay plays")
