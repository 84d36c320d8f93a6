// Package measure runs real components over loopback with the stand-ins of package standin and measures their cost.
// Each measurement reports its workload, its figures with their spread over repeats, and its
// baselines, which are measured in the same run or are targets.
package measure
