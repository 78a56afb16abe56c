"""The adapter that puts balancers on the simulator's wire. It translates and decides nothing."""
