// Package machines moves instances between pools as their demand rises and falls, and maintains them in
// waves. The Planner decides and does no I/O; the Autoscaler is the single owner of all instances,
// which carries out the Planner's decisions.
package machines
