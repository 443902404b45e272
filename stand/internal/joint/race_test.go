//go:build race

package joint_test

// caseStride selects every nth case, because the race detector makes each ten
// times as slow.
const caseStride = 8
