// Package machines moves instances between pools as their demand rises and falls, and maintains them in
// waves. The Planner decides and does no I/O; the Keeper carries its decisions out as the one owner of
// all instances.
package machines
