// Package storemodel is a model of stores, leases and reconciliation, in which a
// search walks through all that may happen to one message: copies and ends on their
// way, takeovers, lost disks, stores that are away, lists of stores of different
// age. It has tests only. The register's changes are those of package register; the
// rules of stores and dispatchers are restated in a few lines each, and mutants of
// them must be found.
package storemodel
