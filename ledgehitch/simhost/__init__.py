"""The bench adapter: reads and writes the simulator's wire, decides nothing."""
