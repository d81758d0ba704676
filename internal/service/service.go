// Package service is the root of the ingest and dispatch service, which is
// implemented in its subpackages. docs/DESIGN-SERVICE.md describes them.
package service
