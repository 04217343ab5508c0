//go:build !race

package fleet_test

// randomSeeds is how many random schedules run.
const randomSeeds = 24

// restoreSchedules is how many moments and ages of a copy each move is restored with.
const restoreSchedules = 16
