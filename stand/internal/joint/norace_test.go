//go:build !race

package joint_test

// caseStride selects every nth case. Without the race detector all cases run.
const caseStride = 1
