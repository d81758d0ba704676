// Package storemodel is a model of stores, leases and reconciliation. A search
// explores the event sequences that can affect one message: copies and ends in
// flight, takeovers, lost disks, unavailable stores, outdated lists of stores. The
// package has only tests. It uses the register changes of package register, but
// restates the rules of stores and dispatchers in a few lines each. The search must
// detect each of a set of deliberately broken rules (mutants).
package storemodel
