"""Load generator, experiments, measurements and replays."""
